package relay

import "sync"

// weightsWeight is the part of the newest request in the mean size of a route.
const weightsWeight = 0.03

// weights are the mean sizes of requests by route. They are safe for concurrent use.
type weights struct {
	lock  *sync.Mutex
	means map[string]float64
}

func newWeights() weights { return weights{lock: &sync.Mutex{}, means: map[string]float64{}} }

func (w weights) add(route string, size float64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	o, ok := w.means[route]
	if !ok {
		o = size
	}
	w.means[route] = o + weightsWeight*(size-o)
}

func (w weights) get(route string) float64 {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.means[route]
}
