// Package fleet holds what hosts know about endpoints. It merges the endpoints' own reports so that late and
// repeated reports have no effect. A State is an immutable value.
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

// Phase is a stage in the life of an endpoint.
type Phase int

// Phases of endpoints. A process only moves on to later phases.
const (
	Ready    Phase = iota // ready
	Leaving               // leaving
	Departed              // departed
)

// Report is what an endpoint reports about itself.
type Report struct {
	// ID names the endpoint. A later process with a higher Born may use the same ID.
	ID string
	// Born is the Unix time of the endpoint's start in milliseconds, or 0 if it is unknown.
	Born int64
	// Sequence grows with each report of one process.
	Sequence   int64
	Service    string
	Address    string
	DataCentre string
	Version    string
	Slots      int
	Phase      Phase
	// ColdLeft is how much longer the endpoint stays cold, which is slow, after its start, or ColdUnknown.
	ColdLeft time.Duration
}

// ColdUnknown is the ColdLeft of a report that doesn't say.
const ColdUnknown time.Duration = -1

// Endpoint is the newest report of an endpoint with the time at which it arrived.
type Endpoint struct {
	Report
	// HeardAt is the time of this host's clock at which the newest report arrived.
	HeardAt time.Duration
	// KnownSince is the time of this host's clock at which the first report of this start arrived, and 0, the start of the host,
	// if that was before.
	KnownSince time.Duration
	// ChangedRevision is the revision of the state at the last change of the endpoint.
	ChangedRevision uint64
}

// State holds the endpoints by ID.
type State struct {
	// Revision grows with every change of an endpoint that affects routing.
	Revision uint64
	// FingerprintSum is the sum of the fingerprints of all endpoints. States with the same endpoints have the same
	// sum.
	FingerprintSum uint64
	endpoints      *immutable.SortedMap[string, Endpoint]
	// removed holds the revision at which each endpoint was removed, by ID. The removals up to the revision floor
	// are no longer held.
	removed *immutable.SortedMap[string, uint64]
	floor   uint64
}

// MaxReportDelay is longer than a report can be delayed on its way.
const MaxReportDelay = time.Minute

// maxRemovals is the number of removals that are kept for hosts that ask for changes. When it is exceeded, all
// removals are dropped, and hosts with an older revision need a full sync.
const maxRemovals = 1000

// New returns an empty state.
func New() State {
	return State{endpoints: immutable.NewSortedMap[string, Endpoint](nil), removed: immutable.NewSortedMap[string, uint64](nil)}
}

// supersedes reports whether r replaces o. The start time is compared first, then the phase and then the sequence number;
// the higher one replaces the lower one.
func (r Report) supersedes(o Report) bool {
	if r.Born != o.Born {
		return r.Born > o.Born
	}
	if r.Phase != o.Phase {
		return r.Phase > o.Phase
	}
	return r.Sequence > o.Sequence
}

// Merge returns what two reports of one endpoint say together: the one that replaces the other. A report of departure
// without an address keeps the fields of the report before.
func Merge(a, b Report) Report {
	if !b.supersedes(a) {
		return a
	}
	if b.Phase == Departed && b.Address == "" {
		a.Phase, a.Sequence = Departed, max(a.Sequence, b.Sequence)
		return a
	}
	return b
}

// WithReport returns the state after a report that arrived at now. changed is false if the report was late or
// repeated. A report of departure without an address keeps the fields of the previous report.
func (s State) WithReport(r Report, now time.Duration) (next State, changed bool) {
	o, ok := s.endpoints.Get(r.ID)
	if ok && !r.supersedes(o.Report) {
		return s, false
	}
	if ok {
		r = Merge(o.Report, r)
	}
	n := s
	e := Endpoint{Report: r, HeardAt: now, KnownSince: o.KnownSince, ChangedRevision: o.ChangedRevision}
	if !ok || o.Address != r.Address || o.Born != r.Born {
		n, r = s.resolveAddress(r, now)
		e.Report, e.KnownSince = r, max(0, now)
	}
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

// resolveAddress marks endpoints as departed whose address is used by a newer process, as the report tells that arrived at now.
// If an endpoint in the state is newer than the report, the report is returned as departed. Where it can't be told which one is
// newer, both stay: requests name their endpoint, so that the other one refuses them, and the one that has ended is removed as
// silent.
func (s State) resolveAddress(r Report, now time.Duration) (State, Report) {
	n := s
	if r.Phase == Departed {
		return n, r
	}
	for e := range s.All {
		switch {
		case e.ID == r.ID || e.Address != r.Address || e.Phase == Departed:
		case r.isOlder(e):
			r.Phase = Departed
		case r.isNewer(e, now):
			n = n.withDeparted(e)
		}
	}
	return n, r
}

// isOlder reports whether a report is of a process that started before the one of an endpoint at its address.
func (r Report) isOlder(e Endpoint) bool { return r.Born > 0 && r.Born < e.Born }

// isNewer reports whether a report that arrived at now is of a process that started after the one of an endpoint at its address.
// If a start time is unknown, that is certain only where a report from before the endpoint's start would have arrived earlier.
// Reports of leavers may be repeated by hosts at any time.
func (r Report) isNewer(e Endpoint, now time.Duration) bool {
	if r.Born > 0 && e.Born > 0 {
		return r.Born > e.Born
	}
	return r.Phase == Ready && now-e.KnownSince > MaxReportDelay
}

// withDeparted returns the state after an endpoint in it has departed.
func (s State) withDeparted(e Endpoint) State {
	s.Revision++
	s.FingerprintSum -= e.Fingerprint()
	e.Phase, e.ChangedRevision = Departed, s.Revision
	s.endpoints = s.endpoints.Set(e.ID, e)
	return s
}

// routingView returns the report reduced to what affects routing. Of ColdLeft, only whether it is positive does.
func routingView(r Report) Report {
	r.Sequence = 0
	if r.ColdLeft > 0 {
		r.ColdLeft = 1
	}
	return r
}

// Fingerprint returns a hash of the parts of a report that affect routing, or 0 if the endpoint has departed.
func (r Report) Fingerprint() uint64 {
	if r.Phase == Departed {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprintf("%+v", routingView(r)))
}

// WithoutSilent returns the state without the endpoints whose newest report arrived before the given time. Departed
// endpoints are kept for as long, so that a late report can't restore them.
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

// WithSign returns the state after a sign that a start of an endpoint still runs, which counts like a report without news.
func (s State) WithSign(id string, born int64, at time.Duration) State {
	e, ok := s.endpoints.Get(id)
	if !ok || e.Born != born || e.Phase == Departed || e.HeardAt >= at {
		return s
	}
	e.HeardAt = at
	s.endpoints = s.endpoints.Set(id, e)
	return s
}

// Overdue returns the IDs of endpoints that haven't departed and whose newest report or sign came before the given time, at
// most limit of them.
func (s State) Overdue(before time.Duration, limit int) []string {
	var r []string
	for e := range s.All {
		if len(r) < limit && e.Phase != Departed && e.HeardAt < before {
			r = append(r, e.ID)
		}
	}
	return r
}

// ChangesSince returns the changes after a revision: the newest reports of changed endpoints, and the IDs of
// removed ones. ok is false if the revision is too old or unknown, so that a full sync is needed.
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

// Get returns an endpoint by its ID.
func (s State) Get(id string) (Endpoint, bool) { return s.endpoints.Get(id) }

// All yields the endpoints in the order of their IDs.
func (s State) All(yield func(Endpoint) bool) {
	for i := s.endpoints.Iterator(); !i.Done(); {
		_, e, _ := i.Next()
		if !yield(e) {
			return
		}
	}
}

// Reports returns the newest report of each endpoint in the order of their IDs.
func (s State) Reports() []Report {
	var r []Report
	for e := range s.All {
		r = append(r, e.Report)
	}
	return r
}

// ReportsHeardSince returns the newest report of each endpoint that has reported at or after a time, in the order of
// their IDs.
func (s State) ReportsHeardSince(t time.Duration) []Report {
	var r []Report
	for e := range s.All {
		if e.HeardAt >= t {
			r = append(r, e.Report)
		}
	}
	return r
}

// Sort sorts reports by ID.
func Sort(r []Report) {
	slices.SortFunc(r, func(a, b Report) int { return strings.Compare(a.ID, b.ID) })
}
