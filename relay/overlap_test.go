package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/relay"
)

// maxCancelTime is how long a cancel may take to reach an endpoint.
const maxCancelTime = 10 * time.Millisecond

// steadyBody is the body of an endpoint that makes one event after another until its attempt is cancelled.
type steadyBody struct {
	ctx context.Context
	// next and last are the first and the last event that it makes.
	next, last int
	// start is when it makes the first one, and interval the time between two.
	start    time.Time
	interval time.Duration
	// made holds when it has made its events.
	made []time.Time
}

func (b *steadyBody) Read(p []byte) (int, error) {
	if b.next > b.last {
		return 0, io.EOF
	}
	select {
	case <-time.After(max(time.Until(b.start), b.interval)):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	b.next++
	b.made = append(b.made, time.Now())
	return copy(p, event(b.next-1)), nil
}

// overlap is how two endpoints work on the same stream: the first one is silent behind some events until a time after the start of
// the request, and so is the other one, which has sent its head by then.
type overlap struct {
	// before is the number of events before the silence.
	before int
	// again and other are when the endpoints send their next event.
	again, other time.Duration
}

// serve serves the stream and returns what the endpoints have made after the silence.
func (o overlap) serve() (s *sink, first, other *steadyBody) {
	const interval, last = 50 * time.Millisecond, 60
	b := time.Now()
	h := newHarness(2, func(n int, ctx context.Context, _ relay.Attempt) relay.Reply {
		r := ran("")
		v := &steadyBody{ctx: ctx, next: o.before + 1, last: last, start: b.Add(o.again), interval: interval}
		if n > 1 {
			v.start, other = b.Add(o.other), v
			r.Body = body{Reader: v}
			return r
		}
		first = v
		r.Body = body{Reader: io.MultiReader(strings.NewReader(events(1, o.before)), v)}
		return r
	})
	twoRuns(h)
	s = &sink{}
	h.serveTo(context.Background(), s, "r1", "/write/1", "key")
	return s, first, other
}

// Guards against two endpoints that go on with the same stream at once: the first event of either ends the other.
func TestTwoEndpointsNeverBothSendEvents(t *testing.T) {
	for _, before := range []int{0, 2} {
		for _, o := range []overlap{
			{before, 4000 * time.Millisecond, 2500 * time.Millisecond},
			{before, 2500 * time.Millisecond, 4000 * time.Millisecond},
			{before, 3000 * time.Millisecond, 3000 * time.Millisecond},
			{before, 3000 * time.Millisecond, 3001 * time.Millisecond},
			{before, 3001 * time.Millisecond, 3000 * time.Millisecond},
			{before, time.Minute, 3000 * time.Millisecond},
			{before, 3000 * time.Millisecond, time.Minute},
		} {
			t.Run(fmt.Sprint(o), func(t *testing.T) {
				inSynctest(t, func(_ *testing.T, i *is.I) {
					s, first, other := o.serve()
					synctest.Wait()
					i.Equal(s.body.String(), events(1, 60))
					i.True(other != nil)
					a, b := first.made, other.made
					if len(a) == 0 || len(b) == 0 {
						return
					}
					i.True(a[len(a)-1].Sub(b[0]) <= maxCancelTime || b[len(b)-1].Sub(a[0]) <= maxCancelTime)
				})
			})
		}
	}
}

// Guards against a stream that waits for a second endpoint which has sent only its head, while a third one would go on.
func TestThirdEndpointGoesOnIfTheSecondSendsOnlyItsHead(t *testing.T) {
	for n, text := range map[string]string{"before the first event": "", "behind an event": events(1, 2)} {
		t.Run(n, func(t *testing.T) {
			inSynctest(t, func(_ *testing.T, i *is.I) {
				var second context.Context
				h := newHarness(3, func(n int, ctx context.Context, a relay.Attempt) relay.Reply {
					switch n {
					case 1:
						return silentAfter(text)(ctx, a)
					case 2:
						second = ctx
						return silentAfter("")(ctx, a)
					}
					return ran(events(1+strings.Count(text, "id:"), 4))
				})
				b := time.Now()
				s := &sink{}
				h.serveTo(context.Background(), s, "r1", "/write/1", "key")
				i.Equal(s.body.String(), events(1, 4))
				i.True(time.Since(b) < endpointPause)
				i.True(second.Err() != nil)
				i.Equal(h.sender.count(), 3)
				i.Equal(h.faultsOf("r1", h.sender.attempts[1].Endpoint.ID), 1)
			})
		})
	}
}

// faultsOf returns how many faults of an endpoint the lines of a request show.
func (h *harness) faultsOf(id, endpoint string) int {
	var r int
	for _, e := range h.linesOf(id, logrus.WarnLevel) {
		if _, ok := e.Data["banned"]; ok && e.Data["endpoint"] == endpoint {
			r++
		}
	}
	return r
}

// Guards against attempts that stay open after the caller has left or the deadline has passed, because the head of one is held.
func TestHeldHeadDelaysNoEnd(t *testing.T) {
	for n, leaveAfter := range map[string]time.Duration{"caller leaves": 2 * time.Second, "deadline": time.Minute} {
		for m, text := range map[string]string{"before the first event": "", "behind an event": events(1, 2)} {
			t.Run(n+" "+m, func(t *testing.T) {
				inSynctest(t, func(_ *testing.T, i *is.I) {
					c, leave := context.WithCancel(context.Background())
					defer leave()
					var open []context.Context
					h := newHarness(2, func(n int, ctx context.Context, a relay.Attempt) relay.Reply {
						open = append(open, ctx)
						if n > 1 {
							return silentAfter("")(ctx, a)
						}
						return silentAfter(text)(ctx, a)
					})
					twoRuns(h)
					time.AfterFunc(leaveAfter, leave)
					b := time.Now()
					h.serveTo(c, &sink{}, "r1", "/write/1", "key")
					i.True(time.Since(b) <= min(leaveAfter, 25*time.Second)+maxCancelTime)
					i.Equal(len(open), 2)
					for _, o := range open {
						i.True(o.Err() != nil)
					}
				})
			})
		}
	}
}

// Guards against a silent endpoint that is given up for another one whose stream is of another type than the one that has begun since.
func TestSuccessorOfAnotherTypeDoesNotGoOn(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		h := newHarness(2, func(n int, ctx context.Context, _ relay.Attempt) relay.Reply {
			if n > 1 {
				r := lateEvents(ctx, 900*time.Millisecond, events(1, 4))
				r.Header = http.Header{"Content-Type": {"text/plain"}}
				return r
			}
			time.Sleep(1500 * time.Millisecond)
			r := pausing(ctx, "", events(1, 4))
			r.Header = http.Header{"Content-Type": {"text/event-stream"}}
			return r
		})
		twoRuns(h)
		b := time.Now()
		s := h.serve(context.Background(), "/write/1", "key")
		i.Equal(s.body.String(), events(1, 4))
		i.True(time.Since(b) >= endpointPause) // they are those of the first endpoint
	})
}

// Guards against a whole answer that is dropped because it is a stream without an event, while another endpoint sends nothing.
func TestEmptyStreamOfSuccessorIsAnAnswer(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		h := newHarness(2, func(n int, ctx context.Context, _ relay.Attempt) relay.Reply {
			if n > 1 {
				return ran("")
			}
			return silent(ctx)
		})
		b := time.Now()
		s := h.serve(context.Background(), "/write/1", "key")
		i.Equal(s.status, http.StatusOK)
		i.True(!s.aborted)
		i.True(time.Since(b) < endpointPause)
	})
}

// Guards against estimates that take the time to the first event of a second endpoint for the time to its head.
func TestWaitOfSuccessorEndsWithItsHead(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		h := newHarness(2, func(n int, ctx context.Context, a relay.Attempt) relay.Reply {
			if n > 1 {
				return lateEvents(ctx, 600*time.Millisecond, events(3, 4))
			}
			return silentAfter(events(1, 2))(ctx, a)
		})
		s := &sink{}
		h.serveTo(context.Background(), s, "r1", "/write/1", "key")
		i.Equal(s.body.String(), events(1, 4))
		l := h.linesOf("r1", logrus.InfoLevel)
		i.Equal(l[len(l)-1].Message, "request: served")
		i.Equal(l[len(l)-1].Data["wait"], int64(0))
	})
}

// Guards against a version on trial whose answers aren't counted that break off behind their head, beside a silent endpoint.
func TestSuccessorThatBreaksOffCountsAgainstItsVersion(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		const requests, pause = 8, 300 * time.Millisecond
		asked, broken := map[string]bool{}, 0
		h := newHarness(1, func(_ int, ctx context.Context, a relay.Attempt) relay.Reply {
			if !asked[a.Request.ID] {
				asked[a.Request.ID] = true
				return pausing(ctx, events(1, 2), events(3, 4))
			}
			if a.Endpoint.Version == "v2" {
				broken++
			}
			r := breakingBody(ctx, "", pause)
			r.Connected = true // so that it isn't the link
			return r
		})
		h.set.Replace(append(reports(1), fleet.Report{ID: "new", Service: "draft", Address: "10.0.1.1:1", DataCentre: "here", Version: "v2", Sequence: 1, Slots: 6}))
		h.set.SetRollouts([]canary.View{{
			Rollout: canary.Rollout{Service: "draft", Target: "v2", Budget: time.Minute, Serial: 1}, Plan: canary.Plan{Fresh: 0.5, Bound: 1},
		}})
		for range requests {
			i.True(!h.serve(context.Background(), "/write/1", "key").aborted)
		}
		var failures int
		for _, c := range h.relay.TakeTallies() {
			if c.Version == "v2" {
				failures += c.Failures
			}
		}
		i.True(broken > 0)
		i.Equal(failures, broken)
	})
}

// Guards against a second endpoint that is dropped as silent because this host was held up by its caller: its event lies unread.
func TestSlowCallerIsNoSilenceOfTheSuccessor(t *testing.T) {
	const plays = 20 // which of two signals is taken first is random
	comment := ": wait\n\n"
	for k := range plays {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			inSynctest(t, func(_ *testing.T, i *is.I) {
				h := newHarness(3, func(n int, ctx context.Context, _ relay.Attempt) relay.Reply {
					if n > 1 {
						return lateEvents(ctx, 500*time.Millisecond, events(3, 4))
					}
					r := ran("")
					r.Body = body{Reader: io.MultiReader(
						strings.NewReader(events(1, 2)), &waitingReader{ctx, 1600 * time.Millisecond}, strings.NewReader(comment), stalledReader{ctx},
					)}
					return r
				})
				s := blockingSink{&sink{}, comment}
				h.serveTo(context.Background(), s, "r1", "/write/1", "key")
				i.Equal(s.body.String(), events(1, 2)+comment+events(3, 4))
				i.Equal(h.sender.count(), 2) // no third one is asked
			})
		})
	}
}
