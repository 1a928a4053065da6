package tiers_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickoryshelf/hickoryshelf/tiers"
)

// chooser returns a chooser with the default weights.
func chooser() tiers.Chooser { return tiers.NewChooser(tiers.DefaultWeights()) }

// request returns a request with a long prompt, without a queue at the endpoints, on a route whose requests are all like
// it.
func request() tiers.Request {
	r := tiers.Request{
		Tiers: []tiers.Tier{
			{Wait: 80 * time.Millisecond, Work: 55 * time.Millisecond, Price: 0.06},
			{Wait: 170 * time.Millisecond, Work: 145 * time.Millisecond, Price: 0.47},
			{Wait: 570 * time.Millisecond, Work: 545 * time.Millisecond, Price: 0.9},
		},
		Errors: tiers.NewErrorRates(3), AttemptsLeft: 3, TimeLeft: 2900 * time.Millisecond,
	}
	r.Demand = r.Demand.WithRequest(chooser().Value(r.Tiers))
	return r
}

// keepThreshold returns the lowest confidence at which an answer of the smallest tier is kept, or 101 if there is none.
func keepThreshold(a tiers.Request) int {
	for c := range 101 {
		if _, ok := chooser().Next(a, 0, c); !ok {
			return c
		}
	}
	return 101
}

func TestLowConfidenceEscalatesToLargestTier(t *testing.T) {
	i := is.New(t)
	i.Equal(chooser().First(request()), 0)
	n, ok := chooser().Next(request(), 0, 10)
	i.True(ok)
	i.Equal(n, 2)
	_, ok = chooser().Next(request(), 0, 95)
	i.True(!ok)
	_, ok = chooser().Next(request(), 2, 10)
	i.True(!ok)
	i.True(keepThreshold(request()) > 50)
}

// As a burst fills the endpoints, fewer requests escalate. Those with the least value for their work stop first.
func TestBurstReducesEscalation(t *testing.T) {
	i := is.New(t)
	b := 101
	for _, l := range []time.Duration{0, 300 * time.Millisecond, time.Second, 3 * time.Second} {
		a := request()
		a.Queue = l
		i.True(keepThreshold(a) <= b)
		b = keepThreshold(a)
	}
	i.Equal(b, 0)
	a := request()
	a.Queue = 200 * time.Millisecond
	i.True(keepThreshold(a) > 40)
	for k := range a.Tiers {
		a.Tiers[k].Work *= 8 // the same value for more work
	}
	i.Equal(keepThreshold(a), 0)
}

// Customers price their models in units of their own. Decisions don't depend on the unit.
func TestDecisionsDoNotDependOnTheUnitOfPrices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := request(), request()
		a.Queue = time.Duration(rapid.IntRange(0, 2000).Draw(t, "queue")) * time.Millisecond
		b.Queue = a.Queue
		f := rapid.Float64Range(0.01, 100).Draw(t, "factor")
		for k := range b.Tiers {
			b.Tiers[k].Price *= f
		}
		b.Demand = tiers.Demand{}.WithRequest(chooser().Value(b.Tiers))
		c := rapid.IntRange(0, 100).Draw(t, "confidence")
		n, ok := chooser().Next(a, 0, c)
		m, oc := chooser().Next(b, 0, c)
		if ok != oc || ok && n != m || chooser().First(a) != chooser().First(b) {
			t.Fatalf("%d %v, with prices times %f %d %v", n, ok, f, m, oc)
		}
	})
}

// The largest model would begin to answer a long prompt too late.
func TestNoEscalationToTierThatIsTooLate(t *testing.T) {
	i := is.New(t)
	a := request()
	a.TimeLeft = 300 * time.Millisecond
	n, ok := chooser().Next(a, 0, 35)
	i.True(!ok || n != 2)
}

// Asking the smallest tier and then the largest would make the answer to a long prompt late.
func TestLongPromptStartsAtLargestTier(t *testing.T) {
	i := is.New(t)
	a := request()
	for k := range a.Tiers {
		a.Tiers[k].Wait *= 4
		a.Tiers[k].Work *= 4
		a.Tiers[k].Price *= 3
	}
	a.TimeLeft = 3600 * time.Millisecond
	a.Tiers[0].Wait, a.Tiers[1].Wait = 2500*time.Millisecond, 2500*time.Millisecond
	for range 400 {
		a.Errors = a.Errors.WithFirst(0, 0.45).WithFirst(1, 0.4)
	}
	i.Equal(chooser().First(a), 2)
	a.Queue = 2 * time.Second // the queue makes the largest tier too expensive
	i.Equal(chooser().First(a), 0)
}

func TestLastAttemptIsNotEscalated(t *testing.T) {
	i := is.New(t)
	a := request()
	a.AttemptsLeft = 1
	_, ok := chooser().Next(a, 0, 0)
	i.True(!ok)
}

// Models that cost nothing are all free: a request with one attempt gets the largest, which is right most often.
func TestFreeModelsStartAtLargestTier(t *testing.T) {
	i := is.New(t)
	a := request()
	a.AttemptsLeft = 1
	for k := range a.Tiers {
		a.Tiers[k].Price = 0
	}
	i.Equal(chooser().First(a), 2)
}

// A middle model that knows nothing that the smallest doesn't is tried at first, and no longer once its answers show it.
func TestUselessMiddleTierIsSkippedOnceKnown(t *testing.T) {
	i := is.New(t)
	a := request()
	a.Tiers[2].Wait = 10 * time.Second // too late
	n, ok := chooser().Next(a, 0, 5)
	i.True(ok)
	i.Equal(n, 1)
	for range 200 {
		a.Errors = a.Errors.WithEscalation(0, 1, 0.95, 0.95)
	}
	n, ok = chooser().Next(a, 0, 5)
	i.True(!ok || n != 1)
	for range 800 { // the model gets better
		a.Errors = a.Errors.WithEscalation(0, 1, 0.95, 0.1)
	}
	n, ok = chooser().Next(a, 0, 5)
	i.True(ok)
	i.Equal(n, 1)
}

// A larger model answers first where the smallest is nearly always wrong, as its own reports show.
func TestHopelessSmallestTierIsSkippedOnceKnown(t *testing.T) {
	i := is.New(t)
	a := request()
	i.Equal(chooser().First(a), 0)
	for range 400 {
		a.Errors = a.Errors.WithFirst(0, 0.99)
	}
	i.True(chooser().First(a) > 0)
}
