package relay

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/pick"
)

const (
	// placePatience is how long a request waits at most for a place at an endpoint of a brittle service, and placeRecheck after how long it
	// looks again though none was freed: hosts may have places in turns.
	placePatience = 300 * time.Millisecond
	placeRecheck  = 50 * time.Millisecond
)

// awaitPlace waits until a place may be free at an endpoint of a brittle service. It returns false if the request has waited for
// placePatience, may not wait as many others do, or couldn't be answered after it.
func (j *job) awaitPlace(q pick.Request) bool {
	now := time.Now()
	if j.placeUntil.IsZero() {
		j.placeUntil = now.Add(min(placePatience, time.Until(j.deadline)-j.holdTime()))
	}
	w := min(placeRecheck, j.placeUntil.Sub(now))
	if w <= 0 {
		return false
	}
	c, leave, ok := j.relay.Endpoints.AwaitPlace(q.Service, now)
	if !ok {
		return false
	}
	defer leave()
	t := time.NewTimer(w)
	defer t.Stop()
	select {
	case <-c:
	case <-t.C:
	case <-j.context.Done():
		return false
	}
	return true
}
