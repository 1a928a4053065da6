package budget

import (
	"math"
	"time"
)

// countSlots is the number of parts of a window in which requests are counted.
const countSlots = 20

// recentCount counts the requests of the last window, in slots. The requests of a slot are left out as soon as one of them may be
// older than the window. Its zero value holds none.
type recentCount struct {
	slots [countSlots]float64
	// newest is the number of the slot in use since the origin of times.
	newest int64
	// decayed is an exponentially decayed count, which varies less.
	decayed float64
	updated time.Duration
}

// advance leaves out what has become too old at a time. Earlier times change nothing.
func (c *recentCount) advance(now, window time.Duration) {
	now = max(now, c.updated)
	c.decayed *= math.Exp(-float64(now-c.updated) / float64(window))
	c.updated = now
	n := int64(now / (window / countSlots))
	for k := max(c.newest+1, n-countSlots+1); k <= n; k++ {
		*c.slot(k) = 0
	}
	c.newest = max(c.newest, n)
}

// add counts a request at the time of the last advance.
func (c *recentCount) add() {
	*c.slot(c.newest)++
	c.decayed++
}

// sum returns the number of requests.
func (c *recentCount) sum() (n float64) {
	for _, v := range c.slots {
		n += v
	}
	return min(n, c.decayed)
}

func (c *recentCount) slot(n int64) *float64 { return &c.slots[(n%countSlots+countSlots)%countSlots] }
