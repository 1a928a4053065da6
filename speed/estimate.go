package speed

import (
	"iter"
	"math"
	"time"
)

const (
	// significance is the number of standard errors within which a difference counts as chance. Beyond that it counts more
	// and more, and with few samples not at all.
	significance = 2.5
	// priorVariance is the variance of samples that is assumed with the weight of priorSamples, and minVariance the least one:
	// samples of an endpoint at about the same time have the same disturbances, so that many of them tell less than they seem.
	priorVariance = 0.16
	priorSamples  = 10
	minVariance   = 0.02
	// publishDistance is the difference of logarithms from which a factor replaces the one before.
	publishDistance = 0.05
	// minCount is the weight of samples of a band below which its neighbour of less load stands for it.
	minCount = 0.5
	// waitCorrelation and gapCorrelation are the numbers of samples that tell as much as one. Requests that reach an endpoint
	// within the age of the known loads wait for each other, so that their waits are long together; a stream gives several
	// samples of the time between events.
	waitCorrelation = 6
	gapCorrelation  = 2
	// leastGapShare is the share of a service's samples from which those between events alone carry its factors.
	leastGapShare = 0.02
	// lostSamples is the share of one sample that the variance within a cell lacks because the cell's mean is taken from the
	// same samples.
	lostSamples = 0.75
)

// Endpoint is a start of an endpoint of a service.
type Endpoint struct {
	ID, Service string
	Born        int64
}

// mean is an estimated mean of logarithms with the sum of the precisions of its samples.
type mean struct {
	log, precision float64
}

// plus returns the mean of the samples of both.
func (m mean) plus(o mean) mean {
	p := m.precision + o.precision
	if p <= 0 {
		return mean{}
	}
	return mean{(m.log*m.precision + o.log*o.precision) / p, p}
}

// shrunk returns the part of a difference that chance doesn't explain: none within significance standard errors, and nearly
// all of a difference that is far beyond them (non-negative garrote).
func shrunk(difference, precision float64) float64 {
	if precision <= 0 || difference == 0 {
		return 0
	}
	return difference * max(0, 1-significance*significance/(precision*difference*difference))
}

// observed holds what was measured of an endpoint: the mean of each band, and of all.
type observed struct {
	Endpoint
	bands  [Bands]mean
	counts [Bands]float64
	all    mean
}

// Estimate returns the factors of endpoints. Endpoints without samples are left out. Factors that differ little from previous
// ones stay as they were, so that noise changes nothing. The mean endpoint of a service has the factor 1.
func (s State) Estimate(now time.Duration, endpoints iter.Seq[Endpoint], previous map[string]Factor) map[string]Factor {
	r := map[string]Factor{}
	services := map[string][]Endpoint{}
	for e := range endpoints {
		services[e.Service] = append(services[e.Service], e)
	}
	for _, l := range services {
		for _, f := range s.service(l, now) {
			p, ok := previous[f.ID]
			if !ok || p.Born != f.Born || p.distance(f.logs) >= publishDistance {
				p = Factor{Born: f.Born}.withLogs(f.logs)
			}
			r[f.ID] = p
		}
	}
	return r
}

// estimated holds the logarithms of the factor of an endpoint.
type estimated struct {
	Endpoint
	logs [Bands]float64
}

// service returns the estimates for the endpoints of a service.
func (s State) service(endpoints []Endpoint, now time.Duration) []estimated {
	var l []Endpoint
	var x []sums
	for _, e := range endpoints {
		if t, ok := s.totals.Get(e.ID); ok && t.born == e.Born {
			l, x = append(l, e), append(x, t.sums.faded(now-t.at))
		}
	}
	k := carrier(x)
	v := variance(x, k)
	o := make([]observed, len(l))
	for n := range l {
		o[n] = observe(l[n], x[n][k], v)
	}
	c := centre(o)
	r := make([]estimated, len(o))
	for n := range o {
		r[n] = o[n].estimate(c)
	}
	return r
}

// carrier returns the kind of samples that carries the factors of a service. The time between events isn't disturbed by queues
// that are known late, as waits are; waits carry the factors of services without streams.
func carrier(l []sums) Kind {
	var w, g float64
	for _, s := range l {
		for b := range Bands {
			w, g = w+s[Wait][b].count, g+s[Gap][b].count
		}
	}
	if g >= leastGapShare*(w+g) {
		return Gap
	}
	return Wait
}

// variance returns the variance of the samples of a kind at the same endpoint and band, times the number that tell as much as
// one.
func variance(l []sums, k Kind) float64 {
	q, n := priorVariance*priorSamples, float64(priorSamples)
	for _, s := range l {
		for _, c := range s[k] {
			if d := c.count - lostSamples; d > 0 {
				q, n = q+max(0, c.square-c.sum*c.sum/c.count), n+d
			}
		}
	}
	if k == Wait {
		return waitCorrelation * max(minVariance, q/n)
	}
	return gapCorrelation * max(minVariance, q/n)
}

// observe returns what samples of a kind with a variance tell of an endpoint.
func observe(e Endpoint, cells [Bands]cell, variance float64) observed {
	o := observed{Endpoint: e}
	for b, c := range cells {
		if c.count > 0 {
			o.bands[b] = mean{c.sum / c.count, c.count / variance}
			o.counts[b] = c.count
		}
		o.all = o.all.plus(o.bands[b])
	}
	return o
}

// centre returns the mean logarithm over endpoints. One with few samples counts less.
func centre(l []observed) float64 {
	var t, n float64
	for _, o := range l {
		w := o.all.precision / (o.all.precision + 1/priorVariance)
		t, n = t+w*o.all.log, n+w
	}
	return t / max(n, math.SmallestNonzeroFloat64)
}

// estimate returns the estimate of an endpoint: that of all its samples, and at each band what differs from it there.
func (o observed) estimate(centre float64) estimated {
	r := estimated{Endpoint: o.Endpoint}
	f := shrunk(o.all.log-centre, o.all.precision)
	var c float64
	for b, m := range o.bands {
		if o.counts[b] >= minCount {
			c = shrunk(m.log-o.all.log, m.precision)
		} else {
			c = max(0, c)
		}
		r.logs[b] = bounded(f + c)
	}
	return r
}
