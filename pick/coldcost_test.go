package pick_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

// manyEndpoints returns a set of endpoints that are cold for a time, and the number of times that its clock was read.
func manyEndpoints(endpoints int, left time.Duration) (*pick.Set, *int) {
	s, k := pick.NewSet("a"), new(int)
	b := time.Now()
	s.LimitCold(func() time.Duration {
		*k++
		return time.Since(b)
	})
	s.SetColdLimits(map[string]pick.ColdLimit{"s": {Rate: coldRate, Time: coldTime}})
	var r []fleet.Report
	for e := range endpoints {
		r = append(r, coldReport(fmt.Sprint("e", e), 1, 1, left))
	}
	s.Replace(r)
	return s, k
}

// Guards against choices that read the clock for each endpoint, which held the lock for several times as long as the choice itself.
func TestChoiceReadsClockOnceForAllEndpoints(t *testing.T) {
	i := is.New(t)
	for _, left := range []time.Duration{0, time.Second} {
		s, k := manyEndpoints(60, left)
		*k = 0
		_, ok := s.Choose(pick.Request{Service: "s"}, epoch)
		i.Equal(ok, left == 0)
		s.AsksWait(pick.Request{Service: "s"}, epoch)
		i.Equal(*k, 2)
	}
}

func BenchmarkChooseCold(b *testing.B) {
	for _, n := range []int{60, 610} {
		for _, left := range []time.Duration{0, time.Second} {
			b.Run(fmt.Sprint(n, left), func(b *testing.B) {
				s, _ := manyEndpoints(n, left)
				var p []warmup.Permit
				for e := range min(n, 256) {
					p = append(p, warmup.Permit{Endpoint: fmt.Sprint("e", e), Lease: time.Hour, Interval: time.Hour})
				}
				s.AcceptPermits("k", p, 0)
				for range b.N {
					if c, ok := s.Choose(pick.Request{Service: "s"}, epoch); ok {
						s.RequestEnded(c.ID)
					}
				}
			})
		}
	}
}
