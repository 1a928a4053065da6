package proxy_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/hickoryshelf/hickoryshelf/assist"
	"github.com/hickoryshelf/hickoryshelf/budget"
	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/itest"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/proxy"
	"github.com/hickoryshelf/hickoryshelf/relay"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

// endpoint is the one that attempts of the tests go to.
var endpoint = fleet.Report{ID: "i-1", Service: "s", Address: "10.0.0.1:1", DataCentre: "c", Version: "v1", Born: 7}

// sender is a fake relay.Sender of the host that helps.
type sender struct {
	lock     sync.Mutex
	attempts []relay.Attempt
	answer   func(ctx context.Context) relay.Reply
}

func (s *sender) Probe(context.Context, string, string) (relay.Liveness, time.Duration) {
	return relay.Alive, 0
}

func (s *sender) Send(ctx context.Context, a relay.Attempt) relay.Reply {
	s.lock.Lock()
	s.attempts = append(s.attempts, a)
	s.lock.Unlock()
	return s.answer(ctx)
}

// count returns the number of attempts that were sent to the endpoint.
func (s *sender) count() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.attempts)
}

// answering returns an answer with a body.
func answering(b io.Reader) func(context.Context) relay.Reply {
	return func(context.Context) relay.Reply {
		return relay.Reply{Verdict: relay.Ran, Status: 200, Header: http.Header{"X-A": {"1", "2"}}, Confidence: 40, Length: -1, Asks: pick.Asks{Limit: 2.5}, Body: io.NopCloser(b)}
	}
}

// helping is a host that sends requests for others.
type helping struct {
	sender   *sender
	bound    *assist.Bound
	stopping bool
	address  string
	server   *proxy.Server
	log      *logtest.Hook
	set      *pick.Set
}

// startHelping starts a host that sends requests for others.
func startHelping(t testing.TB, answer func(context.Context) relay.Reply) *helping {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startHelpingOn(t, l, answer)
}

// startHelpingOn is like startHelping on a listener of the test's own.
func startHelpingOn(t testing.TB, l net.Listener, answer func(context.Context) relay.Reply) *helping {
	t.Helper()
	return startLimitedHelping(t, l, answer, warmup.Limits{})
}

// startLimitedHelping is like startHelpingOn with limits of cold endpoints.
func startLimitedHelping(t testing.TB, l net.Listener, answer func(context.Context) relay.Reply, cold warmup.Limits) *helping {
	t.Helper()
	g, k := logtest.NewNullLogger()
	h := &helping{sender: &sender{answer: answer}, bound: assist.NewBound(0, 0), log: k}
	p := pick.NewSet("c")
	h.set = p
	r := relay.New(relay.Options{Cold: cold, Sender: h.sender, Endpoints: p, Log: g, Metrics: metrics.NewSet(), Budget: budget.NewHost(budget.Limits{Ratio: 1, Slack: 1, Window: time.Second})})
	p.Replace([]fleet.Report{endpoint})
	h.address = l.Addr().String()
	s := proxy.NewServer(proxy.Options{Token: "secret", Relay: r, Bound: h.bound, Stopping: func() bool { return h.stopping }, Log: g, Metrics: metrics.NewSet()})
	h.server = s
	v := serving{s, l}
	go v.run()
	t.Cleanup(func() {
		_ = l.Close() // the test is over
		s.Close()
	})
	return h
}

// serving is a server and its listener.
type serving struct {
	server   *proxy.Server
	listener net.Listener
}

func (s serving) run() { s.server.Serve(s.listener) }

// helper names the host under an address.
func helper(address string) assist.Helper {
	return assist.Helper{Host: "h", Address: address, Token: "secret"}
}

// attempt returns an attempt with a body.
func attempt() relay.Attempt {
	return relay.Attempt{
		Request:  &relay.Request{ID: "r1", Method: "POST", Host: "h.example", Target: "/a%2Fb?q=%20", Key: "k", Header: http.Header{"X-Kept": {"1"}}, Body: []byte("body\x00"), Prompt: relay.Prompt{Tokens: 5}},
		Endpoint: endpoint, Account: "t", Model: "m", Remaining: 5 * time.Second, ResumeAfter: "3", Priority: 2, MaxConnections: 4,
	}
}

func client() *proxy.Client { return &proxy.Client{Host: "me", Start: "1", Pool: dial.NewPool()} }

func TestAttemptCrossesUnchanged(t *testing.T) {
	i := is.New(t)
	h := startHelping(t, func(ctx context.Context) relay.Reply { return answering(bytes.NewBufferString("answer"))(ctx) })
	c := client()
	for range 2 {
		r, p := c.Send(context.Background(), helper(h.address), attempt())
		i.Equal(p.Result, relay.Delivered)
		b, err := io.ReadAll(r.Body)
		i.NoErr(err)
		i.Equal(string(b), "answer")
		r.Body = nil
		i.Equal(r, relay.Reply{Verdict: relay.Ran, Status: 200, Header: http.Header{"X-A": {"1", "2"}}, Confidence: 40, Length: -1, Asks: pick.Asks{Limit: 2.5}})
	}
	i.Equal(h.sender.count(), 2)
	a, w := h.sender.attempts[0], attempt()
	i.True(a.Remaining > 4*time.Second && a.Remaining <= 5*time.Second)
	i.Equal(a.MaxConnections, 8) // the share of the asking host is free
	i.Equal(a.Key, "")
	w.Key, w.Remaining, w.MaxConnections = "", a.Remaining, 8
	i.Equal(a, w)
}

// Guards against events that wait at the host in the middle.
func TestEventsPassAsTheyArrive(t *testing.T) {
	i := is.New(t)
	r, w := io.Pipe()
	h := startHelping(t, answering(r))
	p, _ := client().Send(context.Background(), helper(h.address), attempt())
	for range 3 {
		_, err := io.WriteString(w, "event\n\n")
		i.NoErr(err)
		b := make([]byte, 7)
		_, err = io.ReadFull(p.Body, b)
		i.NoErr(err)
	}
	i.NoErr(w.CloseWithError(errors.New("reset")))
	_, err := io.ReadAll(p.Body)
	i.True(err != nil) // an answer that breaks off doesn't look complete
}

// maxRunAfterLeave is how long a run may go on once its caller has left.
const maxRunAfterLeave = 500 * time.Millisecond

// waitingRun answers an attempt once its context has ended, and says when that was.
func waitingRun(ended chan<- time.Time) func(context.Context) relay.Reply {
	return func(ctx context.Context) relay.Reply {
		<-ctx.Done()
		ended <- time.Now()
		return relay.Reply{Verdict: relay.Unknown}
	}
}

// Guards against runs that go on at an endpoint after their callers have left.
func TestRunEndsSoonAfterCallerLeaves(t *testing.T) {
	for _, begun := range []bool{false, true} {
		i := is.New(t)
		ended, left := make(chan time.Time, 1), make(chan time.Time, 1)
		c, f := context.WithCancel(context.Background())
		leave := func() { left <- time.Now(); f() }
		h := startHelping(t, func(ctx context.Context) relay.Reply {
			if !begun {
				leave() // the run is under way
				return waitingRun(ended)(ctx)
			}
			context.AfterFunc(ctx, func() { ended <- time.Now() })
			r, _ := io.Pipe()
			return answering(r)(ctx)
		})
		r, _ := client().Send(c, helper(h.address), attempt())
		i.Equal(r.Body != nil, begun)
		if begun {
			leave()
			i.NoErr(r.Body.Close())
		}
		b := <-left
		i.True((<-ended).Sub(b) < maxRunAfterLeave)
	}
}

// lateListener accepts nothing until wait is closed.
type lateListener struct {
	net.Listener
	wait chan struct{}
}

// Accept waits for the next connection.
func (l lateListener) Accept() (net.Conn, error) {
	<-l.wait
	return l.Listener.Accept()
}

// Guards against a run that goes on though its caller left before the other host took its call.
func TestRunOfCallThatIsTakenAfterCallerLeftEndsSoon(t *testing.T) {
	i := is.New(t)
	n, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	l := lateListener{n, make(chan struct{})}
	ended := make(chan time.Time, 1)
	h := startHelpingOn(t, l, waitingRun(ended))
	c, f := context.WithCancel(context.Background())
	a := attempt()
	a.Unheard = f // the call was written, and wasn't taken
	r, _ := client().Send(c, helper(h.address), a)
	i.Equal(r.Verdict, relay.Unknown)
	b := time.Now()
	close(l.wait)
	itest.Eventually(t, 5*time.Second, func() error {
		if len(h.log.AllEntries()) == 0 {
			return errors.New("the call has no outcome yet")
		}
		return nil
	})
	t.Logf("%s: %v", h.log.LastEntry().Message, h.log.LastEntry().Data)
	i.Equal(len(ended), h.sender.count()) // the run has ended, or there was none
	if len(ended) > 0 {
		i.True((<-ended).Sub(b) < maxRunAfterLeave)
	}
}

// Guards against a request that runs though its caller was told that it doesn't: the call is delayed and arrives after all.
func TestDelayedCallDoesNotBeginOnceRevoked(t *testing.T) {
	i := is.New(t)
	h := startHelping(t, answering(bytes.NewBufferString("late")))
	w := startWall(t, h.address, false)
	r, p := client().Send(context.Background(), helper(w.listener.Addr().String()), attempt())
	i.Equal(p.Result, relay.Lost)
	i.Equal(r.Verdict, relay.NotRun)
	close(w.release)
	time.Sleep(200 * time.Millisecond)
	i.Equal(h.sender.count(), 0)
}

// Guards against running a request a second time because the news that it has begun was lost.
func TestBegunCallIsUnknownIfItsAnswerIsLost(t *testing.T) {
	i := is.New(t)
	h := startHelping(t, answering(bytes.NewBufferString("lost")))
	w := startWall(t, h.address, true)
	r, p := client().Send(context.Background(), helper(w.listener.Addr().String()), attempt())
	i.Equal(p.Result, relay.Lost)
	i.Equal(r.Verdict, relay.Unknown)
	i.Equal(h.sender.count(), 1)
}

// Guards against a run that is cut, and a request that fails, because the news that the request has begun comes late.
func TestBegunCallIsNotCutIfTheNewsIsLate(t *testing.T) {
	const late = 900 * time.Millisecond
	i := is.New(t)
	ended := make(chan error, 1)
	h := startHelping(t, func(ctx context.Context) relay.Reply {
		select {
		case <-ctx.Done():
		case <-time.After(2 * late):
		}
		ended <- ctx.Err()
		return answering(bytes.NewBufferString("late"))(ctx)
	})
	w := startSlowWall(t, h.address, late)
	r, p := client().Send(context.Background(), helper(w.listener.Addr().String()), attempt())
	i.Equal(p.Result, relay.Delivered)
	i.Equal(r.Verdict, relay.Ran)
	i.NoErr(<-ended) // the run wasn't cut
	b, err := io.ReadAll(r.Body)
	i.NoErr(err)
	i.Equal(string(b), "late")
	i.NoErr(r.Body.Close())
	i.Equal(h.sender.count(), 1)
}

// Guards against waiting for the news that a request has begun once its caller has left.
func TestLateNewsAreNotAwaitedOnceTheCallerLeaves(t *testing.T) {
	const late, leave = 3 * time.Second, time.Second
	i := is.New(t)
	h := startHelping(t, answering(bytes.NewBufferString("late")))
	w := startSlowWall(t, h.address, late)
	x, stop := context.WithTimeout(context.Background(), leave)
	defer stop()
	b := time.Now()
	r, p := client().Send(x, helper(w.listener.Addr().String()), attempt())
	i.Equal(p.Result, relay.Lost)
	i.Equal(r.Verdict, relay.Unknown)
	i.True(time.Since(b) < late)
}

func TestHostDownIsNotRun(t *testing.T) {
	i := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	i.NoErr(l.Close())
	r, p := client().Send(context.Background(), helper(l.Addr().String()), attempt())
	i.Equal(p.Result, relay.Lost)
	i.Equal(r.Verdict, relay.NotRun)
}

func TestCallsAreDeclined(t *testing.T) {
	for n, c := range map[string]struct {
		change func(*helping, *assist.Helper, *relay.Attempt)
		reason string
	}{
		"another start of the host":     {func(_ *helping, h *assist.Helper, _ *relay.Attempt) { h.Token = "old" }, "unknown token"},
		"the host stops":                {func(h *helping, _ *assist.Helper, _ *relay.Attempt) { h.stopping = true }, "stopping"},
		"unknown endpoint":              {func(_ *helping, _ *assist.Helper, a *relay.Attempt) { a.Endpoint.ID = "i-2" }, "endpoint not reached"},
		"another start of the endpoint": {func(_ *helping, _ *assist.Helper, a *relay.Attempt) { a.Endpoint.Born = 8 }, "endpoint not reached"},
		"drained data centre":           {func(h *helping, _ *assist.Helper, _ *relay.Attempt) { h.drain() }, "data centre drained"},
		"no room": {func(h *helping, _ *assist.Helper, _ *relay.Attempt) {
			for ok := true; ok; {
				_, ok = h.bound.Take("o", 2, 0, time.Now())
			}
		}, "busy"},
	} {
		t.Run(n, func(t *testing.T) {
			i := is.New(t)
			h := startHelping(t, answering(bytes.NewBufferString("")))
			x, a := helper(h.address), attempt()
			c.change(h, &x, &a)
			r, p := client().Send(context.Background(), x, a)
			i.Equal(p.Result, relay.Declined)
			i.Equal(p.Reason, c.reason)
			i.True(p.RetryAfter > 0)
			i.Equal(r.Verdict, relay.NotRun)
			i.Equal(h.sender.count(), 0)
		})
	}
}

// FuzzCall checks that no bytes make the host panic or send a request.
func FuzzCall(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 2, '{', '}', 1, 0, 0, 0, 0})
	f.Add([]byte{2, 0, 0, 0, 2, '{', '}'})
	f.Add([]byte{0, 255, 255, 255, 255})
	h := startHelping(f, answering(bytes.NewBufferString("")))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := net.Dial("tcp", h.address)
		if err != nil {
			t.Skip()
		}
		_, _ = c.Write(b) // the host may close the connection early
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		if h.sender.count() > 0 {
			t.Error("a request was sent")
		}
	})
}

// Guards against giving up a host because one endpoint wants nothing from it: another endpoint can be asked for there.
func TestEndpointAtRestIsNamedAsSuch(t *testing.T) {
	i := is.New(t)
	h := startHelping(t, func(context.Context) relay.Reply {
		return relay.Reply{Verdict: relay.NotRun, Status: 503, Confidence: -1, Asks: pick.Asks{Rest: 2 * time.Second, TurnedAway: true}}
	})
	c := client()
	r, p := c.Send(context.Background(), helper(h.address), attempt())
	i.Equal(p.Result, relay.Delivered)
	i.Equal(r.Asks, pick.Asks{Rest: 2 * time.Second, TurnedAway: true})
	r, p = c.Send(context.Background(), helper(h.address), attempt())
	i.Equal(p.Result, relay.Delivered)
	i.Equal(r.Verdict, relay.NotRun)
	i.Equal(r.Status, 0)
	i.True(r.Asks.Rest > time.Second && r.Asks.Rest <= 2*time.Second)
	i.Equal(h.sender.count(), 1)
}

// Guards against memory that bodies take before it is known whether their requests are sent, and against connections that
// can't be used again after a request with a body was declined.
func TestBodyOfDeclinedCallIsSkipped(t *testing.T) {
	i := is.New(t)
	h := startHelping(t, func(ctx context.Context) relay.Reply { return answering(bytes.NewBufferString("ok"))(ctx) })
	c := client()
	a := attempt()
	a.Body = bytes.Repeat([]byte("x"), 8<<20) // more than the bodies that the host has room for
	r, p := c.Send(context.Background(), helper(h.address), a)
	i.Equal(p.Result, relay.Declined)
	i.Equal(p.Reason, "busy")
	i.Equal(r.Verdict, relay.NotRun)
	i.Equal(h.bound.Taken(), 0)
	r, p = c.Send(context.Background(), helper(h.address), attempt())
	i.Equal(p.Result, relay.Delivered)
	i.NoErr(r.Body.Close())
	i.Equal(h.sender.count(), 1)
	i.Equal(h.sender.attempts[0].Body, attempt().Body)
}
