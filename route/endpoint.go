package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// HasUsableEndpoint reports whether a usable endpoint of one of the data centres holds the version or service.
func (s State) HasUsableEndpoint(target string, dataCentres []string) bool {
	return slices.ContainsFunc(dataCentres, func(d string) bool {
		p, ok := s.pools.Get(poolKey{target, d})
		return ok && p.byLoad.Len() > 0
	})
}

// EndpointChoice is an endpoint chosen for a request.
type EndpointChoice struct {
	Endpoint TrackedEndpoint
	// HasCapacity is true when the endpoint may be given the request now.
	HasCapacity bool
}

// EndpointQuery is what a request asks of the choice of an endpoint.
type EndpointQuery struct {
	Target string
	// DataCentres are tried in order.
	DataCentres []string
	Exclude     []string
	Priority    model.Priority
	// AllowOvercommit allows an interactive request to exceed the endpoint's capacity.
	AllowOvercommit bool
	Seed            uint64
}

// ChooseEndpoint returns an endpoint that holds the version or service: one of the first data centre that
// has a free one. Of two drawn at random the less loaded is taken, so that hosts with the same reports
// don't all choose the same one; the least loaded is taken where both are full.
func (s State) ChooseEndpoint(query EndpointQuery, now time.Duration) (EndpointChoice, bool) {
	r := rand.New(rand.NewPCG(query.Seed, uint64(len(query.Exclude))))
	var b EndpointChoice
	f := false
	for _, d := range query.DataCentres {
		p, ok := s.pools.Get(poolKey{query.Target, d})
		if !ok {
			continue
		}
		n, ok := s.chooseFromPool(p, query.Exclude, r, now)
		if !ok {
			continue
		}
		if n.FreeCapacityFor(query.Priority, query.AllowOvercommit) > 0 {
			return EndpointChoice{Endpoint: n, HasCapacity: true}, true
		}
		if !f {
			b, f = EndpointChoice{Endpoint: n}, true
		}
	}
	return b, f
}

func (s State) chooseFromPool(p pool, exclude []string, r *rand.Rand, now time.Duration) (TrackedEndpoint, bool) {
	var b TrackedEndpoint
	f := false
	for range min(2, len(p.ids)) {
		n, ok := s.endpoints.Get(p.ids[r.IntN(len(p.ids))])
		if !ok || !n.Usable(now) || slices.Contains(exclude, n.ID) {
			continue
		}
		if !f || loadKeyOf(n).load < loadKeyOf(b).load {
			b, f = n, true
		}
	}
	if f && b.FreeCapacity() > 0 {
		return b, true
	}
	return s.leastLoaded(p.byLoad, exclude, now)
}

// leastLoaded returns the first endpoint in order of load that may be used.
func (s State) leastLoaded(byLoad *immutable.SortedMap[loadKey, struct{}], exclude []string, now time.Duration) (TrackedEndpoint, bool) {
	for i := byLoad.Iterator(); !i.Done(); {
		k, _, _ := i.Next()
		n, ok := s.endpoints.Get(k.id)
		if ok && n.Usable(now) && !slices.Contains(exclude, n.ID) {
			return n, true
		}
	}
	return TrackedEndpoint{}, false
}

const (
	backoffBase = 500 * time.Millisecond
	backoffMax  = 30 * time.Second
)

// WithFailure marks an endpoint after a failed request. A refused connection says that this incarnation
// has gone, so nothing is sent until the endpoint announces again; other failures keep new work away for
// an exponentially growing time.
func (s State) WithFailure(id string, incarnation uint64, refused bool, now time.Duration) State {
	n, ok := s.endpoints.Get(id)
	if !ok || n.Incarnation != incarnation {
		return s
	}
	n.Failures++
	n.ConnectionRefused = n.ConnectionRefused || refused
	n.BackoffUntil = now + min(backoffMax, backoffBase<<min(n.Failures-1, 8))
	return s.withEndpoint(n, now)
}

// WithSuccess clears the failures of an endpoint.
func (s State) WithSuccess(id string, incarnation uint64, now time.Duration) State {
	n, ok := s.endpoints.Get(id)
	if !ok || n.Incarnation != incarnation || n.Failures == 0 {
		return s
	}
	n.Failures, n.BackoffUntil = 0, 0
	return s.withEndpoint(n, now)
}
