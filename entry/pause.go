package entry

import (
	"math/rand/v2"
	"time"
)

// pause is a time that doubles each time it is drawn, from least to most. Hosts that draw at the same time get different ones.
type pause struct {
	least, most time.Duration
	// drawn counts the draws since the last reset.
	drawn int
}

// next draws a time between half of the current value and the value.
func (p *pause) next() time.Duration {
	d := min(p.least<<min(p.drawn, maxDoublings), p.most)
	p.drawn++
	return d/2 + rand.N(d/2)
}

// reset makes the next draw the first one again.
func (p *pause) reset() { p.drawn = 0 }

// maxDoublings bounds how often a pause doubles.
const maxDoublings = 16
