package relay

import "sync"

// sizeSmoothing is the part of the newest request in the mean size of a route.
const sizeSmoothing = 0.03

// sizeAverages are the mean sizes of requests by route. They are safe for concurrent use.
type sizeAverages struct {
	lock  *sync.Mutex
	means map[string]float64
}

func newSizeAverages() sizeAverages {
	return sizeAverages{lock: &sync.Mutex{}, means: map[string]float64{}}
}

func (w sizeAverages) add(route string, size float64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	o, ok := w.means[route]
	if !ok {
		o = size
	}
	w.means[route] = o + sizeSmoothing*(size-o)
}

func (w sizeAverages) get(route string) float64 {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.means[route]
}
