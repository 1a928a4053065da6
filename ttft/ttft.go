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
	// readByCost is the assumed time to read a prompt token, for a model's cost of 1, before one was measured:
	// dearer models are slower.
	readByCost = 170 * time.Microsecond
	// leastRead bounds the measured time to read a prompt token.
	leastRead = 500 * time.Nanosecond
	// measuredPrompt is the number of prompt tokens from which a wait says how fast a model reads.
	measuredPrompt = 1500
	// idleBacklog is the most work that may wait at an endpoint whose wait is measured.
	idleBacklog = 40 * time.Millisecond
	// quantile is the part of the waits that lie below the learned pace: shorter ones had parts of the prompt in
	// memory, longer ones met other requests' work that the backlog did not tell of.
	quantile = 0.33
	// firstStep and leastStep bound the part by which a wait moves the pace; it shrinks with each.
	firstStep = 0.4
	leastStep = 0.025
	// adoptedWaits is how many waits a pace counts for that another host has measured.
	adoptedWaits = 10
	// longPrompt is the number of tokens of a prompt whose tokens take twice as long as those of a short one, since
	// each is read against all before it.
	longPrompt = 85000
)

// pace is how fast a model reads.
type pace struct {
	// read is the time to read a token of a short prompt, in nanoseconds.
	read float64
	// waits is how many were learned from.
	waits int
}

// Estimator are how fast models read prompts. It is safe for concurrent use.
type Estimator struct {
	lock sync.Mutex
	// models are those measured.
	models map[string]pace
}

// New returns paces of which none was measured.
func New() *Estimator { return &Estimator{models: map[string]pace{}} }

// assumed is the pace of a model with a cost before it was measured.
func assumed(cost float64) pace {
	return pace{read: max(float64(leastRead), cost*float64(readByCost))}
}

// length is the number of tokens of a short prompt that take as long as those of a prompt.
func length(tokens int) float64 { return float64(tokens) * (1 + float64(tokens)/longPrompt) }

// Observe takes the wait for the first event of a prompt at an endpoint where a backlog was before it. Only
// waits at endpoints with next to none say how fast the model is.
func (p *Estimator) Observe(model string, cost float64, tokens int, wait, backlog time.Duration) {
	if tokens < measuredPrompt || backlog > idleBacklog {
		return
	}
	x := float64(wait-BaseLatency) / length(tokens)
	p.lock.Lock()
	defer p.lock.Unlock()
	o, ok := p.models[model]
	if !ok {
		o = assumed(cost)
	}
	o.waits++
	s := max(leastStep, firstStep/float64(o.waits))
	if x < o.read {
		o.read *= 1 - s*(1-quantile)
	} else {
		o.read *= 1 + s*quantile
	}
	o.read = max(o.read, float64(leastRead))
	p.models[model] = o
}

// PrefillTime is the time in which a model with a cost reads prompt tokens.
func (p *Estimator) PrefillTime(model string, cost float64, tokens int) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	o, ok := p.models[model]
	if !ok {
		o = assumed(cost)
	}
	return time.Duration(o.read * length(tokens))
}

// Measured returns the measured times to read a prompt token, by model.
func (p *Estimator) Measured() map[string]time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	r := map[string]time.Duration{}
	for m, v := range p.models {
		r[m] = time.Duration(v.read)
	}
	return r
}

// Adopt takes what other hosts have measured of models that this host hasn't.
func (p *Estimator) Adopt(reads map[string]time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for m, v := range reads {
		if _, ok := p.models[m]; !ok {
			p.models[m] = pace{read: float64(v), waits: adoptedWaits}
		}
	}
}
