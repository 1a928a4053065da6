package pick

import "time"

// centreState is what is known of the way to a data centreState.
type centreState struct {
	consecutiveUnreachable int
	ejectedUntil           time.Time
}

// RecordActivity tells of a sign of an endpoint, such as an event of a stream.
func (s *Set) RecordActivity(id string, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if n, ok := s.endpoints[id]; ok {
		n.lastActive, n.silentSince = now, now
	}
}

// ActiveSince reports whether an endpoint has given a sign since a time.
func (s *Set) ActiveSince(id string, since time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	return ok && n.lastActive.After(since)
}

// RecordSuccess tells of an answer that began after wait, where estimated was expected.
func (s *Set) RecordSuccess(id string, wait, estimated time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	if !ok {
		return
	}
	n.consecutiveFaults, n.ejectedUntil = 0, time.Time{}
	*s.centreOf(n.report.DataCentre) = centreState{}
	n.faultRate *= 1 - faultWeight
	if estimated > 0 {
		r := min(8, max(0.5, float64(wait)/float64(estimated)*n.slowdown))
		n.slowdown = min(8, max(0.5, n.slowdown*(1-slowdownWeight)+r*slowdownWeight))
	}
}

// MarkReplaced tells that another start answered at an endpoint's address: the endpoint gets nothing more.
func (s *Set) MarkReplaced(id string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if n, ok := s.endpoints[id]; ok {
		n.replaced = true
	}
}

// RecordUnreachable tells that no connection to an endpoint could be made. Where that happens at several endpoints
// of a data centre in a row, all of the data centre is passed over. It returns how long the endpoint is.
func (s *Set) RecordUnreachable(id string, now time.Time) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	if !ok {
		return 0
	}
	n.consecutiveFaults = max(n.consecutiveFaults+1, ejectThreshold)
	b := min(maxEjection, unreachableEjectionBase<<min(n.consecutiveFaults-ejectThreshold, 6))
	n.ejectedUntil = now.Add(b)
	c := s.centreOf(n.report.DataCentre)
	if c.consecutiveUnreachable++; c.consecutiveUnreachable >= centreEjectThreshold {
		c.ejectedUntil = now.Add(centreEjection)
	}
	return b
}

func (s *Set) centreOf(name string) *centreState {
	c, ok := s.centres[name]
	if !ok {
		c = &centreState{}
		s.centres[name] = c
	}
	return c
}

// RecordFault tells of a fault of an endpoint. It returns how long the endpoint is passed over.
func (s *Set) RecordFault(id string, now time.Time) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	if !ok {
		return 0
	}
	n.consecutiveFaults++
	n.faultRate = n.faultRate*(1-faultWeight) + faultWeight
	if n.consecutiveFaults < ejectThreshold {
		return 0
	}
	b := min(maxEjection, ejectionBase<<min(n.consecutiveFaults-ejectThreshold, 6))
	n.ejectedUntil = now.Add(b)
	return b
}

// silencePenalty is what speaks against an endpoint that has had requests for longer than it should need, without
// any sign since.
func (n *endpoint) silencePenalty(now time.Time, estimate time.Duration) time.Duration {
	if n.unanswered == 0 {
		return 0
	}
	return max(0, silenceFactor*(now.Sub(n.silentSince)-estimate-silenceGrace))
}
