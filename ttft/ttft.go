// Package ttft estimates the time to the first token of a prompt, from how long models need to read prompts, which
// it learns from the waits for first events.
package ttft

import (
	"sync"
	"time"
)

const (
	// BaseLatency is the part of the wait for a first event that doesn't depend on the prompt.
	BaseLatency = 25 * time.Millisecond
	// prefillPerCost is the assumed time to read a prompt token, for a model's cost of 1, before one was measured:
	// dearer models are slower.
	prefillPerCost = 170 * time.Microsecond
	// minPrefillPerToken bounds the measured time to read a prompt token.
	minPrefillPerToken = 500 * time.Nanosecond
	// minObservedPrompt is the number of prompt tokens from which a wait says how fast a model reads.
	minObservedPrompt = 1500
	// maxObservedBacklog is the most work that may wait at an endpoint whose wait is measured.
	maxObservedBacklog = 40 * time.Millisecond
	// waitQuantile is the part of the waits that lie below the learned pace: shorter ones had parts of the prompt in
	// memory, longer ones met other requests' work that the backlog did not tell of.
	waitQuantile = 0.33
	// maxStep and leastStep bound the part by which a wait moves the pace; it shrinks with each.
	maxStep = 0.4
	minStep = 0.025
	// adoptedSamples is how many waits a pace counts for that another host has measured.
	adoptedSamples = 10
	// attentionLength is the number of tokens of a prompt whose tokens take twice as long as those of a short one, since
	// each is read against all before it.
	attentionLength = 85000
)

// prefillEstimate is how fast a model reads.
type prefillEstimate struct {
	// perToken is the time to perToken a token of a short prompt, in nanoseconds.
	perToken float64
	// samples is how many were learned from.
	samples int
}

// Estimator are how fast models read prompts. It is safe for concurrent use.
type Estimator struct {
	lock sync.Mutex
	// models are those measured.
	models map[string]prefillEstimate
}

// New returns paces of which none was measured.
func New() *Estimator { return &Estimator{models: map[string]prefillEstimate{}} }

// defaultEstimate is the pace of a model with a cost before it was measured.
func defaultEstimate(cost float64) prefillEstimate {
	return prefillEstimate{perToken: max(float64(minPrefillPerToken), cost*float64(prefillPerCost))}
}

// effectiveTokens is the number of tokens of a short prompt that take as long as those of a prompt.
func effectiveTokens(tokens int) float64 {
	return float64(tokens) * (1 + float64(tokens)/attentionLength)
}

// Observe takes the wait for the first event of a prompt at an endpoint where a backlog was before it. Only
// waits at endpoints with next to none say how fast the model is.
func (p *Estimator) Observe(model string, cost float64, tokens int, wait, backlog time.Duration) {
	if tokens < minObservedPrompt || backlog > maxObservedBacklog {
		return
	}
	x := float64(wait-BaseLatency) / effectiveTokens(tokens)
	p.lock.Lock()
	defer p.lock.Unlock()
	o, ok := p.models[model]
	if !ok {
		o = defaultEstimate(cost)
	}
	o.samples++
	s := max(minStep, maxStep/float64(o.samples))
	if x < o.perToken {
		o.perToken *= 1 - s*(1-waitQuantile)
	} else {
		o.perToken *= 1 + s*waitQuantile
	}
	o.perToken = max(o.perToken, float64(minPrefillPerToken))
	p.models[model] = o
}

// PrefillTime is the time in which a model with a cost reads prompt tokens.
func (p *Estimator) PrefillTime(model string, cost float64, tokens int) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	o, ok := p.models[model]
	if !ok {
		o = defaultEstimate(cost)
	}
	return time.Duration(o.perToken * effectiveTokens(tokens))
}

// Measured returns the measured times to read a prompt token, by model.
func (p *Estimator) Measured() map[string]time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	r := map[string]time.Duration{}
	for m, v := range p.models {
		r[m] = time.Duration(v.perToken)
	}
	return r
}

// Adopt takes what other hosts have measured of models that this host hasn't.
func (p *Estimator) Adopt(reads map[string]time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for m, v := range reads {
		if _, ok := p.models[m]; !ok {
			p.models[m] = prefillEstimate{perToken: float64(v), samples: adoptedSamples}
		}
	}
}
