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
	// parts are by entry host, then by endpoint. Each is part of the total of the endpoint if it is of the same start.
	parts *immutable.Map[string, hostParts]
	// unswept holds the hosts whose parts a sweep that has begun hasn't examined yet.
	unswept []string
}

// hostParts is what an entry host last reported, by endpoint ID.
type hostParts = *immutable.Map[string, part]

// sweepParts is the number of parts that a step of a sweep examines, at least those of one host. Control hosts take a step at each
// tick, so that a sweep of 100,000 parts lasts some ten seconds and holds up other events little.
const sweepParts = 500

// NewState returns a state without samples.
func NewState() State {
	return State{totals: immutable.NewMap[string, total](nil), parts: immutable.NewMap[string, hostParts](nil)}
}

// WithReport returns the state after a report of an entry host, which replaces what the same process of the host reported of
// the same endpoints before. What an earlier process of the host reported goes on to fade. Sums of an earlier start of an
// endpoint are ignored.
func (s State) WithReport(host string, start int64, reports map[string]Sums, now time.Duration) State {
	if len(reports) == 0 {
		return s
	}
	p, ok := s.parts.Get(host)
	if !ok {
		p = immutable.NewMap[string, part](nil)
	}
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
		if o, ok := p.Get(e); ok && o.start == start && o.born == r.Born {
			t.sums = t.sums.minus(o.sums.faded(now - o.at))
		}
		t.sums = t.sums.plus(n)
		s.totals, p = s.totals.Set(e, t), p.Set(e, part{start, r.Born, now, n})
	}
	s.parts = s.parts.Set(host, p)
	return s
}

// WithSweepBegun returns the state without totals that have faded, and with a sweep of the parts of all hosts that has begun.
func (s State) WithSweepBegun(now time.Duration) State {
	for i := s.totals.Iterator(); !i.Done(); {
		if e, t, _ := i.Next(); t.sums.isFaded(now - t.at) {
			s.totals = s.totals.Delete(e)
		}
	}
	s.unswept = make([]string, 0, s.parts.Len())
	for i := s.parts.Iterator(); !i.Done(); {
		h, _, _ := i.Next()
		s.unswept = append(s.unswept, h)
	}
	return s
}

// IsSweeping reports whether a sweep has begun and not ended.
func (s State) IsSweeping() bool { return len(s.unswept) > 0 }

// WithSweepStep returns the state after a step of a sweep, which removes parts that have faded. Without a sweep it returns the state.
func (s State) WithSweepStep(now time.Duration) State {
	for n := 0; n < sweepParts && len(s.unswept) > 0; {
		h := s.unswept[0]
		s.unswept = s.unswept[1:]
		p, ok := s.parts.Get(h)
		if !ok {
			continue
		}
		n += p.Len()
		if l := withoutFaded(p, now); l.Len() == 0 {
			s.parts = s.parts.Delete(h)
		} else if l != p {
			s.parts = s.parts.Set(h, l)
		}
	}
	return s
}

// withoutFaded returns parts without those that have faded.
func withoutFaded(p hostParts, now time.Duration) hostParts {
	for i := p.Iterator(); !i.Done(); {
		if e, x, _ := i.Next(); x.sums.isFaded(now - x.at) {
			p = p.Delete(e)
		}
	}
	return p
}
