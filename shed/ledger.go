package shed

import (
	"math"
	"sync"
	"time"
)

const (
	// rateTime is the time over which demand is averaged.
	rateTime = time.Second
	// kindTime is how long after its last request a kind counts for the wait that is allowed.
	kindTime = 10 * time.Second
	// freshTime is the age up to which the demand of the fleet is used. Older knowledge may name accounts that have stopped since.
	freshTime = 3 * time.Second
	// leastRequests is the number of a host's own requests, averaged over rateTime, from which on they tell shares of accounts.
	leastRequests = 20
	// leastSlackShare bounds the wait that is allowed from below, as a part of a kind's objective: its own work may take all of it.
	leastSlackShare = 0.25
)

// Use is a request as its host sees it when it arrives.
type Use struct {
	// Kind is the route.
	Kind     string
	Account  string
	Priority int
	// SlotTime is the estimated time that it occupies a slot, and Work that to the start of its answer on an idle endpoint.
	SlotTime, Work time.Duration
	// Objective is the time within which its answer has to begin.
	Objective time.Duration
}

// View is what a host knows of the demand for a service.
type View struct {
	Demand Demand
	// Allowed is the longest wait by which all kinds of late are in time, or 0 if there were none with an objective.
	Allowed time.Duration
	// SlotTime is the mean time that requests occupy a slot. What waits at an endpoint is of any kind.
	SlotTime time.Duration
	// Fleet is set if the demand is that of the fleet, and Age the time since its oldest part was counted.
	Fleet bool
	Age   time.Duration
}

// Ledger holds the demand that a host has seen and what it was told of the fleet's. It is safe for concurrent use. Times are durations
// since an origin that the caller chooses.
type Ledger struct {
	lock     sync.Mutex
	services map[string]*record
	// fleet is the demand of the fleet, and summedAt when it was summed on this host's clock.
	fleet    map[string]Demand
	summedAt time.Duration
	// oldestAt is when its oldest part was counted.
	oldestAt time.Duration
	reported time.Duration
}

// record is the demand for one service.
type record struct {
	own      Demand
	requests float64
	updated  time.Duration
	kinds    map[string]kind
}

// kind is how long requests of a kind may wait and still be in time, and when the last one came.
type kind struct {
	slack time.Duration
	at    time.Duration
}

// NewLedger returns a ledger without demand.
func NewLedger() *Ledger { return &Ledger{services: map[string]*record{}} }

// Add adds a request to the demand for a service.
func (l *Ledger) Add(service string, u Use, now time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	r, ok := l.services[service]
	if !ok {
		r = &record{own: Demand{Accounts: map[string]float64{}, Priorities: map[int]float64{}}, updated: now, kinds: map[string]kind{}}
		l.services[service] = r
	}
	r.advance(now)
	w := u.SlotTime.Seconds() / rateTime.Seconds()
	r.own.Accounts[u.Account] += w
	r.own.Priorities[u.Priority] += w
	r.requests++
	if u.Objective <= 0 { // it doesn't bound the wait
		return
	}
	s := max(u.Objective-u.Work, time.Duration(leastSlackShare*float64(u.Objective)))
	r.kinds[u.Kind] = kind{s, now}
}

// advance fades the demand to a time, and forgets what has faded.
func (r *record) advance(now time.Duration) {
	f := math.Exp(-max(0, now-r.updated).Seconds() / rateTime.Seconds())
	r.updated = max(r.updated, now)
	r.requests *= f
	fade(r.own.Accounts, f)
	fade(r.own.Priorities, f)
}

// faded is the work below which demand is forgotten.
const faded = 1e-4

// fade multiplies the values of a map, and removes those that become small.
func fade[K comparable](m map[K]float64, factor float64) {
	for k, v := range m {
		if m[k] = v * factor; m[k] < faded {
			delete(m, k)
		}
	}
}

// View returns what is known of the demand for a service: that of the fleet while it is fresh, or else what this host has seen itself if
// that is enough to tell shares.
func (l *Ledger) View(service string, now time.Duration) View {
	l.lock.Lock()
	defer l.lock.Unlock()
	var v View
	r, ok := l.services[service]
	if !ok {
		return v
	}
	r.advance(now)
	bounded := false
	for n, k := range r.kinds {
		if k.at+kindTime < now {
			delete(r.kinds, n)
			continue
		}
		if !bounded || k.slack < v.Allowed {
			v.Allowed, bounded = k.slack, true
		}
	}
	if r.requests > 0 {
		v.SlotTime = time.Duration(r.own.Total() / r.requests * float64(rateTime))
	}
	v.Age = now - l.oldestAt
	if d, ok := l.fleet[service]; ok && v.Age <= freshTime {
		v.Demand, v.Fleet = d, true
		return v
	}
	if v.Age = 0; r.requests >= leastRequests {
		v.Demand = r.own.clone()
	}
	return v
}

// Report returns the host's own demand by service, at most once in reportEvery, or nil.
func (l *Ledger) Report(now time.Duration) map[string]Demand {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.reported > 0 && now < l.reported+reportEvery {
		return nil
	}
	l.reported = now
	n := make(map[string]Demand, len(l.services))
	for s, r := range l.services {
		r.advance(now)
		n[s] = r.own.Bounded(maxAccounts)
	}
	return n
}

// Adopt takes over the demand of the fleet that was summed a time age ago, unless a newer sum is known. oldest is the age of its oldest part.
func (l *Ledger) Adopt(fleet map[string]Demand, age, oldest, now time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if at := now - age; l.fleet == nil || at > l.summedAt {
		l.fleet, l.summedAt, l.oldestAt = fleet, at, now-oldest
	}
}
