package speed

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// usualStep is the weight of the newest sample in the moving average of what is usual, once there are enough.
	usualStep = 0.04
	// minUsual is the number of samples behind such an average from which others are compared with it.
	minUsual = 6
	// sweepInterval is the interval at which endpoints whose samples have faded are forgotten.
	sweepInterval = 10 * Fade
)

// Sample is a measured time of a start of an endpoint.
type Sample struct {
	Kind Kind
	// Work names the work that took the time, such as the route and the model. Only samples of the same work, kind and band
	// are compared.
	Work     string
	Endpoint string
	Born     int64
	// Band is the band of load at which it was measured, and Factor the known factor of the endpoint there.
	Band   int
	Factor float64
	// Took is the measured time for Gap, in seconds, and for Wait the measured wait over the estimate.
	Took float64
}

// usualKey identifies samples that are compared with each other.
type usualKey struct {
	kind Kind
	work string
	band int
}

// usual is the moving average of the logarithm of what the mean endpoint takes.
type usual struct {
	log     float64
	samples int
}

// with returns the average with another sample.
func (u usual) with(log float64) usual {
	u.samples++
	w := max(usualStep, 1/float64(u.samples))
	d := log - u.log
	if u.samples > minUsual {
		d = max(-maxLog, min(maxLog, d))
	}
	u.log += w * d
	return u
}

// measured holds the sums of a start of an endpoint at a time.
type measured struct {
	born int64
	at   time.Time
	sums sums
}

// Meter collects the samples of an entry host. It is safe for concurrent use.
type Meter struct {
	lock      sync.Mutex
	usual     map[usualKey]usual
	endpoints map[string]measured
	// queue holds the endpoints whose sums have changed since they were last taken, the oldest change first, and queued the
	// same as a set.
	queue  []string
	queued map[string]bool
	// resends holds the endpoints whose sums are to be sent again, and toResend those of them that haven't been taken since.
	resends  []string
	toResend map[string]bool
	// sweptAt is when endpoints whose samples have faded were last forgotten.
	sweptAt time.Time
}

// NewMeter returns a meter without samples.
func NewMeter() *Meter {
	return &Meter{usual: map[usualKey]usual{}, endpoints: map[string]measured{}, queued: map[string]bool{}}
}

// Observe adds a sample. What is usual for its work is the average over all endpoints, each counted as if it had the speed of
// the mean one: without that, a band of load at which mostly slow endpoints are seen would make them look usual.
func (m *Meter) Observe(s Sample, now time.Time) {
	if s.Took <= 0 || s.Factor <= 0 || s.Band < 0 || s.Band >= Bands {
		return
	}
	l := math.Log(s.Took)
	m.lock.Lock()
	defer m.lock.Unlock()
	k := usualKey{s.Kind, s.Work, s.Band}
	u := m.usual[k]
	m.usual[k] = u.with(l - math.Log(s.Factor))
	if u.samples < minUsual {
		return
	}
	e := m.endpoints[s.Endpoint]
	if s.Born < e.born {
		return
	}
	if e.born != s.Born {
		e = measured{born: s.Born}
	}
	x := max(-maxLog, min(maxLog, l-u.log))
	e.sums, e.at = e.sums.faded(now.Sub(e.at)), now
	c := &e.sums[s.Kind][s.Band]
	c.count, c.sum, c.square = c.count+1, c.sum+x, c.square+x*x
	m.endpoints[s.Endpoint] = e
	m.enqueue(s.Endpoint)
}

func (m *Meter) enqueue(endpoint string) {
	delete(m.toResend, endpoint)
	if !m.queued[endpoint] {
		m.queued[endpoint] = true
		m.queue = append(m.queue, endpoint)
	}
}

// Take returns the sums of up to MaxChanges endpoints as they count now: first those that have changed since they were last taken,
// then those to be sent again. Faded ones are left out.
func (m *Meter) Take(now time.Time) map[string]Sums {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.sweep(now)
	r := map[string]Sums{}
	m.queue = m.take(r, m.queue, m.queued, now)
	m.resends = m.take(r, m.resends, m.toResend, now)
	if len(r) == 0 {
		return nil
	}
	return r
}

// take adds the sums of endpoints of a queue that are in wanted, which they leave, until there are MaxChanges. It returns the rest of
// the queue.
func (m *Meter) take(r map[string]Sums, queue []string, wanted map[string]bool, now time.Time) []string {
	for k, e := range queue {
		if len(r) >= MaxChanges {
			return slices.Clone(queue[k:])
		}
		if !wanted[e] {
			continue
		}
		delete(wanted, e)
		x := m.endpoints[e]
		if s := x.sums.faded(now.Sub(x.at)).message(x.born); len(s.Cells) > 0 {
			r[e] = s
		}
	}
	return nil
}

// Resend makes the next calls of Take return the sums of all endpoints, for a control host that may lack some of them.
func (m *Meter) Resend() {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.resends, m.toResend = nil, map[string]bool{}
	for _, e := range slices.Sorted(maps.Keys(m.endpoints)) {
		if !m.queued[e] {
			m.resends, m.toResend[e] = append(m.resends, e), true
		}
	}
}

// sweep forgets endpoints whose samples have faded, if that is due.
func (m *Meter) sweep(now time.Time) {
	if now.Sub(m.sweptAt) < sweepInterval {
		return
	}
	m.sweptAt = now
	maps.DeleteFunc(m.endpoints, func(e string, x measured) bool {
		return !m.queued[e] && x.sums.isFaded(now.Sub(x.at))
	})
}
