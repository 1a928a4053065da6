package shed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// gain is by how much more requests have to be in time with shedding where demand exceeds capacity throughout.
	gain = 1.25
	// A kind may be served less often than a less urgent one by servedLag at most, and be in time less often by timelyLag. Each kind and
	// account is served a quarter as often as all at least.
	servedLag, timelyLag, leastServed = 0.05, 0.15, 0.25
)

// checkShares checks that no kind and no account is starved, that more urgent kinds are served at least as often as others, and that
// nothing is refused while endpoints have free slots and nothing waits.
func (r *run) checkShares(t *testing.T) {
	t.Helper()
	i := is.New(t)
	t.Logf("least served: %.2f of the mean", r.leastServed())
	i.True(r.leastServed() >= leastServed)
	i.Equal(r.idle, 0)
	served, timely := r.lags()
	i.True(served <= servedLag)
	i.True(timely <= timelyLag)
}

// lags returns by how much a kind is served less often than a less urgent one, and in time less often, at most.
func (r *run) lags() (served, timely float64) {
	for k, a := range r.sorts {
		for _, b := range r.sorts[k+1:] {
			served = max(served, r.bySort[b.name].served()-r.bySort[a.name].served())
			timely = max(timely, r.bySort[b.name].timely()-r.bySort[a.name].timely())
		}
	}
	return served, timely
}

// during returns a factor of demand from 5 s to an end.
func during(factor float64, end time.Duration) func(time.Duration) float64 {
	return func(n time.Duration) float64 {
		if n >= 5*time.Second && n < end {
			return factor
		}
		return 1
	}
}

// Guards against refusals under the usual load, where a short queue at full endpoints passes by itself.
func TestUsualLoadIsServed(t *testing.T) {
	with, _ := usual().both(t)
	i := is.New(t)
	i.True(with.total.timely() >= 0.98)
	i.True(float64(with.total.refused) <= 0.01*float64(with.total.asked))
	i.Equal(with.idle, 0)
}

// Guards against a burst after which all wait so long that hardly a request is in time, and against kinds that are starved in it.
func TestBurstOfFourTimesTheUsual(t *testing.T) {
	s := usual()
	s.factor = during(4, 12*time.Second)
	with, without := s.both(t)
	is.New(t).True(with.total.timely() >= gain*without.total.timely())
	with.checkShares(t)
}

// Guards against one account whose demand takes the place of the others.
func TestAccountWithSixTimesItsUsual(t *testing.T) {
	s := usual()
	s.accountFactor = func(a int, _ string) float64 {
		if a == 0 {
			return 6
		}
		return 1
	}
	s.factor = func(time.Duration) float64 { return 17.0 / 12 * 1.3 }
	with, without := s.both(t)
	i := is.New(t)
	i.True(with.total.timely() >= gain*without.total.timely())
	with.checkShares(t)
	for a := 1; a < s.accounts; a++ {
		i.True(with.byAccount[a].served() > with.byAccount[0].served())
		i.True(with.byAccount[a].timely() > without.byAccount[a].timely())
	}
}

// Guards against one key that takes a quarter of a kind from the others, or loses its own share of it.
func TestKeyWithQuarterOfKind(t *testing.T) {
	s := usual()
	s.accountFactor = func(a int, kind string) float64 {
		if a == 0 && kind == "tag" {
			return float64(s.accounts-1) / 3
		}
		return 1
	}
	s.factor = during(2, 20*time.Second)
	with, without := s.both(t)
	is.New(t).True(with.total.timely() >= gain*without.total.timely())
	with.checkShares(t)
}

// Guards against endpoints that are left after the loss of others and answer all too late.
func TestLossOfDataCentre(t *testing.T) {
	s := usual()
	s.cutAt = 5 * time.Second
	with, without := s.both(t)
	is.New(t).True(with.total.timely() >= gain*without.total.timely())
	with.checkShares(t)
}

// Guards against hosts that know nothing of each other and refuse, or queue, more than without shedding.
func TestAllHostsStartIntoWaitingCallers(t *testing.T) {
	s := usual()
	s.startAt = 5 * time.Second
	with, without := s.both(t)
	i := is.New(t)
	i.True(with.total.timely() >= without.total.timely())
	i.True(with.leastServed() >= leastServed)
	i.Equal(with.idle, 0)
	// Hosts that hear of no other one yet fill all endpoints each. Those kinds lag then whose objective and deadline are short, whatever
	// is decided later, but by less than without shedding.
	served, timely := with.lags()
	servedBefore, timelyBefore := without.lags()
	t.Logf("a less urgent kind is served more often by %.2f and in time by %.2f, by %.2f and %.2f without shedding", served, timely, servedBefore, timelyBefore)
	i.True(served <= servedBefore)
	i.True(timely <= timelyBefore)
}

// Guards against callers that come back at once and often, by which refusals make more load, and against those that gain by it.
func TestCallersThatRetryAtOnceAndOften(t *testing.T) {
	s := usual()
	s.impatient, s.retries = true, 10
	s.factor = during(2, 20*time.Second)
	with, without := s.both(t)
	is.New(t).True(with.total.timely() >= gain*without.total.timely())
	with.checkShares(t)
}

// Guards against decisions that need what others know: the demand of the fleet is old, or never comes.
func TestStaleKnowledgeOfFleet(t *testing.T) {
	for _, d := range []time.Duration{0, time.Second, 10 * time.Second, time.Hour} {
		t.Run(fmt.Sprint(d), func(t *testing.T) {
			s := usual()
			s.stale = d
			s.factor = during(2, 20*time.Second)
			with, without := s.both(t)
			is.New(t).True(with.total.timely() >= gain*without.total.timely())
			with.checkShares(t)
		})
	}
}
