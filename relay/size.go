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
func (w sizeAverages) add(route string, size float64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	o, ok := w.means[route]
	if !ok {
		o = size
	}
	w.means[route] = o + sizeSmoothing*(size-o)
}

// get returns the average of a route, or 0 if no size was added.
func (w sizeAverages) get(route string) float64 {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.means[route]
}
