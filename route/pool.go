package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// AnnouncementTTL is how long an endpoint counts after its last announcement.
const AnnouncementTTL = 5 * time.Second

// forgetAfterSilence is how long a silent endpoint is remembered, so that an old incarnation can't return.
const forgetAfterSilence = 60 * time.Second

// TrackedEndpoint is an endpoint with what this host knows of its load.
type TrackedEndpoint struct {
	model.Endpoint
	// LastSeen is when the endpoint made its last announcement, on this host's clock.
	LastSeen time.Duration
	// OwnRequests is the number of this host's requests at the endpoint now.
	OwnRequests int
	// OwnAtAnnouncement is what Own was when the announcement came in.
	OwnAtAnnouncement int
	// ConnectionRefused is true after the endpoint's incarnation refused a connection; a later announcement clears it.
	ConnectionRefused bool
	// BackoffUntil is until when the endpoint gets no new work after a failure.
	BackoffUntil time.Duration
	// Failures counts failures in a row.
	Failures int
}

// Outstanding estimates the requests at the endpoint: the others' as announced, and this host's own now.
func (n TrackedEndpoint) Outstanding() int {
	return max(0, n.Running+n.Waiting-n.OwnAtAnnouncement) + n.OwnRequests
}

// FreeCapacity returns how many more requests the endpoint runs at once.
func (n TrackedEndpoint) FreeCapacity() int { return n.Capacity - n.Outstanding() }

const (
	// batchReserveDivisor is the part of an endpoint's capacity that batch requests leave to others.
	batchReserveDivisor = 8
	// overcommitDivisor is the part of its capacity by which interactive requests may exceed it: the engine lets
	// them go before what waits there, whichever host sent it.
	overcommitDivisor = 2
)

// FreeCapacityFor returns how many more requests of a priority the endpoint should be given, with or without the
// excess that interactive ones may use.
func (n TrackedEndpoint) FreeCapacityFor(priority model.Priority, allowOvercommit bool) int {
	switch {
	case priority == model.PriorityBatch:
		return n.FreeCapacity() - n.Capacity/batchReserveDivisor
	case priority == model.PriorityInteractive && allowOvercommit:
		return n.FreeCapacity() + n.Capacity/overcommitDivisor
	}
	return n.FreeCapacity()
}

// Usable reports whether the endpoint may get new work.
func (n TrackedEndpoint) Usable(now time.Duration) bool {
	return !n.Leaving && !n.ConnectionRefused && now-n.LastSeen < AnnouncementTTL && now >= n.BackoffUntil
}

// poolKey names the endpoints of one data centre that hold one version or service.
type poolKey struct {
	target     string
	dataCentre string
}

// loadKey orders endpoints by load, in thousandths of their capacity.
type loadKey struct {
	load int
	id   string
}

type loadKeyComparer struct{}

// Compare orders slots by load, then by id.
func (loadKeyComparer) Compare(a, b loadKey) int {
	return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.id, b.id))
}

// pool holds the usable endpoints of a key. ids is sorted and never written; slots orders the same ids.
type pool struct {
	ids    []string
	byLoad *immutable.SortedMap[loadKey, struct{}]
}

// State is what a host knows of endpoints and of the versions' quality. It is a value; its methods return
// changed copies.
type State struct {
	endpoints *immutable.SortedMap[string, TrackedEndpoint]
	pools     *immutable.Map[poolKey, pool]
	// Evidence is what is known of the quality of versions.
	Evidence Evidence
}

type poolHasher struct{}

// Hash mixes both names.
func (poolHasher) Hash(k poolKey) uint32 {
	return immutable.NewHasher("").Hash(k.target)*31 + immutable.NewHasher("").Hash(k.dataCentre)
}

// Equal compares both names.
func (poolHasher) Equal(a, b poolKey) bool { return a == b }

// NewState returns a state without endpoints.
func NewState() State {
	return State{
		endpoints: immutable.NewSortedMap[string, TrackedEndpoint](nil),
		pools:     immutable.NewMap[poolKey, pool](poolHasher{}),
		Evidence:  NewEvidence(),
	}
}

// Endpoint returns an endpoint by id.
func (s State) Endpoint(id string) (TrackedEndpoint, bool) { return s.endpoints.Get(id) }

// Endpoints returns all known endpoints by id.
func (s State) Endpoints() []TrackedEndpoint {
	var r []TrackedEndpoint
	for i := s.endpoints.Iterator(); !i.Done(); {
		_, n, _ := i.Next()
		r = append(r, n)
	}
	return r
}

// withEndpoint replaces an endpoint and its places in the pools.
func (s State) withEndpoint(n TrackedEndpoint, now time.Duration) State {
	if o, ok := s.endpoints.Get(n.ID); ok {
		s = s.withoutLoadKeys(o)
	}
	s.endpoints = s.endpoints.Set(n.ID, n)
	if !n.Usable(now) {
		return s
	}
	for _, h := range n.Holds {
		s = s.withLoadKey(poolKey{h, n.DataCentre}, n)
	}
	return s
}

func loadKeyOf(n TrackedEndpoint) loadKey {
	return loadKey{load: 1000 * n.Outstanding() / max(1, n.Capacity), id: n.ID}
}

func (s State) withLoadKey(k poolKey, n TrackedEndpoint) State {
	p, ok := s.pools.Get(k)
	if !ok {
		p.byLoad = immutable.NewSortedMap[loadKey, struct{}](loadKeyComparer{})
	}
	if i, ok := slices.BinarySearch(p.ids, n.ID); !ok {
		p.ids = slices.Insert(slices.Clone(p.ids), i, n.ID)
	}
	p.byLoad = p.byLoad.Set(loadKeyOf(n), struct{}{})
	s.pools = s.pools.Set(k, p)
	return s
}

// withoutLoadKeys takes an endpoint out of the order by load. Its id stays in the pool's list until the
// endpoint has gone, so that a change of load costs no copy of the list.
func (s State) withoutLoadKeys(n TrackedEndpoint) State {
	for _, h := range n.Holds {
		k := poolKey{h, n.DataCentre}
		p, ok := s.pools.Get(k)
		if !ok {
			continue
		}
		p.byLoad = p.byLoad.Delete(loadKeyOf(n))
		s.pools = s.pools.Set(k, p)
	}
	return s
}

// withoutPooled takes an endpoint out of the pools' lists.
func (s State) withoutPooled(n TrackedEndpoint) State {
	s = s.withoutLoadKeys(n)
	for _, h := range n.Holds {
		k := poolKey{h, n.DataCentre}
		p, ok := s.pools.Get(k)
		if !ok {
			continue
		}
		p.ids = slices.DeleteFunc(slices.Clone(p.ids), func(i string) bool { return i == n.ID })
		s.pools = s.pools.Set(k, p)
	}
	return s
}

// WithAnnouncement merges an announcement that was made at seen; older ones are ignored.
func (s State) WithAnnouncement(e model.Endpoint, seen, now time.Duration) State {
	o, ok := s.endpoints.Get(e.ID)
	if ok && !e.Supersedes(o.Endpoint) {
		return s
	}
	n := TrackedEndpoint{Endpoint: e, LastSeen: seen, OwnRequests: o.OwnRequests, OwnAtAnnouncement: o.OwnRequests}
	if ok && o.Incarnation == e.Incarnation {
		n.BackoffUntil, n.Failures = o.BackoffUntil, o.Failures
		n.Leaving = e.Leaving || o.Leaving
	} else if ok {
		n.OwnRequests, n.OwnAtAnnouncement = 0, 0
	}
	if ok && !slices.Equal(o.Holds, e.Holds) {
		s = s.withoutPooled(o)
	}
	return s.withEndpoint(n, now)
}

// WithOwnRequests changes the count of this host's requests at an endpoint's incarnation.
func (s State) WithOwnRequests(id string, incarnation uint64, change int, now time.Duration) State {
	n, ok := s.endpoints.Get(id)
	if !ok || n.Incarnation != incarnation {
		return s
	}
	n.OwnRequests = max(0, n.OwnRequests+change)
	return s.withEndpoint(n, now)
}

// WithTimeouts takes endpoints that are no longer usable out of the order by load, puts back those whose
// suspicion has ended, and forgets those that have been silent for long.
func (s State) WithTimeouts(now time.Duration) State {
	for _, n := range s.Endpoints() {
		switch {
		case now-n.LastSeen > forgetAfterSilence && n.OwnRequests == 0:
			s = s.withoutPooled(n)
			s.endpoints = s.endpoints.Delete(n.ID)
		case s.inLoadOrder(n) != n.Usable(now):
			s = s.withEndpoint(n, now)
		}
	}
	return s
}

// inLoadOrder reports whether an endpoint stands in the order by load.
func (s State) inLoadOrder(n TrackedEndpoint) bool {
	if len(n.Holds) == 0 {
		return false
	}
	p, ok := s.pools.Get(poolKey{n.Holds[0], n.DataCentre})
	if !ok {
		return false
	}
	_, o := p.byLoad.Get(loadKeyOf(n))
	return o
}
