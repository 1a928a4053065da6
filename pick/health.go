package pick

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/reach"
)

// Way is the way by which a request goes to an endpoint.
type Way int

// Ways to endpoints.
const (
	// Direct means that this host connects to the endpoint.
	Direct Way = iota
	// Relayed means that another host does so for this one.
	Relayed
	wayCount
)

// pathHealth is what speaks against an endpoint on one way to it.
type pathHealth struct {
	// consecutiveFaults counts the faults since the last success.
	consecutiveFaults int
	ejectedUntil      time.Time
}

// RecordActivity records that an endpoint sent something at now, such as an event of a stream. It does nothing if
// the endpoint is unknown.
func (s *Set) RecordActivity(id string, way Way, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	if !ok {
		return
	}
	s.recordActivity(n, way, now)
}

// recordActivity is RecordActivity for a caller that holds the lock.
func (s *Set) recordActivity(n *endpoint, way Way, now time.Time) {
	n.lastActive, n.silentSince = now, now
	if way == Direct {
		s.recordSign(n, now)
	}
}

// RecordAnswer records that an endpoint began at now to answer a request that was sent at a time. It does nothing if the
// endpoint is unknown.
func (s *Set) RecordAnswer(id string, way Way, sent, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	if !ok {
		return
	}
	s.recordActivity(n, way, now)
	n.answeredSentAt = reach.Latest(n.answeredSentAt, sent)
}

// ActiveSince reports whether an endpoint was active after since.
func (s *Set) ActiveSince(id string, since time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	return ok && n.lastActive.After(since)
}

// RecordSuccess records that an endpoint began an answer. It ends the ejection of the endpoint on that way, and lowers the
// endpoint's fault rate. wait is the measured time to the start of the answer. estimated is
// Choice.Wait, which already includes the slowdown; if it is positive, the ratio of the two updates the endpoint's
// slowdown.
func (s *Set) RecordSuccess(id string, way Way, wait, estimated time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if n, ok := s.endpoints[id]; ok {
		n.recordSuccess(way, wait, estimated)
	}
}

// RecordStart is RecordSuccess for the endpoint of a choice. Where hosts share speeds, the wait is compared with what the endpoint's
// factor and slowdown of now let expect: they may have changed since the choice.
func (s *Set) RecordStart(c Choice, way Way, wait time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[c.ID]
	if !ok {
		return
	}
	e := c.Wait
	if !s.slowdownsFadedAt.IsZero() && n.report.Born == c.Born {
		e = time.Duration(float64(c.Expected) * s.factorAt(n, c.Band) * n.slowdown)
	}
	n.recordSuccess(way, wait, e)
}

// recordSuccess is RecordSuccess for a caller that holds the lock.
func (n *endpoint) recordSuccess(way Way, wait, estimated time.Duration) {
	n.paths[way] = pathHealth{}
	n.faultRate *= 1 - faultWeight
	if estimated > 0 {
		r := min(8, max(0.5, float64(wait)/float64(estimated)*n.slowdown))
		n.slowdown = min(8, max(0.5, n.slowdown*(1-slowdownWeight)+r*slowdownWeight))
	}
}

// MarkReplaced records that a different process answered at an endpoint's address. The endpoint gets no more
// requests.
func (s *Set) MarkReplaced(id string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if n, ok := s.endpoints[id]; ok {
		n.replaced = true
	}
}

// RecordNotReached records that no connection to an endpoint could be made on a way, and ejects the endpoint there. It
// returns how long the endpoint is ejected, or 0 if it is unknown.
func (s *Set) RecordNotReached(id string, way Way, now time.Time) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	if !ok {
		return 0
	}
	return n.eject(way, now)
}

// eject ejects an endpoint to which no connection could be made, and returns for how long.
func (n *endpoint) eject(way Way, now time.Time) time.Duration {
	p := &n.paths[way]
	p.consecutiveFaults = max(p.consecutiveFaults+1, ejectThreshold)
	b := min(maxEjection, unreachableEjectionBase<<min(p.consecutiveFaults-ejectThreshold, 6))
	p.ejectedUntil = now.Add(b)
	return b
}

// RecordFault records a fault of an endpoint on a way, and ejects the endpoint there from ejectThreshold consecutive faults on.
// RecordFault returns how long the endpoint is ejected, or 0 if the endpoint is unknown or not ejected.
func (s *Set) RecordFault(id string, way Way, now time.Time) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	if !ok {
		return 0
	}
	p := &n.paths[way]
	p.consecutiveFaults++
	n.faultRate = n.currentFaultRate(now)*(1-faultWeight) + faultWeight
	n.lastFault = now
	if p.consecutiveFaults < ejectThreshold {
		return 0
	}
	b := min(maxEjection, ejectionBase<<min(p.consecutiveFaults-ejectThreshold, 6))
	p.ejectedUntil = now.Add(b)
	return b
}

// silencePenalty returns the cost of an endpoint that has unanswered requests and has sent nothing for longer than
// estimate plus silenceGrace. estimate is the expected time to the start of an answer.
func (n *endpoint) silencePenalty(now time.Time, estimate time.Duration) time.Duration {
	if n.unanswered == 0 {
		return 0
	}
	return max(0, silenceFactor*(now.Sub(n.silentSince)-estimate-silenceGrace))
}

// IsReady reports whether an endpoint is known and takes requests, as far as its reports tell.
func (s *Set) IsReady(id string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	return ok && n.report.Phase == fleet.Ready
}

// HasEnded reports whether a start of an endpoint is known to have ended: another process has its address or its ID.
func (s *Set) HasEnded(id string, born int64) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	return !ok || n.replaced || n.report.Born != born || n.report.Phase == fleet.Departed
}

// LastAnswered returns when the newest request was sent that an endpoint has begun to answer, or the zero time if there is none or
// the endpoint is unknown. The endpoint ran at that time, however late its answers are read.
func (s *Set) LastAnswered(id string) time.Time {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	if !ok {
		return time.Time{}
	}
	return n.answeredSentAt
}
