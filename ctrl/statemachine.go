package ctrl

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/drain"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// Command is one change of the replicated state, stored in a log entry as JSON. Exactly one field is set.
type Command struct {
	// Put replaces the configuration if its version is higher.
	Put *Document `json:"put,omitempty"`
	// Start starts a rollout.
	Start *canary.Rollout `json:"start,omitempty"`
	// End sets the outcome of a running rollout.
	End *canary.Rollout `json:"end,omitempty"`
	// Retire records an endpoint that is leaving or has departed.
	Retire *Leaver `json:"retire,omitempty"`
	// Drain starts or ends the drain of a data centre.
	Drain *drain.Order `json:"drain,omitempty"`
}

// Document is a configuration as the operator wrote it, with its version.
type Document struct {
	Version int64  `json:"version"`
	Content []byte `json:"content"`
}

// StateMachine is the replicated state that all control hosts derive from the control log. It is an immutable value and
// is stored in snapshots as JSON.
type StateMachine struct {
	// Applied is the index of the last entry that was applied.
	Applied uint64 `json:"applied"`
	// Document is the configuration with the highest version.
	Document Document `json:"document"`
	// Rollouts holds the newest rollout of each service.
	Rollouts map[string]canary.Rollout `json:"rollouts"`
	// Leavers holds the endpoints that were last acknowledged as leaving or departed, by id, at most maxLeavers.
	Leavers map[string]Leaver `json:"leavers,omitempty"`
	// Drains holds which data centres are drained.
	Drains drain.State `json:"drains,omitempty"`
}

// WithEntry returns the state after a log entry. Entries that were applied before change nothing. If the entry can't be
// decoded the returned state only marks it as applied, and the error says which entry it was.
func (m StateMachine) WithEntry(e quorum.Entry) (StateMachine, error) {
	if e.Index <= m.Applied {
		return m, nil
	}
	m.Applied = e.Index
	if len(e.Data) == 0 {
		return m, nil
	}
	var c Command
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return m, fmt.Errorf("decode log entry %d: %w; run the build that wrote it", e.Index, err)
	}
	return m.withCommand(c, e.Index), nil
}

func (m StateMachine) withCommand(c Command, index uint64) StateMachine {
	switch {
	case c.Put != nil && c.Put.Version > m.Document.Version:
		m.Document = *c.Put
	case c.Start != nil:
		return m.withStart(*c.Start, index)
	case c.End != nil:
		return m.withEnd(*c.End)
	case c.Retire != nil:
		return m.withLeaver(*c.Retire, index)
	case c.Drain != nil:
		m.Drains = m.Drains.WithOrder(*c.Drain, index)
	}
	return m
}

// withStart adds a rollout. A start with the same target as the newest rollout of the service changes nothing.
func (m StateMachine) withStart(r canary.Rollout, index uint64) StateMachine {
	o, ok := m.Rollouts[r.Service]
	if ok && o.Target == r.Target {
		return m
	}
	if ok {
		r = r.After(o)
	}
	r.Serial, r.Outcome = index, canary.Running
	return m.withRollout(r)
}

// withEnd sets the outcome of a rollout, unless it has ended or a newer one has replaced it.
func (m StateMachine) withEnd(r canary.Rollout) StateMachine {
	o, ok := m.Rollouts[r.Service]
	if !ok || o.Serial != r.Serial || o.Outcome != canary.Running {
		return m
	}
	o.Outcome = r.Outcome
	return m.withRollout(o)
}

func (m StateMachine) withRollout(r canary.Rollout) StateMachine {
	n := maps.Clone(m.Rollouts)
	if n == nil {
		n = map[string]canary.Rollout{}
	}
	n[r.Service] = r
	m.Rollouts = n
	return m
}

// WithSnapshot returns the state of a snapshot, or m if m is at least as new. If the snapshot can't be decoded it returns
// m and an error.
func (m StateMachine) WithSnapshot(s quorum.Snapshot) (StateMachine, error) {
	if s.Index <= m.Applied {
		return m, nil
	}
	n := StateMachine{Applied: s.Index}
	if len(s.Data) == 0 {
		return n, nil
	}
	if err := json.Unmarshal(s.Data, &n); err != nil {
		return m, fmt.Errorf("decode snapshot %d: %w; run the build that wrote it", s.Index, err)
	}
	return n, nil
}
