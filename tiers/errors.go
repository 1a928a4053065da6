package tiers

import (
	"math"
	"slices"
	"sync"
)

const (
	// evenConfidence is the confidence of a model that holds its answer as likely right as wrong.
	evenConfidence = 50
	// priorAnswers is the number of answers that the assumptions about error rates count for.
	priorAnswers = 20
	// answerWindow is the number of answers over which an error rate is measured.
	answerWindow = 400
	// smallestErrorRate is the assumed error rate of the smallest tier. That of larger tiers falls to 0, faster towards
	// the largest.
	smallestErrorRate = 0.5
)

// WrongProbability returns the probability that an answer with a confidence from 0 to 100 is wrong: the probability that
// a report that is off by ReportNoise hides a confidence under evenConfidence.
func (c Chooser) WrongProbability(confidence int) float64 {
	return 1 - normal(float64(confidence-evenConfidence)/max(c.weights.ReportNoise, 1))
}

// normal is the cumulative distribution function of the standard normal distribution.
func normal(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }

// rate is the ratio of two sums over the last answers.
type rate struct{ wrong, answers float64 }

// with returns the rate after an answer of a weight that was wrong with a probability.
func (r rate) with(wrong, weight float64) rate {
	if r.answers+weight > answerWindow {
		f := max(0, 1-weight/answerWindow)
		r = rate{r.wrong * f, r.answers * f}
	}
	return rate{r.wrong + wrong, r.answers + weight}
}

// mean returns the rate with priorAnswers answers at the prior rate added.
func (r rate) mean(prior float64) float64 {
	return (r.wrong + prior*priorAnswers) / (r.answers + priorAnswers)
}

// ErrorRates holds what is known of the error rates of the tiers of a route. It is an immutable value; the zero value
// knows nothing.
type ErrorRates struct {
	tiers int
	// first holds the error rate of each tier over requests that it answered first.
	first []rate
	// remaining holds, at from*tiers+to, the error rate of tier to over answers of tier from that escalated to it,
	// relative to the probability that those were wrong.
	remaining []rate
}

// NewErrorRates returns the error rates of a route with a number of tiers before any answer.
func NewErrorRates(tiers int) ErrorRates {
	return ErrorRates{tiers: tiers, first: make([]rate, tiers), remaining: make([]rate, tiers*tiers)}
}

// prior returns the assumed error rate of a tier.
func (e ErrorRates) prior(tier int) float64 {
	if e.tiers < 2 {
		return smallestErrorRate
	}
	x := float64(tier) / float64(e.tiers-1)
	return smallestErrorRate * (1 - x*x)
}

// Wrong returns the probability that a tier answers a request wrongly, before its answer is known.
func (e ErrorRates) Wrong(tier int) float64 {
	if tier >= len(e.first) {
		return e.prior(tier)
	}
	return e.first[tier].mean(e.prior(tier))
}

// Remaining returns the probability that tier to answers wrongly where tier from did.
func (e ErrorRates) Remaining(from, to int) float64 {
	p := e.prior(to) / max(e.prior(from), 0.01)
	if i := from*e.tiers + to; i < len(e.remaining) {
		return min(1, e.remaining[i].mean(p))
	}
	return min(1, p)
}

// WithFirst returns the rates after a tier answered a request first, wrongly with a probability.
func (e ErrorRates) WithFirst(tier int, wrong float64) ErrorRates {
	if tier < len(e.first) {
		e.first = slices.Clone(e.first)
		e.first[tier] = e.first[tier].with(wrong, 1)
	}
	return e
}

// WithEscalation returns the rates after a request escalated between two tiers, whose answers were wrong with the given
// probabilities.
func (e ErrorRates) WithEscalation(from, to int, wrongBefore, wrong float64) ErrorRates {
	if i := from*e.tiers + to; i < len(e.remaining) {
		e.remaining = slices.Clone(e.remaining)
		e.remaining[i] = e.remaining[i].with(wrong, wrongBefore)
	}
	return e
}

// Ledger holds the error rates of routes by name. It is safe for concurrent use.
type Ledger struct {
	lock   sync.Mutex
	routes map[string]ErrorRates
}

// NewLedger returns a ledger without answers.
func NewLedger() *Ledger { return &Ledger{routes: map[string]ErrorRates{}} }

// Rates returns the error rates of a route with a number of tiers. They start anew where that number changes.
func (l *Ledger) Rates(route string, tiers int) ErrorRates {
	l.lock.Lock()
	defer l.lock.Unlock()
	e, ok := l.routes[route]
	if !ok || e.tiers != tiers {
		return NewErrorRates(tiers)
	}
	return e
}

// Update replaces the error rates of a route with a number of tiers by what change returns for them.
func (l *Ledger) Update(route string, tiers int, change func(ErrorRates) ErrorRates) {
	l.lock.Lock()
	defer l.lock.Unlock()
	e, ok := l.routes[route]
	if !ok || e.tiers != tiers {
		e = NewErrorRates(tiers)
	}
	l.routes[route] = change(e)
}
