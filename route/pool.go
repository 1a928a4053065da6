package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// Expiry is how long an endpoint counts after its last announcement.
const Expiry = 5 * time.Second

// forgetAfter is how long a silent endpoint is remembered, so that an old incarnation can't return.
const forgetAfter = 60 * time.Second

// Node is an endpoint with what this host knows of its load.
type Node struct {
	model.Endpoint
	// Seen is when the endpoint made its last announcement, on this host's clock.
	Seen time.Duration
	// Own is the number of this host's requests at the endpoint now.
	Own int
	// OwnThen is what Own was when the announcement came in.
	OwnThen int
	// Gone is true after the endpoint's incarnation refused a connection; a later announcement clears it.
	Gone bool
	// Suspect is until when the endpoint gets no new work after a failure.
	Suspect time.Duration
	// Failures counts failures in a row.
	Failures int
}

// Outstanding estimates the requests at the endpoint: the others' as announced, and this host's own now.
func (n Node) Outstanding() int { return max(0, n.Running+n.Waiting-n.OwnThen) + n.Own }

// Free returns how many more requests the endpoint runs at once.
func (n Node) Free() int { return n.Capacity - n.Outstanding() }

const (
	// reservePart is the part of an endpoint's capacity that batch requests leave to others.
	reservePart = 8
	// excessPart is the part of its capacity by which interactive requests may exceed it: the engine lets
	// them go before what waits there, whichever host sent it.
	excessPart = 2
)

// FreeFor returns how many more requests of a priority the endpoint should be given, with or without the
// excess that interactive ones may use.
func (n Node) FreeFor(priority model.Priority, excess bool) int {
	switch {
	case priority == model.PriorityBatch:
		return n.Free() - n.Capacity/reservePart
	case priority == model.PriorityInteractive && excess:
		return n.Free() + n.Capacity/excessPart
	}
	return n.Free()
}

// Usable reports whether the endpoint may get new work.
func (n Node) Usable(now time.Duration) bool {
	return !n.Leaving && !n.Gone && now-n.Seen < Expiry && now >= n.Suspect
}

// poolKey names the endpoints of one data centre that hold one version or service.
type poolKey struct {
	hold       string
	dataCentre string
}

// slot orders endpoints by load, in thousandths of their capacity.
type slot struct {
	load int
	id   string
}

type slotComparer struct{}

// Compare orders slots by load, then by id.
func (slotComparer) Compare(a, b slot) int {
	return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.id, b.id))
}

// pool holds the usable endpoints of a key. ids is sorted and never written; slots orders the same ids.
type pool struct {
	ids   []string
	slots *immutable.SortedMap[slot, struct{}]
}

// State is what a host knows of endpoints and of the versions' quality. It is a value; its methods return
// changed copies.
type State struct {
	nodes *immutable.SortedMap[string, Node]
	pools *immutable.Map[poolKey, pool]
	// Evidence is what is known of the quality of versions.
	Evidence Evidence
}

type poolHasher struct{}

// Hash mixes both names.
func (poolHasher) Hash(k poolKey) uint32 {
	return immutable.NewHasher("").Hash(k.hold)*31 + immutable.NewHasher("").Hash(k.dataCentre)
}

// Equal compares both names.
func (poolHasher) Equal(a, b poolKey) bool { return a == b }

// NewState returns a state without endpoints.
func NewState() State {
	return State{
		nodes:    immutable.NewSortedMap[string, Node](nil),
		pools:    immutable.NewMap[poolKey, pool](poolHasher{}),
		Evidence: NewEvidence(),
	}
}

// Node returns an endpoint by id.
func (s State) Node(id string) (Node, bool) { return s.nodes.Get(id) }

// Nodes returns all known endpoints by id.
func (s State) Nodes() []Node {
	var r []Node
	for i := s.nodes.Iterator(); !i.Done(); {
		_, n, _ := i.Next()
		r = append(r, n)
	}
	return r
}

// withNode replaces an endpoint and its places in the pools.
func (s State) withNode(n Node, now time.Duration) State {
	if o, ok := s.nodes.Get(n.ID); ok {
		s = s.withoutSlots(o)
	}
	s.nodes = s.nodes.Set(n.ID, n)
	if !n.Usable(now) {
		return s
	}
	for _, h := range n.Holds {
		s = s.withSlot(poolKey{h, n.DataCentre}, n)
	}
	return s
}

func slotOf(n Node) slot { return slot{load: 1000 * n.Outstanding() / max(1, n.Capacity), id: n.ID} }

func (s State) withSlot(k poolKey, n Node) State {
	p, ok := s.pools.Get(k)
	if !ok {
		p.slots = immutable.NewSortedMap[slot, struct{}](slotComparer{})
	}
	if i, ok := slices.BinarySearch(p.ids, n.ID); !ok {
		p.ids = slices.Insert(slices.Clone(p.ids), i, n.ID)
	}
	p.slots = p.slots.Set(slotOf(n), struct{}{})
	s.pools = s.pools.Set(k, p)
	return s
}

// withoutSlots takes an endpoint out of the order by load. Its id stays in the pool's list until the
// endpoint has gone, so that a change of load costs no copy of the list.
func (s State) withoutSlots(n Node) State {
	for _, h := range n.Holds {
		k := poolKey{h, n.DataCentre}
		p, ok := s.pools.Get(k)
		if !ok {
			continue
		}
		p.slots = p.slots.Delete(slotOf(n))
		s.pools = s.pools.Set(k, p)
	}
	return s
}

// dropped takes an endpoint out of the pools' lists.
func (s State) dropped(n Node) State {
	s = s.withoutSlots(n)
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
	o, ok := s.nodes.Get(e.ID)
	if ok && !e.Supersedes(o.Endpoint) {
		return s
	}
	n := Node{Endpoint: e, Seen: seen, Own: o.Own, OwnThen: o.Own}
	if ok && o.Incarnation == e.Incarnation {
		n.Suspect, n.Failures = o.Suspect, o.Failures
		n.Leaving = e.Leaving || o.Leaving
	} else if ok {
		n.Own, n.OwnThen = 0, 0
	}
	if ok && !slices.Equal(o.Holds, e.Holds) {
		s = s.dropped(o)
	}
	return s.withNode(n, now)
}

// WithOwn changes the count of this host's requests at an endpoint's incarnation.
func (s State) WithOwn(id string, incarnation uint64, change int, now time.Duration) State {
	n, ok := s.nodes.Get(id)
	if !ok || n.Incarnation != incarnation {
		return s
	}
	n.Own = max(0, n.Own+change)
	return s.withNode(n, now)
}

// WithExpired takes endpoints that are no longer usable out of the order by load, puts back those whose
// suspicion has ended, and forgets those that have been silent for long.
func (s State) WithExpired(now time.Duration) State {
	for _, n := range s.Nodes() {
		switch {
		case now-n.Seen > forgetAfter && n.Own == 0:
			s = s.dropped(n)
			s.nodes = s.nodes.Delete(n.ID)
		case s.ordered(n) != n.Usable(now):
			s = s.withNode(n, now)
		}
	}
	return s
}

// ordered reports whether an endpoint stands in the order by load.
func (s State) ordered(n Node) bool {
	if len(n.Holds) == 0 {
		return false
	}
	p, ok := s.pools.Get(poolKey{n.Holds[0], n.DataCentre})
	if !ok {
		return false
	}
	_, o := p.slots.Get(slotOf(n))
	return o
}
