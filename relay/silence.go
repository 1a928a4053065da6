package relay

import "time"

// busyTimeoutFactor multiplies the timeout of a silence when it is extended for a busy endpoint.
const busyTimeoutFactor = 3

// silence measures for how long nothing was received of an attempt, and says when another attempt should be made beside it.
// The timeout is extended once if the endpoint has answered other requests in the meantime: the endpoint is busy then, and
// running the request a second time elsewhere would only add to the load. Before the timeout it looks after the link to the
// endpoint.
type silence struct {
	attempt *upstreamAttempt
	timeout time.Duration
	// limit is the time without a sign after which the attempt is in doubt, and heardAt is when the last sign came.
	limit   time.Duration
	heardAt time.Time
	// busyWindow is how recently the endpoint must have answered another request to count as busy. 0 turns the
	// extension off.
	busyWindow time.Duration
	// timer fires when check is due.
	timer    *time.Timer
	extended bool
	// logged is set once the attempt was logged as in doubt since the last sign.
	logged bool
}

// newSilence returns a silence that begins now. stop ends it.
func (u *upstreamAttempt) newSilence(timeout, busyWindow time.Duration) *silence {
	return &silence{
		attempt: u, timeout: timeout, limit: timeout, busyWindow: busyWindow, heardAt: time.Now(),
		timer: time.NewTimer(min(timeout, u.linkGrace())),
	}
}

// length returns for how long nothing was received.
func (s *silence) length() time.Duration { return time.Since(s.heardAt) }

// check reports whether another attempt should be made. It is called when the timer fires, and sets it anew.
func (s *silence) check() bool {
	q, u := s.length(), s.attempt
	if q < s.limit {
		s.timer.Reset(min(s.limit-q, linkCheckInterval))
		return u.checkLink()
	}
	if !s.extended && s.busyWindow > 0 && u.job.relay.Endpoints.ActiveSince(u.choice.ID, time.Now().Add(-s.busyWindow)) {
		s.extended = true
		s.limit = q + busyTimeoutFactor*s.timeout
		s.timer.Reset(linkCheckInterval)
		return false
	}
	s.timer.Reset(successorInterval)
	return true
}

// end restarts the timeout after an event of the answer was received.
func (s *silence) end() {
	s.extended, s.logged, s.limit, s.heardAt = false, false, s.timeout, time.Now()
	s.timer.Reset(min(s.timeout, eventLinkGrace))
}

// stop ends the measurement.
func (s *silence) stop() { s.timer.Stop() }
