package budget

import (
	"slices"
	"time"
)

// keepTime is how long before its end what is left of a piece is kept as far as the balance cap allows it. Hosts exchange messages
// more often.
const keepTime = 200 * time.Millisecond

// piece is a number of retries that may be made beyond a balance until a time.
type piece struct {
	retries float64
	until   time.Duration
}

// pieces holds pieces, the one that ends first in front.
type pieces []piece

// add adds a piece.
func (p *pieces) add(v piece) {
	k := len(*p)
	for k > 0 && (*p)[k-1].until > v.until {
		k--
	}
	*p = slices.Insert(*p, k, v)
}

// sum returns the retries that may be made.
func (p pieces) sum() (n float64) {
	for _, v := range p {
		n += v.retries
	}
	return n
}

// take takes up to a number of retries and returns how many. The pieces that end first are used first.
func (p *pieces) take(retries float64) (n float64) {
	l := *p
	for len(l) > 0 && n < retries {
		t := min(retries-n, l[0].retries)
		n += t
		if l[0].retries -= t; l[0].retries <= 0 {
			l = l[1:]
		}
	}
	*p = l
	return n
}

// takeEnding removes the pieces that end within keepTime, and returns what is left of those that haven't ended.
func (p *pieces) takeEnding(now time.Duration) (n float64) {
	l := *p
	for len(l) > 0 && l[0].until <= now+keepTime {
		if l[0].until > now {
			n += l[0].retries
		}
		l = l[1:]
	}
	*p = l
	return n
}
