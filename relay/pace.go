package relay

import (
	"sync"
	"time"
)

const (
	// firstRead is the assumed time to read a prompt token before one was measured.
	firstRead = 20 * time.Microsecond
	// leastRead bounds the measured time to read a prompt token.
	leastRead = 500 * time.Nanosecond
	// measuredPrompt is the number of prompt tokens from which a wait says how fast a model reads.
	measuredPrompt = 1000
	// paceWeight is the part of the newest wait in a model's pace.
	paceWeight = 0.1
)

// paces are how fast models read prompts, learned from the waits for first events. It is safe for
// concurrent use.
type paces struct {
	lock  sync.Mutex
	reads map[string]float64
}

func newPaces() *paces { return &paces{reads: map[string]float64{}} }

// learn takes the wait for the first event of a prompt, less the work that was known to be before it.
func (p *paces) learn(model string, tokens int, wait time.Duration) {
	if tokens < measuredPrompt {
		return
	}
	x := max(float64(leastRead), float64(wait-startCost)/float64(tokens))
	p.lock.Lock()
	defer p.lock.Unlock()
	o, ok := p.reads[model]
	if !ok {
		o = x
	}
	p.reads[model] = o + paceWeight*(x-o)
}

// read is the time in which a model reads prompt tokens.
func (p *paces) read(model string, tokens int) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	r, ok := p.reads[model]
	if !ok {
		r = float64(firstRead)
	}
	return time.Duration(r * float64(tokens))
}
