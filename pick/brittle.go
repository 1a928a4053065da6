package pick

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryshelf/hickoryshelf/limit"
)

const (
	// turnedAwayTime is how long a request that a brittle endpoint has turned away takes a place: what an endpoint turns away in that time is
	// what makes it fall over.
	turnedAwayTime = time.Second
	// spareShare is the share of the requests that a brittle endpoint may turn away in a second of which all hosts together risk one each
	// beyond its slots.
	spareShare = 0.3
	// turnTime is for how long a host has a place at a brittle endpoint with fewer places than hosts, and turnShare the share of the places
	// that are given out so, since the turns of hosts aren't aligned.
	turnTime  = 500 * time.Millisecond
	turnShare = 0.7
)

// brittleness is what the answers of a service's endpoints say about it: Rate is the number of requests that one of them may turn away in a
// second without falling over. It holds for the endpoints of the service that have said nothing yet, such as one that has fallen over and is
// new again.
type brittleness struct {
	limit.Named
	// addresses holds the sorted addresses of the endpoints that were seen while the service was brittle.
	addresses []string
	// room is closed once a place may have become free.
	room chan struct{}
	// waiting is the number of requests that wait for one.
	waiting int
}

// places returns how many requests this host may have in flight at an endpoint, or false if it isn't brittle. All hosts together have one
// for each of its slots, and some more. A host that has none at any endpoint has one in turns.
func (s *Set) places(n *endpoint, now time.Time) (int, bool) {
	b := s.brittle[n.report.Service]
	if b == nil || b.Rate == 0 {
		return 0, false
	}
	k := max(1, n.report.Slots)
	k += min(int(math.Ceil(spareShare*float64(b.Rate))), k)
	b.note(n.report.Address)
	r, _ := slices.BinarySearch(b.addresses, n.report.Address)
	if len(b.addresses)*k < len(s.hosts.all) {
		return turn(k, n.report.Address, s.hosts.self, s.hosts.all, now), true
	}
	return Places(k, r, s.hosts.self, s.hosts.all), true
}

// note remembers the address of an endpoint. Addresses stay known while their endpoints are down, so that the places of the others don't
// go to other hosts each time.
func (b *brittleness) note(address string) {
	if i, ok := slices.BinarySearch(b.addresses, address); !ok {
		b.addresses = slices.Insert(b.addresses, i, address)
	}
}

// Places returns how many of the places at an endpoint belong to a host. rank is the rank of the endpoint among those of its service: its
// places follow those of the endpoints before it around the ring of hosts, so that each host has as many in all as any other, or one more.
// hosts are the sorted IDs of the entry hosts that are known; the host counts as one of them.
func Places(all, rank int, host string, hosts []string) int {
	i, ok := slices.BinarySearch(hosts, host)
	h := len(hosts)
	if !ok {
		h++
	}
	n := all / h
	if (i-rank*all%h+h)%h < all%h {
		n++
	}
	return n
}

// turn returns 1 if a host has one of the places at an endpoint in the present turn, where a service has fewer places than hosts.
func turn(all int, address, host string, hosts []string, now time.Time) int {
	w := xxhash.Sum64String(address + "\x00" + host)
	t := now.Add(time.Duration(w%uint64(turnTime))).UnixNano() / int64(turnTime)
	if x := w ^ xxhash.Sum64String(strconv.FormatInt(t, 10)); float64(x%1000) < 1000*turnShare*float64(all)/float64(len(hosts)) {
		return 1
	}
	return 0
}

// lacksPlace reports whether an endpoint is brittle and this host has no place left there. Requests that it turned away lately take one.
func (s *Set) lacksPlace(n *endpoint, now time.Time) bool {
	k, ok := s.places(n, now)
	if !ok {
		return false
	}
	n.turnedAway = slices.DeleteFunc(n.turnedAway, func(t time.Time) bool { return now.Sub(t) > turnedAwayTime })
	return n.local.Requests+n.relayed+len(n.turnedAway) >= k
}

// recordBrittle records what an answer says about the brittleness of its service, and reports whether that is another number.
func (s *Set) recordBrittle(n *endpoint, a Asks, now time.Time) (changed bool) {
	b := s.brittle[n.report.Service]
	if b == nil {
		if a.Brittle == 0 {
			return false
		}
		b = &brittleness{room: make(chan struct{})}
		s.brittle[n.report.Service] = b
	}
	o := b.Rate
	b.Named = b.WithAnswer(a.Brittle, now)
	if b.Rate > 0 && a.TurnedAway {
		n.turnedAway = append(n.turnedAway, now)
	}
	return o != b.Rate
}

// freePlace lets a request go on that waits for a place at an endpoint of a service.
func (s *Set) freePlace(service string) {
	if b := s.brittle[service]; b != nil && b.waiting > 0 {
		close(b.room)
		b.room = make(chan struct{})
	}
}

// AwaitPlace returns a channel that is closed once a place at an endpoint of a brittle service may have become free, and a function to be
// called once it isn't waited for any more. ok is false if the service isn't brittle, or if as many requests wait as there are places:
// another one would wait for long.
func (s *Set) AwaitPlace(service string, now time.Time) (room <-chan struct{}, leave func(), ok bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	b := s.brittle[service]
	if b == nil || b.Rate == 0 || b.waiting >= s.servicePlaces(service, now) {
		return nil, nil, false
	}
	b.waiting++
	return b.room, func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		b.waiting--
	}, true
}

// servicePlaces returns the number of this host's places at all endpoints of a service, which is at least 1.
func (s *Set) servicePlaces(service string, now time.Time) int {
	k := 0
	for _, n := range s.endpoints {
		if n.serves(service) {
			p, _ := s.places(n, now)
			k += p
		}
	}
	return max(1, k)
}
