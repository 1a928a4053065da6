package warmup_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/warmup"
)

var limits = warmup.Limits{Overage: 1.5, Slack: 5}

// ask returns a request of a host for one endpoint at control host 0 of n.
func ask(host string, start int64, controls int, wishes ...string) warmup.Request {
	r := warmup.Request{Host: host, Start: start, Limits: limits, Controls: controls}
	for _, e := range wishes {
		r.Wishes = append(r.Wishes, warmup.Wish{Endpoint: e, Rate: 10})
	}
	return r
}

// Guards against permits that let more requests through together than the limit allows, for any number of control hosts and any rate, also
// with one more control host that lends without the knowledge of the others.
func TestPermitsTogetherKeepWithinLimit(t *testing.T) {
	for n := 1; n <= 24; n++ {
		for _, rate := range []float64{0.3, 1, 2.5, 7, 10, 33.3, 200} {
			sent, lenders := 0, 0
			for k := range n {
				r := warmup.Request{Host: "h", Limits: limits, Controls: n, Rank: k, Wishes: []warmup.Wish{{Endpoint: "e", Rate: rate}}}
				p := warmup.NewLender(-time.Hour).Lend(r, time.Hour)
				if len(p) == 0 {
					continue
				}
				lenders++
				sent += int((time.Second+warmup.SendTime)/p[0].Interval) + 1
			}
			if lenders > 0 && n > 1 {
				sent += sent / lenders
			}
			if b := rate*limits.Overage + limits.Slack; float64(sent) > b {
				t.Errorf("%d control hosts, %v/s: %d requests in a second, %v allowed", n, rate, sent, b)
			}
			if rate == 10 && lenders < min(n, 9) {
				t.Errorf("%d of %d control hosts lend", lenders, n)
			}
		}
	}
}

// lent returns how many of n control hosts lend, and how many requests each permit lets through in a second.
func lent(l warmup.Limits, rate float64, n int) (lenders, each int) {
	for k := range n {
		r := warmup.Request{Host: "h", Limits: l, Controls: n, Rank: k, Wishes: []warmup.Wish{{Endpoint: "e", Rate: rate}}}
		if p := warmup.NewLender(-time.Hour).Lend(r, time.Hour); len(p) > 0 {
			lenders, each = lenders+1, int((time.Second+warmup.SendTime)/p[0].Interval)+1
		}
	}
	return lenders, each
}

// Guards against a change of the number of control hosts during which some divide the limit by the old number and others by the new one, so that
// together they let more requests through than it allows.
func TestPermitsKeepWithinLimitWhileNumberOfControlHostsChanges(t *testing.T) {
	for _, l := range []warmup.Limits{limits, {Overage: 1, Slack: 5}, {Overage: 2, Slack: 1}} {
		for _, rate := range []float64{0.3, 1, 2.5, 7, 10, 33.3, 200} {
			for n := 2; n <= 40; n++ {
				a, x := lent(l, rate, n)
				b, y := lent(l, rate, n+1)
				for old := range a + 1 { // the others are those of the new view, of which at most one more than these lends
					k := min(b, max(a+1, b)-old)
					if s := float64(old*x + k*y); s > rate*l.Overage+l.Slack {
						t.Fatalf("%v, %v/s: %d of %d and %d of %d control hosts let %v requests through", l, rate, old, n, k, n+1, s)
					}
				}
			}
		}
	}
}

// Guards against two requests under the part of one control host within an interval, across changes of the holder, restarts of hosts and
// replies that are late or lost.
func TestIntervalHoldsAcrossChangeOfHolder(t *testing.T) {
	i := is.New(t)
	l := warmup.NewLender(0)
	const every = 100 * time.Millisecond
	var used []time.Duration
	holders := map[string]*warmup.Holder{}
	for now := 5 * time.Second; now < 2*time.Minute; now += every {
		k := now / (5 * time.Second) // each host asks for 5 s, or its next start does
		h := fmt.Sprint("h", k/2%3)
		key := fmt.Sprint(h, k)
		if holders[key] == nil {
			holders[key] = warmup.NewHolder()
		}
		p := l.Lend(ask(h, int64(k), 8, "e"), now)
		if k%4 != 1 { // else the replies are lost
			holders[key].Accept("c", p, now-every, now)
		}
		for _, o := range holders {
			if _, ok := o.Use("e", now); ok {
				used = append(used, now)
			}
		}
	}
	i.True(len(used) > 40)
	for k := range used[1:] {
		i.True(used[k+1]-used[k] >= 800*time.Millisecond)
	}
}

// Guards against a control host that lends again what a process before may have lent, or that isn't in the control log.
func TestControlHostThatJustStartedLendsNothing(t *testing.T) {
	i := is.New(t)
	l := warmup.NewLender(0)
	i.Equal(len(l.Lend(ask("h", 1, 8, "e"), 1900*time.Millisecond)), 0)
	i.Equal(len(l.Lend(ask("h", 1, 8, "e"), 2100*time.Millisecond)), 1)
	i.Equal(len(l.Lend(ask("h", 1, 0, "f"), time.Minute)), 0)
	r := ask("h", 1, 8, "f")
	r.Rank = -1
	i.Equal(len(l.Lend(r, time.Minute)), 0)
}

// Guards against hosts that get all permits while others get none, and against a holder that keeps a permit for good.
func TestPermitsAreLentFairly(t *testing.T) {
	i := is.New(t)
	l := warmup.NewLender(-time.Hour)
	e := []string{"e0", "e1", "e2", "e3", "e4", "e5"}
	held := map[string]int{}
	first := map[string]bool{}
	for now := time.Duration(0); now < 30*time.Second; now += 150 * time.Millisecond {
		for _, h := range []string{"a", "b", "c"} {
			p := l.Lend(ask(h, 1, 8, e...), now)
			held[h] += len(p)
			if slices.ContainsFunc(p, func(p warmup.Permit) bool { return p.Endpoint == "e0" }) {
				first[h] = true
			}
		}
	}
	i.True(len(first) > 1) // e0 has changed hands
	for _, h := range []string{"a", "b", "c"} {
		i.True(held[h] > 100)
	}
}

// Guards against a permit that outlasts its lease, and against one that a late reply renews.
func TestPermitEndsWithLease(t *testing.T) {
	i := is.New(t)
	h := warmup.NewHolder()
	p := []warmup.Permit{{Endpoint: "e", Lease: time.Second, Interval: 100 * time.Millisecond}}
	h.Accept("c", p, 0, 900*time.Millisecond)
	i.True(h.Ready("e", 900*time.Millisecond))
	i.True(!h.Ready("e", time.Second))
	h.Accept("c", p, 0, 3*time.Second)
	i.True(!h.Ready("e", 3*time.Second))
	i.Equal(h.Held(3*time.Second), 0)
}

// Guards against a limit of which only the fixed part is set, and which is ignored.
func TestSlackAloneIsALimit(t *testing.T) {
	i := is.New(t)
	i.True(warmup.Limits{Slack: 5}.On())
	i.True(!warmup.Limits{}.On())
	n, _ := lent(warmup.Limits{Slack: 5}, 1, 3)
	i.Equal(n, 3)
}
