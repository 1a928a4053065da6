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

// baseline is a policy without a queue of its own: it picks a version and an engine at once.
type baseline struct {
	simulation *simulation
	recorder   *recorder
	// pickVersion picks a pickVersion; engine one of those that hold it.
	pickVersion func(p *baseline, a arrival) int
	pickEngine  func(p *baseline, e []*engine) *engine
	random      *rand.Rand
	next        int
	// retry is what the policy does after an attempt that failed.
	retry retryMode
}

// retryMode says when a plain policy tries again.
type retryMode int

const (
	retryNone retryMode = iota
	// retryAny tries again after any failure.
	retryAny
	// retryClassified tries again where nothing can have started, or the request may be repeated.
	retryClassified
)

func (p *baseline) submit(a arrival) { p.send(a, 1) }

// shouldRetry reports whether a failed attempt is followed by another.
func (p *baseline) shouldRetry(a arrival, r result, attempts int) bool {
	if attempts >= maxAttempts || p.retry == retryNone {
		return false
	}
	return p.retry == retryAny || r.refused || !a.atMostOnce()
}

func (p *baseline) send(a arrival, attempts int) {
	w := p.simulation
	v := p.pickVersion(p, a)
	var e []*engine
	for _, x := range w.engines {
		if x.holdsVersion(v) && p.considersReachable(x) {
			e = append(e, x)
		}
	}
	if len(e) == 0 {
		p.recorder.countRefusal(a)
		return
	}
	x := p.pickEngine(p, e)
	t := &attempt{arrival: a, version: v, engine: x, sent: w.now}
	t.done = func(r result) {
		b := r.refused || r.faulty || r.interrupted
		if b && p.shouldRetry(a, r, attempts) {
			p.send(a, attempts+1)
			return
		}
		if b {
			p.recorder.countFailure(a, t)
			return
		}
		p.recorder.countAnswer(a, t, r.quality)
	}
	p.recorder.countAttempt()
	w.after(linkDelay, func() { x.submit(t) })
}

// considersReachable reports whether the policy still sends to an engine; it notices a stopped one late, as announcements
// expire.
func (p *baseline) considersReachable(e *engine) bool {
	return !e.stopped || p.simulation.scenario.rolling || p.simulation.now < p.simulation.scenario.changeAt+5*time.Second
}

func bestVersion(*baseline, arrival) int { return 0 }

func cheapestVersion(p *baseline, _ arrival) int { return len(p.simulation.deployment.versions) - 1 }

func randomVersion(p *baseline, _ arrival) int {
	return p.random.IntN(len(p.simulation.deployment.versions))
}

// oracleVersion knows the true qualities and picks the cheapest version that reaches the agreed one.
func oracleVersion(p *baseline, a arrival) int {
	b := 0
	for i, v := range p.simulation.versions {
		if p.simulation.scenario.newVersion && i == len(p.simulation.versions)-1 && !p.simulation.changed() {
			continue
		}
		if p.simulation.trueQuality(i, a.class) < p.simulation.deployment.classes[a.class].terms.Quality {
			continue
		}
		if v.version.Cost.OutputMicros < p.simulation.versions[b].version.Cost.OutputMicros {
			b = i
		}
	}
	return b
}

func roundRobin(p *baseline, e []*engine) *engine {
	p.next++
	return e[p.next%len(e)]
}

func randomEngine(p *baseline, e []*engine) *engine { return e[p.random.IntN(len(e))] }

// leastOutstanding knows the true load of all engines at once, which no real host does.
func leastOutstanding(_ *baseline, e []*engine) *engine {
	b := e[0]
	for _, x := range e {
		if x.outstanding() < b.outstanding() {
			b = x
		}
	}
	return b
}
