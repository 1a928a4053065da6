package sizes_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/sizes"
)

func ask() sizes.Ask {
	return sizes.Ask{
		Waits:    []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second},
		Attempts: 3, Left: 2800 * time.Millisecond,
	}
}

func TestDoubtedAnswerGoesToTheLargest(t *testing.T) {
	i := is.New(t)
	n, ok := sizes.Next(ask(), 0, 10)
	i.True(ok)
	i.Equal(n, 2)
	_, ok = sizes.Next(ask(), 0, 95)
	i.True(!ok)
	_, ok = sizes.Next(ask(), 2, 10)
	i.True(!ok)
}

// A long prompt on the largest model would begin to answer too late.
func TestLongPromptTakesTheSizeThatAnswersInTime(t *testing.T) {
	i := is.New(t)
	a := ask()
	a.Waits[2] = 3 * time.Second
	n, ok := sizes.Next(a, 0, 10)
	i.True(ok)
	i.Equal(n, 1)
	a.Left = 200 * time.Millisecond
	_, ok = sizes.Next(a, 0, 10)
	i.True(!ok)
}

func TestLastAttemptIsKept(t *testing.T) {
	i := is.New(t)
	a := ask()
	a.Attempts = 1
	_, ok := sizes.Next(a, 0, 0)
	i.True(!ok)
}

func TestFullPoolKeepsItsAnswers(t *testing.T) {
	i := is.New(t)
	a := ask()
	a.Load = 2
	_, ok := sizes.Next(a, 0, 1)
	i.True(!ok)
}
