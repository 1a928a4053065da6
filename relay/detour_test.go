package relay_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/assist"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/reach"
	"github.com/hickoryshelf/hickoryshelf/relay"
)

// detour is a fake relay.Detour that records the attempts and answers them with a function.
type detour struct {
	lock     sync.Mutex
	attempts []relay.Attempt
	hosts    []string
	answer   func(n int, ctx context.Context, a relay.Attempt) (relay.Reply, relay.Hop)
}

func (d *detour) Send(ctx context.Context, h assist.Helper, a relay.Attempt) (relay.Reply, relay.Hop) {
	d.lock.Lock()
	d.attempts, d.hosts = append(d.attempts, a), append(d.hosts, h.Host)
	n := len(d.attempts)
	d.lock.Unlock()
	return d.answer(n, ctx, a)
}

// byOthers returns a detour on which all requests are served.
func byOthers() *detour {
	return &detour{answer: func(_ int, _ context.Context, a relay.Attempt) (relay.Reply, relay.Hop) {
		if a.ResumeAfter != "" {
			return ranWithConfidence(100, events(len(a.ResumeAfter)+2, 5)), relay.Hop{}
		}
		return ranWithConfidence(100, events(1, 5)), relay.Hop{}
	}}
}

// probing is a sender whose probes have an outcome of their own.
type probing struct {
	*sender
	probe func(ctx context.Context, address string) relay.Liveness
}

func (p probing) Probe(ctx context.Context, address, _ string) (relay.Liveness, time.Duration) {
	return p.probe(ctx, address), 0
}

// unanswered is the probe of an endpoint that doesn't answer.
func unanswered(ctx context.Context, _ string) relay.Liveness {
	<-ctx.Done()
	return relay.Unclear
}

// withDetour adds a detour, hosts to use for it, and probes to a harness. It returns a function that ends the probes.
func (h *harness) withDetour(d *detour, helpers int, probe func(context.Context, string) relay.Liveness) (stop func()) {
	h.relay.Detour = d
	h.relay.Sender = probing{h.sender, probe}
	h.nameHelpers(helpers)
	c := make(chan struct{})
	p := relay.Prober{Relay: h.relay, Stop: c}
	p.Start()
	return func() {
		close(c)
		time.Sleep(200 * time.Millisecond) // the last probes end
	}
}

// nameHelpers makes a number of hosts known that were answered a moment ago.
func (h *harness) nameHelpers(n int) {
	var l []assist.Helper
	for k := range n {
		a := assist.Helper{Host: fmt.Sprint("h", k), AnsweredAt: map[ctlrpc.Pool]time.Time{}}
		for _, s := range []string{"desk", "draft"} {
			a.AnsweredAt[ctlrpc.Pool{Service: s, DataCentre: "here"}] = time.Now().Add(time.Millisecond)
		}
		l = append(l, a)
	}
	h.relay.Helpers.Set(l, time.Now())
}

// loseLinks makes all openings to endpoints of a service fail until the link to them is known to be cut.
func (h *harness) loseLinks(service string, endpoints int, o reach.Outcome) {
	for range 2 {
		for k := range endpoints {
			time.Sleep(time.Millisecond)
			h.relay.RecordOpening(fmt.Sprint(service, k), time.Now(), relay.Reply{Unreachable: true, Refused: o == reach.Refused})
		}
	}
}

// Guards against requests that try unreachable endpoints in turn while another host reaches them, unsafe ones too.
func TestRequestsOfCutOffHostGoThroughAnotherOne(t *testing.T) {
	for _, p := range []string{"/book/1", "/look/1", "/write/1"} {
		for _, o := range []reach.Outcome{reach.Refused, reach.Silent} {
			inSynctest(t, func(_ *testing.T, i *is.I) {
				w := newHarness(3, func(int, context.Context, relay.Attempt) relay.Reply { return unreachable() })
				d := byOthers()
				defer w.withDetour(d, 0, unanswered)()
				w.loseLinks("desk", 3, o)
				w.loseLinks("draft", 3, o)
				w.nameHelpers(2)
				b := time.Now()
				s := w.serve(context.Background(), p, "key")
				i.Equal(s.status, 200)
				i.Equal(len(d.attempts), 1)
				i.Equal(w.sender.count(), 0)
				i.True(time.Since(b) < 50*time.Millisecond)
				i.Equal(d.attempts[0].Account, "one")
			})
		}
	}
}

// Guards against an at-most-once request that runs twice because a hop broke off.
func TestLostHopIsRepeatedOnlyIfNotBegun(t *testing.T) {
	for n, c := range map[string]struct {
		path    string
		verdict relay.Verdict
		served  bool
	}{
		"begun, at most once":     {"/book/1", relay.Unknown, false},
		"begun, repeatable":       {"/look/1", relay.Unknown, true},
		"not begun, at most once": {"/book/1", relay.NotRun, true},
	} {
		t.Run(n, func(t *testing.T) {
			inSynctest(t, func(_ *testing.T, i *is.I) {
				w := newHarness(3, func(int, context.Context, relay.Attempt) relay.Reply { return unreachable() })
				d := byOthers()
				a := d.answer
				d.answer = func(n int, ctx context.Context, v relay.Attempt) (relay.Reply, relay.Hop) {
					if n == 1 {
						return relay.Reply{Verdict: c.verdict, Confidence: -1}, relay.Hop{Result: relay.Lost}
					}
					return a(n, ctx, v)
				}
				defer w.withDetour(d, 0, unanswered)()
				w.loseLinks("desk", 3, reach.Silent)
				w.nameHelpers(3)
				s := w.serve(context.Background(), c.path, "key")
				if c.served {
					i.Equal(s.status, 200)
					i.True(d.hosts[0] != d.hosts[1]) // the one that was lost isn't asked again
					return
				}
				i.Equal(s.refusal.Reason, relay.AnswerLost)
				i.Equal(len(d.attempts), 1)
			})
		})
	}
}

// Guards against callers that are held where nobody can serve them: hosts that decline, or no host at all.
func TestCutOffHostWithoutHelpRefusesAtOnce(t *testing.T) {
	for _, helpers := range []int{0, 2, 9} {
		inSynctest(t, func(_ *testing.T, i *is.I) {
			w := newHarness(3, func(int, context.Context, relay.Attempt) relay.Reply { return unreachable() })
			d := &detour{answer: func(int, context.Context, relay.Attempt) (relay.Reply, relay.Hop) {
				return relay.Reply{Verdict: relay.NotRun}, relay.Hop{Result: relay.Declined, RetryAfter: 300 * time.Millisecond}
			}}
			defer w.withDetour(d, 0, unanswered)()
			w.loseLinks("desk", 3, reach.Silent)
			time.Sleep(600 * time.Millisecond) // helpers were looked for in vain
			w.nameHelpers(helpers)
			b := time.Now()
			s := w.serve(context.Background(), "/book/1", "key")
			i.Equal(s.refusal.Reason, relay.CutOff)
			i.True(s.refusal.NotRun())
			i.True(s.refusal.RetryAfter > 0)
			if helpers > 0 {
				i.True(s.refusal.RetryAfter >= 300*time.Millisecond)
			}
			i.True(time.Since(b) < 100*time.Millisecond)
			i.Equal(w.sender.count(), 0)
			i.True(len(d.attempts) <= 4)
		})
	}
}

// Guards against a stream that waits for its endpoint until its caller gives up, though the link is known to be cut.
func TestStreamOnLostLinkResumesThroughAnotherHost(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		w := newHarness(3, func(_ int, ctx context.Context, _ relay.Attempt) relay.Reply {
			r := ranWithConfidence(100, "")
			r.Body = body{Reader: &stalling{text: events(1, 2), ctx: ctx}}
			return r
		})
		d := byOthers()
		defer w.withDetour(d, 0, unanswered)()
		time.AfterFunc(600*time.Millisecond, func() { w.nameHelpers(1) })
		b := time.Now()
		s := w.serve(context.Background(), "/write/1", "key")
		i.Equal(s.body.String(), events(1, 2)+events(3, 5))
		i.Equal(d.attempts[0].ResumeAfter, "2")
		i.True(time.Since(b) < 1200*time.Millisecond)
	})
}

// stalling is a body that sends a text and then nothing until ctx ends.
type stalling struct {
	text string
	ctx  context.Context
}

func (s *stalling) Read(b []byte) (int, error) {
	if len(s.text) > 0 {
		n := copy(b, s.text)
		s.text = s.text[n:]
		return n, nil
	}
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}

// Guards against a detour, a broken-off request or a second run because a sound endpoint is silent for a second.
func TestEndpointSilentForASecondChangesNothing(t *testing.T) {
	for _, p := range []string{"/book/1", "/write/1"} {
		inSynctest(t, func(_ *testing.T, i *is.I) {
			b := time.Now()
			silence := 700 * time.Millisecond
			w := newHarness(3, func(_ int, _ context.Context, a relay.Attempt) relay.Reply {
				if a.Endpoint.ID == "desk0" || a.Endpoint.ID == "draft0" {
					time.Sleep(max(0, silence-time.Since(b)))
				}
				return ranWithConfidence(100, events(1, 5))
			})
			d := byOthers()
			defer w.withDetour(d, 2, func(ctx context.Context, address string) relay.Liveness {
				if address == "10.0.0.0:1" && time.Since(b) < silence {
					return unanswered(ctx, address)
				}
				return relay.Alive
			})()
			w.set.SetRemoteLoads(map[string]ctlrpc.Load{"desk1": {Backlog: 90}, "desk2": {Backlog: 90}, "draft1": {Backlog: 90}, "draft2": {Backlog: 90}})
			s := w.serve(context.Background(), p, "key")
			i.Equal(s.status, 200)
			i.Equal(s.body.String(), events(1, 5))
			i.Equal(len(d.attempts), 0)
			i.Equal(w.sender.count(), 1)
		})
	}
}

// Guards against a host that piles its requests on the few endpoints that it still reaches, and against a detour while they
// have room.
func TestPartlyCutOffHostUsesOthersOnceItsEndpointsAreFull(t *testing.T) {
	for _, c := range []struct {
		backlog, detours int
	}{{0, 0}, {5000, 1}} {
		inSynctest(t, func(_ *testing.T, i *is.I) {
			w := newHarness(3, func(int, context.Context, relay.Attempt) relay.Reply { return ranWithConfidence(100, events(1, 5)) })
			l := reports(3)
			l = append(l, fleet.Report{ID: "far", Service: "draft", Address: "10.0.1.0:1", DataCentre: "there", Version: "v1", Sequence: 1, Slots: 6})
			w.set.Replace(l)
			w.set.SetRemoteLoads(map[string]ctlrpc.Load{"far": {Backlog: c.backlog}})
			d := byOthers()
			defer w.withDetour(d, 0, func(ctx context.Context, address string) relay.Liveness {
				if address == "10.0.1.0:1" {
					return relay.Alive
				}
				return unanswered(ctx, address)
			})()
			w.loseLinks("draft", 3, reach.Refused)
			w.nameHelpers(1)
			s := w.serve(context.Background(), "/write/1", "key")
			i.Equal(s.status, 200)
			i.Equal(len(d.attempts), c.detours)
			i.Equal(w.sender.count(), 1-c.detours)
		})
	}
}

// Guards against a refusal because this host has tried all endpoints of a small service in vain before it knew another way.
func TestEndpointsThatWereNotReachedAreTriedThroughAnotherHost(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		w := newHarness(1, func(int, context.Context, relay.Attempt) relay.Reply {
			time.Sleep(200 * time.Millisecond)
			return unreachable()
		})
		d := byOthers()
		defer w.withDetour(d, 0, unanswered)()
		time.AfterFunc(410*time.Millisecond, func() { w.nameHelpers(1) })
		s := w.serve(context.Background(), "/book/1", "key")
		i.Equal(s.status, 200)
		i.Equal(len(d.attempts), 1)
	})
}

// Guards against a verdict by probes that failed because this host was suspended.
func TestSuspendedHostGivesNoVerdict(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		w := newHarness(3, func(n int, _ context.Context, _ relay.Attempt) relay.Reply {
			if n == 1 {
				time.Sleep(700 * time.Millisecond)
			}
			return ran("ok")
		})
		d := byOthers()
		defer w.withDetour(d, 2, func(context.Context, string) relay.Liveness {
			time.Sleep(time.Second) // far longer than a probe waits
			return relay.Unclear
		})()
		s := w.serve(context.Background(), "/book/1", "key")
		i.Equal(s.status, 200)
		time.Sleep(2 * time.Second)
		for k := range 3 {
			i.True(w.set.Link(fmt.Sprint("desk", k)).State() != reach.Cut)
		}
		i.Equal(len(d.attempts), 0)
	})
}
