package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// AnnouncementTTL is how long after its last announcement an endpoint remains usable.
const AnnouncementTTL = 5 * time.Second

// forgetAfterSilence is how long a silent endpoint is remembered, so that a delayed announcement of an older
// incarnation can't add it again.
const forgetAfterSilence = 60 * time.Second

// TrackedEndpoint is the last announcement of an endpoint, together with this host's own observations of the
// endpoint's load and failures.
type TrackedEndpoint struct {
	model.Endpoint
	// LastSeen is the time of the endpoint's last announcement on this host's clock.
	LastSeen time.Duration
	// OwnRequests is the number of requests that this host currently has in flight at the endpoint.
	OwnRequests int
	// OwnAtAnnouncement is the value of OwnRequests when the last announcement was received.
	OwnAtAnnouncement int
	// ConnectionRefused is true after the endpoint refused a connection; the next announcement clears it.
	ConnectionRefused bool
	// BackoffUntil is the time before which the endpoint gets no new requests because of a failure.
	BackoffUntil time.Duration
	// Failures is the number of consecutive failures.
	Failures int
}

// Outstanding estimates the number of requests running or waiting at the endpoint. Requests of other hosts are
// taken from the last announcement, requests of this host from its current count.
func (n TrackedEndpoint) Outstanding() int {
	return max(0, n.Running+n.Waiting-n.OwnAtAnnouncement) + n.OwnRequests
}

// FreeCapacity returns how many more requests the endpoint can run concurrently. It is negative if more requests
// are outstanding than the endpoint's capacity.
func (n TrackedEndpoint) FreeCapacity() int { return n.Capacity - n.Outstanding() }

const (
	// batchReserveDivisor gives the share of an endpoint's capacity (1/8) that batch requests leave free for
	// other requests.
	batchReserveDivisor = 8
	// overcommitDivisor gives the share of an endpoint's capacity (1/2) by which interactive requests may exceed
	// the capacity. The engine runs interactive requests before other requests that wait there, including requests
	// from other hosts.
	overcommitDivisor = 2
)

// FreeCapacityFor returns how many more requests of a priority the endpoint should be given. With
// allowOvercommit, interactive requests may exceed the endpoint's capacity.
func (n TrackedEndpoint) FreeCapacityFor(priority model.Priority, allowOvercommit bool) int {
	switch {
	case priority == model.PriorityBatch:
		return n.FreeCapacity() - n.Capacity/batchReserveDivisor
	case priority == model.PriorityInteractive && allowOvercommit:
		return n.FreeCapacity() + n.Capacity/overcommitDivisor
	}
	return n.FreeCapacity()
}

// Usable reports whether the endpoint may get new requests: it isn't leaving, its last announcement is recent,
// and no failure keeps requests away.
func (n TrackedEndpoint) Usable(now time.Duration) bool {
	return !n.Leaving && !n.ConnectionRefused && now-n.LastSeen < AnnouncementTTL && now >= n.BackoffUntil
}

// poolKey identifies a pool: the endpoints of one data centre that hold one version or service.
type poolKey struct {
	target     string
	dataCentre string
}

// loadKey is the sort key of an endpoint in the load order. load is in thousandths of the endpoint's capacity.
type loadKey struct {
	load int
	id   string
}

type loadKeyComparer struct{}

// Compare orders keys by load, then by id.
func (loadKeyComparer) Compare(a, b loadKey) int {
	return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.id, b.id))
}

// pool holds the endpoints of one poolKey. ids is sorted, and copied before each change because older states
// share it; it may contain endpoints that aren't usable now. byLoad contains, in order of load, the endpoints that
// were usable when the pool was last updated.
type pool struct {
	ids    []string
	byLoad *immutable.SortedMap[loadKey, struct{}]
}

// State holds what a host knows about endpoints and about the quality of versions. It is immutable; methods
// that change something return a copy.
type State struct {
	endpoints *immutable.SortedMap[string, TrackedEndpoint]
	pools     *immutable.Map[poolKey, pool]
	// Evidence holds the quality statistics of versions.
	Evidence Evidence
}

type poolHasher struct{}

// Hash combines the hashes of both names.
func (poolHasher) Hash(k poolKey) uint32 {
	return immutable.NewHasher("").Hash(k.target)*31 + immutable.NewHasher("").Hash(k.dataCentre)
}

// Equal reports whether both names are equal.
func (poolHasher) Equal(a, b poolKey) bool { return a == b }

// NewState returns a state without endpoints.
func NewState() State {
	return State{
		endpoints: immutable.NewSortedMap[string, TrackedEndpoint](nil),
		pools:     immutable.NewMap[poolKey, pool](poolHasher{}),
		Evidence:  NewEvidence(),
	}
}

// Endpoint returns the endpoint with the given id.
func (s State) Endpoint(id string) (TrackedEndpoint, bool) { return s.endpoints.Get(id) }

// Endpoints returns all known endpoints, sorted by id.
func (s State) Endpoints() []TrackedEndpoint {
	var r []TrackedEndpoint
	for i := s.endpoints.Iterator(); !i.Done(); {
		_, n, _ := i.Next()
		r = append(r, n)
	}
	return r
}

// withEndpoint adds or replaces an endpoint and updates the load order of its pools.
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

// loadKeyOf returns the sort key for the endpoint's present load. An endpoint without capacity counts as having
// a capacity of 1, to avoid a division by zero.
func loadKeyOf(n TrackedEndpoint) loadKey {
	return loadKey{load: 1000 * n.Outstanding() / max(1, n.Capacity), id: n.ID}
}

// withLoadKey adds an endpoint to a pool and to the pool's load order.
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

// withoutLoadKeys removes an endpoint from the load order of its pools. The id stays in pool.ids until the
// endpoint is forgotten or changes what it holds, so that a change of load doesn't copy the list.
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

// withoutPooled removes an endpoint from its pools, both from the id lists and from the load order.
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

// WithAnnouncement returns the state after an endpoint's announcement, which was made at seen on this host's
// clock. An announcement that isn't newer than the known one is ignored. Within an incarnation, the backoff, the
// failure count and the leaving state are kept; a new incarnation starts without them and without requests in flight.
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

// WithOwnRequests adds change to the number of requests that this host has in flight at an endpoint. Changes for
// other incarnations are ignored.
func (s State) WithOwnRequests(id string, incarnation uint64, change int, now time.Duration) State {
	n, ok := s.endpoints.Get(id)
	if !ok || n.Incarnation != incarnation {
		return s
	}
	n.OwnRequests = max(0, n.OwnRequests+change)
	return s.withEndpoint(n, now)
}

// WithTimeouts returns the state after all timeouts up to now. It removes endpoints that are no longer usable
// from the load order, adds endpoints again whose backoff has ended, and forgets endpoints that have been silent
// for longer than forgetAfterSilence and have no request of this host in flight.
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

// inLoadOrder reports whether an endpoint is in the load order of its pools.
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
