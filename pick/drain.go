package pick

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/drain"
	"github.com/hickoryshelf/hickoryshelf/fleet"
)

// drainState is the state of drains that is in force.
type drainState struct {
	state drain.State
	index uint64
	// any is set if any data centre is drained.
	any bool
	// changedAt holds the latest time at which each data centre can have changed.
	changedAt map[string]time.Time
}

// SetDrains puts a state of drains in force and reports whether it did: an older one than that in force is ignored. Requests in flight at
// endpoints of drained data centres go on, and none is sent there any more.
func (s *Set) SetDrains(d ctlrpc.Drains, now time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if d.Index < s.drains.index {
		return false
	}
	n := drainState{state: d.State, index: d.Index, any: len(d.State.Drained()) > 0, changedAt: map[string]time.Time{}}
	for k, c := range d.State {
		n.changedAt[k] = now.Add(-d.Ages[k])
		if o, ok := s.drains.changedAt[k]; ok && s.drains.state[k] == c && o.Before(n.changedAt[k]) {
			n.changedAt[k] = o
		}
	}
	s.drains = n
	for _, e := range s.endpoints {
		e.drained = n.state.IsDrained(e.report.DataCentre)
	}
	return true
}

// DrainChange returns the last change of a data centre and the latest time at which it can have been made. The index of the change is 0
// if the data centre was never drained.
func (s *Set) DrainChange(dataCentre string) (c drain.Change, at time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.drains.state[dataCentre], s.drains.changedAt[dataCentre]
}

// DrainedCentres returns the sorted names of the drained data centres.
func (s *Set) DrainedCentres() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.drains.state.Drained()
}

// InDrainedCentre reports whether the data centre of an endpoint is drained, by a report or by what this host knows of the endpoint.
func (s *Set) InDrainedCentre(r fleet.Report) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[r.ID]
	return s.drains.state.IsDrained(r.DataCentre) || ok && n.drained
}

// Withheld returns the number of endpoints that would serve a service if their data centres weren't drained, and the index of the drains.
func (s *Set) Withheld(service string) (endpoints int, index uint64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.drainedCount(service, nil), s.drains.index
}

// drainedCount returns the number of endpoints that meet the condition, if it isn't nil, and would serve a service if their data centres weren't
// drained.
func (s *Set) drainedCount(service string, condition func(*endpoint) bool) int {
	if !s.drains.any {
		return 0
	}
	k := 0
	for _, n := range s.endpoints {
		if n.drained && n.runs(service) && (condition == nil || condition(n)) {
			k++
		}
	}
	return k
}
