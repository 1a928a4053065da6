package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// Holders reports whether a usable endpoint of one of the data centres holds the version or service.
func (s State) Holders(hold string, dataCentres []string) bool {
	return slices.ContainsFunc(dataCentres, func(d string) bool {
		p, ok := s.pools.Get(poolKey{hold, d})
		return ok && p.slots.Len() > 0
	})
}

// Spot is an endpoint chosen for a request.
type Spot struct {
	Node Node
	// Free is true when the endpoint may be given the request now.
	Free bool
}

// Wish is what a request asks of the choice of an endpoint.
type Wish struct {
	Hold string
	// DataCentres are tried in order.
	DataCentres []string
	Exclude     []string
	Priority    model.Priority
	// Excess allows an interactive request to exceed the endpoint's capacity.
	Excess bool
	Seed   uint64
}

// ChooseEndpoint returns an endpoint that holds the version or service: one of the first data centre that
// has a free one. Of two drawn at random the less loaded is taken, so that hosts with the same reports
// don't all choose the same one; the least loaded is taken where both are full.
func (s State) ChooseEndpoint(wish Wish, now time.Duration) (Spot, bool) {
	r := rand.New(rand.NewPCG(wish.Seed, uint64(len(wish.Exclude))))
	var b Spot
	f := false
	for _, d := range wish.DataCentres {
		p, ok := s.pools.Get(poolKey{wish.Hold, d})
		if !ok {
			continue
		}
		n, ok := s.chooseIn(p, wish.Exclude, r, now)
		if !ok {
			continue
		}
		if n.FreeFor(wish.Priority, wish.Excess) > 0 {
			return Spot{Node: n, Free: true}, true
		}
		if !f {
			b, f = Spot{Node: n}, true
		}
	}
	return b, f
}

func (s State) chooseIn(p pool, exclude []string, r *rand.Rand, now time.Duration) (Node, bool) {
	var b Node
	f := false
	for range min(2, len(p.ids)) {
		n, ok := s.nodes.Get(p.ids[r.IntN(len(p.ids))])
		if !ok || !n.Usable(now) || slices.Contains(exclude, n.ID) {
			continue
		}
		if !f || slotOf(n).load < slotOf(b).load {
			b, f = n, true
		}
	}
	if f && b.Free() > 0 {
		return b, true
	}
	return s.leastLoaded(p.slots, exclude, now)
}

// leastLoaded returns the first endpoint in order of load that may be used.
func (s State) leastLoaded(slots *immutable.SortedMap[slot, struct{}], exclude []string, now time.Duration) (Node, bool) {
	for i := slots.Iterator(); !i.Done(); {
		k, _, _ := i.Next()
		n, ok := s.nodes.Get(k.id)
		if ok && n.Usable(now) && !slices.Contains(exclude, n.ID) {
			return n, true
		}
	}
	return Node{}, false
}

const (
	suspectBase = 500 * time.Millisecond
	suspectMax  = 30 * time.Second
)

// WithFailure marks an endpoint after a failed request. A refused connection says that this incarnation
// has gone, so nothing is sent until the endpoint announces again; other failures keep new work away for
// an exponentially growing time.
func (s State) WithFailure(id string, incarnation uint64, refused bool, now time.Duration) State {
	n, ok := s.nodes.Get(id)
	if !ok || n.Incarnation != incarnation {
		return s
	}
	n.Failures++
	n.Gone = n.Gone || refused
	n.Suspect = now + min(suspectMax, suspectBase<<min(n.Failures-1, 8))
	return s.withNode(n, now)
}

// WithSuccess clears the failures of an endpoint.
func (s State) WithSuccess(id string, incarnation uint64, now time.Duration) State {
	n, ok := s.nodes.Get(id)
	if !ok || n.Incarnation != incarnation || n.Failures == 0 {
		return s
	}
	n.Failures, n.Suspect = 0, 0
	return s.withNode(n, now)
}
