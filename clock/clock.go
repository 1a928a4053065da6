// Package clock measures time that also passes while the machine is suspended. The runtime's clock may stand still then, so that
// a lease or the age of a confirmation that is judged by it lasts longer than other hosts believe.
package clock

import "time"

// Source returns the total time for which the machine has been suspended. It never decreases.
type Source func() time.Duration

// Clock is the runtime's clock, advanced by the time for which the machine was suspended. It is an immutable value and safe for
// concurrent use. Create it with New.
type Clock struct {
	// start has a reading of the runtime's monotonic clock.
	start     time.Time
	suspended Source
	// before is what suspended returned at start.
	before time.Duration
}

// New returns a clock that shows 0 now. If suspended is nil, it is Suspended.
func New(suspended Source) Clock {
	if suspended == nil {
		suspended = Suspended
	}
	b := suspended()
	return Clock{start: time.Now(), suspended: suspended, before: b}
}

// Now returns the time since the clock was created. It lies between the begin and the end of the call, and so never decreases from
// one call to a later one: the runtime's clock is read last.
func (c Clock) Now() time.Duration {
	s := c.suspended() - c.before
	return s + time.Since(c.start)
}
