package trace_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/trace"
)

const summaryLog = `
{"time":"10:00:00.000","host":"e1","msg":"host: starts","data-centre":"a"}
{"time":"10:00:01.000","host":"e1","msg":"attempt: dropped for a larger model","id":"1","route":"write","model":"small"}
{"time":"10:00:01.100","host":"e1","msg":"request: served","id":"1","route":"write","model":"large","outcome":"served","runs":2,"first":150,"pause":40,"wait":90,"estimate":100,"queue":30,"late":false}
{"time":"10:00:03.000","host":"e1","msg":"attempt: the endpoint failed","id":"2","route":"look","model":"","cause":"read tcp 10.0.0.1:80: reset"}
{"time":"10:00:03.100","host":"e1","msg":"request: served","id":"2","route":"look","model":"","outcome":"served","runs":1,"age":20,"wait":10,"estimate":10,"late":true}
{"time":"10:00:03.200","host":"e1","msg":"request: refused","id":"3","route":"look","outcome":"overloaded"}
{"time":"10:00:03.300","host":"e1","msg":"request: the answer ends early","id":"4","route":"write","outcome":"broken-off"}
`

func TestSummaryGroupsRequests(t *testing.T) {
	i := is.New(t)
	l, err := trace.Read(strings.NewReader(summaryLog))
	i.NoErr(err)
	s := trace.Summarize(l)
	i.Equal(len(s.Tables), 4)
	r := s.Tables[0].Rows // by route
	i.Equal(len(r), 2)
	i.Equal(r[0].Group, "look")
	i.Equal([]int{r[0].Requests, r[0].Served, r[0].Late, r[0].Refused, r[0].Failed}, []int{2, 1, 1, 1, 0})
	i.Equal([]int{r[1].Requests, r[1].Served, r[1].Failed, r[1].Escalated}, []int{2, 1, 1, 1})
	i.Equal(r[1].EstimateRatio, int64(90))
	i.Equal(s.Tables[2].Rows[0].Group, "a")  // by data centre
	i.Equal(s.Tables[3].Rows[1].Requests, 3) // by interval
	i.Equal(s.Causes[0], trace.Cause{Text: "the endpoint failed: read tcp reset", Attempts: 1})
	var b bytes.Buffer
	i.NoErr(s.Write(&b))
	i.True(strings.Contains(b.String(), "write"))
}
