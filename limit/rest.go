package limit

import "time"

const (
	// firstReturn is the number of requests in flight with which a host comes back after a rest. It doubles with each answer
	// that asks for no further rest, until it has passed maxReturn.
	firstReturn = 1
	maxReturn   = 64
)

// Rest is the rest that an endpoint has asked a host for, and the return after it. The zero value means that it has asked
// for none.
type Rest struct {
	// until is the end of the rest.
	until time.Time
	// allowed is the number of requests in flight after the rest, 0 once all are.
	allowed int
}

// WithAsked returns the rest after an endpoint has asked for one at now. A shorter one doesn't end an earlier one.
func (r Rest) WithAsked(rest time.Duration, now time.Time) Rest {
	if u := now.Add(rest); u.After(r.until) {
		r.until = u
	}
	r.allowed = firstReturn
	return r
}

// WithAnswer returns the rest after an answer at now that asks for none.
func (r Rest) WithAnswer(now time.Time) Rest {
	if r.allowed == 0 || now.Before(r.until) {
		return r
	}
	if r.allowed *= 2; r.allowed > maxReturn {
		return Rest{}
	}
	return r
}

// Left returns the time until the rest ends, or 0.
func (r Rest) Left(now time.Time) time.Duration { return max(0, r.until.Sub(now)) }

// Allows reports whether another request may be sent at now beside those in flight.
func (r Rest) Allows(inFlight int, now time.Time) bool {
	return r.allowed == 0 || !now.Before(r.until) && inFlight < r.allowed
}
