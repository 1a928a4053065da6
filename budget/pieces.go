package budget

import "time"

const (
	// freshTime is how long a deposit may be used beyond the balance cap, at most a freshSlots-th of a window. A host whose cap is below
	// one retry makes one for the request that has just come.
	freshTime  = 250 * time.Millisecond
	freshSlots = 40
	// keepTime is how long before its end what is left of a piece is kept as far as the balance cap allows it. Hosts exchange messages
	// more often.
	keepTime = 200 * time.Millisecond
)

// deposit is what a request has added to a balance.
type deposit struct {
	retries float64
	at      time.Duration
}

// deposits holds the fresh deposits, the oldest first, with their sum.
type deposits struct {
	list []deposit
	sum  float64
}

// add adds a deposit.
func (d *deposits) add(retries float64, now time.Duration) {
	d.list = append(d.list, deposit{retries, now})
	d.sum += retries
}

// expire leaves out the deposits that aren't fresh any more, and returns their sum.
func (d *deposits) expire(now, window time.Duration) (n float64) {
	f := min(freshTime, window/freshSlots)
	for len(d.list) > 0 && d.list[0].at+f <= now {
		n += d.list[0].retries
		d.list = d.list[1:]
	}
	if d.sum -= n; len(d.list) == 0 {
		d.sum = 0 // without what was rounded
	}
	return n
}

// piece is a number of retries that may be made beyond a balance until a time.
type piece struct {
	retries float64
	until   time.Duration
}

// pieces holds pieces, the oldest first.
type pieces []piece

// sum returns the retries that may be made.
func (p pieces) sum() (n float64) {
	for _, v := range p {
		n += v.retries
	}
	return n
}

// take takes up to a number of retries and returns how many. The oldest pieces are used first since they end.
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
