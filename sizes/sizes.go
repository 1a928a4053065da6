// Package sizes chooses among the models of a route: which size answers first, and whether an answer is
// kept or asked for again from a larger one.
package sizes

import "time"

const (
	// smallestKept and middleKept are the confidences from which an answer of the smallest, or of a
	// middle size, is kept while the pool has room.
	smallestKept = 65
	middleKept   = 50
	// busyFrom is the load of the pool, as a part of its slots, from which less is asked for again, and
	// fullFrom the load from which nothing is.
	busyFrom = 0.5
	fullFrom = 1.0
)

// Ask is a request for which a size has to be chosen.
type Ask struct {
	// Sizes is the number of models, at least 1.
	Sizes int
	// Attempts is how often the request may still be sent, this sending among them.
	Attempts int
	// Load is the requests at the service's endpoints as a part of their slots.
	Load float64
	// Left is the time until the answer is late.
	Left time.Duration
}

// First returns the size that answers first.
func First(a Ask) int {
	return 0
}

// Keep reports whether an answer of a size with a confidence from 0 to 100 is kept.
func Keep(a Ask, size, confidence int) bool {
	if size >= a.Sizes-1 || a.Attempts <= 1 || a.Left <= 0 {
		return true
	}
	k := smallestKept
	if size > 0 {
		k = middleKept
	}
	if a.Load > busyFrom {
		k = int(float64(k) * max(0, (fullFrom-a.Load)/(fullFrom-busyFrom)))
	}
	return confidence >= k
}
