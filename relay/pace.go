package relay

import (
	"sync"
	"time"
)

const (
	// readByCost is the assumed time to read a prompt token, for a model's cost of 1, before one was measured:
	// dearer models are slower.
	readByCost = 170 * time.Microsecond
	// leastRead bounds the measured time to read a prompt token.
	leastRead = 500 * time.Nanosecond
	// measuredPrompt is the number of prompt tokens from which a wait says how fast a model reads.
	measuredPrompt = 1500
	// idleBacklog is the most work that may wait at an endpoint whose wait is measured.
	idleBacklog = 40 * time.Millisecond
	// stepDown and stepUp move a pace towards a low quantile of the waits: those above it hold other
	// requests' work that the backlog did not tell of.
	stepDown = 0.06
	stepUp   = 0.02
)

// paces are how fast models read prompts, learned from the waits for first events. It is safe for
// concurrent use.
type paces struct {
	lock  sync.Mutex
	reads map[string]float64
}

func newPaces() *paces { return &paces{reads: map[string]float64{}} }

// learn takes the wait for the first event of a prompt at an endpoint where a backlog was before it. Only
// waits at endpoints with next to none say how fast the model is.
func (p *paces) learn(model string, cost float64, tokens int, wait, backlog time.Duration) {
	if tokens < measuredPrompt || backlog > idleBacklog {
		return
	}
	x := max(float64(leastRead), float64(wait-startCost)/float64(tokens))
	p.lock.Lock()
	defer p.lock.Unlock()
	o, ok := p.reads[model]
	switch {
	case !ok:
		p.reads[model] = max(float64(leastRead), cost*float64(readByCost))
	case x < o:
		p.reads[model] = o * (1 - stepDown)
	default:
		p.reads[model] = o * (1 + stepUp)
	}
}

// read is the time in which a model with a cost reads prompt tokens.
func (p *paces) read(model string, cost float64, tokens int) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	r, ok := p.reads[model]
	if !ok {
		r = max(float64(leastRead), cost*float64(readByCost))
	}
	return time.Duration(r * float64(tokens))
}

// all returns the measured times to read a prompt token, by model.
func (p *paces) all() map[string]time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	r := map[string]time.Duration{}
	for m, v := range p.reads {
		r[m] = time.Duration(v)
	}
	return r
}

// adopt takes what other hosts have measured of models that this host hasn't.
func (p *paces) adopt(reads map[string]time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for m, v := range reads {
		if _, ok := p.reads[m]; !ok {
			p.reads[m] = float64(v)
		}
	}
}

// Paces returns the measured times to read a prompt token, by model, for other hosts.
func (r *Relay) Paces() map[string]time.Duration { return r.paces.all() }

// AdoptPaces takes what other hosts have measured of models that this host hasn't.
func (r *Relay) AdoptPaces(reads map[string]time.Duration) { r.paces.adopt(reads) }

// weightsWeight is the part of the newest request in the mean size of a route.
const weightsWeight = 0.03

// weights are the mean sizes of requests by route. They are safe for concurrent use.
type weights struct {
	lock  *sync.Mutex
	means map[string]float64
}

func newWeights() weights { return weights{lock: &sync.Mutex{}, means: map[string]float64{}} }

func (w weights) add(route string, size float64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	o, ok := w.means[route]
	if !ok {
		o = size
	}
	w.means[route] = o + weightsWeight*(size-o)
}

func (w weights) get(route string) float64 {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.means[route]
}
