package tiers_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/tiers"
)

// ask is a long prompt of the highest rank on an idle pool.
func ask() tiers.Request {
	return tiers.Request{
		Tiers: []tiers.Tier{
			{Wait: 80 * time.Millisecond, Work: 55 * time.Millisecond, Price: 0.06},
			{Wait: 170 * time.Millisecond, Work: 145 * time.Millisecond, Price: 0.47},
			{Wait: 570 * time.Millisecond, Work: 545 * time.Millisecond, Price: 0.9},
		},
		RelativeSize: 1, AttemptsLeft: 3, TimeLeft: 2900 * time.Millisecond,
	}
}

// keepThreshold is the confidence from which an answer of the smallest size is kept.
func keepThreshold(a tiers.Request) int {
	for c := range 101 {
		if _, ok := tiers.Next(a, 0, c); !ok {
			return c
		}
	}
	return 101
}

func TestDoubtedAnswerGoesToTheLargest(t *testing.T) {
	i := is.New(t)
	i.Equal(tiers.First(ask()), 0)
	n, ok := tiers.Next(ask(), 0, 10)
	i.True(ok)
	i.Equal(n, 2)
	_, ok = tiers.Next(ask(), 0, 95)
	i.True(!ok)
	_, ok = tiers.Next(ask(), 2, 10)
	i.True(!ok)
	i.True(keepThreshold(ask()) > 50)
}

// A burst fills the endpoints: less is asked for again, and first what is worth little for its work.
func TestBusyPoolKeepsMoreAnswers(t *testing.T) {
	i := is.New(t)
	b := 101
	for _, l := range []time.Duration{0, 300 * time.Millisecond, time.Second, 3 * time.Second} {
		a := ask()
		a.Backlog = l
		i.True(keepThreshold(a) <= b)
		b = keepThreshold(a)
	}
	i.Equal(b, 0)
	a := ask()
	a.Backlog = 400 * time.Millisecond
	i.True(keepThreshold(a) > 40)
	a.Priority = 2 // the same work for the lowest rank
	i.Equal(keepThreshold(a), 0)
}

// A long prompt on the largest model would begin to answer too late.
func TestLateAnswerIsNotAskedFor(t *testing.T) {
	i := is.New(t)
	a := ask()
	a.TimeLeft = 400 * time.Millisecond
	n, ok := tiers.Next(a, 0, 35)
	i.True(!ok || n != 2)
}

// Asking both sizes of a long prompt in turn would make its answer late.
func TestLongPromptGoesToTheLargestAtOnce(t *testing.T) {
	i := is.New(t)
	a := ask()
	a.RelativeSize = 4
	for k := range a.Tiers {
		a.Tiers[k].Wait *= 4
		a.Tiers[k].Work *= 4
		a.Tiers[k].Price *= 3
	}
	i.Equal(tiers.First(a), 2)
	a.Backlog = 2 * time.Second // not while the pool is full
	i.Equal(tiers.First(a), 0)
}

func TestLastAttemptIsKept(t *testing.T) {
	i := is.New(t)
	a := ask()
	a.AttemptsLeft = 1
	_, ok := tiers.Next(a, 0, 0)
	i.True(!ok)
}
