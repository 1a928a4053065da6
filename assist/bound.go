package assist

import (
	"sync"
	"time"
)

const (
	// descriptorShare is the part of a host's file descriptors that may serve others; a request takes two.
	descriptorShare        = 0.25
	descriptorsPerRequest  = 2
	megabytesPerRequest    = 1
	minLimit               = 16
	priorityStep           = 0.05
	maxPriority            = 9
	declineBase            = 100 * time.Millisecond
	originRetention        = 5 * time.Second
	maxBodyBytesPerRequest = 256 << 10
)

// Bound bounds the requests that a host sends to endpoints for others, so that its own callers are served as before. It is
// safe for concurrent use.
type Bound struct {
	// limit is the number of requests in flight that it admits, at least minLimit.
	limit int
	lock  sync.Mutex
	taken int
	// bytes is the size of the bodies in flight.
	bytes int64
	// origins holds when each host last sent a request.
	origins map[string]time.Time
}

// NewBound returns the bound of a host with limits for file descriptors and memory; 0 means that one isn't known.
func NewBound(descriptors int, memoryMB int64) *Bound {
	n := minLimit
	if descriptors > 0 {
		n = max(n, int(float64(descriptors)*descriptorShare)/descriptorsPerRequest)
	}
	if memoryMB > 0 {
		n = max(minLimit, min(n, int(memoryMB)/megabytesPerRequest))
	}
	return &Bound{limit: n, origins: map[string]time.Time{}}
}

// Take admits a request of another host with a body of a size, until Release, or says after what time the host should ask
// again. The less urgent a request is, the more room has to be left; priority 0 is the highest.
func (b *Bound) Take(origin string, priority int, bodyBytes int64, now time.Time) (retryAfter time.Duration, ok bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.origins[origin] = now
	r := 1 - priorityStep*float64(max(0, min(maxPriority, priority)))
	if float64(b.taken) >= r*float64(b.limit) || b.bytes+bodyBytes > int64(b.limit)*maxBodyBytesPerRequest {
		return declineBase, false
	}
	b.taken++
	b.bytes += bodyBytes
	return 0, true
}

// Release ends a request that Take has admitted.
func (b *Bound) Release(bodyBytes int64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.taken--
	b.bytes -= bodyBytes
}

// Taken returns the number of requests in flight.
func (b *Bound) Taken() int {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.taken
}

// Origins returns the number of hosts that have sent requests lately. Their shares of the endpoints' connections are free
// to be used here.
func (b *Bound) Origins(now time.Time) int {
	b.lock.Lock()
	defer b.lock.Unlock()
	n := 0
	for h, t := range b.origins {
		if now.Sub(t) > originRetention {
			delete(b.origins, h)
			continue
		}
		n++
	}
	return n
}
