package pick

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
)

// departedFor is how long an endpoint that left is remembered, longer than reports of it can be late.
const departedFor = time.Minute

// departure is an endpoint that left, and when this host last heard so.
type departure struct {
	report fleet.Report
	heard  time.Time
}

// Replace takes the endpoints that control hosts know.
func (s *Set) Replace(reports []fleet.Report) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.forgetDepartures()
	k := map[string]bool{}
	for _, r := range reports {
		k[r.ID] = true
		s.take(r)
	}
	for i, n := range s.nodes {
		n.forgotten = !k[i]
		s.drop(i, n)
	}
}

// forgetDepartures drops those of which no late report can come any more.
func (s *Set) forgetDepartures() {
	for i, d := range s.departed {
		if time.Since(d.heard) > departedFor {
			delete(s.departed, i)
		}
	}
}

// Merge takes changes of endpoints and forgets those that are gone.
func (s *Set) Merge(reports []fleet.Report, gone []string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.forgetDepartures()
	for _, r := range reports {
		s.take(r)
	}
	for _, i := range gone {
		if n, ok := s.nodes[i]; ok {
			n.forgotten = true
			s.drop(i, n)
		}
	}
}

// drop removes a forgotten endpoint once nothing is under way there.
func (s *Set) drop(id string, n *node) {
	if n.forgotten && n.mine.Requests == 0 {
		delete(s.nodes, id)
	}
}

func (s *Set) take(r fleet.Report) {
	if d, ok := s.departed[r.ID]; ok && d.report.Born >= r.Born && r.Phase == fleet.Ready {
		return
	}
	if r.Phase != fleet.Ready {
		s.departed[r.ID] = departure{report: r, heard: time.Now()}
	}
	n, ok := s.nodes[r.ID]
	if !ok || n.report.Born != r.Born || n.report.Address != r.Address {
		o := n
		n = &node{pace: 1}
		if ok {
			n.mine = o.mine
		}
		s.nodes[r.ID] = n
	}
	n.report, n.forgotten = r, false
}

// Leaving returns the endpoints that this host knows to leave.
func (s *Set) Leaving() []fleet.Report {
	s.lock.Lock()
	defer s.lock.Unlock()
	var r []fleet.Report
	for _, d := range s.departed {
		r = append(r, d.report)
	}
	return r
}

// SetRemoteLoads takes the loads of other hosts.
func (s *Set) SetRemoteLoads(loads map[string]ctlrpc.Load) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for i, n := range s.nodes {
		n.others = loads[i]
	}
}

// ReadyCounts counts the endpoints of each service that take requests.
func (s *Set) ReadyCounts() map[string]int {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := map[string]int{}
	for _, n := range s.nodes {
		if !n.gone && !n.forgotten && n.report.Phase == fleet.Ready {
			r[n.report.Service]++
		}
	}
	return r
}

// FingerprintSum is that of the fingerprints of all endpoints.
func (s *Set) FingerprintSum() uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	var r uint64
	for _, n := range s.nodes {
		if !n.forgotten {
			r += n.report.Fingerprint()
		}
	}
	return r
}

// MergeRemoteLoads takes loads of other hosts that have changed.
func (s *Set) MergeRemoteLoads(loads map[string]ctlrpc.Load) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for i, l := range loads {
		if n, ok := s.nodes[i]; ok {
			n.others = l
		}
	}
}

// SetRollouts takes the roll-outs. The share of a target never falls while its roll-out runs well.
func (s *Set) SetRollouts(views []canary.View) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n := map[string]canary.View{}
	t := map[uint64]time.Time{}
	for _, v := range views {
		o, ok := s.rollouts[v.Service]
		if ok && o.Serial > v.Serial || ok && o.Serial == v.Serial && o.Outcome != canary.Running && v.Outcome == canary.Running {
			v = o
		}
		if ok && o.Serial == v.Serial && v.Outcome == canary.Running && v.Plan.Fresh > 0 {
			v.Plan.Fresh, v.Plan.Bound = max(v.Plan.Fresh, o.Plan.Fresh), max(v.Plan.Bound, o.Plan.Bound)
		}
		n[v.Service] = v
		if v.Outcome == canary.Running {
			t[v.Serial] = s.orderedAt(v)
		}
	}
	s.rollouts, s.ordered = n, t
}

// orderedAt is when a roll-out was ordered, by the control host that has known it longest.
func (s *Set) orderedAt(v canary.View) time.Time {
	t := time.Now().Add(-v.Elapsed)
	if o, ok := s.ordered[v.Serial]; ok && o.Before(t) {
		return o
	}
	return t
}

// RolloutAges returns the time since the order of each running roll-out, by serial.
func (s *Set) RolloutAges() map[uint64]time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := map[uint64]time.Duration{}
	for k, t := range s.ordered {
		r[k] = time.Since(t)
	}
	return r
}

// Rollout returns the newest roll-out of a service.
func (s *Set) Rollout(service string) (canary.View, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	v, ok := s.rollouts[service]
	return v, ok
}

// HasService reports whether any endpoint of a service is known.
func (s *Set) HasService(service string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, n := range s.nodes {
		if n.report.Service == service {
			return true
		}
	}
	return false
}

// Backlogs are the work that waits at the endpoint of a service with the least of it, and on average.
func (s *Set) Backlogs(service string) (least, mean time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, t, l := 0, 0, -1
	for _, e := range s.nodes {
		if e.gone || e.report.Service != service || e.report.Phase != fleet.Ready {
			continue
		}
		w := e.mine.Backlog + e.others.Backlog
		n, t = n+1, t+w
		if l < 0 || w < l {
			l = w
		}
	}
	if n == 0 {
		return 0, 0
	}
	return time.Duration(l) * time.Millisecond, time.Duration(t/n) * time.Millisecond
}

// LocalLoads returns the requests that this host has under way.
func (s *Set) LocalLoads() map[string]ctlrpc.Load {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := map[string]ctlrpc.Load{}
	for i, n := range s.nodes {
		if n.mine.Requests > 0 {
			r[i] = n.mine
		}
	}
	return r
}
