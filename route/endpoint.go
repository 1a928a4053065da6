package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// HasUsableEndpoint reports whether at least one usable endpoint in one of the data centres holds the target,
// which is a version or service name.
func (s State) HasUsableEndpoint(target string, dataCentres []string) bool {
	return slices.ContainsFunc(dataCentres, func(d string) bool {
		p, ok := s.pools.Get(poolKey{target, d})
		return ok && p.byLoad.Len() > 0
	})
}

// EndpointChoice is the result of State.ChooseEndpoint.
type EndpointChoice struct {
	Endpoint TrackedEndpoint
	// HasCapacity is true if the endpoint can take the request now. Otherwise the request has to wait.
	HasCapacity bool
}

// EndpointQuery holds the criteria by which State.ChooseEndpoint selects an endpoint for a request.
type EndpointQuery struct {
	// Target is the version or service that the endpoint must hold.
	Target string
	// DataCentres lists the data centres to search, in order of preference.
	DataCentres []string
	// Exclude lists the ids of endpoints that must not be chosen.
	Exclude  []string
	Priority model.Priority
	// AllowOvercommit lets an interactive request exceed the endpoint's capacity.
	AllowOvercommit bool
	// Seed seeds the random selection, so that equal queries on equal states give equal results.
	Seed uint64
}

// ChooseEndpoint returns a usable endpoint that holds the query's target. It takes the first data centre in
// which the selected endpoint has capacity; if no data centre has one, it returns the endpoint selected in the
// first data centre that has a usable endpoint, with HasCapacity false. The result is false if there is no
// usable endpoint.
//
// Within a data centre it selects the less loaded of two random endpoints, so that hosts with the same load
// reports don't all send to the same endpoint. If neither has free capacity, it selects the least loaded one.
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

// chooseFromPool selects one endpoint of a pool by the power of two random choices.
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

// leastLoaded returns the least loaded endpoint that is usable and not excluded.
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
	// backoffBase is the backoff after the first failure; each further failure in a row doubles it.
	backoffBase = 500 * time.Millisecond
	// backoffMax is the upper bound of the backoff.
	backoffMax = 30 * time.Second
)

// WithFailure returns the state after a request failed at an endpoint, which starts an exponential backoff
// without new requests. A refused connection means that the incarnation has ended, so the endpoint gets
// nothing until its next announcement. Failures of other incarnations are ignored.
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

// WithSuccess returns the state after a request succeeded at an endpoint, which resets its failure count and
// backoff. Successes of other incarnations are ignored.
func (s State) WithSuccess(id string, incarnation uint64, now time.Duration) State {
	n, ok := s.endpoints.Get(id)
	if !ok || n.Incarnation != incarnation || n.Failures == 0 {
		return s
	}
	n.Failures, n.BackoffUntil = 0, 0
	return s.withEndpoint(n, now)
}
