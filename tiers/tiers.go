// Package tiers decides between the model tiers of a route, which form a cascade: which tier answers first, and
// whether an answer is kept or the request escalates to a larger tier. The decision weighs the value of a correct
// answer against the price of the model, the endpoint time that the request takes from others, and the risk of a
// late answer.
package tiers

import (
	"math"
	"time"
)

// answerValues are the values of a correct answer to a request of mean size, by the request's priority.
var answerValues = []float64{6, 1, 0.8}

const (
	// The probability of a wrong answer is a logistic function of its confidence. It is one half at
	// confidenceMidpoint, and confidenceScale sets how fast it falls.
	confidenceMidpoint = 48
	confidenceScale    = 9
	// A wrong answer is worth wrongValueShare, and a late one lateValueShare, of a correct answer in time.
	wrongValueShare = 0.05
	lateValueShare  = 0.3
	// middleTierGain is the probability that a middle tier answers correctly where a smaller one was wrong.
	middleTierGain = 0.2
	// queueingCost is the cost of a second of an endpoint's time per second of backlog at the endpoints.
	queueingCost = 10
	// latenessMargin is the factor by which a wait may exceed its estimate and still be in time.
	latenessMargin = 1.2
	// fixedValueShare is the share of a request's value that doesn't depend on its size, and maxSizeFactor the
	// upper limit of the factor by which the size changes the value.
	fixedValueShare = 0.3
	maxSizeFactor   = 4
	// smallestTierErrorRate is the assumed probability that the smallest tier answers wrongly, before its answer is
	// known.
	smallestTierErrorRate = 0.45
)

// Tier is a model tier that may answer a request.
type Tier struct {
	// Wait is the estimated time to the first event.
	Wait time.Duration
	// Work is the time of an endpoint that the request takes.
	Work time.Duration
	// Price is the model's price for the request, in the unit of answerValues.
	Price float64
}

// Request is a request for which a tier has to be chosen.
type Request struct {
	// Tiers are ordered from the smallest to the largest.
	Tiers []Tier
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// RelativeSize is the size of the request divided by the mean size of requests on its route.
	RelativeSize float64
	// AttemptsLeft is how many more times the request may be sent, including the attempt to be decided on.
	AttemptsLeft int
	// Backlog is the mean backlog of the endpoints.
	Backlog time.Duration
	// TimeLeft is the time until the answer is late.
	TimeLeft time.Duration
}

// answerValue returns the value of a correct answer in time.
func (r Request) answerValue() float64 {
	return answerValues[min(max(r.Priority, 0), len(answerValues)-1)] * min(maxSizeFactor, fixedValueShare+(1-fixedValueShare)*r.RelativeSize)
}

// cost returns the price of a tier plus the cost of delaying other requests.
func (r Request) cost(t Tier) float64 {
	return t.Price + queueingCost*r.Backlog.Seconds()*t.Work.Seconds()
}

// timelinessFactor returns the factor by which the expected time of a tier's answer changes the answer's value: 1 in
// time, lateValueShare otherwise. before is the time that passes until the tier is asked.
func (r Request) timelinessFactor(t Tier, before time.Duration) float64 {
	if time.Duration(latenessMargin*float64(t.Wait))+before > r.TimeLeft {
		return lateValueShare
	}
	return 1
}

// errorProbability returns the probability that an answer with a confidence from 0 to 100 is wrong.
func errorProbability(confidence int) float64 {
	return 1 / (1 + math.Exp((float64(confidence)-confidenceMidpoint)/confidenceScale))
}

// expectedValueShare returns the expected value of an answer that is wrong with a probability, as a share of the
// value of a correct answer.
func expectedValueShare(wrong float64) float64 { return 1 - wrong + wrong*wrongValueShare }

// First returns the index of the tier that answers first. This is the smallest, unless the expected utility of
// asking the largest directly is higher than that of asking the smallest and then, if it is wrong, the largest. That
// is mainly so where asking both in turn would make the answer late and the largest is worth its cost.
func First(r Request) int {
	n := len(r.Tiers) - 1
	if n <= 0 || r.AttemptsLeft <= 0 {
		return 0
	}
	s, l := r.Tiers[0], r.Tiers[n]
	w := r.answerValue()
	direct := w*r.timelinessFactor(l, 0) - r.cost(l)
	both := w*((1-smallestTierErrorRate)*r.timelinessFactor(s, 0)+smallestTierErrorRate*r.timelinessFactor(l, s.Wait)) - r.cost(s) - smallestTierErrorRate*r.cost(l)
	if direct > both {
		return n
	}
	return 0
}

// Next returns the index of the tier to escalate to, after the given tier gave an answer with a confidence from 0
// to 100. ok is false if the answer is kept.
func Next(r Request, tier, confidence int) (next int, ok bool) {
	if r.AttemptsLeft <= 1 {
		return tier, false
	}
	w, d := r.answerValue(), errorProbability(confidence)
	best := w * expectedValueShare(d)
	if r.TimeLeft <= 0 {
		best *= lateValueShare
	}
	for n := tier + 1; n < len(r.Tiers); n++ {
		f := d * (1 - middleTierGain)
		if n == len(r.Tiers)-1 {
			f = 0 // the largest tier is assumed to answer correctly
		}
		if v := w*expectedValueShare(f)*r.timelinessFactor(r.Tiers[n], 0) - r.cost(r.Tiers[n]); v > best {
			best, next, ok = v, n, true
		}
	}
	return next, ok
}
