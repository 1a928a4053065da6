package bench

import (
	"math/rand/v2"
	"time"
)

// policy chooses the version and the engine for each request.
type policy interface {
	// submit routes a request. The policy reports the outcome of the request to its recorder.
	submit(a arrival)
}

// baseline is a simple policy to compare the product with. It has no queue: it picks a version and an engine for
// each request at once.
type baseline struct {
	simulation *simulation
	recorder   *recorder
	// pickVersion returns the index of a version; pickEngine returns one of the engines that hold that version.
	pickVersion func(p *baseline, a arrival) int
	pickEngine  func(p *baseline, e []*engine) *engine
	random      *rand.Rand
	// next is the counter of roundRobin.
	next  int
	retry retryMode
}

// retryMode says after which failures a baseline sends another attempt.
type retryMode int

const (
	// retryNone never retries.
	retryNone retryMode = iota
	// retryAny retries after any failure.
	retryAny
	// retryClassified retries if the failed attempt can't have started or the request is repeatable.
	retryClassified
)

func (p *baseline) submit(a arrival) { p.send(a, 1) }

// shouldRetry reports whether a failed attempt is followed by another one; attempts counts those sent so far.
func (p *baseline) shouldRetry(a arrival, r result, attempts int) bool {
	if attempts >= maxAttempts || p.retry == retryNone {
		return false
	}
	return p.retry == retryAny || r.refused || !a.atMostOnce()
}

// send sends an attempt of a request, the given number of which includes this one, and retries it as the retry mode
// allows. A request is refused if no reachable engine holds the picked version.
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

// considersReachable reports whether the policy sends attempts to an engine. A stopped engine is excluded only from
// 5 s after the change on, since its last announcement has to expire first, and never in the rolling scenario.
func (p *baseline) considersReachable(e *engine) bool {
	return !e.stopped || p.simulation.scenario.rolling || p.simulation.now < p.simulation.scenario.changeAt+5*time.Second
}

// bestVersion picks the first version of the deployment, which has the highest quality and cost.
func bestVersion(*baseline, arrival) int { return 0 }

// cheapestVersion picks the last version of the deployment, which has the lowest cost.
func cheapestVersion(p *baseline, _ arrival) int { return len(p.simulation.deployment.versions) - 1 }

// randomVersion picks any version of the deployment with equal probability.
func randomVersion(p *baseline, _ arrival) int {
	return p.random.IntN(len(p.simulation.deployment.versions))
}

// oracleVersion picks the cheapest version whose true quality, which no real host knows, reaches the quality that
// the contract requires for the class.
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

// roundRobin picks the engines in turn.
func roundRobin(p *baseline, e []*engine) *engine {
	p.next++
	return e[p.next%len(e)]
}

// randomEngine picks any engine with equal probability.
func randomEngine(p *baseline, e []*engine) *engine { return e[p.random.IntN(len(e))] }

// leastOutstanding picks the engine with the fewest running and queued attempts. It reads the current load of all
// engines, which no real host knows.
func leastOutstanding(_ *baseline, e []*engine) *engine {
	b := e[0]
	for _, x := range e {
		if x.outstanding() < b.outstanding() {
			b = x
		}
	}
	return b
}
