// Package sizes chooses among the models of a route: which size answers first, and whether an answer is
// kept or asked for again from a larger one.
package sizes

import "time"

// kept are the confidences from which an answer is kept, by the rank of the request: the more urgent a
// request, the more a wrong answer costs beside the models' prices.
var kept = []int{65, 55, 50}

const (
	// waitMargin is how many times its estimated wait a larger model has to have left: the estimate knows
	// neither of other hosts' newest requests nor of an endpoint's own pace.
	waitMargin = 1.5
	// busyFrom is the load of the pool, as a part of its slots, from which answers are kept with less
	// confidence, and fullFrom the load from which all are.
	busyFrom = 0.7
	fullFrom = 1.3
)

// Ask is a request for which a size has to be chosen.
type Ask struct {
	// Waits are the estimated times to the first event of each size, from the smallest to the largest.
	Waits []time.Duration
	// Rank is the request's priority; 0 is the highest.
	Rank int
	// Attempts is how often the request may still be sent, this sending among them.
	Attempts int
	// Load is the requests at the service's endpoints as a part of their slots.
	Load float64
	// Left is the time until the answer is late.
	Left time.Duration
}

// First returns the size that answers first.
func First(Ask) int { return 0 }

// Next returns the size to ask after an answer of a size with a confidence from 0 to 100: the largest that
// can answer in time. ok is false where the answer is kept.
func Next(a Ask, size, confidence int) (next int, ok bool) {
	if a.Attempts <= 1 || confidence >= a.threshold() {
		return size, false
	}
	for n := len(a.Waits) - 1; n > size; n-- {
		if time.Duration(float64(a.Waits[n])*waitMargin) < a.Left {
			return n, true
		}
	}
	return size, false
}

// threshold is the confidence from which an answer is kept.
func (a Ask) threshold() int {
	k := kept[min(max(a.Rank, 0), len(kept)-1)]
	if a.Load <= busyFrom {
		return k
	}
	return int(float64(k) * max(0, (fullFrom-a.Load)/(fullFrom-busyFrom)))
}
