package relay_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/relay"
	"github.com/hickoryshelf/hickoryshelf/table"
)

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func events(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(event(n))
	}
	return b.String()
}

func TestOneShotRequests(t *testing.T) {
	type reply = relay.Reply
	for n, c := range map[string]struct {
		answers []func() reply
		sends   int
		status  int
		reason  relay.Reason
	}{
		"served":                        {[]func() reply{func() reply { return ran("ok") }}, 1, 200, 0},
		"refused by one endpoint":       {[]func() reply{notRun, func() reply { return ran("ok") }}, 2, 200, 0},
		"one endpoint isn't reached":    {[]func() reply{unreachable, func() reply { return ran("ok") }}, 2, 200, 0},
		"answer lost":                   {[]func() reply{unknown}, 1, 0, relay.Broken},
		"refused, then its answer lost": {[]func() reply{notRun, unknown}, 2, 0, relay.Broken},
		"answer breaks off":             {[]func() reply{func() reply { return cutAfter("half") }}, 1, 0, relay.Broken},
		"failure of the endpoint":       {[]func() reply{failed}, 1, 500, 0},
		"refused by all":                {[]func() reply{notRun, notRun, notRun, notRun}, 3, 0, relay.NoEndpoint},
	} {
		t.Run(n, func(t *testing.T) {
			inBubble(t, func(_ *testing.T, i *is.I) {
				w := newWorld(3, func(n int, _ context.Context, _ relay.Attempt) reply { return c.answers[n-1]() })
				s := w.serve(context.Background(), "/book/1", "key")
				i.Equal(len(w.sender.attempts), c.sends)
				i.Equal(s.status, c.status)
				if c.status == 0 {
					i.Equal(s.refusal.Reason, c.reason)
				}
				if c.reason == relay.NoEndpoint {
					i.True(s.refusal.RetryAfter > 0)
				}
			})
		})
	}
}

// An endpoint that has taken a one-shot request and says nothing: the caller hears at the route's timeout,
// that it may have run, and no endpoint gets it again.
func TestSilentEndpointOfOneShotRequest(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		w := newWorld(3, func(_ int, ctx context.Context, _ relay.Attempt) relay.Reply { return silent(ctx) })
		b := time.Now()
		s := w.serve(context.Background(), "/book/1", "key")
		i.Equal(len(w.sender.attempts), 1)
		i.Equal(s.refusal.Reason, relay.TimedOut)
		i.Equal(time.Since(b), 800*time.Millisecond)
	})
}

func TestRepeatableRequestIsAnsweredElsewhereInTime(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		w := newWorld(3, func(n int, ctx context.Context, _ relay.Attempt) relay.Reply {
			if n == 1 {
				return silent(ctx)
			}
			return ran("ok")
		})
		b := time.Now()
		s := w.serve(context.Background(), "/look/1", "key")
		i.Equal(s.status, 200)
		i.True(time.Since(b) < 300*time.Millisecond)
		i.True(w.sender.attempts[0].Endpoint.ID != w.sender.attempts[1].Endpoint.ID)
	})
}

func TestRunsStayWithinTheRoutesAttempts(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		w := newWorld(9, func(int, context.Context, relay.Attempt) relay.Reply { return failed() })
		for range 40 {
			w.relay.Budget.Earn("desk")
		}
		s := w.serve(context.Background(), "/look/1", "key")
		i.Equal(len(w.sender.attempts), 3)
		i.Equal(s.status, 500) // the endpoint's own failure, passed on
		i.Equal(s.body.String(), "failure of the endpoint")
	})
}

func TestKeysAndRoutes(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		w := newWorld(1, func(int, context.Context, relay.Attempt) relay.Reply { return ran("ok") })
		i.Equal(w.serve(context.Background(), "/book/1", "other").refusal.Reason, relay.NoKey)
		i.Equal(w.serve(context.Background(), "/none/1", "key").refusal.Reason, relay.NoRoute)
		i.Equal(w.serve(context.Background(), "/open/1", "").status, 200)
		i.Equal(w.serve(context.Background(), "/book/1", "key").status, 200)
		i.Equal(w.sender.attempts[1].Account, "one")
	})
}

func TestOlderTableIsNeverPutInForce(t *testing.T) {
	i := is.New(t)
	w := newWorld(1, nil)
	n, err := table.New(table.Table{Version: 5})
	i.NoErr(err)
	o, err := table.New(table.Table{Version: 4})
	i.NoErr(err)
	i.True(w.relay.SetTable(n))
	i.True(!w.relay.SetTable(o))
	i.Equal(w.relay.Table().Version, int64(5))
}

// A host that has just started knows no configuration: it waits a moment, then says that nothing ran.
func TestHostWithoutConfiguration(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		r := relay.New(newWorld(1, nil).relay.Options)
		s := &sink{}
		b := time.Now()
		r.Serve(context.Background(), &relay.Request{Received: b}, s)
		i.Equal(s.refusal.Reason, relay.NoTable)
		i.True(s.refusal.NotRun())
		i.True(time.Since(b) < time.Second)
	})
}

// The last run that a route allows is left to its end, however long its endpoint pauses.
func TestLastRunIsLeftToItsEnd(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		w := newWorld(3, func(n int, ctx context.Context, _ relay.Attempt) relay.Reply {
			if n < 3 {
				return cutAfter(event(n))
			}
			r := ran("")
			r.Body = body{Reader: &slow{ctx: ctx, n: 2, left: 2, pause: 5 * time.Second}}
			return r
		})
		s := w.serve(context.Background(), "/write/1", "key")
		i.True(!s.broken)
		i.Equal(s.body.String(), events(1, 4))
	})
}

func TestStreamGoesOnElsewhereBehindTheLastWholeEvent(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		w := newWorld(3, func(n int, _ context.Context, a relay.Attempt) relay.Reply {
			if n == 1 {
				return cutAfter(events(1, 4) + "id: 5\ndata: pie")
			}
			i.Equal(a.ResumeAfter, "4")
			return ran(events(5, 8))
		})
		s := w.serve(context.Background(), "/write/1", "key")
		i.Equal(s.body.String(), events(1, 8))
		i.True(!s.broken)
		i.True(w.sender.attempts[0].Endpoint.ID != w.sender.attempts[1].Endpoint.ID)
		i.Equal(w.sender.attempts[0].Model, w.sender.attempts[1].Model)
	})
}

func TestStreamThatCannotGoOnDoesNotLookComplete(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		w := newWorld(3, func(n int, _ context.Context, _ relay.Attempt) relay.Reply { return cutAfter(event(n) + "id: 9") })
		s := w.serve(context.Background(), "/write/1", "key")
		i.True(s.broken)
		i.Equal(s.body.String(), events(1, 3))
	})
}

func TestDoubtedAnswerIsAskedForFromTheLargest(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		var closed bool
		w := newWorld(3, func(n int, _ context.Context, a relay.Attempt) relay.Reply {
			if n == 1 {
				i.Equal(a.Model, "small")
				r := sure(10, events(1, 2))
				r.Body = body{Reader: r.Body, closed: &closed}
				return r
			}
			i.True(closed) // the dropped run has been stopped
			i.Equal(a.Model, "large")
			return sure(40, "id: 1\ndata: better\n\n")
		})
		w.relay.SetEntries(9)
		for range 20 {
			w.relay.Budget.Earn("draft")
		}
		s := w.serve(context.Background(), "/write/1", "key")
		i.Equal(s.body.String(), "id: 1\ndata: better\n\n") // nothing of the first answer
	})
}

// A crash while many answers are asked for again: the repeats saved up are left for the streams that broke.
func TestCascadesLeaveRepeatsForACrash(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		crash := false
		w := newWorld(6, func(_ int, _ context.Context, a relay.Attempt) relay.Reply {
			switch {
			case crash && a.ResumeAfter == "":
				return cutAfter(events(1, 2))
			case crash:
				return ran(events(3, 4))
			}
			return sure(0, events(1, 4))
		})
		w.relay.SetEntries(9)
		for range 100 { // each answer is doubted, more than the budget allows for
			w.serve(context.Background(), "/write/1", "key")
		}
		crash = true
		for range 2 {
			s := w.serve(context.Background(), "/write/1", "key")
			i.True(!s.broken)
			i.Equal(s.body.String(), events(1, 4))
		}
	})
}

// Half of the first answers of a host that has just started are doubted, as later ones are.
func TestFreshHostMayAskForLargerModels(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		b := freshBudget()
		for k := range 40 {
			b.Earn("s")
			if k%2 == 0 {
				i.True(b.TakeSpare("s"))
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// hosts share a budget.
const hosts = 9

func freshBudget() *relay.Budget {
	b := relay.NewBudget(0.9, 58, 10*time.Second)
	b.SetHosts(hosts)
	return b
}

// It holds although hosts restart, which forget what they have spent.
func TestBudgetHoldsInAnyWindow(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		var spent, requests []time.Time
		var l []*relay.Budget
		for range hosts {
			l = append(l, freshBudget())
		}
		for s := range 4000 {
			if s%700 == 0 { // half of the hosts
				for k := range hosts / 2 {
					l[k] = freshBudget()
				}
			}
			if s%1000 < 500 { // bursts and quiet times
				time.Sleep(5 * time.Millisecond)
			} else {
				time.Sleep(50 * time.Millisecond)
			}
			b := l[s%hosts]
			b.Earn("s")
			requests = append(requests, time.Now())
			for b.Take("s") {
				spent = append(spent, time.Now())
			}
		}
		in := func(v []time.Time, from time.Time) (n float64) {
			for _, t := range v {
				if !t.Before(from) && t.Before(from.Add(10*time.Second)) {
					n++
				}
			}
			return n
		}
		for _, t := range spent {
			m := max(in(requests, t), in(requests, t.Add(-10*time.Second)), in(requests, t.Add(-5*time.Second)))
			i.True(in(spent, t) <= 0.9*m+58) // repeats in a window
		}
	})
}

// A host that is about to stop takes only what ends before.
func TestLastCall(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		w := newWorld(3, func(int, context.Context, relay.Attempt) relay.Reply { return ran(event(1)) })
		w.relay.LastCall(time.Now().Add(2 * time.Second))
		i.Equal(w.serve(context.Background(), "/write/1", "key").refusal.Reason, relay.Stopping)
		i.Equal(w.serve(context.Background(), "/book/1", "key").status, 200)
		time.Sleep(1500 * time.Millisecond)
		s := w.serve(context.Background(), "/book/1", "key")
		i.Equal(s.refusal.Reason, relay.Stopping)
		i.True(s.refusal.NotRun())
		i.Equal(len(w.sender.attempts), 1)
	})
}

func TestCallerThatLeftStopsTheRun(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		w := newWorld(3, func(_ int, ctx context.Context, _ relay.Attempt) relay.Reply { return silent(ctx) })
		c, f := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer f()
		b := time.Now()
		s := w.serve(c, "/write/1", "key")
		i.Equal(time.Since(b), 50*time.Millisecond)
		i.Equal(len(w.sender.attempts), 1)
		i.True(s.refusal == nil && s.status == 0)
	})
}

// Streams that fall silent go on elsewhere long before the caller gives up.
func TestSilentStreamGoesOnElsewhere(t *testing.T) { goesOnWithin(t, 3*time.Second) }

// goesOnWithin plays a stream that falls silent after two events.
func goesOnWithin(t *testing.T, bound time.Duration) {
	t.Helper()
	inBubble(t, func(_ *testing.T, i *is.I) {
		w := newWorld(3, func(n int, ctx context.Context, _ relay.Attempt) relay.Reply {
			if n == 1 {
				r := ran("")
				r.Body = body{Reader: &hung{ctx: ctx, text: strings.NewReader(events(1, 2))}}
				return r
			}
			return ran(events(3, 4))
		})
		b := time.Now()
		s := w.serve(context.Background(), "/write/1", "key")
		i.Equal(s.body.String(), events(1, 4))
		i.True(time.Since(b) < bound)
	})
}

// hung gives its text and then nothing until the run is stopped.
type hung struct {
	ctx  context.Context
	text *strings.Reader
}

func (h *hung) Read(p []byte) (int, error) {
	if h.text.Len() > 0 {
		return h.text.Read(p)
	}
	<-h.ctx.Done()
	return 0, h.ctx.Err()
}

// All hosts restart: the configuration is there before the first endpoint has reported.
func TestHostThatHasJustStartedWaitsForAnEndpoint(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		w := newWorld(0, func(int, context.Context, relay.Attempt) relay.Reply { return ran("ok") })
		time.AfterFunc(500*time.Millisecond, func() { w.set.Replace(reports(1)) })
		i.Equal(w.serve(context.Background(), "/look/1", "key").status, 200)
		time.Sleep(5 * time.Second)
		w.set.Replace(nil)
		b := time.Now()
		i.Equal(w.serve(context.Background(), "/look/1", "key").refusal.Reason, relay.NoEndpoint)
		i.Equal(time.Since(b), time.Duration(0)) // later there is nothing to wait for
	})
}

// The only endpoint restarts in the middle of a stream: the rest is asked for when it is back, not ten times
// within a millisecond.
func TestStreamWaitsForItsOnlyEndpoint(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		var back time.Time
		w := newWorld(1, func(n int, _ context.Context, a relay.Attempt) relay.Reply {
			switch {
			case n == 1:
				back = time.Now().Add(300 * time.Millisecond)
				return cutAfter(events(1, 2))
			case time.Now().Before(back):
				return unreachable()
			}
			i.Equal(a.ResumeAfter, "2")
			return ran(events(3, 4))
		})
		s := w.serve(context.Background(), "/write/1", "key")
		i.Equal(s.body.String(), events(1, 4))
		i.True(len(w.sender.attempts) < 6)
	})
}

// A busy endpoint begins late and then takes its time: the patience for the first event must not end the
// stream in its middle.
func TestLateStartDoesNotEndTheStream(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		w := newWorld(1, func(_ int, ctx context.Context, _ relay.Attempt) relay.Reply {
			time.Sleep(1500 * time.Millisecond)
			r := ran("")
			r.Body = body{Reader: &slow{ctx: ctx, left: 12, pause: 500 * time.Millisecond}}
			return r
		})
		w.set.RecordActivity("draft0", time.Now().Add(time.Second))
		s := w.serve(context.Background(), "/write/1", "key")
		i.Equal(s.body.String(), events(1, 12))
		i.Equal(len(w.sender.attempts), 1)
	})
}

// slow gives an event after each pause.
type slow struct {
	ctx   context.Context
	n     int
	left  int
	pause time.Duration
}

func (r *slow) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(r.pause):
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
	r.left--
	r.n++
	return copy(p, event(r.n)), nil
}

// A data centre is cut off: its streams fall silent and so does all else there; they go on elsewhere before the
// first callers give up, which is after two seconds.
func TestStreamOfACutDataCentreGoesOnInTime(t *testing.T) { goesOnWithin(t, 2*time.Second) }
