package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/limit"
)

var epoch = time.Unix(1000, 0)

// Guards against a herd that returns at once to an endpoint that has asked for rest.
func TestReturnAfterRestIsGentle(t *testing.T) {
	i := is.New(t)
	var r limit.Rest
	i.True(r.Allows(1000, epoch))
	r = r.WithAsked(3*time.Second, epoch)
	i.True(!r.Allows(0, epoch.Add(2999*time.Millisecond)))
	r = r.WithAnswer(epoch.Add(time.Second)) // to a request from before
	i.True(!r.Allows(0, epoch.Add(2*time.Second)))
	n := epoch.Add(3 * time.Second)
	i.Equal(r.Left(n), time.Duration(0))
	for _, k := range []int{1, 2, 4, 8, 16, 32, 64} {
		i.True(r.Allows(k-1, n))
		i.True(!r.Allows(k, n))
		r = r.WithAnswer(n)
	}
	i.Equal(r, limit.Rest{})
}

func TestRestAskedForAgain(t *testing.T) {
	i := is.New(t)
	r := limit.Rest{}.WithAsked(3*time.Second, epoch).WithAsked(time.Second, epoch.Add(time.Second))
	i.Equal(r.Left(epoch.Add(time.Second)), 2*time.Second) // a shorter rest doesn't end a longer one
	r = r.WithAnswer(epoch.Add(4*time.Second)).WithAsked(time.Second, epoch.Add(4*time.Second))
	i.True(!r.Allows(0, epoch.Add(4500*time.Millisecond)))
	i.True(!r.Allows(1, epoch.Add(5*time.Second)))
}
