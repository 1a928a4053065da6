// Package ttft estimates the time to first token of a prompt. It learns the prefill time of each model from
// measured times to the first event.
package ttft

import (
	"sync"
	"time"
)

const (
	// BaseLatency is the part of the time to first token that doesn't depend on the prompt.
	BaseLatency = 25 * time.Millisecond
	// prefillPerCost is the assumed prefill time per prompt token of a model with cost 1, used until the model is
	// measured. It scales with the cost because more expensive models are slower.
	prefillPerCost = 170 * time.Microsecond
	// minPrefillPerToken is the lower limit of the estimated prefill time per token.
	minPrefillPerToken = 500 * time.Nanosecond
	// minObservedPrompt is the number of prompt tokens below which a wait says too little about the prefill time.
	minObservedPrompt = 1500
	// maxObservedBacklog is the longest backlog of an endpoint whose waits are used.
	maxObservedBacklog = 40 * time.Millisecond
	// waitQuantile is the quantile of the measured waits that the estimate tracks. Shorter waits had part of the
	// prompt in the prefix cache; longer ones were queued behind work of other requests that the backlog didn't
	// show.
	waitQuantile = 0.33
	// Each wait changes the estimate by a relative step that starts at maxStep and shrinks with the number of
	// samples, down to minStep.
	maxStep = 0.4
	minStep = 0.025
	// adoptedSamples is the number of samples that an estimate counts for that was measured by another host.
	adoptedSamples = 10
	// attentionLength is the prompt length, in tokens, at which prefill takes twice as long per token as in a short
	// prompt, because attention covers all earlier tokens.
	attentionLength = 85000
)

// prefillEstimate is the estimated prefill speed of a model.
type prefillEstimate struct {
	// perToken is the prefill time per token of a short prompt, in nanoseconds.
	perToken float64
	// samples is the number of waits behind the estimate.
	samples int
}

// Estimator estimates the prefill times of models. It is safe for concurrent use.
type Estimator struct {
	lock sync.Mutex
	// models holds the estimates of measured models, by name.
	models map[string]prefillEstimate
}

// New returns an estimator without measurements.
func New() *Estimator { return &Estimator{models: map[string]prefillEstimate{}} }

// defaultEstimate returns the estimate for an unmeasured model with the given cost.
func defaultEstimate(cost float64) prefillEstimate {
	return prefillEstimate{perToken: max(float64(minPrefillPerToken), cost*float64(prefillPerCost))}
}

// effectiveTokens returns the length of a prompt corrected for the growth of attention: the number of tokens that
// would take as long at the speed of a short prompt.
func effectiveTokens(tokens int) float64 {
	return float64(tokens) * (1 + float64(tokens)/attentionLength)
}

// Observe updates the estimate of a model with a measured wait for the first event of a prompt. Waits for short
// prompts and at endpoints with a backlog are ignored, since they don't show the speed of the model.
func (e *Estimator) Observe(model string, cost float64, tokens int, wait, backlog time.Duration) {
	if tokens < minObservedPrompt || backlog > maxObservedBacklog {
		return
	}
	x := float64(wait-BaseLatency) / effectiveTokens(tokens)
	e.lock.Lock()
	defer e.lock.Unlock()
	o, ok := e.models[model]
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
	e.models[model] = o
}

// PrefillTime returns the estimated prefill time of a prompt. cost is the model's cost, which is used until the
// model is measured.
func (e *Estimator) PrefillTime(model string, cost float64, tokens int) time.Duration {
	e.lock.Lock()
	defer e.lock.Unlock()
	o, ok := e.models[model]
	if !ok {
		o = defaultEstimate(cost)
	}
	return time.Duration(o.perToken * effectiveTokens(tokens))
}

// Measured returns the prefill time per token of a short prompt for each measured model.
func (e *Estimator) Measured() map[string]time.Duration {
	e.lock.Lock()
	defer e.lock.Unlock()
	r := map[string]time.Duration{}
	for m, v := range e.models {
		r[m] = time.Duration(v.perToken)
	}
	return r
}

// Adopt takes over prefill times per token that other hosts have measured, for models that this host hasn't measured.
func (e *Estimator) Adopt(perToken map[string]time.Duration) {
	e.lock.Lock()
	defer e.lock.Unlock()
	for m, v := range perToken {
		if _, ok := e.models[m]; !ok {
			e.models[m] = prefillEstimate{perToken: float64(v), samples: adoptedSamples}
		}
	}
}
