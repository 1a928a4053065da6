package pick

import (
	"maps"
	"time"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
)

// departureRetention is how long a departure is kept.
const departureRetention = fleet.MaxReportDelay

// departure is the last report of an endpoint that is leaving or has departed, and the time at which this host last
// received such a report.
type departure struct {
	report  fleet.Report
	heardAt time.Time
}

// leaver is the start of an endpoint whose answers have said that it leaves, and when the last one did.
type leaver struct {
	born    int64
	heardAt time.Time
}

// Replace sets the endpoints to those that the control hosts know (full sync).
func (s *Set) Replace(reports []fleet.Report) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expireDepartures()
	k := map[string]bool{}
	for _, r := range reports {
		k[r.ID] = true
		s.applyReport(r)
	}
	for i, n := range s.endpoints {
		n.removed = !k[i]
		s.deleteIfIdle(i, n)
	}
}

// expireDepartures deletes departures that are older than any report that can still arrive.
func (s *Set) expireDepartures() {
	for i, d := range s.departed {
		if time.Since(d.heardAt) > departureRetention {
			delete(s.departed, i)
		}
	}
	for i, l := range s.leavers {
		if s.endpoints[i] == nil && time.Since(l.heardAt) > departureRetention {
			delete(s.leavers, i)
		}
	}
}

// Merge applies changed reports (delta). gone holds the IDs of endpoints that are removed.
func (s *Set) Merge(reports []fleet.Report, gone []string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expireDepartures()
	for _, r := range reports {
		s.applyReport(r)
	}
	for _, i := range gone {
		if n, ok := s.endpoints[i]; ok {
			n.removed = true
			s.deleteIfIdle(i, n)
		}
	}
}

// deleteIfIdle deletes a removed endpoint once it has no requests in flight.
func (s *Set) deleteIfIdle(id string, n *endpoint) {
	if n.removed && n.local.Requests == 0 {
		delete(s.endpoints, id)
	}
}

// applyReport stores a report. If a departure of the endpoint is kept, a report that it is ready is ignored unless it
// comes from a later start. An endpoint with a new start or address loses its health statistics, but keeps its load of
// requests in flight.
func (s *Set) applyReport(r fleet.Report) {
	if d, ok := s.departed[r.ID]; ok && d.report.Born >= r.Born && r.Phase == fleet.Ready {
		return
	}
	if r.Phase != fleet.Ready {
		s.departed[r.ID] = departure{report: r, heardAt: time.Now()}
	}
	n, ok := s.endpoints[r.ID]
	s.cold.note(r, ok && !n.removed)
	if !ok || n.report.Born != r.Born || n.report.Address != r.Address {
		o := n
		n = &endpoint{slowdown: 1, factor: s.keptFactor(r.ID, r.Born)}
		if ok {
			n.local = o.local
		}
		s.endpoints[r.ID] = n
	}
	if l, ok := s.leavers[r.ID]; ok && l.born == r.Born {
		n.leaving = true
	}
	n.report, n.removed, n.drained = r, false, s.drains.state.IsDrained(r.DataCentre)
}

// Leaving returns the reports of endpoints that this host knows to be leaving or departed.
func (s *Set) Leaving() []fleet.Report {
	s.lock.Lock()
	defer s.lock.Unlock()
	var r []fleet.Report
	for _, d := range s.departed {
		r = append(r, d.report)
	}
	return r
}

// SetRemoteLoads replaces the loads that other hosts put on endpoints. The keys are endpoint IDs.
func (s *Set) SetRemoteLoads(loads map[string]ctlrpc.Load) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for i, n := range s.endpoints {
		n.remote = loads[i]
	}
	s.loadsAt = time.Now()
}

// ReadyCounts returns the number of endpoints that take requests, by service.
func (s *Set) ReadyCounts() map[string]int {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := map[string]int{}
	for _, n := range s.endpoints {
		if n.serves(n.report.Service) {
			r[n.report.Service]++
		}
	}
	return r
}

// FingerprintSum returns the sum of the fingerprints of all endpoints. It equals FingerprintSum of a fleet.State
// with the same endpoints.
func (s *Set) FingerprintSum() uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	var r uint64
	for _, n := range s.endpoints {
		if !n.removed {
			r += n.report.Fingerprint()
		}
	}
	return r
}

// MergeRemoteLoads updates the loads that other hosts put on endpoints. Endpoints missing from loads keep theirs.
func (s *Set) MergeRemoteLoads(loads map[string]ctlrpc.Load) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for i, l := range loads {
		if n, ok := s.endpoints[i]; ok {
			n.remote = l
		}
	}
	s.loadsAt = time.Now()
}

// SetRollouts takes over the newest rollout of each service. The view held of a service stays if none is given, as by a control
// host that is behind, if the given one has a lower serial, or if it shows a rollout as running that has already ended. While a
// rollout runs, the target's traffic share never falls, unless evidence against the target sets it to 0.
func (s *Set) SetRollouts(views []canary.View) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n := map[string]canary.View{}
	maps.Copy(n, s.rollouts)
	for _, v := range views {
		o, ok := s.rollouts[v.Service]
		if ok && o.Serial > v.Serial || ok && o.Serial == v.Serial && o.Outcome != canary.Running && v.Outcome == canary.Running {
			v = o
		}
		if ok && o.Serial == v.Serial && v.Outcome == canary.Running && v.Plan.Fresh > 0 {
			v.Plan.Fresh, v.Plan.Bound = max(v.Plan.Fresh, o.Plan.Fresh), max(v.Plan.Bound, o.Plan.Bound)
		}
		n[v.Service] = v
	}
	t := map[uint64]time.Time{}
	for _, v := range n {
		if v.Outcome == canary.Running {
			t[v.Serial] = s.startTime(v)
		}
	}
	s.rollouts, s.startTimes = n, t
}

// startTime returns the time at which a rollout was ordered. Control hosts that learned of the rollout late
// report less elapsed time, so that the earliest of the reported times is used.
func (s *Set) startTime(v canary.View) time.Time {
	t := time.Now().Add(-v.Elapsed)
	if o, ok := s.startTimes[v.Serial]; ok && o.Before(t) {
		return o
	}
	return t
}

// RolloutAges returns the time since the order of each running rollout, by serial.
func (s *Set) RolloutAges() map[uint64]time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := map[uint64]time.Duration{}
	for k, t := range s.startTimes {
		r[k] = time.Since(t)
	}
	return r
}

// Rollout returns the newest rollout of a service. Elapsed is up to date if the rollout runs.
func (s *Set) Rollout(service string) (canary.View, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	v, ok := s.rollouts[service]
	if t, running := s.startTimes[v.Serial]; running {
		v.Elapsed = time.Since(t)
	}
	return v, ok
}

// HasService reports whether any endpoint of a service is known, whatever its phase.
func (s *Set) HasService(service string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, n := range s.endpoints {
		if n.report.Service == service {
			return true
		}
	}
	return false
}

// Queue describes the waits at the endpoints that requests of a service may go to now.
type Queue struct {
	// Least and Mean are the least and the mean wait of a request for which an endpoint has no work to do.
	Least, Mean time.Duration
	// Full is the share of endpoints, from 0 to 1, whose slots are all taken.
	Full float64
	// Waiting is the least number of requests beyond the slots of an endpoint.
	Waiting int
}

// Queue returns the queue at the endpoints that may take a request. It is empty if there are none.
func (s *Set) Queue(q Request, now time.Time) Queue {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ageFactors(now)
	q.Work, q.CacheSaving = 0, 0
	s.cold.begin()
	l := s.candidates(q, now)
	if len(l) == 0 {
		return Queue{}
	}
	var r Queue
	for k, e := range l {
		w := s.estimate(e, q)
		if k == 0 || w < r.Least {
			r.Least = w
		}
		r.Mean += w
		if q.Slots == 0 {
			continue
		}
		b := s.load(e, q).Requests - q.Slots
		if b >= 0 {
			r.Full++
		}
		if k == 0 || b < r.Waiting {
			r.Waiting = max(0, b)
		}
	}
	r.Mean /= time.Duration(len(l))
	r.Full /= float64(len(l))
	return r
}

// LocalLoads returns the load that this host puts on endpoints, by endpoint ID. Endpoints without requests in
// flight are left out.
func (s *Set) LocalLoads() map[string]ctlrpc.Load {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := map[string]ctlrpc.Load{}
	for i, n := range s.endpoints {
		if n.local.Requests > 0 {
			r[i] = n.local
		}
	}
	return r
}
