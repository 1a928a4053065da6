package ctrl

import (
	"cmp"
	"maps"
	"slices"
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
)

// Helpers returns the entry hosts through which another one may send requests: for the endpoints of each service in each data
// centre a few that were answered there lately, those in the data centre of the asking host and those with little to do for others first. Hosts that ask
// get different ones among equals.
func (s State) Helpers(q ctlrpc.HelperRequest) []ctlrpc.NamedHelper {
	l := s.assistingHosts(q.Host)
	r := map[string]ctlrpc.NamedHelper{}
	for p := range poolsOf(l) {
		k := slices.DeleteFunc(slices.Clone(l), func(h ctlrpc.NamedHelper) bool {
			a, ok := h.Answered[p]
			return !ok || a > maxHelperAge
		})
		slices.SortFunc(k, func(a, b ctlrpc.NamedHelper) int {
			return cmp.Or(
				compareBool(a.DataCentre != q.DataCentre, b.DataCentre != q.DataCentre), cmp.Compare(a.Taken/takenStep, b.Taken/takenStep),
				cmp.Compare(pairWeight(q.Host, a.Host), pairWeight(q.Host, b.Host)),
			)
		})
		for _, h := range spread(k, q.DataCentre) {
			r[h.Host] = h
		}
	}
	return slices.Collect(maps.Values(r))
}

// spread returns helpersPerPool of sorted hosts. Half of them are in other data centres, if there are any, since all of a
// data centre may have lost the same links.
func spread(hosts []ctlrpc.NamedHelper, dataCentre string) []ctlrpc.NamedHelper {
	if len(hosts) <= helpersPerPool {
		return hosts
	}
	n := slices.IndexFunc(hosts, func(h ctlrpc.NamedHelper) bool { return h.DataCentre != dataCentre })
	if n < 0 || n <= helpersPerPool/2 {
		return hosts[:helpersPerPool]
	}
	return append(slices.Clone(hosts[:helpersPerPool/2]), hosts[n:min(len(hosts), n+helpersPerPool/2)]...)
}

// assistingHosts returns what the entry hosts but one last reported, with the ages of now. Hosts that stop or didn't report
// lately are left out.
func (s State) assistingHosts(except string) []ctlrpc.NamedHelper {
	var r []ctlrpc.NamedHelper
	for i := s.entryHosts.Iterator(); !i.Done(); {
		n, h, _ := i.Next()
		a := h.report.Assist
		if n == except || a.Address == "" || a.Stopping || h.assistAt+maxHelperAge < s.Now {
			continue
		}
		b := map[ctlrpc.Pool]time.Duration{}
		for k, d := range a.Answered {
			b[k] = d + s.Now - h.assistAt
		}
		a.Answered = b
		r = append(r, ctlrpc.NamedHelper{Host: n, Assist: a})
	}
	return r
}

// poolsOf returns the endpoints that hosts have been answered by.
func poolsOf(hosts []ctlrpc.NamedHelper) map[ctlrpc.Pool]bool {
	m := map[ctlrpc.Pool]bool{}
	for _, h := range hosts {
		for k := range h.Answered {
			m[k] = true
		}
	}
	return m
}

// compareBool compares two conditions; one that isn't met comes first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// pairWeight returns a weight by which pairs of hosts are spread evenly.
func pairWeight(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }
