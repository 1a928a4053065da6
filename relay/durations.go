package relay

import (
	"sync"
	"time"
)

// durationAverages holds exponentially weighted moving averages of durations by key. It is safe for concurrent use.
type durationAverages struct {
	lock  *sync.Mutex
	means map[string]time.Duration
}

func newDurationAverages() durationAverages {
	return durationAverages{lock: &sync.Mutex{}, means: map[string]time.Duration{}}
}

// durationSmoothing is the weight of the newest duration in a moving average.
const durationSmoothing = 0.06

// add updates the average of a key; the first duration of a key becomes its average.
func (a durationAverages) add(key string, d time.Duration) {
	a.lock.Lock()
	defer a.lock.Unlock()
	o, ok := a.means[key]
	if !ok {
		a.means[key] = d
		return
	}
	a.means[key] = o + time.Duration(durationSmoothing*float64(d-o))
}

// get returns the average of a key, or fallback if no duration was added.
func (a durationAverages) get(key string, fallback time.Duration) time.Duration {
	a.lock.Lock()
	defer a.lock.Unlock()
	if d, ok := a.means[key]; ok {
		return d
	}
	return fallback
}
