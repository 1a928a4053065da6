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
func LoadChanges(told, now map[string]Load, most int) map[string]Load {
	var l []string
	for e, n := range now {
		if told[e] != n {
			l = append(l, e)
		}
	}
	for e, o := range told {
		if _, ok := now[e]; !ok && o != (Load{}) {
			l = append(l, e)
		}
	}
	if len(l) > most {
		slices.SortFunc(l, func(a, b string) int {
			return cmp.Or(cmp.Compare(now[b].distance(told[b]), now[a].distance(told[a])), cmp.Compare(a, b))
		})
		l = l[:most]
	}
	r := make(map[string]Load, len(l))
	for _, e := range l {
		r[e] = now[e]
	}
	return r
}
