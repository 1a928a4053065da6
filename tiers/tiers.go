// Package tiers decides between the model tiers of a route, which form a cascade: which tier answers first, and
// whether an answer is kept or the request escalates to a larger tier. The decision weighs the value of a correct
// answer against the price of the model, the delay that the work causes to other requests, and the risk of a late
// answer.
package tiers

import "time"

// Weights are the assumptions behind the decisions that nothing observed can replace, since no host learns what an
// answer was worth or whether it was right.
type Weights struct {
	// AnswerWorth is the value of a correct answer in time, in prices of the largest model for the same request: whoever
	// offers a model for a request is taken to find its answers worth several times their price.
	AnswerWorth float64 `json:"answer-worth"`
	// WrongShare and LateShare are the shares of that value, from 0 to 1, that a wrong and a late answer have.
	WrongShare float64 `json:"wrong-share"`
	LateShare  float64 `json:"late-share"`
	// DelayRate is the share of a mean value that the requests at an endpoint lose for each second of work that is added
	// and each second that they wait already.
	DelayRate float64 `json:"delay-rate"`
	// ReportNoise is the standard deviation, in points of confidence, of what models report of their answers.
	ReportNoise float64 `json:"report-noise"`
}

// DefaultWeights returns the weights that hold where the settings name no others.
func DefaultWeights() Weights {
	return Weights{AnswerWorth: 8, WrongShare: 0.05, LateShare: 0.2, DelayRate: 4, ReportNoise: 16}
}

// Tier is a model tier that may answer a request.
type Tier struct {
	// Wait is the estimated time to the first event.
	Wait time.Duration
	// Work is the time of an endpoint that the request takes from others.
	Work time.Duration
	// Price is the model's price for the request.
	Price float64
}

// Request is a request for which a tier has to be chosen.
type Request struct {
	// Tiers are ordered from the smallest to the largest.
	Tiers []Tier
	// Errors holds the error rates of the tiers on the request's route.
	Errors ErrorRates
	// AttemptsLeft is how many more times the request may be sent, including the attempt to be decided on.
	AttemptsLeft int
	// TimeLeft is the time until the answer is late. Lateness is the error of the estimated waits.
	TimeLeft time.Duration
	Lateness Lateness
	// Demand describes the requests that share the endpoints. Queue is the estimated mean wait at the endpoints before
	// they begin with a new request.
	Demand Demand
	Queue  time.Duration
}

// Chooser chooses tiers by expected utility. It is an immutable value.
type Chooser struct{ weights Weights }

// NewChooser returns a chooser with the given weights.
func NewChooser(w Weights) Chooser { return Chooser{weights: w} }

// Value returns the value of a correct answer in time to a request with the given tiers. Where the largest model has no
// price, a correct answer counts 1, since all models are free then.
func (c Chooser) Value(tiers []Tier) float64 {
	if len(tiers) == 0 || tiers[len(tiers)-1].Price <= 0 {
		return 1
	}
	return c.weights.AnswerWorth * tiers[len(tiers)-1].Price
}

// cost returns the price of a tier plus the value that other requests lose by its work.
func (c Chooser) cost(r Request, t Tier) float64 {
	return t.Price + r.Demand.delayCost(t.Work, r.Lateness.median(r.Queue), c.weights.DelayRate)
}

// timeliness returns the expected share of the value that is left after the wait for a tier. before is the time that
// passes until the tier is asked.
func (c Chooser) timeliness(r Request, t Tier, before time.Duration) float64 {
	l := r.Lateness.probability(t.Wait, r.TimeLeft-before)
	return 1 - l*(1-c.weights.LateShare)
}

// quality returns the expected value of an answer that is wrong with a probability, as a share of the value of a correct
// answer.
func (c Chooser) quality(wrong float64) float64 { return 1 - wrong*(1-c.weights.WrongShare) }

// First returns the index of the tier that answers first: the one with the highest expected utility, where a wrong
// answer escalates to the largest tier if that pays.
func (c Chooser) First(r Request) int {
	if len(r.Tiers) < 2 || r.AttemptsLeft <= 0 {
		return 0
	}
	b, n := 0.0, 0
	for k, u := range c.Utilities(r) {
		if k == 0 || u > b {
			b, n = u, k
		}
	}
	return n
}

// Utilities returns the expected utility of asking each tier first.
func (c Chooser) Utilities(r Request) []float64 {
	v, l := c.Value(r.Tiers), make([]float64, len(r.Tiers))
	for k := range r.Tiers {
		l[k] = c.firstUtility(r, v, k)
	}
	return l
}

// firstUtility returns the expected utility of asking tier k first, for an answer of the given value.
func (c Chooser) firstUtility(r Request, value float64, k int) float64 {
	t, e, n := r.Tiers[k], r.Errors.Wrong(k), len(r.Tiers)-1
	w := value * c.timeliness(r, t, 0)
	u := w*c.quality(e) - c.cost(r, t)
	if k == n || r.AttemptsLeft < 2 {
		return u
	}
	l := r.Tiers[n]
	x := value*c.quality(r.Errors.Remaining(k, n))*c.timeliness(r, l, t.Wait) - c.cost(r, l)
	return u + e*max(0, x-w*c.weights.WrongShare)
}

// Next returns the index of the tier to escalate to, after the given tier gave an answer with a confidence from 0
// to 100. ok is false if the answer is kept.
func (c Chooser) Next(r Request, tier, confidence int) (next int, ok bool) {
	if r.AttemptsLeft <= 1 {
		return tier, false
	}
	v, w := c.Value(r.Tiers), c.WrongProbability(confidence)
	b := v * c.quality(w)
	if r.TimeLeft <= 0 {
		b *= c.weights.LateShare
	}
	for n := tier + 1; n < len(r.Tiers); n++ {
		t := r.Tiers[n]
		u := v*c.quality(w*r.Errors.Remaining(tier, n))*c.timeliness(r, t, 0) - c.cost(r, t)
		if u > b {
			b, next, ok = u, n, true
		}
	}
	return next, ok
}
