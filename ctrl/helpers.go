package ctrl

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
)

const (
	// helpersPerPool is the number of entry hosts that are named for the endpoints of each service in each data centre.
	helpersPerPool = 4
	// maxHelperAge is the age of a host's last answer from which the host isn't named.
	maxHelperAge = 1500 * time.Millisecond
	// takenStep is the number of requests taken for others by which one host counts as busier than another.
	takenStep = 8
	// maxHelperIndexAge is how long an index is used for further requests.
	maxHelperIndexAge = 100 * time.Millisecond
)

// HelperIndex holds the entry hosts through which others may send requests, by the endpoints that they reach. It is an
// immutable value.
type HelperIndex struct {
	// builtAt is the time of the state that the index was built from. The ages in it are those at that time.
	builtAt time.Duration
	// byPool holds the hosts that were answered lately, those with little to do for others first.
	byPool map[ctlrpc.Pool][]ctlrpc.NamedHelper
}

// NewHelperIndex returns the index of what entry hosts last reported. Hosts that stop or didn't report lately are left out.
func NewHelperIndex(s State) HelperIndex {
	x := HelperIndex{builtAt: s.Now, byPool: map[ctlrpc.Pool][]ctlrpc.NamedHelper{}}
	for i := s.entryHosts.Iterator(); !i.Done(); {
		n, h, _ := i.Next()
		a := h.report.Assist
		if a.Address == "" || a.Stopping || h.assistAt+maxHelperAge < s.Now {
			continue
		}
		a.Answered = agedAnswers(a.Answered, s.Now-h.assistAt)
		for p := range a.Answered {
			x.byPool[p] = append(x.byPool[p], ctlrpc.NamedHelper{Host: n, Assist: a})
		}
	}
	for _, l := range x.byPool {
		slices.SortFunc(l, func(a, b ctlrpc.NamedHelper) int {
			return cmp.Or(cmp.Compare(a.Taken/takenStep, b.Taken/takenStep), cmp.Compare(a.Host, b.Host))
		})
	}
	return x
}

// agedAnswers returns what a host was answered, some time after it has reported that. What is too old is left out.
func agedAnswers(answered map[ctlrpc.Pool]time.Duration, since time.Duration) map[ctlrpc.Pool]time.Duration {
	r := map[ctlrpc.Pool]time.Duration{}
	for p, d := range answered {
		if d+since <= maxHelperAge {
			r[p] = d + since
		}
	}
	return r
}

// For returns the hosts through which another one may send requests at now: for each pool up to helpersPerPool, half of them
// in the data centre of the asking host and half in others, since all of a data centre may have lost the same links. Hosts
// that ask get different ones among equals.
func (x HelperIndex) For(q ctlrpc.HelperRequest, now time.Duration) []ctlrpc.NamedHelper {
	r := map[string]ctlrpc.NamedHelper{}
	for _, l := range x.byPool {
		l = rotateFirst(l, xxhash.Sum64String(q.Host))
		// o are in the data centre of the asking host, and e elsewhere.
		o := firstHelpers(l, helpersPerPool, func(h ctlrpc.NamedHelper) bool { return h.Host != q.Host && h.DataCentre == q.DataCentre })
		e := firstHelpers(l, helpersPerPool, func(h ctlrpc.NamedHelper) bool { return h.DataCentre != q.DataCentre })
		n := helpersPerPool / 2
		o = o[:min(len(o), max(n, helpersPerPool-len(e)))]
		for _, h := range append(o, e[:min(len(e), helpersPerPool-len(o))]...) {
			r[h.Host] = h
		}
	}
	l := slices.Collect(maps.Values(r))
	for n := range l {
		l[n].Answered = agedAnswers(l[n].Answered, now-x.builtAt)
	}
	return l
}

// rotateFirst returns the hosts with those that have least to do in another order, which depends on seed.
func rotateFirst(hosts []ctlrpc.NamedHelper, seed uint64) []ctlrpc.NamedHelper {
	n := slices.IndexFunc(hosts, func(h ctlrpc.NamedHelper) bool { return h.Taken/takenStep > hosts[0].Taken/takenStep })
	if n < 0 {
		n = len(hosts)
	}
	k := int(seed % uint64(n))
	return slices.Concat(hosts[k:n], hosts[:k], hosts[n:])
}

// firstHelpers returns the first hosts that meet a condition, at most limit of them.
func firstHelpers(hosts []ctlrpc.NamedHelper, limit int, condition func(ctlrpc.NamedHelper) bool) []ctlrpc.NamedHelper {
	var r []ctlrpc.NamedHelper
	for _, h := range hosts {
		if len(r) == limit {
			break
		}
		if condition(h) {
			r = append(r, h)
		}
	}
	return r
}

// helperCache holds the newest index, for hosts that lose their links at the same time. It is safe for concurrent use.
type helperCache struct {
	lock  sync.Mutex
	index HelperIndex
}

// helpersFor returns the hosts that the index names, and builds another index if it is too old.
func (c *helperCache) helpersFor(q ctlrpc.HelperRequest, s State) []ctlrpc.NamedHelper {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.index.byPool == nil || s.Now-c.index.builtAt > maxHelperIndexAge {
		c.index = NewHelperIndex(s)
	}
	return c.index.For(q, s.Now)
}
