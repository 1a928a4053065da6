package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/limit"
	"github.com/hickoryshelf/hickoryshelf/pick"
)

const (
	// limitWindow is a span in which an endpoint may get one and a half times what its limit allows, and limitSlack more.
	limitWindow = 4 * time.Second
	limitSlack  = 5
	// limitNotice is the time that the hosts have to take notice of a limit.
	limitNotice = 3 * time.Second
	// exchangeInterval is the time between two exchanges of a host with a control host.
	exchangeInterval = 150 * time.Millisecond
	limitTick        = 10 * time.Millisecond
	answerTime       = 50 * time.Millisecond
)

// limitedFleet models entry hosts that send all they get to one endpoint, and a control host that passes limits on.
type limitedFleet struct {
	random *rand.Rand
	hosts  []*limitedHost
	// named returns the limit that the endpoint names at a time.
	named func(at time.Duration) limit.Rate
	// perSec is the number of requests a second that all hosts get.
	perSec float64
	sent   []time.Duration
	limits map[string]ctlrpc.Limit
	// limitsAt is when the control host last merged reports into limits.
	limitsAt time.Time
	// restart is when the control host forgets all limits and hosts, unless it is 0.
	restart time.Duration
}

type limitedHost struct {
	name     string
	set      *pick.Set
	exchange time.Duration
	// from and to bound the life of the host. cutFrom and cutTo bound the time without exchanges.
	from, to, cutFrom, cutTo time.Duration
	lastExchange             time.Duration
	answers                  []time.Duration
}

func newLimitedFleet(n int, perSec float64, named func(time.Duration) limit.Rate, seed uint64) *limitedFleet {
	f := &limitedFleet{random: rand.New(rand.NewPCG(seed, 3)), named: named, perSec: perSec}
	for k := range n {
		s := pick.NewSet("a")
		s.Replace([]fleet.Report{{ID: "e", Service: "s", DataCentre: "a", Address: "e", Version: "v1", Sequence: 1}})
		f.hosts = append(f.hosts, &limitedHost{
			name: fmt.Sprint("h", k), set: s, to: time.Hour, exchange: time.Duration(f.random.Int64N(int64(exchangeInterval))),
		})
	}
	return f
}

// alive reports whether the host runs at a time.
func (h *limitedHost) alive(at time.Duration) bool { return at >= h.from && at < h.to }

// run plays the fleet for a time.
func (f *limitedFleet) run(length time.Duration) {
	for t := time.Duration(0); t < length; t += limitTick {
		if t == f.restart {
			f.limits = nil
		}
		for _, h := range f.hosts {
			if h.alive(t) {
				f.tick(h, t)
			}
		}
	}
}

// tick plays one host for limitTick.
func (f *limitedFleet) tick(h *limitedHost, t time.Duration) {
	x := epoch.Add(t)
	for len(h.answers) > 0 && h.answers[0] <= t {
		h.set.RecordAsks("e", pick.Direct, pick.Asks{Limit: f.named(h.answers[0])}, x)
		h.set.AnswerStarted("e", 0)
		h.set.RequestEnded("e")
		h.answers = h.answers[1:]
	}
	if t >= h.exchange && (t < h.cutFrom || t >= h.cutTo) {
		h.exchange = t + exchangeInterval
		h.lastExchange = t
		f.exchange(h, t)
	}
	n := f.perSec * limitTick.Seconds() / float64(len(f.hosts))
	if f.random.Float64() >= n {
		return
	}
	if _, ok := h.set.Choose(pick.Request{Service: "s"}, x); ok {
		f.sent = append(f.sent, t)
		h.answers = append(h.answers, t+answerTime)
	}
}

// exchange passes the limits and names that a control host knows to a host, and takes the host's limits.
func (f *limitedFleet) exchange(h *limitedHost, t time.Duration) {
	x := epoch.Add(t)
	m := map[string]ctlrpc.Limit{}
	for k, l := range f.limits {
		l.Age += x.Sub(f.limitsAt)
		m[k] = l
	}
	for k, l := range h.set.Limits(x) {
		if o, ok := m[k]; !ok || l.Age < o.Age {
			m[k] = l
		}
	}
	h.set.MergeLimits(m, x)
	f.limits, f.limitsAt = m, x
	var l []string
	for _, o := range f.hosts {
		if o.alive(o.lastExchange) && o.lastExchange >= max(o.from, f.knownSince(t)) && t-o.lastExchange < 3*time.Second {
			l = append(l, o.name)
		}
	}
	h.set.SetHosts(h.name, l, x)
}

// knownSince returns the time since which the control host knows at t what hosts report.
func (f *limitedFleet) knownSince(t time.Duration) time.Duration {
	if t < f.restart {
		return 0
	}
	return f.restart
}

// worst returns the largest number of requests in limitWindow that starts in a time span.
func (f *limitedFleet) worst(from, to time.Duration) int {
	m, j := 0, 0
	for i, s := range f.sent {
		for f.sent[j] <= s-limitWindow {
			j++
		}
		if f.sent[j] >= from && s < to {
			m = max(m, i-j+1)
		}
	}
	return m
}

// count returns the number of requests in a time span.
func (f *limitedFleet) count(from, to time.Duration) int {
	n := 0
	for _, s := range f.sent {
		if s >= from && s < to {
			n++
		}
	}
	return n
}

// Guards against the sum of what hosts send to an endpoint exceeding the limit that it names, or staying far below it, for
// few and many hosts, with hosts that start, die, or lose their control host.
func TestHostsShareNamedLimit(t *testing.T) {
	for _, n := range []int{3, 9, 12, 60} {
		for _, r := range []limit.Rate{0.5, 1.5, 2.3, 10, 40, 200} {
			for _, d := range []bool{false, true} {
				t.Run(fmt.Sprint(n, " hosts, limit ", float64(r), ", disturbed ", d), func(t *testing.T) {
					f := newLimitedFleet(n, 4*float64(r)+20, func(time.Duration) limit.Rate { return r }, 1)
					if d {
						f.hosts[0].to = 12 * time.Second
						f.hosts[1].from = 15 * time.Second
						f.hosts[2].cutFrom, f.hosts[2].cutTo = 20*time.Second, 28*time.Second
					}
					f.run(40 * time.Second)
					if w := f.worst(limitNotice, time.Hour); float64(w) > 1.5*float64(r)*limitWindow.Seconds()+limitSlack {
						t.Errorf("%d requests in %v", w, limitWindow)
					}
					if c := f.count(10*time.Second, 40*time.Second); float64(c) < 0.6*30*float64(r) {
						t.Errorf("%d requests in 30 s", c)
					}
				})
			}
		}
	}
}

// Guards against exceeding a limit, or not using it, when the control host has just started and knows few hosts, and when
// many hosts start at once.
func TestLimitHoldsThroughRestartOfControlHost(t *testing.T) {
	for _, n := range []int{3, 12, 60} {
		for _, r := range []limit.Rate{0.5, 2.3, 10, 40} {
			t.Run(fmt.Sprint(n, " hosts, limit ", float64(r)), func(t *testing.T) {
				f := newLimitedFleet(n, 4*float64(r)+20, func(time.Duration) limit.Rate { return r }, 1)
				f.restart = 15 * time.Second
				for k := range n / 3 {
					f.hosts[k].from = 25 * time.Second
				}
				f.run(40 * time.Second)
				if w := f.worst(limitNotice, time.Hour); float64(w) > 1.5*float64(r)*limitWindow.Seconds()+limitSlack {
					t.Errorf("%d requests in %v", w, limitWindow)
				}
				if c := f.count(10*time.Second, 40*time.Second); float64(c) < 0.6*30*float64(r) {
					t.Errorf("%d requests in 30 s", c)
				}
			})
		}
	}
}

// Guards against obeying a limit that has changed or ended.
func TestLimitChangesAndEnds(t *testing.T) {
	f := newLimitedFleet(12, 60, func(at time.Duration) limit.Rate {
		switch {
		case at < 20*time.Second:
			return 10
		case at < 40*time.Second:
			return 2
		}
		return 0
	}, 1)
	f.run(60 * time.Second)
	if w := f.worst(23*time.Second, 40*time.Second); w > 1.5*2*4+limitSlack {
		t.Errorf("%d requests after the limit has fallen", w)
	}
	if c := f.count(50*time.Second, 60*time.Second); c < 500 {
		t.Errorf("%d requests in 10 s after the limit has ended", c)
	}
}
