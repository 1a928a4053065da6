package tiers_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/tiers"
)

// request returns a request of the highest priority with a long prompt, without a backlog at the endpoints.
func request() tiers.Request {
	return tiers.Request{
		Tiers: []tiers.Tier{
			{Wait: 80 * time.Millisecond, Work: 55 * time.Millisecond, Price: 0.06},
			{Wait: 170 * time.Millisecond, Work: 145 * time.Millisecond, Price: 0.47},
			{Wait: 570 * time.Millisecond, Work: 545 * time.Millisecond, Price: 0.9},
		},
		RelativeSize: 1, AttemptsLeft: 3, TimeLeft: 2900 * time.Millisecond,
	}
}

// keepThreshold returns the lowest confidence at which an answer of the smallest tier is kept, or 101 if there is none.
func keepThreshold(a tiers.Request) int {
	for c := range 101 {
		if _, ok := tiers.Next(a, 0, c); !ok {
			return c
		}
	}
	return 101
}

func TestLowConfidenceEscalatesToLargestTier(t *testing.T) {
	i := is.New(t)
	i.Equal(tiers.First(request()), 0)
	n, ok := tiers.Next(request(), 0, 10)
	i.True(ok)
	i.Equal(n, 2)
	_, ok = tiers.Next(request(), 0, 95)
	i.True(!ok)
	_, ok = tiers.Next(request(), 2, 10)
	i.True(!ok)
	i.True(keepThreshold(request()) > 50)
}

// As a burst fills the endpoints, fewer requests escalate. Those with the least value for their work stop first.
func TestBacklogReducesEscalation(t *testing.T) {
	i := is.New(t)
	b := 101
	for _, l := range []time.Duration{0, 300 * time.Millisecond, time.Second, 3 * time.Second} {
		a := request()
		a.Backlog = l
		i.True(keepThreshold(a) <= b)
		b = keepThreshold(a)
	}
	i.Equal(b, 0)
	a := request()
	a.Backlog = 400 * time.Millisecond
	i.True(keepThreshold(a) > 40)
	a.Priority = 2 // the same work at the lowest priority
	i.Equal(keepThreshold(a), 0)
}

// The largest model would begin to answer a long prompt too late.
func TestNoEscalationToTierThatIsTooLate(t *testing.T) {
	i := is.New(t)
	a := request()
	a.TimeLeft = 400 * time.Millisecond
	n, ok := tiers.Next(a, 0, 35)
	i.True(!ok || n != 2)
}

// Asking the smallest tier and then the largest would make the answer to a long prompt late.
func TestLongPromptStartsAtLargestTier(t *testing.T) {
	i := is.New(t)
	a := request()
	a.RelativeSize = 4
	for k := range a.Tiers {
		a.Tiers[k].Wait *= 4
		a.Tiers[k].Work *= 4
		a.Tiers[k].Price *= 3
	}
	i.Equal(tiers.First(a), 2)
	a.Backlog = 2 * time.Second // the backlog makes the largest tier too expensive
	i.Equal(tiers.First(a), 0)
}

func TestLastAttemptIsNotEscalated(t *testing.T) {
	i := is.New(t)
	a := request()
	a.AttemptsLeft = 1
	_, ok := tiers.Next(a, 0, 0)
	i.True(!ok)
}
