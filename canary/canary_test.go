package canary_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/canary"
)

const (
	exposure = 0.15
	slack    = 30
	perSec   = 66
	budget   = 24 * time.Second
)

// rollout is the rollout of a simulation.
var rollout = canary.Rollout{Service: "s", Target: "v2", Budget: budget, Serial: 9}

// bound is the exposure bound that most tests use.
var bound = canary.Exposure{Share: exposure, Slack: slack}

// simulation describes the versions of a simulated service. failure returns the probability that the new version
// fails and the factor by which it is slower, for a time since the order, a kind of request and the version's share
// of the traffic.
type simulation struct {
	failure func(at time.Duration, kind string, share float64) (chance, slower float64)
	// broken is the number of an endpoint of the new version that fails on its own, or -1 for none.
	broken int
	// exposure is the exposure bound; 0 means the constant exposure.
	exposure float64
	// load is the factor by which the other versions are slower because of a backlog that the estimates include; 0
	// means 1.
	load float64
	// slow is the number of endpoints of the new version that are four times slower on their own.
	slow int
}

// answer is an answer that arrives at a later time.
type answer struct {
	at    time.Duration
	tally canary.Tally
	wait  time.Duration
	// expected is the estimate of the wait.
	expected time.Duration
	failed   bool
}

// simulate runs a rollout in which all requests belong to sessions. It returns the outcome, its time, and the
// number of requests that went to the new version.
func simulate(w simulation, seed uint64) (o canary.Outcome, at time.Duration, exposed int) {
	const tick = 100 * time.Millisecond
	r := rollout
	x := canary.Exposure{Share: cmp.Or(w.exposure, exposure), Slack: slack}
	d := rand.New(rand.NewPCG(seed, 1))
	m := map[string]canary.Tally{}
	var l []answer
	for at = 0; at < 2*budget; at += tick {
		l = collect(m, l, at)
		e := canary.Assess(r, slices.Collect(maps.Values(m)))
		if o, _, ok := canary.Decide(r, at, x, e, canary.EndpointCounts{Target: 12, Others: 12}); ok {
			return o, at, exposed
		}
		p := canary.Traffic(r, at, x, e)
		for range int(perSec * tick.Seconds()) {
			a := w.ask(d, p, at)
			if a.tally.Version == "v2" {
				exposed++
			}
			l = append(l, a)
		}
	}
	return canary.Running, at, exposed
}

// collect adds the answers that have arrived to the tallies and returns the remaining ones.
func collect(m map[string]canary.Tally, l []answer, now time.Duration) []answer {
	return slices.DeleteFunc(l, func(a answer) bool {
		if a.at > now {
			return false
		}
		t := a.tally
		if o, ok := m[t.Key()]; ok {
			t = o
		}
		m[t.Key()] = t.WithAnswer(a.failed, a.wait, a.expected)
		return true
	})
}

// ask sends a request according to a plan and returns its answer. Requests of kind 2 go to a large model with ten
// times the wait.
func (w simulation) ask(d *rand.Rand, p canary.Plan, at time.Duration) answer {
	t := canary.Tally{Serial: 9, Version: "v1", Endpoint: fmt.Sprint(d.IntN(12)), Kind: fmt.Sprint(d.IntN(3))}
	f, s := 0.01, 1.0
	if d.Float64() < p.Bound {
		t.Version = "v2"
		f, s = w.failure(at, t.Kind, p.Bound)
		if w.broken >= 0 && t.Endpoint == fmt.Sprint(w.broken) {
			f = 0.9
		}
	}
	k := cmp.Or(w.load, 1)
	if t.Version == "v2" {
		k = 1
		if n, err := strconv.Atoi(t.Endpoint); err == nil && n < w.slow {
			s *= 4
		}
	}
	e := time.Duration(50 * k * float64(time.Millisecond))
	v := time.Duration((20 + 60*d.Float64()) * s * k * float64(time.Millisecond))
	if t.Kind == "2" {
		v *= 10
		e *= 10
	}
	t.Slice = rollout.Slice(at + v)
	return answer{at: at + v, tally: t, wait: v, expected: e, failed: d.Float64() < f}
}

func TestBadVersionsAreRolledBackWithinExposureBound(t *testing.T) {
	for n, f := range map[string]func(time.Duration, string, float64) (float64, float64){
		"errors": func(time.Duration, string, float64) (float64, float64) { return 0.4, 1 },
		"slow":   func(time.Duration, string, float64) (float64, float64) { return 0.01, 8 },
		"slow half of the time": func(a time.Duration, _ string, _ float64) (float64, float64) {
			return 0.01, 1 + 7*float64(a/(100*time.Millisecond)%2)
		},
		"errors after 3 seconds": func(a time.Duration, _ string, _ float64) (float64, float64) {
			return failureChance(a > 3*time.Second, 0.4), 1
		},
		"errors in the ramp": func(a time.Duration, _ string, _ float64) (float64, float64) {
			return failureChance(a > 16*time.Second, 0.4), 1
		},
		"errors under load":   func(_ time.Duration, _ string, s float64) (float64, float64) { return failureChance(s > 0.4, 0.4), 1 },
		"errors on one route": func(_ time.Duration, r string, _ float64) (float64, float64) { return failureChance(r == "1", 0.5), 1 },
	} {
		t.Run(n, func(t *testing.T) {
			for s := range uint64(60) {
				i := is.New(t)
				o, a, k := simulate(simulation{failure: f, broken: -1}, s)
				i.Equal(o, canary.RolledBack)
				if a >= budget {
					t.Log(s, a, o, k)
				}
				i.True(a < budget)
				i.True(float64(k) <= exposure*perSec*budget.Seconds()+slack) // exposed requests
			}
		})
	}
}

// The other versions have a backlog and the new version has none, so that the waits of the slow new version are no
// longer than the waits of the others. Only the comparison with the estimates shows that the version is slow.
func TestSlowVersionIsRolledBackIfOthersAreLoaded(t *testing.T) {
	for s := range uint64(60) {
		i := is.New(t)
		w := simulation{failure: func(time.Duration, string, float64) (float64, float64) { return 0.01, 2.3 }, broken: -1, load: 2.5}
		o, a, _ := simulate(w, s)
		i.Equal(o, canary.RolledBack)
		i.True(a < budget*9/10) // before the ramp
	}
}

func failureChance(bad bool, chance float64) float64 {
	if bad {
		return chance
	}
	return 0.01
}

func TestGoodVersionIsPromotedWithinBudget(t *testing.T) {
	for _, broken := range []int{-1, 3} { // a broken endpoint doesn't count against its version
		for s := range uint64(60) {
			i := is.New(t)
			for _, slow := range []int{0, 2} {
				o, a, _ := simulate(simulation{failure: func(time.Duration, string, float64) (float64, float64) { return 0.01, 1 }, broken: broken, slow: slow}, s)
				i.Equal(o, canary.Done)
				i.True(a < budget)
			}
		}
	}
}

// A version that is bad only under a load that never occurs is promoted, but not before the exposure bound allows
// it.
func TestExposureStaysWithinBoundWithoutEvidence(t *testing.T) {
	for _, x := range []float64{0.05, exposure, 0.3} {
		for s := range uint64(60) {
			i := is.New(t)
			w := simulation{failure: func(time.Duration, string, float64) (float64, float64) { return 0.01, 1 }, broken: -1, exposure: x}
			o, a, k := simulate(w, s)
			i.Equal(o, canary.Done)
			b := (budget - a).Seconds() * perSec                    // requests until the budget ends
			i.True(float64(k)+b <= x*perSec*budget.Seconds()+slack) // exposed requests
		}
	}
}

func TestSessionsStayOnOldVersionForFirstHalf(t *testing.T) {
	i := is.New(t)
	r := canary.Rollout{Budget: budget}
	i.Equal(canary.Traffic(r, budget/2-1, bound, canary.Assessment{}).Bound, 0.0)
	i.True(canary.Traffic(r, budget/2-1, bound, canary.Assessment{}).Fresh < exposure)
}

func TestRolloutWithoutEndpointsIsRolledBack(t *testing.T) {
	i := is.New(t)
	o, _, ok := canary.Decide(canary.Rollout{Budget: budget}, budget, bound, canary.Assessment{}, canary.EndpointCounts{Others: 3})
	i.True(ok)
	i.Equal(o, canary.RolledBack)
}
