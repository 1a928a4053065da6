package relay

import "sync"

// sizeSmoothing is the weight of the newest request in the average request size of a route.
const sizeSmoothing = 0.03

// sizeAverages holds exponentially weighted moving averages of request sizes by route, in the unit of Prompt.size. It
// is safe for concurrent use.
type sizeAverages struct {
	lock  *sync.Mutex
	means map[string]float64
}

func newSizeAverages() sizeAverages {
	return sizeAverages{lock: &sync.Mutex{}, means: map[string]float64{}}
}

// add updates the average of a route; the first size of a route becomes its average.
func (a sizeAverages) add(route string, size float64) {
	a.lock.Lock()
	defer a.lock.Unlock()
	o, ok := a.means[route]
	if !ok {
		o = size
	}
	a.means[route] = o + sizeSmoothing*(size-o)
}

// get returns the average of a route, or 0 if no size was added.
func (a sizeAverages) get(route string) float64 {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.means[route]
}
