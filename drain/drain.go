// Package drain holds which data centres are drained: no request goes to their endpoints.
package drain

import (
	"maps"
	"slices"
)

// Change is the last change of a data centre.
type Change struct {
	// Drained is set if no request may go to the endpoints of the data centre.
	Drained bool `json:"drained"`
	// Index is the index of the log entry that made the change.
	Index uint64 `json:"index"`
}

// Order starts or ends the drain of a data centre.
type Order struct {
	DataCentre string `json:"data-centre"`
	Drained    bool   `json:"drained"`
	// Known holds the data centres of the deployment. The order carries them so that all hosts that apply it decide alike.
	Known []string `json:"known,omitempty"`
	// Seen is the index of the last change of the data centre that was known when the order was given, or Unchanged. An order that is
	// delivered after a later change is ignored. 0 means that the order may follow any change.
	Seen uint64 `json:"seen,omitempty"`
}

// Unchanged is Order.Seen if the data centre was never drained. No change has it, since the control log begins with a snapshot at this
// index.
const Unchanged uint64 = 1

// State holds the last change of each data centre that was ever drained, by name. It is an immutable value: methods return changed
// copies. A data centre whose drain has ended stays in it.
type State map[string]Change

// WithOrder returns the state after an order with a log index. An order that changes nothing keeps the index of the change before. One
// that would drain the last data centre, or that is late, changes nothing.
func (s State) WithOrder(o Order, index uint64) State {
	if s.IsDrained(o.DataCentre) == o.Drained || s.IsLate(o) || o.Drained && s.IsLast(o.DataCentre, o.Known) {
		return s
	}
	n := maps.Clone(s)
	if n == nil {
		n = State{}
	}
	n[o.DataCentre] = Change{Drained: o.Drained, Index: index}
	return n
}

// Seen returns what an order about a data centre that is given now has as Order.Seen.
func (s State) Seen(dataCentre string) uint64 { return max(Unchanged, s[dataCentre].Index) }

// IsLate reports whether the data centre of an order has changed since the order was given.
func (s State) IsLate(o Order) bool { return o.Seen > 0 && o.Seen != s.Seen(o.DataCentre) }

// IsDrained reports whether a data centre is drained.
func (s State) IsDrained(dataCentre string) bool { return s[dataCentre].Drained }

// IsLast reports whether all of the known data centres but this one are drained.
func (s State) IsLast(dataCentre string, known []string) bool {
	return !slices.ContainsFunc(known, func(k string) bool { return k != dataCentre && !s.IsDrained(k) })
}

// Drained returns the sorted names of the drained data centres.
func (s State) Drained() []string {
	var r []string
	for _, k := range slices.Sorted(maps.Keys(s)) {
		if s[k].Drained {
			r = append(r, k)
		}
	}
	return r
}

// Index returns the index of the newest change, or 0 if there was none. Of two states of one control log, the one with the higher index
// is newer, and those with the same index are equal.
func (s State) Index() uint64 {
	var r uint64
	for _, c := range s {
		r = max(r, c.Index)
	}
	return r
}
