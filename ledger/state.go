package ledger

import (
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// State is a host's copies of lines. It is a value; its methods return changed copies.
type State struct {
	lines *immutable.Map[string, Line]
	// open holds the ids of lines that are merely begun.
	open *immutable.Map[string, Line]
	// settled lists the ids of settled lines, the earliest settled first.
	settled *immutable.List[string]
	// newest is the latest time of any line.
	newest time.Time
}

// NewState returns a ledger without lines.
func NewState() State {
	return State{lines: immutable.NewMap[string, Line](nil), open: immutable.NewMap[string, Line](nil), settled: immutable.NewList[string]()}
}

// WithLine merges a line.
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

// OldestSettled returns up to limit of the earliest settled lines that are at least as old as age, by the time of the
// newest line.
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

// Without forgets lines that are kept elsewhere.
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

// Line returns the copy of one line.
func (s State) Line(requestID string) (Line, bool) { return s.lines.Get(requestID) }

// Len returns the number of lines.
func (s State) Len() int { return s.lines.Len() }

// Open returns the lines that are begun and not settled.
func (s State) Open() []Line {
	var r []Line
	for i := s.open.Iterator(); !i.Done(); {
		_, l, _ := i.Next()
		r = append(r, l)
	}
	return r
}

// Lines returns all lines in no order.
func (s State) Lines() []Line {
	var r []Line
	for i := s.lines.Iterator(); !i.Done(); {
		_, l, _ := i.Next()
		r = append(r, l)
	}
	return r
}

// Orphans returns the settled form of open lines whose host has departed: they may have run, and the
// customer isn't charged for an answer that was cut off.
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
