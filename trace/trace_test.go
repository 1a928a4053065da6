package trace_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/trace"
)

const log = `text without a JSON object
 44.1 e2 {"host":"e2","msg":"entry: configuration in force","time":"10:00:00.100","version":3}
{"host":"e2","msg":"host: starts","time":"10:00:01.000"}
{"host":"e2","msg":"entry: configuration in force","time":"10:00:01.100","version":4}
{"host":"e2","id":"a","msg":"attempt: the endpoint failed","endpoint":"i-1","took":7,"cause":"connection reset","time":"10:00:02.000"}
{"host":"e2","id":"a","msg":"request: refused","outcome":"answer-lost","left":700,"spent":"attempts","time":"10:00:02.001"}
{"host":"e2","msg":"entry: configuration in force","time":"10:00:03.000","version":5}
{"host":"e1","id":"b","msg":"request: refused","outcome":"overloaded","candidates":3,"estimate":900,"left":300,"time":"10:00:02.500"}
{"host":"e1","id":"m","msg":"request: refused","outcome":"overloaded","left":400,"time":"10:00:02.500"}
{"host":"e1","id":"c","msg":"attempt: the stream broke off","endpoint":"i-2","took":70,"error":"unexpected EOF","time":"10:00:02.600"}
{"host":"e1","id":"c","msg":"request: the answer ends early","outcome":"broken-off","last-event":"7","left":9000,"spent":"budget","time":"10:00:02.601"}
{"host":"e1","id":"e","msg":"attempt: the endpoint failed","endpoint":"i-1","took":9,"outcome":"failed","status":500,"time":"10:00:03.000"}
{"host":"e1","id":"e","msg":"request: the endpoint's failure is passed on","outcome":"failure-passed-on","status":500,"left":700,"spent":"attempts","time":"10:00:03.001"}
{"host":"e1","id":"f","msg":"request: the caller left","outcome":"caller-left","endpoint":"i-3","waited":900,"left":100,"time":"10:00:03.100"}
{"host":"e1","id":"l","msg":"attempt: dropped for a larger model","endpoint":"i-4","took":80,"time":"10:00:03.100"}
{"host":"e1","id":"l","msg":"request: the caller left","outcome":"caller-left","endpoint":"i-3","waited":900,"answering":true,"left":100,"time":"10:00:03.100"}
{"host":"e1","id":"g","msg":"request: the answer ends early","outcome":"broken-off","endpoint":"i-3","waited":800,"answering":true,"last-event":"75","left":0,"time":"10:00:03.200"}
{"host":"e1","id":"n","msg":"attempt: the stream broke off","endpoint":"i-2","took":70,"error":"unexpected EOF","time":"10:00:03.300"}
{"host":"e1","id":"n","msg":"request: the answer ends early","outcome":"broken-off","ended-by":"endpoint","why":"broke off","last-event":"7","left":9000,"spent":"budget","table":4,"table-age":61000,"current-table":5,"current-table-age":200,"time":"10:00:03.301"}
{"host":"e1","id":"o","msg":"request: the answer ends early","outcome":"broken-off","ended-by":"host","why":"stop","endpoint":"i-3","waited":800,"answering":true,"last-event":"","left":500,"table":4,"table-age":61000,"current-table":4,"current-table-age":61000,"time":"10:00:03.400"}
{"host":"e1","id":"p","msg":"request: the caller left","outcome":"caller-left","ended-by":"caller","why":"write failed","error":"broken pipe","endpoint":"i-3","waited":900,"answering":true,"last-event":"3","left":100,"table":4,"table-age":300,"current-table":4,"current-table-age":300,"time":"10:00:03.500"}
{"host":"e1","id":"q","msg":"request: not answered, this host stops","outcome":"stopped","endpoint":"i-3","waited":900,"left":100,"time":"10:00:03.600"}
{"host":"e1","id":"r","msg":"request: not served","outcome":"connection-closing","time":"10:00:03.700"}
{"host":"e1","id":"s","msg":"request: not served","outcome":"body-unread","error":"unexpected EOF","time":"10:00:03.700"}
{"host":"e1","id":"h","msg":"attempt: dropped for a larger model","endpoint":"i-4","took":80,"time":"10:00:04.000"}
{"host":"e2","id":"k","msg":"attempt: dropped for a larger model","endpoint":"i-4","took":80,"time":"10:00:04.000"}
{"host":"e1","msg":"host: starts","time":"10:00:06.000"}
`

func TestExplainStatesCause(t *testing.T) {
	for id, want := range map[string]string{
		"a": "may have run, its answer is lost: i-1 after 7 ms (connection reset); no further run: it may run no more often",
		"b": "refused, not run: the best of 3 endpoints would have begun to answer in 900 ms, and 300 ms were left",
		"m": "refused, not run: no endpoint took another request, and 400 ms were left",
		"c": "broken off behind event 7: i-2 after 70 ms (unexpected EOF); no further run: the budget of repeats was spent",
		"e": "the failure of the last endpoint was passed on: i-1 after 9 ms (the endpoint failed); no further run: it may run no more often",
		"f": "the caller left while i-3 had not answered for 900 ms",
		"l": "the caller left while i-3 was still answering after 900 ms; before: i-4 after 80 ms (dropped for a larger model)",
		"g": "broken off behind event 75: i-3 was still answering after 800 ms; no further run: its time was over",
		"n": "broken off behind event 7 by the endpoint: i-2 after 70 ms (unexpected EOF); no further run: the budget of repeats was spent; configuration 5 had been in force for 200 ms",
		"o": "broken off by this host (stop): i-3 was still answering after 800 ms",
		"p": "the caller left behind event 3 (write failed: broken pipe) while i-3 was still answering after 900 ms; configuration 4 had been in force for 300 ms",
		"q": "not answered, its host stopped: i-3 had not answered for 900 ms",
		"r": "not run: it came on an idle connection that its host was closing",
		"s": "not run: its body could not be read (unexpected EOF)",
		"h": "lost with its host, which started again at 10:00:06.000: i-4 after 80 ms (dropped for a larger model)",
		"k": "its end isn't logged, it was under way when the log ends: i-4 after 80 ms (dropped for a larger model)",
		"d": "no line names the request: it reached no host whose log was given, or its lines were left out under load",
	} {
		i := is.New(t)
		l, err := trace.Read(strings.NewReader(log))
		i.NoErr(err)
		i.Equal(trace.Explain(id, l).Cause, want)
	}
}

const detourLog = `{"host":"e1","id":"a","msg":"attempt: another host didn't send the request","endpoint":"i-1","relayed-by":"e3","hop":"declined","reason":"busy","took":3,"time":"10:00:00.100"}
{"host":"e1","id":"a","msg":"request: served","outcome":"served","endpoint":"i-1","relayed-by":"e2","runs":1,"time":"10:00:00.200"}
{"host":"e3","id":"a","msg":"relay: a request of another host is declined","reason":"busy","time":"10:00:00.099"}
{"host":"e2","id":"a","msg":"relay: a request of another host was sent","endpoint":"i-1","time":"10:00:00.201"}
{"host":"e1","id":"b","msg":"attempt: broken off in flight","error":"unexpected EOF","endpoint":"i-2","relayed-by":"e2","took":40,"time":"10:00:00.300"}
{"host":"e1","id":"b","msg":"request: refused","outcome":"answer-lost","left":700,"spent":"attempts","time":"10:00:00.301"}
{"host":"e2","id":"b","msg":"relay: a request of another host was sent","endpoint":"i-2","time":"10:00:00.302"}
{"host":"e2","id":"c","msg":"relay: a request of another host was sent","endpoint":"i-2","time":"10:00:00.302"}
`

// Guards against requests that went through another host and whose end isn't found, since that host logs its line last.
func TestExplainRequestSentByAnotherHost(t *testing.T) {
	for id, want := range map[string]string{
		"a": "served by i-1 through e2 after 1 runs",
		"b": "may have run, its answer is lost: i-2 through e2 after 40 ms (unexpected EOF); no further run: it may run no more often",
		"c": "sent for another host, whose log wasn't given: relay: a request of another host was sent",
	} {
		i := is.New(t)
		l, err := trace.Read(strings.NewReader(detourLog))
		i.NoErr(err)
		i.Equal(trace.Explain(id, l).Cause, want)
	}
}

// Host state lines from before the host's last start or after the request's last line are left out.
func TestHostStateIsFromBeforeRequestEnd(t *testing.T) {
	i := is.New(t)
	l, err := trace.Read(strings.NewReader(log))
	i.NoErr(err)
	s := trace.Explain("a", l)
	i.Equal(len(s.Lines), 2)
	i.Equal(len(s.HostState), 2)
	i.Equal(s.HostState[0].Fields["version"], 4.0) // version 3 precedes the restart, version 5 follows the request
	var b strings.Builder
	i.NoErr(s.Write(&b))
	i.True(strings.Contains(b.String(), "version=4"))
}
