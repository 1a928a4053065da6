package pick

import "time"

// centre is what is known of the way to a data centre.
type centre struct {
	row    int
	banned time.Time
}

// RecordActivity tells of a sign of an endpoint, such as an event of a stream.
func (s *Set) RecordActivity(id string, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if n, ok := s.nodes[id]; ok {
		n.alive, n.silent = now, now
	}
}

// ActiveSince reports whether an endpoint has given a sign since a time.
func (s *Set) ActiveSince(id string, since time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.nodes[id]
	return ok && n.alive.After(since)
}

// RecordSuccess tells of an answer that began after wait, where estimated was expected.
func (s *Set) RecordSuccess(id string, wait, estimated time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.nodes[id]
	if !ok {
		return
	}
	n.row, n.banned = 0, time.Time{}
	*s.centre(n.report.DataCentre) = centre{}
	n.faults *= 1 - faultWeight
	if estimated > 0 {
		r := min(8, max(0.5, float64(wait)/float64(estimated)*n.pace))
		n.pace = min(8, max(0.5, n.pace*(1-paceWeight)+r*paceWeight))
	}
}

// MarkReplaced tells that another start answered at an endpoint's address: the endpoint gets nothing more.
func (s *Set) MarkReplaced(id string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if n, ok := s.nodes[id]; ok {
		n.gone = true
	}
}

// RecordUnreachable tells that no connection to an endpoint could be made. Where that happens at several endpoints
// of a data centre in a row, all of the data centre is passed over. It returns how long the endpoint is.
func (s *Set) RecordUnreachable(id string, now time.Time) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.nodes[id]
	if !ok {
		return 0
	}
	n.row = max(n.row+1, banAfter)
	b := min(banMost, unreachableFirst<<min(n.row-banAfter, 6))
	n.banned = now.Add(b)
	c := s.centre(n.report.DataCentre)
	if c.row++; c.row >= centreAfter {
		c.banned = now.Add(centreBan)
	}
	return b
}

func (s *Set) centre(name string) *centre {
	c, ok := s.centres[name]
	if !ok {
		c = &centre{}
		s.centres[name] = c
	}
	return c
}

// RecordFault tells of a fault of an endpoint. It returns how long the endpoint is passed over.
func (s *Set) RecordFault(id string, now time.Time) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.nodes[id]
	if !ok {
		return 0
	}
	n.row++
	n.faults = n.faults*(1-faultWeight) + faultWeight
	if n.row < banAfter {
		return 0
	}
	b := min(banMost, banFirst<<min(n.row-banAfter, 6))
	n.banned = now.Add(b)
	return b
}

// silence is what speaks against an endpoint that has had requests for longer than it should need, without
// any sign since.
func (n *node) silence(now time.Time, estimate time.Duration) time.Duration {
	if n.unanswered == 0 {
		return 0
	}
	return max(0, silenceTimes*(now.Sub(n.silent)-estimate-silenceFree))
}
