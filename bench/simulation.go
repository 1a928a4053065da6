package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
)

const (
	// prefillPerToken is the prefill time of one prompt token.
	prefillPerToken = 100 * time.Microsecond
	// idleTokenTime is the time between two output tokens on an idle engine; with a full batch it is 50 % longer.
	idleTokenTime = 25 * time.Millisecond
	// answerNoise is the standard deviation of an answer's quality from the true mean quality of its version;
	// ratingNoise is the standard deviation of a rating from the answer's quality.
	answerNoise = 0.10
	ratingNoise = 0.05
	// tokenTimeSample is the number of output tokens of a streamed answer after which its time per token is
	// reported to the policy.
	tokenTimeSample = 8
	// ratingDelay is the time that the rating service takes for one rating.
	ratingDelay = 300 * time.Millisecond
	// linkDelay is the one-way delay between two hosts, and between a host and an engine.
	linkDelay = time.Millisecond
	// announceInterval is the time between two announcements of an engine; each one is delivered announceDelay
	// after its values were taken.
	announceInterval = time.Second
	announceDelay    = 200 * time.Millisecond
)

// timeline runs scheduled actions in the order of their virtual time.
type timeline struct {
	actions   actionHeap
	now       time.Duration
	scheduled int
}

// timedAction is a function to be called at a virtual time. Actions of the same time run in the order in which
// they were scheduled.
type timedAction struct {
	at    time.Duration
	order int
	run   func()
}

// actionHeap is a min-heap of actions for container/heap.
type actionHeap []timedAction

func (t actionHeap) Len() int { return len(t) }
func (t actionHeap) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].order < t[j].order)
}
func (t actionHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *actionHeap) Push(x any) { *t = append(*t, x.(timedAction)) }

// Pop implements heap.Interface.
func (t *actionHeap) Pop() any {
	o := *t
	x := o[len(o)-1]
	*t = o[:len(o)-1]
	return x
}

// after schedules an action for d after the current virtual time.
func (t *timeline) after(d time.Duration, do func()) {
	t.scheduled++
	heap.Push(&t.actions, timedAction{t.now + d, t.scheduled, do})
}

// run executes all actions up to a virtual time, including those that are scheduled meanwhile.
func (t *timeline) run(until time.Duration) {
	for len(t.actions) > 0 && t.actions[0].at <= until {
		x := heap.Pop(&t.actions).(timedAction)
		t.now = x.at
		x.run()
	}
}

// attempt is one attempt to run a request on an engine.
type attempt struct {
	arrival arrival
	// version is an index into the versions of the simulation.
	version int
	engine  *engine
	// sent is the virtual time at which the attempt was sent, firstToken that of its first token.
	sent       time.Duration
	firstToken time.Duration
	// done is called once, when the attempt has ended.
	done func(result)
	// reportTokenTime is called with the time per output token in milliseconds: after tokenTimeSample tokens of
	// a streamed answer, or at the end of a shorter or non-streamed one. It may be nil.
	reportTokenTime func(ms float64)
}

// result is the outcome of an attempt.
type result struct {
	attempt *attempt
	faulty  bool
	refused bool
	// interrupted is true when the engine stopped while the attempt was running. Whether the request took effect
	// is unknown then.
	interrupted bool
	quality     float64
}

// engine is a stand-in for a model engine with continuous batching and priorities.
type engine struct {
	id         string
	dataCentre string
	simulation *simulation
	// holds are the loaded versions, as indexes into the versions of the simulation.
	holds []int
	// capacity is the number of attempts that run at the same time.
	capacity int
	running  int
	waiting  []*attempt
	stopped  bool
	sequence uint64
	// incarnation counts the engine's restarts.
	incarnation uint64
}

func (e *engine) holdsVersion(version int) bool {
	for _, h := range e.holds {
		if h == version {
			return true
		}
	}
	return false
}

func (e *engine) outstanding() int { return e.running + len(e.waiting) }

// submit starts an attempt or queues it by the priority of its class, then by arrival. A stopped engine refuses
// the attempt at once.
func (e *engine) submit(t *attempt) {
	if e.stopped {
		t.done(result{attempt: t, refused: true})
		return
	}
	if e.running < e.capacity {
		e.start(t)
		return
	}
	p := e.simulation.deployment.classes[t.arrival.class].terms.Priority
	i := len(e.waiting)
	for i > 0 && e.simulation.deployment.classes[e.waiting[i-1].arrival.class].terms.Priority < p {
		i--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = t
}

// start runs an attempt and schedules its events: the report of the token time, the first token and the end. The
// random draws depend only on the seed of the request and on the version, so that every policy gets the same
// answer from the same version. A faulty answer ends after the prefill.
func (e *engine) start(t *attempt) {
	w := e.simulation
	e.running++
	w.countStart(t)
	i := e.incarnation
	r := rand.New(rand.NewPCG(t.arrival.seed, uint64(t.version)))
	s := 1.0
	f := false
	if w.changed() && t.version == w.scenario.badVersion {
		f = r.Float64() < w.scenario.errorShare
		if w.scenario.slowdown > 0 {
			s = w.scenario.slowdown
		}
	}
	b := 1 + 0.5*float64(e.running)/float64(e.capacity)
	p := time.Duration(float64(prefillPerToken) * float64(t.arrival.input) * s)
	g := time.Duration(float64(idleTokenTime) * float64(t.arrival.output) * s * b)
	if f {
		g = 0
	}
	n := t.arrival.output
	if w.deployment.classes[t.arrival.class].streamed {
		n = min(n, tokenTimeSample)
	}
	if t.reportTokenTime != nil && !f {
		v := float64(idleTokenTime) * s * b
		w.after(p+time.Duration(v*float64(n)), func() { t.reportTokenTime(v / float64(time.Millisecond)) })
	}
	q := w.trueQuality(t.version, t.arrival.class) + answerNoise*r.NormFloat64()
	w.after(p, func() { t.firstToken = w.now })
	w.after(p+g, func() {
		e.finish(t, result{attempt: t, faulty: f, interrupted: e.incarnation != i, quality: min(1, max(0, q))})
	})
}

// finish frees the slot of an attempt for the next queued one and reports the result. The attempt counts as
// interrupted if the engine is stopped.
func (e *engine) finish(t *attempt, r result) {
	e.running--
	if len(e.waiting) > 0 && e.running < e.capacity {
		n := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(n)
	}
	if e.stopped && !r.interrupted {
		r = result{attempt: t, interrupted: true}
	}
	t.done(r)
}

// countStart counts the starts of a request on all engines, and the second start of a request that must run at
// most once.
func (s *simulation) countStart(t *attempt) {
	s.starts[t.arrival.id]++
	if t.arrival.atMostOnce() && s.starts[t.arrival.id] == 2 && t.arrival.at >= warmUp {
		s.doubleRuns++
	}
}

// atMostOnce reports whether the request must run at most once, which holds for the half of the requests with an
// even seed. The product policy observes this in the rolling scenario only.
func (a arrival) atMostOnce() bool { return a.seed%2 == 0 }

// announcement returns the announcement of the engine's current state, with the next sequence number.
func (e *engine) announcement() model.Endpoint {
	e.sequence++
	a := model.Endpoint{
		ID: e.id, DataCentre: e.dataCentre, Address: "stand-in", Incarnation: 1 + e.incarnation, Sequence: e.sequence,
		Capacity: e.capacity, Running: e.running, Waiting: len(e.waiting),
	}
	for _, h := range e.holds {
		a.Holds = append(a.Holds, e.simulation.versions[h].version.Name)
	}
	return a
}

// simulation holds the virtual time, the engines and the rating service of one run.
type simulation struct {
	timeline
	deployment deployment
	scenario   scenario
	versions   []versionSpec
	engines    []*engine
	random     *rand.Rand
	// ratingTokens is the content of the token bucket that limits the ratings; ratingsRefilled is the virtual
	// time of its last refill.
	ratingTokens    float64
	ratingsRefilled time.Duration
	// starts counts the starts by request id; doubleRuns counts the requests that must run at most once and were
	// started more than once.
	starts     map[string]int
	doubleRuns int
}

// newSimulation builds the engines of a deployment and schedules the change of the scenario.
func newSimulation(d deployment, s scenario, seed uint64) *simulation {
	w := &simulation{deployment: d, scenario: s, versions: d.versions, random: rand.New(rand.NewPCG(seed, 13)), ratingTokens: d.ratingRate, starts: make(map[string]int)}
	for _, c := range d.dataCentres {
		for i := range d.enginesPerCentre {
			w.engines = append(w.engines, &engine{
				id: fmt.Sprintf("%s-%d", c, i), dataCentre: c, simulation: w, holds: d.holds[i], capacity: d.capacity,
			})
		}
	}
	if s.newVersion {
		w.versions = append(append([]versionSpec(nil), d.versions...), newMediumVersion(d))
	}
	w.after(s.changeAt, w.applyChange)
	if s.rolling {
		w.after(s.changeAt, func() { w.restart(0) })
	}
	return w
}

// newMediumVersion returns medium@2, an untrusted version with the quality of medium@1 at half its cost.
func newMediumVersion(d deployment) versionSpec {
	v := newVersionSpec("medium@2", d.versions[1].version.Cost.OutputMicros/2, d.versions[1].quality...)
	v.version.Trusted = false
	return v
}

const (
	// restartTime is how long a restarting engine refuses connections; restartInterval is the time from the
	// restart of one engine to the restart of the next.
	restartTime     = 3 * time.Second
	restartInterval = 4 * time.Second
)

// restart stops an engine: its running attempts are interrupted and its queued ones refused. The engine accepts
// attempts again after restartTime, and the next engine restarts after restartInterval.
func (s *simulation) restart(index int) {
	e := s.engines[index%len(s.engines)]
	e.stopped = true
	e.incarnation++
	for _, t := range e.waiting {
		t.done(result{attempt: t, refused: true})
	}
	e.waiting = nil
	s.after(restartTime, func() { e.stopped = false })
	s.after(restartInterval, func() { s.restart(index + 1) })
}

// changed reports whether the change of the scenario has taken place.
func (s *simulation) changed() bool { return s.now >= s.scenario.changeAt }

// applyChange stops the lost engines of the scenario and loads its new version on every second engine.
func (s *simulation) applyChange() {
	for i, e := range s.engines {
		if i < s.scenario.lostEngines {
			e.stopped = true
		}
		if s.scenario.newVersion && i%2 == 0 {
			e.holds = append(append([]int(nil), e.holds...), len(s.versions)-1)
		}
	}
}

// trueQuality returns the mean quality of a version's answers in a class at the current virtual time.
func (s *simulation) trueQuality(version, class int) float64 {
	q := s.versions[version].quality[class]
	if s.changed() && version == s.scenario.badVersion {
		q -= s.scenario.qualityDrop
	}
	return q
}

// cost returns what the operator pays for one answer, in millionths of the billing currency.
func (s *simulation) cost(version int, a arrival) int64 {
	return s.versions[version].version.Cost.Amount(model.Usage{InputTokens: int64(a.input), OutputTokens: int64(a.output)})
}

// takeRatingToken reports whether the rating service accepts another rating, and takes a token from its bucket if
// so. A quarter of the bucket is reserved for urgent ratings.
func (s *simulation) takeRatingToken(urgent bool) bool {
	s.ratingTokens = min(s.deployment.ratingRate, s.ratingTokens+s.deployment.ratingRate*(s.now-s.ratingsRefilled).Seconds())
	s.ratingsRefilled = s.now
	n := 1.0
	if !urgent {
		n += s.deployment.ratingRate / 4
	}
	if s.ratingTokens < n || (s.scenario.raterDown && s.changed()) {
		return false
	}
	s.ratingTokens--
	return true
}

// drawRating returns the score that the rating service gives to an answer: its quality with random noise, from 0
// to 1.
func (s *simulation) drawRating(quality float64) float64 {
	return min(1, max(0, quality+ratingNoise*s.random.NormFloat64()))
}
