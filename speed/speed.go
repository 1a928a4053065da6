// Package speed finds out how fast the endpoints of a service are compared with each other, at each band of load. Entry
// hosts measure answers with a Meter, control hosts merge what all of them measured in a State, and the Factors that follow
// from it are what package pick uses in its estimates.
package speed

import (
	"math"
	"time"
)

const (
	// Bands is the number of bands of load: the requests in flight at an endpoint against its slots.
	Bands = 4
	// Fade is the time in which the weight of a sample falls to 1/e. An endpoint that gets little to do because it was slow has
	// few samples of its new speed, which have to outweigh the old ones within 5 s.
	Fade = 2 * time.Second
	// MinFactor is the least factor.
	MinFactor = 0.4
	// MaxFactor is the greatest factor.
	MaxFactor = 4
	// MaxChanges bounds the endpoints in one message. Twenty in each stay below 6 KB/s for a host, also if all change all the time.
	MaxChanges = 20
	// logStep is the unit of Factor.Steps.
	logStep = 0.02
	// maxLog bounds the logarithm of one sample, so that an answer that waited in a queue nobody knew counts little.
	maxLog = 1.5
	// forgottenCount is the count of samples below which sums are dropped.
	forgottenCount = 0.02
)

// Kind is what a sample measures.
type Kind int

// Kinds of samples.
const (
	// Wait is the time to the start of an answer over its estimate for an endpoint that is exactly as fast as its model should
	// be.
	Wait Kind = iota
	// Gap is the time between two events of a stream.
	Gap
	kindCount
)

// Band returns the band of load of an endpoint with a number of requests in flight.
func Band(requests, slots int) int {
	if slots <= 0 {
		return 0
	}
	return min(Bands-1, max(0, requests)*Bands/slots)
}

// Factor is the time that a start of an endpoint takes for its work, over that of the mean endpoint of its service. The zero
// value is that of an endpoint that nothing is known of.
type Factor struct {
	// Born identifies the start.
	Born int64
	// Steps holds the logarithm of the factor in steps of 1/50 for each band of load.
	Steps [Bands]int8
}

// At returns the factor at a band of load.
func (f Factor) At(band int) float64 {
	if f.Steps[band] == 0 {
		return 1
	}
	return math.Exp(float64(f.Steps[band]) * logStep)
}

// bounded returns a logarithm of a factor within the bounds.
func bounded(log float64) float64 { return max(math.Log(MinFactor), min(math.Log(MaxFactor), log)) }

// withLogs returns the factor with other logarithms, rounded.
func (f Factor) withLogs(logs [Bands]float64) Factor {
	for b, l := range logs {
		f.Steps[b] = int8(math.Round(bounded(l) / logStep))
	}
	return f
}

// distance returns the largest difference of the factor's logarithms from others.
func (f Factor) distance(logs [Bands]float64) float64 {
	var d float64
	for b, l := range logs {
		d = max(d, math.Abs(float64(f.Steps[b])*logStep-bounded(l)))
	}
	return d
}

// Distance returns the largest difference of the logarithms of two factors.
func (f Factor) Distance(o Factor) float64 {
	var l [Bands]float64
	for b, s := range o.Steps {
		l[b] = float64(s) * logStep
	}
	return f.distance(l)
}

// fading returns what is left after a time of the weight of a sample.
func fading(d time.Duration) float64 { return math.Exp(-max(0, d).Seconds() / Fade.Seconds()) }
