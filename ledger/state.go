package ledger

import (
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// State holds a host's copies of lines. It is immutable; methods that change something return a copy.
type State struct {
	lines *immutable.Map[string, Line]
	// open holds the lines in StageBegun, by request id.
	open *immutable.Map[string, Line]
	// settled lists the request ids of orphaned and settled lines, in the order in which this host learned of them. It
	// may contain ids of lines that have been removed.
	settled *immutable.List[string]
	// newest is the latest At of all lines that were ever added.
	newest time.Time
}

// NewState returns an empty ledger.
func NewState() State {
	return State{lines: immutable.NewMap[string, Line](nil), open: immutable.NewMap[string, Line](nil), settled: immutable.NewList[string]()}
}

// WithLine returns a copy to which the line has been added, or in which it has been merged with the line of the same
// request.
func (s State) WithLine(line Line) State {
	o, ok := s.lines.Get(line.RequestID)
	if ok {
		line = o.Merge(line)
	}
	if line.At.After(s.newest) {
		s.newest = line.At
	}
	if line.Stage != StageBegun && (!ok || o.Stage == StageBegun) {
		s.settled = s.settled.Append(line.RequestID)
	}
	s.lines = s.lines.Set(line.RequestID, line)
	if line.Stage == StageBegun {
		s.open = s.open.Set(line.RequestID, line)
		return s
	}
	s.open = s.open.Delete(line.RequestID)
	return s
}

// OldestSettled returns up to limit orphaned or settled lines whose At is at least age before that of the newest line. It
// takes the lines in the order in which this host learned of them and stops at the first that is younger.
func (s State) OldestSettled(limit int, age time.Duration) []Line {
	var r []Line
	for i := s.settled.Iterator(); !i.Done() && len(r) < limit; {
		_, k := i.Next()
		l, ok := s.lines.Get(k)
		if !ok {
			continue
		}
		if s.newest.Sub(l.At) < age {
			return r
		}
		r = append(r, l)
	}
	return r
}

// Without returns a copy without the given lines, which must have been stored elsewhere. Ids without a line are
// ignored. If a copy of a removed line arrives later, WithLine adds it again.
func (s State) Without(requestIDs []string) State {
	for _, k := range requestIDs {
		s.lines = s.lines.Delete(k)
		s.open = s.open.Delete(k)
	}
	n := 0
	for n < s.settled.Len() {
		if _, ok := s.lines.Get(s.settled.Get(n)); ok {
			break
		}
		n++
	}
	s.settled = s.settled.Slice(n, s.settled.Len())
	return s
}

// Line returns the line of a request. The result is false if there is none.
func (s State) Line(requestID string) (Line, bool) { return s.lines.Get(requestID) }

// Len returns the number of lines.
func (s State) Len() int { return s.lines.Len() }

// Open returns the lines in StageBegun, in no particular order.
func (s State) Open() []Line {
	var r []Line
	for i := s.open.Iterator(); !i.Done(); {
		_, l, _ := i.Next()
		r = append(r, l)
	}
	return r
}

// Lines returns all lines, in no particular order.
func (s State) Lines() []Line {
	var r []Line
	for i := s.lines.Iterator(); !i.Done(); {
		_, l, _ := i.Next()
		r = append(r, l)
	}
	return r
}

// Orphans returns the open lines whose host has departed, changed to StageOrphaned with OutcomeUnknown. Their
// requests may have run. No amount is added, because customers aren't charged for an answer that was cut off.
func (s State) Orphans(departed func(host string, incarnation uint64) bool) []Line {
	var r []Line
	for _, l := range s.Open() {
		if departed(l.Host, l.Incarnation) {
			l.Stage, l.Outcome = StageOrphaned, model.OutcomeUnknown
			r = append(r, l)
		}
	}
	return r
}
