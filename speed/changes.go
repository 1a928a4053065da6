package speed

import (
	"cmp"
	"slices"
)

// Changes returns the factors that differ from those sent before, by endpoint ID. If there are more than limit, it returns
// those with the largest differences. An endpoint whose factor isn't known any more is returned with the factor 1.
func Changes(sent, current map[string]Factor, limit int) map[string]Factor {
	var l []change
	for e, n := range current {
		if o, ok := sent[e]; !ok && n != (Factor{Born: n.Born}) || ok && o != n {
			l = append(l, change{e, n, n.Distance(o)})
		}
	}
	for e, o := range sent {
		if _, ok := current[e]; !ok && o != (Factor{Born: o.Born}) {
			n := Factor{Born: o.Born}
			l = append(l, change{e, n, n.Distance(o)})
		}
	}
	if len(l) == 0 {
		return nil
	}
	if len(l) > limit {
		slices.SortFunc(l, func(a, b change) int {
			return cmp.Or(cmp.Compare(b.distance, a.distance), cmp.Compare(a.endpoint, b.endpoint))
		})
		l = l[:limit]
	}
	r := make(map[string]Factor, len(l))
	for _, c := range l {
		r[c.endpoint] = c.factor
	}
	return r
}

// change is the new factor of an endpoint with the size of the change.
type change struct {
	endpoint string
	factor   Factor
	distance float64
}
