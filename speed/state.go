package speed

import (
	"time"

	"github.com/benbjohnson/immutable"
)

// total holds the sums of all entry hosts for a start of an endpoint at a time.
type total struct {
	born int64
	at   time.Duration
	sums sums
}

// part is what an entry host last reported of a start of an endpoint. start identifies the process of the host.
type part struct {
	start, born int64
	at          time.Duration
	sums        sums
}

// State holds what all entry hosts have measured, as a control host knows it. It is an immutable value; times are durations
// since the start of the control host.
type State struct {
	// totals are by endpoint ID.
	totals *immutable.Map[string, total]
	// parts are by entry host and endpoint. Each is part of the total of the endpoint if it is of the same start.
	parts *immutable.Map[string, part]
}

// NewState returns a state without samples.
func NewState() State {
	return State{totals: immutable.NewMap[string, total](nil), parts: immutable.NewMap[string, part](nil)}
}

// WithReport returns the state after a report of an entry host, which replaces what the same process of the host reported of
// the same endpoints before. What an earlier process of the host reported goes on to fade. Sums of an earlier start of an
// endpoint are ignored.
func (s State) WithReport(host string, start int64, reports map[string]Sums, now time.Duration) State {
	for e, r := range reports {
		t, _ := s.totals.Get(e)
		if r.Born < t.born {
			continue
		}
		if r.Born > t.born {
			t = total{born: r.Born, at: now}
		}
		n := r.sums()
		t.sums, t.at = t.sums.faded(now-t.at), now
		k := host + "\x00" + e
		if o, ok := s.parts.Get(k); ok && o.start == start && o.born == r.Born {
			t.sums = t.sums.minus(o.sums.faded(now - o.at))
		}
		t.sums = t.sums.plus(n)
		s.totals, s.parts = s.totals.Set(e, t), s.parts.Set(k, part{start, r.Born, now, n})
	}
	return s
}

// WithoutFaded returns the state without what has faded.
func (s State) WithoutFaded(now time.Duration) State {
	for i := s.parts.Iterator(); !i.Done(); {
		if k, p, _ := i.Next(); p.sums.faded(now-p.at).count() < forgottenCount {
			s.parts = s.parts.Delete(k)
		}
	}
	for i := s.totals.Iterator(); !i.Done(); {
		if e, t, _ := i.Next(); t.sums.faded(now-t.at).count() < forgottenCount {
			s.totals = s.totals.Delete(e)
		}
	}
	return s
}
