package relay

import "time"

const (
	// busyTimeoutFactor multiplies the timeout of a silence when it is extended for a busy endpoint.
	busyTimeoutFactor = 3
	// maxCheckLag is how late a check may be. If it is later, this host was held up, by its caller or for want of processor
	// time, and what the endpoint has sent may wait to be read.
	maxCheckLag = 100 * time.Millisecond
)

// silence measures for how long nothing was received of an attempt, and says when another attempt should be made beside it.
// The timeout is extended once if the endpoint has answered other requests in the meantime: the endpoint is busy then, and
// running the request a second time elsewhere would only add to the load. The time for which this host was held up doesn't count.
// Before the timeout it looks after the link to the endpoint.
type silence struct {
	attempt *upstreamAttempt
	timeout time.Duration
	// limit is the time without a sign after which the attempt is in doubt, and heardAt is when the last sign came.
	limit   time.Duration
	heardAt time.Time
	// busyWindow is how recently the endpoint must have answered another request to count as busy. 0 turns the
	// extension off.
	busyWindow time.Duration
	// timer fires at due, when check is due.
	timer    *time.Timer
	due      time.Time
	extended bool
	// logged is set once the attempt was logged as in doubt since the last sign.
	logged bool
}

// newSilence returns a silence that begins now. stop ends it.
func (u *upstreamAttempt) newSilence(timeout, busyWindow time.Duration) *silence {
	n, d := time.Now(), min(timeout, u.linkGrace())
	return &silence{
		attempt: u, timeout: timeout, limit: timeout, busyWindow: busyWindow, heardAt: n,
		timer: time.NewTimer(d), due: n.Add(d),
	}
}

// checkIn makes the timer fire after d.
func (s *silence) checkIn(d time.Duration) {
	s.due = time.Now().Add(d)
	s.timer.Reset(d)
}

// length returns for how long nothing was received.
func (s *silence) length() time.Duration { return time.Since(s.heardAt) }

// check reports whether another attempt should be made. It is called when the timer fires, and sets it anew.
func (s *silence) check() bool {
	if l := time.Since(s.due); l > maxCheckLag {
		s.heardAt = s.heardAt.Add(l)
		s.checkIn(linkCheckInterval)
		return false
	}
	q, u := s.length(), s.attempt
	if q < s.limit {
		s.checkIn(min(s.limit-q, linkCheckInterval))
		return u.checkLink()
	}
	if !s.extended && s.busyWindow > 0 && u.job.relay.Endpoints.ActiveSince(u.choice.ID, time.Now().Add(-s.busyWindow)) {
		s.extended = true
		s.limit = q + busyTimeoutFactor*s.timeout
		s.checkIn(linkCheckInterval)
		return false
	}
	s.checkIn(successorInterval)
	return true
}

// end restarts the timeout after an event of the answer was received.
func (s *silence) end() {
	s.extended, s.logged, s.limit, s.heardAt = false, false, s.timeout, time.Now()
	s.checkIn(min(s.timeout, eventLinkGrace))
}

// stop ends the measurement.
func (s *silence) stop() { s.timer.Stop() }
