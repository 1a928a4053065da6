package relay_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/hickoryshelf/hickoryshelf/budget"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/relay"
	"github.com/hickoryshelf/hickoryshelf/table"
)

// sender is a fake relay.Sender that records the attempts and answers them with a function, which gets the number of
// the attempt from 1 on.
type sender struct {
	lock     sync.Mutex
	attempts []relay.Attempt
	answer   func(n int, ctx context.Context, a relay.Attempt) relay.Reply
	// liveness is what Probe returns.
	liveness relay.Liveness
	// coldLeft is how much longer endpoints stay cold by their answers to probes.
	coldLeft time.Duration
	// gone holds the addresses for which Probe returns relay.Ended.
	gone map[string]bool
	// probes counts the calls of Probe, each of which takes probeTime.
	probes    int
	probeTime time.Duration
}

func (s *sender) Probe(_ context.Context, address, _ string) (relay.Liveness, time.Duration) {
	time.Sleep(s.probeTime)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.probes++
	if s.gone[address] {
		return relay.Ended, 0
	}
	return s.liveness, s.coldLeft
}

// probed returns the number of calls of Probe.
func (s *sender) probed() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.probes
}

// end makes an address refuse connections from now on.
func (s *sender) end(address string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.gone == nil {
		s.gone = map[string]bool{}
	}
	s.gone[address] = true
}

func (s *sender) Send(ctx context.Context, a relay.Attempt) relay.Reply {
	s.lock.Lock()
	s.attempts = append(s.attempts, a)
	n := len(s.attempts)
	s.lock.Unlock()
	return s.answer(n, ctx, a)
}

func (s *sender) count() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.attempts)
}

// sink is a fake relay.Sink that records what the caller receives.
type sink struct {
	status    int
	body      bytes.Buffer
	refusal   *relay.Refusal
	aborted   bool
	refusedAt time.Time
	// writeError is what Write returns once failAfter bytes were written, if it isn't nil.
	writeError error
	failAfter  int
}

func (s *sink) Begin(status int, _ http.Header, _ int64) { s.status = status }

func (s *sink) Write(b []byte) error {
	if s.writeError != nil && s.body.Len() >= s.failAfter {
		return s.writeError
	}
	s.body.Write(b)
	return nil
}

func (s *sink) Refuse(r relay.Refusal) { s.refusal, s.refusedAt = &r, time.Now() }

func (s *sink) Abort() { s.aborted = true }

// body is the body of an answer. If closed is set, Close sets the variable to true.
type body struct {
	io.Reader
	closed *bool
}

func (b body) Close() error {
	if b.closed != nil {
		*b.closed = true
	}
	return nil
}

// resetReader is a reader that fails as a reset connection does.
type resetReader struct{}

func (resetReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

// ran returns a successful reply without a confidence.
func ran(text string) relay.Reply {
	return relay.Reply{Verdict: relay.Ran, Status: 200, Confidence: -1, Body: body{Reader: bytes.NewBufferString(text)}}
}

// ranWithConfidence returns a successful reply with a confidence from 0 to 100.
func ranWithConfidence(confidence int, text string) relay.Reply {
	r := ran(text)
	r.Confidence = confidence
	return r
}

// cutAfter returns a successful reply whose body breaks off after text.
func cutAfter(text string) relay.Reply {
	r := ran("")
	r.Body = body{Reader: io.MultiReader(bytes.NewBufferString(text), resetReader{})}
	return r
}

// notRun returns the reply of an endpoint that refused to run the request.
func notRun() relay.Reply {
	return relay.Reply{Verdict: relay.NotRun, Status: 503, Confidence: -1, Body: body{Reader: bytes.NewBufferString("")}}
}

// unreachable returns the reply for an endpoint that refused the connection.
func unreachable() relay.Reply {
	return relay.Reply{Verdict: relay.NotRun, Confidence: -1, Unreachable: true, Cause: errors.New("refused")}
}

// unknown returns the reply for a connection that was reset before an answer.
func unknown() relay.Reply {
	return relay.Reply{Verdict: relay.Unknown, Confidence: -1, Cause: errors.New("connection reset")}
}

// failed returns a reply with status 500 of an endpoint that ran the request.
func failed() relay.Reply {
	r := ran("failure of the endpoint")
	r.Verdict, r.Status = relay.Failed, 500
	return r
}

// silent blocks until the attempt is cancelled.
func silent(ctx context.Context) relay.Reply {
	<-ctx.Done()
	return relay.Reply{Verdict: relay.Unknown, Confidence: -1, Cause: ctx.Err()}
}

// harness is a relay with a fake sender and a set of endpoints.
type harness struct {
	relay  *relay.Relay
	set    *pick.Set
	sender *sender
	log    *logtest.Hook
	// suspended is the time for which the machine of the host was suspended.
	suspended suspension
}

// linesOf returns the log lines of a request at the given level or above.
func (h *harness) linesOf(id string, level logrus.Level) []*logrus.Entry {
	var r []*logrus.Entry
	for _, e := range h.log.AllEntries() {
		if e.Data["id"] == id && e.Level <= level {
			r = append(r, e)
		}
	}
	return r
}

// suspension is the time for which the machine of a test was suspended.
type suspension struct{ ns atomic.Int64 }

// time returns it for package clock.
func (s *suspension) time() time.Duration { return time.Duration(s.ns.Load()) }

// add lets the time go on while the runtime's clock stands still.
func (s *suspension) add(d time.Duration) { s.ns.Add(int64(d)) }

// newHarness returns a harness with a number of endpoints for each service and a routing table with routes of all
// kinds.
func newHarness(endpoints int, answer func(n int, ctx context.Context, a relay.Attempt) relay.Reply) *harness {
	l, k := logtest.NewNullLogger()
	w := &harness{set: pick.NewSet("here"), sender: &sender{answer: answer}, log: k}
	w.relay = relay.New(relay.Options{
		Suspended: w.suspended.time, Sender: w.sender, Endpoints: w.set, Log: l, Metrics: metrics.NewSet(), Budget: budget.NewHost(budget.Limits{Ratio: 0.9, Slack: 58, Window: 10 * time.Second}),
	})
	w.set.Replace(reports(endpoints))
	t, err := table.New(table.Table{
		Version:  1,
		Services: []table.Service{{Name: "desk", MaxConnections: 100}, {Name: "draft", MaxConnections: 100, Slots: 64, Models: []table.Model{{Name: "small", Cost: 0.018}, {Name: "middle", Cost: 0.14}, {Name: "large", Cost: 0.27}}}},
		Routes: []table.Route{
			{Name: "book", Host: "h", Prefix: "/book/", Kind: table.AtMostOnce, Timeout: 800 * time.Millisecond, Objective: 300 * time.Millisecond, Attempts: 1, Shares: share("desk")},
			{Name: "look", Host: "h", Prefix: "/look/", Kind: table.Repeatable, Timeout: 800 * time.Millisecond, Objective: 300 * time.Millisecond, Attempts: 3, Shares: share("desk")},
			{
				Name: "write", Host: "h", Prefix: "/write/", Kind: table.Stream, Resumable: true, Timeout: 25 * time.Second, Objective: 3 * time.Second,
				Attempts: 3, Tiers: []string{"small", "middle", "large"}, Shares: share("draft"),
			},
			{Name: "ask", Host: "h", Prefix: "/ask/", Kind: table.Repeatable, Timeout: 25 * time.Second, Objective: 3 * time.Second, Attempts: 3, Shares: share("draft")},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: table.Repeatable, Public: true, Timeout: time.Second, Attempts: 2, Shares: share("desk")},
		},
		Accounts: []table.Account{{Name: "one", Keys: []string{"key"}}},
	})
	if err != nil {
		panic(err)
	}
	w.relay.SetTable(t)
	w.relay.Confirm(w.relay.Now())
	lend(w.relay, 1)
	return w
}

// lend lends a host a share of the slack of the retry budgets for the length of a test, and grants it its starting balances.
func lend(r *relay.Relay, share float64) {
	_, k := r.ReportBudget()
	l := budget.Loan{Share: share, AskedAt: k.AskedAt - time.Millisecond, Lease: time.Hour}
	r.AcceptBudget("c", l, nil)
	s, _ := r.ReportBudget()
	l.AskedAt, l.Starts = k.AskedAt, map[string]float64{}
	for n, v := range s {
		l.Starts[n] = v.Start
	}
	r.AcceptBudget("c", l, nil)
}

func share(s string) []table.Share { return []table.Share{{Service: s, Weight: 1}} }

// reports returns the reports of n ready endpoints for each service.
func reports(n int) []fleet.Report {
	var r []fleet.Report
	for k := range n {
		for _, s := range []string{"desk", "draft"} {
			r = append(r, fleet.Report{
				ID: fmt.Sprint(s, k), Service: s, Address: fmt.Sprintf("10.0.0.%d:1", k), DataCentre: "here", Version: "v1", Sequence: 1, Slots: 6,
			})
		}
	}
	return r
}

// serve sends a request and returns what the caller received.
func (h *harness) serve(ctx context.Context, path, key string) *sink {
	s := &sink{}
	h.serveTo(ctx, s, fmt.Sprint(path, h.sender.count()), path, key)
	return s
}

// serveTo sends a request whose answer goes to s.
func (h *harness) serveTo(ctx context.Context, s relay.Sink, id, path, key string) {
	h.relay.Serve(ctx, &relay.Request{
		ID: id, Method: "POST", Host: "h", Path: path, Target: path, Key: key, Header: http.Header{}, Received: time.Now(),
		Prompt: relay.Prompt{Tokens: 2000, MaxOutput: 200},
	}, s)
}

// inSynctest runs a test with the simulated clock of package synctest.
func inSynctest(t *testing.T, f func(t *testing.T, i *is.I)) {
	synctest.Test(t, func(t *testing.T) { f(t, is.New(t)) })
}
