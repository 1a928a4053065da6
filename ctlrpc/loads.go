package ctlrpc

import (
	"cmp"
	"slices"
)

// requestWeight is how many milliseconds of work a request counts for in the size of a change.
const requestWeight = 10

// Minus returns the load without another.
func (l Load) Minus(o Load) Load {
	return Load{max(0, l.Requests-o.Requests), max(0, l.Backlog-o.Backlog)}
}

// distance is how far two loads are apart.
func (l Load) distance(o Load) int {
	d := func(a, b int) int { return max(a-b, b-a) }
	return requestWeight*d(l.Requests, o.Requests) + d(l.Backlog, o.Backlog)
}

// LoadChanges returns the loads that differ most from those told before, at most a number of them. An endpoint
// without a load any more is told with an empty one.
func LoadChanges(previous, current map[string]Load, limit int) map[string]Load {
	var l []string
	for e, n := range current {
		if previous[e] != n {
			l = append(l, e)
		}
	}
	for e, o := range previous {
		if _, ok := current[e]; !ok && o != (Load{}) {
			l = append(l, e)
		}
	}
	if len(l) > limit {
		slices.SortFunc(l, func(a, b string) int {
			return cmp.Or(cmp.Compare(current[b].distance(previous[b]), current[a].distance(previous[a])), cmp.Compare(a, b))
		})
		l = l[:limit]
	}
	r := make(map[string]Load, len(l))
	for _, e := range l {
		r[e] = current[e]
	}
	return r
}
