package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// maxSharedWork is how long a silent endpoint may work on at a stream with which another one has gone on.
const maxSharedWork = 400 * time.Millisecond

// Guards against TWICE at hosts short of processor time: the events of a silent endpoint and of the one that was asked beside it come
// at the same time, and the silent one goes on though the other one has run.
func TestEndpointThatHasSentAnEventGoesOnBesideASilentOne(t *testing.T) {
	for range 20 { // which event is read first is up to the scheduler
		for _, before := range []int{0, 2} {
			inSynctest(t, func(_ *testing.T, i *is.I) {
				s, first, other := overlap{before, 3000 * time.Millisecond, 3000 * time.Millisecond}.serve()
				synctest.Wait()
				i.Equal(s.body.String(), events(1, 60))
				i.True(len(other.made) > 0)
				i.True(len(first.made) == 0 || first.made[len(first.made)-1].Sub(other.made[0]) <= maxSharedWork)
			})
		}
	}
}
