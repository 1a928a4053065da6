package budget_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/budget"
)

// demandSeeds returns the number of seeds of the runs with demand, 1 unless BUDGET_SEEDS names another one.
func demandSeeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("BUDGET_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 1
}

// Guards against pieces beyond the balance caps that exceed the bound with the shares and starting balances lent at other times: hosts
// make all retries that they may from a time on, at the start of the deployment and after starts and losses of hosts and control hosts.
func TestRetriesLentOnDemandStayWithinBound(t *testing.T) {
	starts := []time.Duration{20 * time.Second, 24 * time.Second, 31 * time.Second}
	for _, f := range []fleet{
		{},
		{hostStarts: starts},
		{controlStarts: starts},
		{hostStarts: starts, controlStarts: starts[1:]},
		{lost: 0.2, moves: 0.05},
		{hostStarts: starts, lost: 0.1, moves: 0.1},
		{mixed: true},
		{mixed: true, hostStarts: starts, controlStarts: starts, moves: 0.05},
	} {
		for _, c := range []struct {
			hosts, controls int
			perSec          float64
		}{{9, 1, 3}, {9, 3, 30}, {60, 5, 100}} {
			for _, from := range []time.Duration{0, 2 * time.Second, 4500 * time.Millisecond, 7 * time.Second, 19 * time.Second} {
				f.hosts, f.controls, f.perSec, f.from = c.hosts, c.controls, c.perSec/float64(c.hosts), from
				f.checkDemand(t)
			}
		}
	}
}

// Guards against deposits that are used beyond the balance caps: requests come in pulses more than a window apart, and the retries of one are made
// shortly after it, those of the next at once, so that one window holds the retries of both.
func TestRetriesOfPulsesStayWithinBound(t *testing.T) { checkPulses(t, step) }

// Guards against the same with what others can't keep of a pulse, which is lent within some 100 ms after it.
func TestLentRetriesOfPulsesStayWithinBound(t *testing.T) { checkPulses(t, time.Second) }

// checkPulses checks the bound where the retries of a pulse are made for a time.
func checkPulses(t *testing.T, last time.Duration) {
	const first, next = 20 * time.Second, 30050 * time.Millisecond
	for _, c := range []struct {
		hosts, requests int
		slack           float64
	}{{75, 600, 190}, {75, 1500, 190}, {9, 200, 58}} {
		f := fleet{hosts: c.hosts, controls: 3, length: 32 * time.Second}
		f.Limits = budget.Limits{Ratio: 0.9, Slack: c.slack, Window: window}
		from := first + 200*time.Millisecond
		f.pulses = []pulse{{c.requests, first, from, from + last}, {c.requests, next, next, next + time.Second}}
		m := f.run(1)
		t.Logf("%d hosts, %d requests: %d retries", c.hosts, c.requests, len(m.uses.retries))
		t.Run(fmt.Sprintf("%d hosts, %d requests", c.hosts, c.requests), func(t *testing.T) { m.uses.check(t, f.Limits, 1) })
	}
}

// checkDemand checks the bound and the sum of the shares for hosts that make all retries that they may.
func (f fleet) checkDemand(t *testing.T) {
	t.Helper()
	f.faults, f.greedy = manyRetries, true
	f.Limits = budget.Limits{Ratio: 0.9, Slack: 58, Window: window}
	f.length = 45 * time.Second
	for seed := range demandSeeds() {
		m := f.run(seed)
		t.Logf("%d hosts, %d control hosts, from %v, seed %d: %d retries, %d requests", f.hosts, f.controls, f.from, seed, len(m.uses.retries), len(m.uses.requests))
		m.uses.check(t, f.Limits, max(1, len(m.uses.retries)/200))
		is.New(t).True(m.mostShares <= f.lendable()+rounding)
	}
}

// borrowed is what one of several hosts has from a pool: a share, and when pieces were granted to it.
type borrowed struct {
	budget.Loan
	asks bool
}

// granted is a piece, and share the sum of all shares at a time.
type (
	granted struct {
		part float64
		at   time.Duration
	}
	shareSum struct {
		share float64
		at    time.Duration
	}
)

// Guards against a pool that lends a part of the slack as a share and, to be used in the same window, as a piece. Hosts come, ask for shares
// only or for pieces too, and go.
func TestPiecesAndSharesOfWindowAreWithinPart(t *testing.T) {
	const slackShare, lease, part = 0.75, 4 * time.Second, 0.25
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 5))
		p := budget.NewPool(0)
		hosts := make([]borrowed, 8)
		var pieces []granted
		var sums []shareSum
		for now := time.Duration(0); now < 2*time.Minute; now += exchangeEvery {
			for k := range hosts {
				h := &hosts[k]
				if r.IntN(60) == 0 {
					h.asks = !h.asks
				}
				if silent := k > 0 && int(now/(7*time.Second))%len(hosts) < k; silent {
					continue
				}
				q := budget.Request{Host: strconv.Itoa(k), Begin: now == 0, Controls: 3, New: true, Window: window, Holding: budget.Holding{AskedAt: now}}
				if now < h.AskedAt+lease {
					q.Holding.Share = h.Share
				}
				if h.asks {
					q.Statements = map[string]budget.Statement{"s": {OnDemand: true, Lacks: 0.01, Likes: 0.02}}
				}
				h.Loan, _ = p.Exchange(q, now)
				if g := h.Pieces["s"]; g > 0 {
					pieces = append(pieces, granted{g, now})
				}
				n := 0.0
				for _, o := range hosts {
					if now < o.AskedAt+lease {
						n += o.Share
					}
				}
				sums = append(sums, shareSum{n, now})
			}
		}
		for _, s := range sums {
			n := slackShare * s.share
			for _, g := range pieces {
				if g.at > s.at-lease && g.at < s.at+window {
					n += g.part
				}
			}
			if n > slackShare*part+rounding {
				t.Fatalf("seed %d: %.4f of the slack in the window from %v, %.4f as shares", seed, n, s.at, slackShare*s.share)
			}
		}
		is.New(t).True(len(pieces) > 0)
	}
}
