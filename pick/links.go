package pick

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/reach"
)

// openFailureMemory is how long an endpoint counts as unreachable after opening a connection to it has failed.
const openFailureMemory = 1500 * time.Millisecond

// LinkChange is a change of this host's link to the endpoints of a data centre.
type LinkChange struct {
	DataCentre    string
	Before, After reach.State
	// CutSince is since when nothing opens, if After is Cut.
	CutSince time.Time
}

// recordSign records an answer of an endpoint on a direct connection.
func (s *Set) recordSign(n *endpoint, now time.Time) {
	s.answeredAt[n.report.Service] = now
	s.links[n.report.DataCentre] = s.links[n.report.DataCentre].WithSign(now)
}

// RecordOpening records the outcome of opening a connection to an endpoint directly. If it failed, the endpoint is ejected
// on that way. RecordOpening returns for how long, or 0.
func (s *Set) RecordOpening(o reach.Opening) (ejected time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[o.Endpoint]
	if !ok {
		return 0
	}
	if o.Outcome == reach.Opened {
		s.recordSign(n, o.Ended)
		n.openFailingSince, n.openFailedAt = time.Time{}, time.Time{}
	} else {
		if n.openFailingSince.IsZero() {
			n.openFailingSince = o.Began
		}
		n.openFailedAt = o.Ended
		ejected = n.eject(Direct, o.Ended)
	}
	c := n.report.DataCentre
	s.setLink(c, s.links[c].WithOpening(o, len(s.inCentre(c))))
	return ejected
}

// doubtQuiet is how long nothing may have come from a data centre for a doubt to count.
const doubtQuiet = 120 * time.Millisecond

// Doubt records that something but an opening speaks against the link to an endpoint, such as a request without an answer.
// It does nothing if anything came from the data centre a moment ago.
func (s *Set) Doubt(id string, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	if !ok {
		return
	}
	c := n.report.DataCentre
	if l := s.links[c]; now.Sub(l.SignAt()) > doubtQuiet {
		s.setLink(c, l.WithDoubt(now))
	}
}

// setLink stores a link. Once endpoints of a data centre accept connections again, they are no longer ejected.
func (s *Set) setLink(centre string, l reach.Link) {
	o := s.links[centre]
	s.links[centre] = l
	if o.State() == l.State() {
		return
	}
	s.linkChanges = append(s.linkChanges, LinkChange{DataCentre: centre, Before: o.State(), After: l.State(), CutSince: l.CutSince()})
	if l.State() != reach.Returning {
		return
	}
	for _, n := range s.endpoints {
		if n.report.DataCentre == centre {
			n.paths[Direct] = pathHealth{}
			n.openFailingSince, n.openFailedAt = time.Time{}, time.Time{}
		}
	}
}

// TakeLinkChanges returns the changes of links since the last call, in their order.
func (s *Set) TakeLinkChanges() []LinkChange {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := s.linkChanges
	s.linkChanges = nil
	return r
}

// inCentre returns the IDs of the endpoints of a data centre that take requests: first those to which no opening has failed
// since one succeeded, the last active ones before others.
func (s *Set) inCentre(centre string) []string {
	var r []string
	for i, n := range s.endpoints {
		if n.report.DataCentre == centre && n.serves(n.report.Service) {
			r = append(r, i)
		}
	}
	slices.SortFunc(r, func(a, b string) int {
		x, y := s.endpoints[a], s.endpoints[b]
		return cmp.Or(x.openFailedAt.Compare(y.openFailedAt), y.lastActive.Compare(x.lastActive), cmp.Compare(a, b))
	})
	return r
}

// DueProbes returns the endpoints that are to be probed now because their links are in doubt, and ends states of links that
// last for a time.
func (s *Set) DueProbes(now time.Time) []fleet.Report {
	s.lock.Lock()
	defer s.lock.Unlock()
	var r []fleet.Report
	for _, c := range slices.Sorted(maps.Keys(s.links)) {
		s.setLink(c, s.links[c].At(now))
		if s.links[c].State() == reach.Sound {
			continue
		}
		l, p := s.links[c].WithProbes(s.inCentre(c), now)
		s.links[c] = l
		for _, i := range p {
			r = append(r, s.endpoints[i].report)
		}
	}
	return r
}

// Link returns the state of the link to the data centre of an endpoint.
func (s *Set) Link(id string) reach.State {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	if !ok {
		return reach.Sound
	}
	return s.links[n.report.DataCentre].State()
}

// CutCentres returns the number of data centres whose links are cut or returning.
func (s *Set) CutCentres() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	n := 0
	for _, l := range s.links {
		if l.State() == reach.Cut || l.State() == reach.Returning {
			n++
		}
	}
	return n
}

// avoidsLink reports whether a request had better not use the direct link to an endpoint.
func (s *Set) avoidsLink(n *endpoint, q Request, now time.Time) bool {
	l := s.links[n.report.DataCentre]
	return l.Avoid() || q.LinkDraw >= l.DirectShare(now)
}

// CutOff describes whether a request can reach endpoints directly.
type CutOff struct {
	// Cut is set if no endpoint of the service can be reached, and Since is when that began.
	Cut   bool
	Since time.Time
	// Undecided is set if none is known to be reached, and probes are to decide about some.
	Undecided bool
	// Returning is set if the links to some have opened again and carry few requests yet.
	Returning bool
	// Silent is set if openings to some get no answer, rather than a refusal at once.
	Silent bool
	// Probed is set if probes have decided about all of them.
	Probed bool
}

// CutOff returns whether the request can reach endpoints of its service directly. Those that were tried before count, too.
func (s *Set) CutOff(q Request, now time.Time) CutOff {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := CutOff{Probed: true}
	n := 0
	for _, e := range s.endpoints {
		if !e.serves(q.Service) {
			continue
		}
		n++
		l := s.links[e.report.DataCentre]
		r.Silent = r.Silent || l.Silent()
		switch {
		case q.LinkDraw >= l.DirectShare(now):
			r.Since = latest(r.Since, l.CutSince())
			r.Returning = r.Returning || l.State() == reach.Returning
		case l.Probing():
			r.Undecided = true
		case !e.openFailedAt.IsZero() && now.Sub(e.openFailedAt) < openFailureMemory:
			r.Since, r.Probed = latest(r.Since, e.openFailingSince), false
		default:
			return CutOff{}
		}
	}
	r.Cut = n > 0 && !r.Undecided
	return r
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Answered returns how long ago this host last got an answer or opened a connection, by service. Only endpoints that it
// reaches directly count, and only services with a steady link to some of their endpoints.
func (s *Set) Answered(now time.Time) map[string]time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := map[string]time.Duration{}
	for _, n := range s.endpoints {
		k := n.report.Service
		if a := now.Sub(s.answeredAt[k]); a < maxAnsweredAge && n.serves(k) && s.links[n.report.DataCentre].Steady(now) {
			r[k] = a
		}
	}
	return r
}

// maxAnsweredAge is the age from which an answer no longer counts as a sign that a service can be reached.
const maxAnsweredAge = 10 * time.Second

// MayRelay reports whether this host may send a request of another host to an endpoint, as far as it knows: the endpoint is
// the same one, takes requests, and its link isn't cut.
func (s *Set) MayRelay(r fleet.Report) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[r.ID]
	if !ok {
		return false
	}
	return n.serves(r.Service) && n.report.Address == r.Address && n.report.Born == r.Born && s.links[n.report.DataCentre].State() != reach.Cut
}
