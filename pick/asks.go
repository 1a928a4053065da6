package pick

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/limit"
	"github.com/hickoryshelf/hickoryshelf/reach"
)

// returnWait is when a request may come back if an endpoint takes few at once after a rest.
const returnWait = 100 * time.Millisecond

// Asks is what an endpoint's answer asks of the host that it goes to.
type Asks struct {
	// Limit is the number of requests per second that the endpoint takes from all hosts, or 0 if it names none.
	Limit limit.Rate
	// Brittle is the number of requests that the endpoint may turn away in a second without falling over, or 0 if it names none.
	Brittle limit.Rate
	// Rest is how long the endpoint wants nothing from this host, or 0.
	Rest time.Duration
	// TurnedAway is set if the endpoint didn't run the request.
	TurnedAway bool
	// Leaving is set if the endpoint says that it is about to leave.
	Leaving bool
	// ColdLeft is how much longer the endpoint stays cold after its start, or 0 if the answer doesn't say that it is.
	ColdLeft time.Duration
}

// AsksChange says what an answer has changed.
type AsksChange struct {
	// Limit is set if the limit is another one than before.
	Limit bool
	// Brittle is set if the service's endpoints may turn another number of requests away than before.
	Brittle bool
	// Rest is set if a rest begins, and Returned if the return after one has ended.
	Rest, Returned bool
	// Leaving is set if the endpoint gets no requests from now on because it leaves.
	Leaving bool
}

// RecordAsks records what an endpoint's answer asks for. Rests are kept for each way, since an endpoint asks one host for
// them.
func (s *Set) RecordAsks(id string, way Way, a Asks, now time.Time) AsksChange {
	s.lock.Lock()
	defer s.lock.Unlock()
	var c AsksChange
	n, ok := s.endpoints[id]
	if !ok {
		return c
	}
	s.cold.told(id, a.ColdLeft)
	c.Leaving = a.Leaving && !n.leaving
	if a.Leaving {
		n.leaving = true
		s.leavers[id] = leaver{born: n.report.Born, heardAt: now}
	}
	c.Limit = n.setLimit(n.limit.WithAnswer(a.Limit, now))
	c.Brittle = s.recordBrittle(n, a, now)
	r := &n.rests[way]
	b := r.Left(now)
	switch {
	case a.Rest > 0:
		*r = r.WithAsked(a.Rest, now)
		c.Rest = b == 0
	case !a.TurnedAway:
		o := *r
		*r = r.WithAnswer(now)
		c.Returned = o != limit.Rest{} && *r == limit.Rest{}
	}
	return c
}

// mustRest reports whether the endpoint rests on a way, or takes no more requests at once after a rest.
func (n *endpoint) mustRest(way Way, now time.Time) bool {
	return !n.rests[way].Allows(n.local.Requests+n.relayed, now)
}

// AsksWait is when endpoints that ask for less requests take the next one.
type AsksWait struct {
	// Time is the time until then.
	Time time.Duration
	// Resting is set if endpoints rest, so that the request must not come back sooner.
	Resting bool
	// Cold is set if nothing but cold endpoints, for which this host has no permit, asks for a wait. Others may be out of question, such as
	// those of another version.
	Cold bool
}

// AsksWait returns the time until an endpoint of a service that asks for less requests takes another one. ok is false if
// none that serves the request asks for that.
func (s *Set) AsksWait(q Request, now time.Time) (w AsksWait, ok bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.cold.begin()
	var t limit.Rate
	cold := false
	for _, n := range s.endpoints {
		switch {
		case !n.serves(q.Service):
		case n.mustRest(q.Way, now):
			l := max(returnWait, n.rests[q.Way].Left(now))
			if !w.Resting || l < w.Time {
				w = AsksWait{Time: l, Resting: true}
			}
		case s.lacksPlace(n, now):
			if !w.Resting {
				w = AsksWait{Time: returnWait, Resting: true}
			}
		case !q.Tried[n.report.ID]:
			t += n.limit.Rate
			cold = cold || s.lacksPermit(n, q.Way, now)
		}
	}
	if t == 0 && cold && !w.Resting {
		return AsksWait{Time: coldWait, Cold: true}, true
	}
	if t == 0 {
		return w, w.Resting
	}
	if l := time.Duration(float64(time.Second) / float64(t)); !w.Resting || l < w.Time {
		w = AsksWait{Time: l}
	}
	return w, true
}

// BeginRelay counts a request of another host as in flight at an endpoint, until EndRelay, unless this host must not send
// it: the endpoint isn't known as the same one, takes no requests, its data centre is drained, its link is cut, it is cold, or it rests. rest is the time left of
// its rest, or 0.
func (s *Set) BeginRelay(r fleet.Report, now time.Time) (rest time.Duration, ok bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.cold.begin()
	n, ok := s.endpoints[r.ID]
	if !ok || !n.serves(r.Service) || n.report.Address != r.Address || n.report.Born != r.Born || s.links[n.pool()].State() == reach.Cut {
		return 0, false
	}
	if s.isCold(n, now) {
		return 0, false // the host that chose it believes it warm
	}
	if s.lacksPlace(n, now) {
		return returnWait, false
	}
	if n.mustRest(Direct, now) {
		return max(returnWait, n.rests[Direct].Left(now)), false
	}
	n.relayed++
	return 0, true
}

// EndRelay counts a request of another host as ended.
func (s *Set) EndRelay(id string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if n, ok := s.endpoints[id]; ok {
		n.relayed = max(0, n.relayed-1)
		s.freePlace(n.report.Service)
	}
}
