package itest_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/admpb"
	"github.com/hickoryshelf/hickoryshelf/fakes"
	"github.com/hickoryshelf/hickoryshelf/itest"
)

// TestJudgedAnswers guards against delivering bad answers in a class whose answers are judged before delivery. The quality
// of the cheap version drops, and for a minute at most 1 % of the answers may come from it: bad answers must be held back
// and their requests escalated to the other version.
func TestJudgedAnswers(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	c := itest.StartCluster(t, binary, itest.ThreeHosts())
	o := fakes.EngineOptions{Versions: []string{itest.SmallVersion, itest.LargeVersion}, Interval: time.Millisecond, Quality: map[string]float64{itest.SmallVersion: 0.85, itest.LargeVersion: 0.95}}
	e := c.StartEngine("engine-1", "bern-halle", o)
	n, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	r := fakes.NewRater(fakes.RaterOptions{ID: "rater", DataCentre: "bern-halle", Listener: n, Hosts: c.CallerAddresses(c.Hosts), PerSecond: 1000})
	defer r.Close()
	c.Configure(c.Hosts[0])
	k := itest.Contract()
	k.Classes[0].Judge = true
	c.MustChange(c.Hosts[0], "judge", admpb.Operation_OPERATION_APPLY_CONTRACT, "", k)
	c.WaitEndpoints(2)
	for m := range 200 { // gathers enough evidence for the router to choose the cheap version
		a := post(c.Hosts[m%3], chatPath, chat("auto", fmt.Sprint(m), 5))
		i.Equal(a.status, 200)
	}
	i.Equal(post(c.Hosts[1], chatPath, chat("auto", "x", 5)).header.Get("Hickoryshelf-Version"), itest.SmallVersion)
	e.SetFaults(fakes.EngineFaults{Version: itest.SmallVersion, QualityDrop: 0.4})
	bad, w := 0, 0
	for d := time.Now().Add(time.Minute); time.Now().Before(d); time.Sleep(60 * time.Millisecond) {
		m := w
		w++
		a, err := streamText(x, c.Hosts[m%3], fmt.Sprintf("after %d", m), 5)
		i.NoErr(err)
		i.NoErr(checkTokens(a, 5))
		if strings.Contains(a, itest.SmallVersion) {
			bad++
		}
	}
	t.Logf("%d of the %d answers of the minute came from the degraded version", bad, w)
	i.True(bad <= w/100) // the users' target: at most 1 in 100 answers in the minute after the drop
	b, err := itest.Bills(x, c.Hosts[0], "")
	i.NoErr(err)
	i.Equal(len(b), 201+w) // escalated requests have one bill line as well
}
