// Package fleet is what hosts know of endpoints: their own reports, merged so that late and repeated ones
// change nothing. A State is an immutable value.
package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

//go:generate go tool stringer -type=Phase -linecomment -output=enum_string.go

// Phase is where an endpoint stands in its life.
type Phase int

// Phases of an endpoint. Within one start an endpoint only moves on to later ones.
const (
	Ready    Phase = iota // ready
	Leaving               // leaving
	Departed              // departed
)

// Report is what an endpoint says of itself.
type Report struct {
	// ID names the endpoint; another start may use it again with a later Born.
	ID string
	// Born is the Unix millisecond of the endpoint's start, or 0 where it isn't known.
	Born int64
	// Sequence grows with each report of one start.
	Sequence   int64
	Service    string
	Address    string
	DataCentre string
	Version    string
	Slots      int
	Phase      Phase
	// ColdLeft is how much longer the endpoint stays slow after its start.
	ColdLeft time.Duration
}

// Endpoint is the newest report of an endpoint and when it came.
type Endpoint struct {
	Report
	// HeardAt is this host's clock at the newest report.
	HeardAt time.Duration
	// ChangedRevision is the state's revision at the last change of the endpoint.
	ChangedRevision uint64
}

// State holds the endpoints by their id.
type State struct {
	// Revision grows whenever an endpoint changes in more than its sequence.
	Revision uint64
	// FingerprintSum is that of the fingerprints of all endpoints; two states with the same endpoints have the same.
	FingerprintSum uint64
	endpoints      *immutable.SortedMap[string, Endpoint]
	// removed are the revisions at which endpoints were forgotten; older removals than floor aren't known.
	removed *immutable.SortedMap[string, uint64]
	floor   uint64
}

// maxRemovals is how many removals are kept, for hosts that ask what has changed.
const maxRemovals = 1000

// New returns a state without endpoints.
func New() State {
	return State{endpoints: immutable.NewSortedMap[string, Endpoint](nil), removed: immutable.NewSortedMap[string, uint64](nil)}
}

// supersedes reports whether a report replaces the one held.
func supersedes(r Report, o Endpoint) bool {
	if r.Born != o.Born {
		return r.Born > o.Born
	}
	if r.Phase != o.Phase {
		return r.Phase > o.Phase
	}
	return r.Sequence > o.Sequence
}

// WithReport returns the state after a report that came at now; changed reports whether it was news.
func (s State) WithReport(r Report, now time.Duration) (next State, changed bool) {
	o, ok := s.endpoints.Get(r.ID)
	if ok && !supersedes(r, o) {
		return s, false
	}
	if ok && r.Phase == Departed && r.Address == "" {
		i, b := o.Report, r.Sequence
		i.Phase, i.Sequence = Departed, max(b, i.Sequence)
		r = i
	}
	n := s
	if !ok || o.Address != r.Address || o.Born != r.Born {
		n, r = s.resolveAddress(r)
	}
	e := Endpoint{Report: r, HeardAt: now, ChangedRevision: o.ChangedRevision}
	if !ok || routingView(r) != routingView(o.Report) {
		n.Revision++
		e.ChangedRevision = n.Revision
		if ok {
			n.FingerprintSum -= o.Fingerprint()
		}
		n.FingerprintSum += r.Fingerprint()
		n.removed = n.removed.Delete(r.ID)
	}
	n.endpoints = n.endpoints.Set(r.ID, e)
	return n, true
}

// resolveAddress settles which start holds the address of a report: of two at the same address, the older one
// has departed. It returns the report as departed where that is the older one.
func (s State) resolveAddress(r Report) (State, Report) {
	n := s
	for e := range s.All {
		if e.ID == r.ID || e.Address != r.Address || e.Phase == Departed {
			continue
		}
		if r.Born > 0 && e.Born > r.Born {
			r.Phase = Departed
			continue
		}
		n.Revision++
		n.FingerprintSum -= e.Fingerprint()
		e.Phase, e.ChangedRevision = Departed, n.Revision
		n.endpoints = n.endpoints.Set(e.ID, e)
	}
	return n, r
}

// routingView is the part of a report that changes where requests go.
func routingView(r Report) Report {
	r.Sequence = 0
	if r.ColdLeft > 0 {
		r.ColdLeft = 1
	}
	return r
}

// Fingerprint is a number that differs for endpoints that requests may go to differently; it is 0 for one that
// has departed.
func (r Report) Fingerprint() uint64 {
	if r.Phase == Departed {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprintf("%+v", routingView(r)))
}

// WithoutSilent returns the state without endpoints that were last heard before the time given; departed
// ones are kept as long, so that a late report can't bring them back.
func (s State) WithoutSilent(before time.Duration) State {
	n := s
	for e := range s.All {
		if e.HeardAt < before {
			n.Revision++
			n.FingerprintSum -= e.Fingerprint()
			n.endpoints = n.endpoints.Delete(e.ID)
			n.removed = n.removed.Set(e.ID, n.Revision)
		}
	}
	if n.removed.Len() > maxRemovals {
		n.removed, n.floor = immutable.NewSortedMap[string, uint64](nil), n.Revision
	}
	return n
}

// ChangesSince returns what has changed after a revision: the newest reports of changed endpoints and the ids of
// those forgotten. ok is false where that isn't known any more.
func (s State) ChangesSince(revision uint64) (changed []Report, removed []string, ok bool) {
	if revision < s.floor || revision > s.Revision {
		return nil, nil, false
	}
	for e := range s.All {
		if e.ChangedRevision > revision {
			changed = append(changed, e.Report)
		}
	}
	for i := s.removed.Iterator(); !i.Done(); {
		if n, r, _ := i.Next(); r > revision {
			removed = append(removed, n)
		}
	}
	return changed, removed, true
}

// Get returns an endpoint.
func (s State) Get(id string) (Endpoint, bool) { return s.endpoints.Get(id) }

// All yields the endpoints in the order of their ids.
func (s State) All(yield func(Endpoint) bool) {
	for i := s.endpoints.Iterator(); !i.Done(); {
		_, e, _ := i.Next()
		if !yield(e) {
			return
		}
	}
}

// Reports returns the newest report of each endpoint.
func (s State) Reports() []Report {
	var r []Report
	for e := range s.All {
		r = append(r, e.Report)
	}
	return r
}

// Sort orders reports by id.
func Sort(r []Report) {
	slices.SortFunc(r, func(a, b Report) int { return strings.Compare(a.ID, b.ID) })
}
