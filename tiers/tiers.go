// Package tiers chooses among the model tiers of a route, as a cascade: which size answers first, and whether an
// answer is kept or asked for again from a larger one. It weighs what a right answer is worth against the model's
// price, the time of the pool that it takes and the chance that it comes late.
package tiers

import (
	"math"
	"time"
)

// answerValues are what a right answer of a mean size is worth, by the rank of the request.
var answerValues = []float64{6, 1, 0.8}

const (
	// confidenceMidpoint is the confidence at which an answer is as often wrong as right, and doubtWidth how fast
	// that changes with the confidence.
	confidenceMidpoint = 48
	confidenceScale    = 9
	// wrongValueShare is what a wrong answer is worth, as a part of a right one, and latePart a late one.
	wrongValueShare = 0.05
	lateValueShare  = 0.3
	// middleTierGain is the chance that a middle size knows what a smaller one doesn't.
	middleTierGain = 0.2
	// queueingCost is what a second of an endpoint is worth for each second of work that waits there.
	queueingCost = 10
	// latenessMargin is how many times its estimate a wait may be and still be in time.
	latenessMargin = 1.2
	// fixedValueShare is the part of a request's worth that doesn't follow its size, and mostSize bounds the rest.
	fixedValueShare = 0.3
	maxRelativeSize = 4
	// smallestTierErrorRate is the chance that the smallest size is wrong, before it was asked.
	smallestTierErrorRate = 0.45
)

// Tier is a size that may answer.
type Tier struct {
	// Wait is the estimated time to the first event.
	Wait time.Duration
	// Work is the time of an endpoint that it takes.
	Work time.Duration
	// Price is that of the model for this request, in the unit of worths.
	Price float64
}

// Request is a request for which a size has to be chosen.
type Request struct {
	// Tiers are the sizes from the smallest to the largest.
	Tiers []Tier
	// Priority is the request's priority; 0 is the highest.
	Priority int
	// RelativeSize is the request's size as a part of the mean of its route.
	RelativeSize float64
	// AttemptsLeft is how often the request may still be sent, this sending among them.
	AttemptsLeft int
	// Backlog is the work that waits at an endpoint on average.
	Backlog time.Duration
	// TimeLeft is the time until the answer is late.
	TimeLeft time.Duration
}

// answerValue is what a right answer in time is answerValue.
func (a Request) answerValue() float64 {
	return answerValues[min(max(a.Priority, 0), len(answerValues)-1)] * min(maxRelativeSize, fixedValueShare+(1-fixedValueShare)*a.RelativeSize)
}

// cost is what an option takes from others.
func (a Request) cost(o Tier) float64 {
	return o.Price + queueingCost*a.Backlog.Seconds()*o.Work.Seconds()
}

// timelinessFactor is the part of its worth that an answer of an option keeps for coming after earlier waits.
func (a Request) timelinessFactor(o Tier, before time.Duration) float64 {
	if time.Duration(latenessMargin*float64(o.Wait))+before > a.TimeLeft {
		return lateValueShare
	}
	return 1
}

// errorProbability is the chance that an answer with a confidence is wrong.
func errorProbability(confidence int) float64 {
	return 1 / (1 + math.Exp((float64(confidence)-confidenceMidpoint)/confidenceScale))
}

// expectedValueShare is the part of a expectedValueShare answer's worth that is expected where an answer is wrong by a chance.
func expectedValueShare(wrong float64) float64 { return 1 - wrong + wrong*wrongValueShare }

// First returns the size that answers first: the smallest, or the largest where asking both would make the
// answer late and the largest is worth its cost.
func First(a Request) int {
	n := len(a.Tiers) - 1
	if n <= 0 || a.AttemptsLeft <= 0 {
		return 0
	}
	s, l := a.Tiers[0], a.Tiers[n]
	w := a.answerValue()
	direct := w*a.timelinessFactor(l, 0) - a.cost(l)
	both := w*((1-smallestTierErrorRate)*a.timelinessFactor(s, 0)+smallestTierErrorRate*a.timelinessFactor(l, s.Wait)) - a.cost(s) - smallestTierErrorRate*a.cost(l)
	if direct > both {
		return n
	}
	return 0
}

// Next returns the size to ask after an answer of a size with a confidence from 0 to 100. ok is false where
// the answer is kept.
func Next(a Request, tier, confidence int) (next int, ok bool) {
	if a.AttemptsLeft <= 1 {
		return tier, false
	}
	w, d := a.answerValue(), errorProbability(confidence)
	best := w * expectedValueShare(d)
	if a.TimeLeft <= 0 {
		best *= lateValueShare
	}
	for n := tier + 1; n < len(a.Tiers); n++ {
		f := d * (1 - middleTierGain)
		if n == len(a.Tiers)-1 {
			f = 0
		}
		if v := w*expectedValueShare(f)*a.timelinessFactor(a.Tiers[n], 0) - a.cost(a.Tiers[n]); v > best {
			best, next, ok = v, n, true
		}
	}
	return next, ok
}
