package bench

import (
	"math/rand/v2"
	"time"
)

// policy decides where a request goes.
type policy interface {
	// submit takes a request; the policy reports its end to the record.
	submit(a arrival)
}

// plain is a policy without a queue of its own: it picks a version and an engine at once.
type plain struct {
	world  *world
	record *record
	// version picks a version; engine one of those that hold it.
	version func(p *plain, a arrival) int
	engine  func(p *plain, e []*engine) *engine
	random  *rand.Rand
	next    int
	// retry is what the policy does after an attempt that failed.
	retry retry
}

// retry says when a plain policy tries again.
type retry int

const (
	retryNone retry = iota
	// retryAny tries again after any failure.
	retryAny
	// retryClassified tries again where nothing can have started, or the request may be repeated.
	retryClassified
)

func (p *plain) submit(a arrival) { p.try(a, 1) }

// again reports whether a failed attempt is followed by another.
func (p *plain) again(a arrival, r result, attempts int) bool {
	if attempts >= maxAttempts || p.retry == retryNone {
		return false
	}
	return p.retry == retryAny || r.refused || !a.once()
}

func (p *plain) try(a arrival, attempts int) {
	w := p.world
	v := p.version(p, a)
	var e []*engine
	for _, x := range w.engines {
		if x.has(v) && p.seen(x) {
			e = append(e, x)
		}
	}
	if len(e) == 0 {
		p.record.refuse(a)
		return
	}
	x := p.engine(p, e)
	t := &task{arrival: a, version: v, engine: x, sent: w.now}
	t.done = func(r result) {
		b := r.refused || r.faulty || r.cut
		if b && p.again(a, r, attempts) {
			p.try(a, attempts+1)
			return
		}
		if b {
			p.record.fail(a, t)
			return
		}
		p.record.serve(a, t, r.quality)
	}
	p.record.attempt()
	w.after(linkDelay, func() { x.submit(t) })
}

// seen reports whether the policy still sends to an engine; it notices a stopped one late, as announcements
// expire.
func (p *plain) seen(e *engine) bool {
	return !e.stopped || p.world.scenario.rolling || p.world.now < p.world.scenario.turn+5*time.Second
}

func best(*plain, arrival) int { return 0 }

func cheapest(p *plain, _ arrival) int { return len(p.world.deployment.versions) - 1 }

func randomVersion(p *plain, _ arrival) int { return p.random.IntN(len(p.world.deployment.versions)) }

// oracle knows the true qualities and picks the cheapest version that reaches the agreed one.
func oracle(p *plain, a arrival) int {
	b := 0
	for i, v := range p.world.versions {
		if p.world.scenario.fresh && i == len(p.world.versions)-1 && !p.world.turned() {
			continue
		}
		if p.world.trueQuality(i, a.class) < p.world.deployment.classes[a.class].terms.Quality {
			continue
		}
		if v.version.Cost.OutputMicros < p.world.versions[b].version.Cost.OutputMicros {
			b = i
		}
	}
	return b
}

func roundRobin(p *plain, e []*engine) *engine {
	p.next++
	return e[p.next%len(e)]
}

func anyEngine(p *plain, e []*engine) *engine { return e[p.random.IntN(len(e))] }

// leastOutstanding knows the true load of all engines at once, which no real host does.
func leastOutstanding(_ *plain, e []*engine) *engine {
	b := e[0]
	for _, x := range e {
		if x.outstanding() < b.outstanding() {
			b = x
		}
	}
	return b
}
