package ctrl

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hickoryshelf/hickoryshelf/fleet"
)

// maxLeavers bounds the endpoints in StateMachine.Leavers; the oldest are dropped. It is more than leave while an old report
// of one may still be about.
const maxLeavers = 1024

// Leaver is one start of an endpoint that is leaving or has departed. Once that is acknowledged it has to hold whatever
// control hosts are lost; an endpoint that has departed says it only once.
type Leaver struct {
	ID    string      `json:"id"`
	Born  int64       `json:"born"`
	Phase fleet.Phase `json:"phase"`
	// Serial is the index of the log entry that recorded it.
	Serial uint64 `json:"serial"`
}

// leaverOf returns what a report says about an endpoint that is leaving or has departed.
func leaverOf(r fleet.Report) Leaver { return Leaver{ID: r.ID, Born: r.Born, Phase: r.Phase} }

// withLeaver returns the state after an entry that records a leaver. An earlier start or phase changes nothing.
func (m StateMachine) withLeaver(l Leaver, index uint64) StateMachine {
	o, ok := m.Leavers[l.ID]
	if ok && (l.Born < o.Born || m.HasLeft(l)) {
		return m
	}
	l.Serial = index
	n := maps.Clone(m.Leavers)
	if n == nil {
		n = map[string]Leaver{}
	}
	n[l.ID] = l
	if len(n) > maxLeavers {
		o := slices.MinFunc(slices.Collect(maps.Values(n)), func(a, b Leaver) int { return cmp.Compare(a.Serial, b.Serial) })
		delete(n, o.ID)
	}
	m.Leavers = n
	return m
}

// HasLeft reports whether it is recorded that the start of an endpoint is in this phase or a later one.
func (m StateMachine) HasLeft(l Leaver) bool {
	o, ok := m.Leavers[l.ID]
	return ok && o.Born == l.Born && o.Phase >= l.Phase
}

// Corrected returns a report with the phase that is recorded for the start of the endpoint, if that is a later one: the report
// is from before.
func (m StateMachine) Corrected(r fleet.Report) fleet.Report {
	if o, ok := m.Leavers[r.ID]; ok && o.Born == r.Born && o.Phase > r.Phase {
		r.Phase = o.Phase
	}
	return r
}

// retireLeavers brings the phases into the fleet that are recorded from a log index on.
func (t *transition) retireLeavers(from uint64) {
	for _, l := range t.StateMachine.Leavers {
		if l.Serial < from {
			continue
		}
		if e, ok := t.Fleet.Get(l.ID); ok {
			t.Fleet, _ = t.Fleet.WithReport(t.StateMachine.Corrected(e.Report), t.Now)
		}
	}
}
