package ledger

import (
	"github.com/benbjohnson/immutable"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// State is a host's copies of lines. It is a value; its methods return changed copies.
type State struct {
	lines *immutable.Map[string, Line]
	// open holds the ids of lines that are merely begun.
	open *immutable.Map[string, Line]
}

// NewState returns a ledger without lines.
func NewState() State {
	return State{lines: immutable.NewMap[string, Line](nil), open: immutable.NewMap[string, Line](nil)}
}

// WithLine merges a line.
func (s State) WithLine(line Line) State {
	if o, ok := s.lines.Get(line.RequestID); ok {
		line = o.Merge(line)
	}
	s.lines = s.lines.Set(line.RequestID, line)
	if line.Stage == StageBegun {
		s.open = s.open.Set(line.RequestID, line)
		return s
	}
	s.open = s.open.Delete(line.RequestID)
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
