package pick

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/reach"
)

// openFailureMemory is how long an endpoint counts as unreachable after opening a connection to it has failed.
const openFailureMemory = 1500 * time.Millisecond

// LinkChange is a change of this host's link to the endpoints of a service in a data centre.
type LinkChange struct {
	ctlrpc.Pool
	Before, After reach.State
	// CutSince is since when nothing is answered, if After is Cut.
	CutSince time.Time
}

// recordSign records an answer of an endpoint on a direct connection.
func (s *Set) recordSign(n *endpoint, now time.Time) {
	p := n.pool()
	s.answeredAt[p] = reach.Latest(s.answeredAt[p], now)
	s.links[p] = s.links[p].WithSign(now)
}

// pool returns the pool of the endpoint.
func (n *endpoint) pool() ctlrpc.Pool {
	return ctlrpc.Pool{Service: n.report.Service, DataCentre: n.report.DataCentre}
}

// RecordOpening records the outcome of a new connection to an endpoint. If it didn't open, the endpoint is ejected on the direct
// way. RecordOpening returns for how long, or 0.
func (s *Set) RecordOpening(o reach.Opening) (ejected time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[o.Endpoint]
	if !ok {
		return 0
	}
	switch o.Outcome {
	case reach.Answered:
		s.recordSign(n, o.Ended)
		n.openFailingSince, n.openFailedAt, n.probedAt = time.Time{}, time.Time{}, o.Ended
	case reach.Refused, reach.Silent:
		if k := s.cold.starts[o.Endpoint]; k != nil && o.Outcome == reach.Refused {
			k.refused(o.Began, o.Ended, s.cold.now())
		}
		if n.openFailingSince.IsZero() {
			n.openFailingSince = o.Began
		}
		n.openFailedAt = o.Ended
		ejected = n.eject(Direct, o.Ended)
	}
	p := n.pool()
	s.setLink(p, s.links[p].WithOpening(o, s.poolSize(p)))
	return ejected
}

// doubtQuiet is how long nothing may have come from a pool for a doubt to count.
const doubtQuiet = 200 * time.Millisecond

// Doubt records that something but an opening speaks against the link to an endpoint, such as a request without an answer.
// It does nothing if anything came from its pool a moment ago.
func (s *Set) Doubt(id string, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	if !ok {
		return
	}
	p := n.pool()
	if l := s.links[p]; now.Sub(l.SignAt()) > doubtQuiet {
		s.setLink(p, l.WithDoubt(now))
	}
}

// setLink stores a link. A cut raises doubts about other links, and after it endpoints are no longer ejected.
func (s *Set) setLink(p ctlrpc.Pool, l reach.Link) {
	o := s.links[p]
	s.links[p] = l
	if o.State() == l.State() {
		return
	}
	s.linkChanges = append(s.linkChanges, LinkChange{Pool: p, Before: o.State(), After: l.State(), CutSince: l.CutSince()})
	switch l.State() {
	case reach.Cut:
		s.doubtOthers(l)
	case reach.Returning:
		s.unejectPool(p)
	}
}

// doubtOthers raises doubts about the links to pools from which nothing has come since a link was cut.
func (s *Set) doubtOthers(cut reach.Link) {
	for _, n := range s.endpoints {
		p := n.pool()
		if l := s.links[p]; n.serves(p.Service) && l.State() == reach.Sound && l.SignAt().Before(cut.CutSince()) {
			s.setLink(p, l.WithSuspicion(cut.Since()))
		}
	}
}

// unejectPool ends what speaks against the endpoints of a pool on the direct way.
func (s *Set) unejectPool(p ctlrpc.Pool) {
	for _, n := range s.endpoints {
		if n.pool() == p {
			n.paths[Direct] = pathHealth{}
			n.openFailingSince, n.openFailedAt = time.Time{}, time.Time{}
			if k := s.cold.starts[n.report.ID]; k != nil {
				k.runs() // the link was cut
			}
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

// inPool returns the IDs of the endpoints of a pool that take requests: first those to which no opening has failed
// since one succeeded, the last active ones before others.
func (s *Set) inPool(p ctlrpc.Pool) []string {
	var r []string
	for i, n := range s.endpoints {
		if n.pool() == p && n.serves(p.Service) {
			r = append(r, i)
		}
	}
	slices.SortFunc(r, func(a, b string) int {
		x, y := s.endpoints[a], s.endpoints[b]
		return cmp.Or(x.openFailedAt.Compare(y.openFailedAt), y.lastActive.Compare(x.lastActive), cmp.Compare(a, b))
	})
	return r
}

// poolSize returns the number of endpoints of a pool that take requests.
func (s *Set) poolSize(p ctlrpc.Pool) int {
	k := 0
	for _, n := range s.endpoints {
		if n.pool() == p && n.serves(p.Service) {
			k++
		}
	}
	return k
}

// DueProbes returns the endpoints that are to be probed now because their links are in doubt, and ends states of links that
// last for a time.
func (s *Set) DueProbes(now time.Time) []fleet.Report {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.cold.begin()
	var r []fleet.Report
	for p := range s.links {
		s.setLink(p, s.links[p].At(now))
		if s.links[p].State() == reach.Sound {
			continue
		}
		l, e := s.links[p].WithProbes(s.warm(s.inPool(p), now), now)
		s.links[p] = l
		for _, i := range e {
			r = append(r, s.endpoints[i].report)
		}
	}
	slices.SortFunc(r, func(a, b fleet.Report) int { return cmp.Compare(a.ID, b.ID) })
	return r
}

// ConfirmCut records that others have got answers from the pool of an endpoint before this host got none, while its link is cut.
func (s *Set) ConfirmCut(id string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if n, ok := s.endpoints[id]; ok {
		s.links[n.pool()] = s.links[n.pool()].WithOthersAnswered()
	}
}

// Link returns the link to the pool of an endpoint, or a sound one if the endpoint is unknown.
func (s *Set) Link(id string) reach.Link {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	if !ok {
		return reach.Link{}
	}
	return s.links[n.pool()]
}

// LinkCounts returns the number of links that aren't sound, and that of those which are cut.
func (s *Set) LinkCounts() (doubted, cut int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, l := range s.links {
		if l.State() != reach.Sound {
			doubted++
		}
		if l.State() == reach.Cut {
			cut++
		}
	}
	return doubted, cut
}

// Suspect makes probes decide about the link to an endpoint.
func (s *Set) Suspect(id string, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if n, ok := s.endpoints[id]; ok {
		s.setLink(n.pool(), s.links[n.pool()].WithSuspicion(now))
	}
}

// NeighboursHeard reports whether anything has come since a time from the pool of an endpoint or, if it is alone there, from
// other pools of its service or, if it is the only one of its service, from any. It tells nothing of endpoints in a drained data centre,
// whose neighbours aren't probed.
func (s *Set) NeighboursHeard(id string, since time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	if !ok || n.drained {
		return false
	}
	if p := n.pool(); s.poolSize(p) > 1 {
		return s.links[p].SignAt().After(since)
	}
	alone, heard := true, false
	for _, e := range s.endpoints {
		p := e.pool()
		if p == n.pool() || !e.serves(p.Service) {
			continue
		}
		h := s.links[p].SignAt().After(since)
		if p.Service == n.report.Service {
			if h {
				return true
			}
			alone = false
		}
		heard = heard || h
	}
	return heard && alone
}

// avoidsLink reports whether a request had better not use the direct link to an endpoint.
func (s *Set) avoidsLink(n *endpoint, q Request, now time.Time) bool {
	l := s.links[n.pool()]
	return l.Avoid() || q.LinkDraw >= l.DirectShare(now)
}

// CutOff describes whether a request can reach endpoints directly.
type CutOff struct {
	// Cut is set if no endpoint of the service can be reached.
	Cut bool
	// Lost holds the data centres in which no endpoint of the service can be reached, and since when.
	Lost map[string]time.Time
	// Unsure is set if some accept connections and answer nothing, and may be silent themselves. They aren't in Lost.
	Unsure bool
	// Undecided is set if none is known to be reached, and probes are under way that decide about some. Pending is set if
	// some links are suspect, so that probes are under way or follow.
	Undecided, Pending bool
	// Returning is set if some answer again and get few requests yet.
	Returning bool
	// Silent is set if nothing answers openings to some, rather than a refusal at once.
	Silent bool
	// Probed is set if probes have decided about all of them.
	Probed bool
	// reached is set if some endpoint can be reached.
	reached bool
}

// CutOff returns whether the request can reach endpoints of its service directly. Those that were tried before count, too.
func (s *Set) CutOff(q Request, now time.Time) CutOff {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := CutOff{Probed: true, Lost: map[string]time.Time{}}
	reached := map[string]bool{}
	for _, e := range s.eligible(q) {
		c := e.report.DataCentre
		l := s.links[e.pool()]
		r.Silent = r.Silent || l.Silent()
		r.Pending = r.Pending || l.State() == reach.Suspect
		switch {
		case l.State() == reach.Cut && !l.Decided():
			r.Unsure = true
		case q.LinkDraw >= l.DirectShare(now):
			r.Lost[c] = reach.Latest(r.Lost[c], l.CutSince())
			r.Returning = r.Returning || l.State() == reach.Returning
		case l.Probing():
			reached[c], r.Undecided = true, true
		case !e.openFailedAt.IsZero() && now.Sub(e.openFailedAt) < openFailureMemory:
			r.Lost[c], r.Probed = reach.Latest(r.Lost[c], e.openFailingSince), false
		default:
			reached[c], r.reached = true, true
		}
	}
	maps.DeleteFunc(r.Lost, func(c string, _ time.Time) bool { return reached[c] })
	r.Undecided = r.Undecided && !r.reached
	r.Cut = (len(r.Lost) > 0 || r.Unsure) && !r.Undecided && !r.reached
	return r
}

// eligible returns the endpoints that the request may go to, whether they can take it now or not. Those that were tried
// before count, too.
func (s *Set) eligible(q Request) []*endpoint {
	q.Tried, q.Centres = nil, nil
	v, ok := s.rollouts[q.Service]
	if !ok {
		return s.untried(q, nil)
	}
	t := s.goesToTarget(v, q)
	l := s.untried(q, ofVersion(v, t))
	if len(l) == 0 && s.mayUseOtherVersion(v, t) {
		l = s.untried(q, ofVersion(v, !t))
	}
	return l
}

// Answered returns how long ago this host last got an answer. Only endpoints that it reaches directly count, and only pools with a
// steady link outside the drained data centres, since other hosts send requests there by it.
func (s *Set) Answered(now time.Time) map[ctlrpc.Pool]time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := map[ctlrpc.Pool]time.Duration{}
	for k, t := range s.answeredAt {
		if a := now.Sub(t); a < maxAnsweredAge && s.links[k].Steady(now) && !s.drains.state.IsDrained(k.DataCentre) {
			r[k] = a
		}
	}
	return r
}

// Active returns how long ago endpoints last sent something, among those with the given IDs. Those
// of which nothing was heard for maxAnsweredAge are left out.
func (s *Set) Active(ids []string, now time.Time) []ctlrpc.ActiveEndpoint {
	s.lock.Lock()
	defer s.lock.Unlock()
	var r []ctlrpc.ActiveEndpoint
	for _, i := range ids {
		n, ok := s.endpoints[i]
		if !ok || n.replaced {
			continue
		}
		if a := now.Sub(reach.Latest(n.lastActive, n.probedAt)); a < maxAnsweredAge {
			r = append(r, ctlrpc.ActiveEndpoint{ID: i, Born: n.report.Born, Age: a})
		}
	}
	return r
}

// maxAnsweredAge is the age from which an answer no longer counts as a sign that endpoints can be reached.
const maxAnsweredAge = 1500 * time.Millisecond
