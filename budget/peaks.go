package budget

import "time"

// peaks holds a sum that changes, as far as the greatest value within a time needs it. Its zero value has always held 0.
type peaks struct{ list []peak }

// peak is a value of a sum. It is less than the one before.
type peak struct {
	sum float64
	// until is when a later value replaced it; that of the last one isn't set.
	until time.Duration
}

// add sets the value at a time.
func (p *peaks) add(sum float64, now time.Duration) {
	n := len(p.list)
	if n > 0 && p.list[n-1].sum == sum {
		return
	}
	if n > 0 {
		p.list[n-1].until = now
	}
	for n > 0 && p.list[n-1].sum <= sum {
		n--
	}
	p.list = append(p.list[:n], peak{sum: sum})
}

// max returns the greatest value within a time until now.
func (p *peaks) max(within, now time.Duration) float64 {
	for len(p.list) > 1 && p.list[0].until+within <= now {
		p.list = p.list[1:]
	}
	if len(p.list) == 0 {
		return 0
	}
	return p.list[0].sum
}
