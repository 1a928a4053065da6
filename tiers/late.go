package tiers

import (
	"math"
	"time"
)

const (
	// latenessStep is the weight of the newest wait in Lateness.
	latenessStep = 0.02
	// priorDeviation is the assumed standard deviation of the logarithm of a wait divided by its estimate.
	priorDeviation = 0.7
	// maxLogRatio bounds the logarithm of one wait divided by its estimate.
	maxLogRatio = 2.5
)

// Lateness is the distribution of the ratio of measured to estimated waits, as a log-normal one. It is an immutable
// value; the zero value assumes that estimates are right on average.
type Lateness struct {
	// mean is the mean of the ratio's logarithm, and excess the variance beyond that of priorDeviation.
	mean, excess float64
}

// With returns the distribution after a measured wait.
func (l Lateness) With(measured, estimated time.Duration) Lateness {
	if measured <= 0 || estimated <= 0 {
		return l
	}
	x := max(-maxLogRatio, min(maxLogRatio, math.Log(float64(measured)/float64(estimated))))
	d := x - l.mean
	l.mean += latenessStep * d
	l.excess += latenessStep * (d*d - priorDeviation*priorDeviation - l.excess)
	return l
}

// probability returns the probability that a wait with an estimate is longer than the time left.
func (l Lateness) probability(estimated, left time.Duration) float64 {
	if left <= 0 {
		return 1
	}
	if estimated <= 0 {
		return 0
	}
	s := math.Sqrt(max(0.01, priorDeviation*priorDeviation+l.excess))
	return normal((math.Log(float64(estimated)/float64(left)) + l.mean) / s)
}

// median returns the median of a wait with an estimate.
func (l Lateness) median(estimated time.Duration) time.Duration {
	return time.Duration(float64(estimated) * math.Exp(l.mean))
}
