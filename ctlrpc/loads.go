package ctlrpc

import (
	"cmp"
	"slices"
)

// requestWeight is the number of milliseconds of backlog that one request counts for when changes are ranked.
const requestWeight = 10

// Minus returns the difference of two loads. Its fields are at least 0.
func (l Load) Minus(o Load) Load {
	return Load{max(0, l.Requests-o.Requests), max(0, l.Backlog-o.Backlog)}
}

// distance returns the size of the change between two loads, in milliseconds of backlog.
func (l Load) distance(o Load) int {
	d := func(a, b int) int { return max(a-b, b-a) }
	return requestWeight*d(l.Requests, o.Requests) + d(l.Backlog, o.Backlog)
}

// LoadChanges returns the changes from previous to current loads, by endpoint ID. If there are more than limit, it
// returns the limit largest. An endpoint that has no load any more is returned with an empty load.
func LoadChanges(previous, current map[string]Load, limit int) map[string]Load {
	var l []loadChange
	for e, n := range current {
		if o := previous[e]; o != n {
			l = append(l, loadChange{e, n, n.distance(o)})
		}
	}
	for e, o := range previous {
		if _, ok := current[e]; !ok && o != (Load{}) {
			l = append(l, loadChange{e, Load{}, Load{}.distance(o)})
		}
	}
	if len(l) > limit {
		slices.SortFunc(l, func(a, b loadChange) int {
			return cmp.Or(cmp.Compare(b.distance, a.distance), cmp.Compare(a.endpoint, b.endpoint))
		})
		l = l[:limit]
	}
	r := make(map[string]Load, len(l))
	for _, c := range l {
		r[c.endpoint] = c.load
	}
	return r
}

// loadChange is the new load of an endpoint with the size of the change.
type loadChange struct {
	endpoint string
	load     Load
	distance int
}
