package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
)

const (
	// prefillPerToken is the time an engine takes for one token of a prompt.
	prefillPerToken = 100 * time.Microsecond
	// idleTokenTime is the time between tokens on an idle engine; a full batch takes half as long again.
	idleTokenTime = 25 * time.Millisecond
	// answerNoise is the deviation of answers' quality; ratingNoise that of ratings from it.
	answerNoise = 0.10
	ratingNoise = 0.05
	// tokenTimeSample is after how many tokens the pace of a streamed answer is known.
	tokenTimeSample = 8
	ratingDelay     = 300 * time.Millisecond
	// linkDelay is one way between hosts, and between a host and an engine.
	linkDelay = time.Millisecond
	// announceInterval is the interval of announcements, each delivered reportLag late.
	announceInterval = time.Second
	announceDelay    = 200 * time.Millisecond
)

// timeline is a queue of actions in virtual time.
type timeline struct {
	actions   actionHeap
	now       time.Duration
	scheduled int
}

type timedAction struct {
	at    time.Duration
	order int
	run   func()
}

type actionHeap []timedAction

func (t actionHeap) Len() int { return len(t) }
func (t actionHeap) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].order < t[j].order)
}
func (t actionHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push is heap.Interface's.
func (t *actionHeap) Push(x any) { *t = append(*t, x.(timedAction)) }

// Pop is heap.Interface's.
func (t *actionHeap) Pop() any {
	o := *t
	x := o[len(o)-1]
	*t = o[:len(o)-1]
	return x
}

func (t *timeline) after(d time.Duration, do func()) {
	t.scheduled++
	heap.Push(&t.actions, timedAction{t.now + d, t.scheduled, do})
}

func (t *timeline) run(until time.Duration) {
	for len(t.actions) > 0 && t.actions[0].at <= until {
		x := heap.Pop(&t.actions).(timedAction)
		t.now = x.at
		x.run()
	}
}

// attempt is one attempt at an engine.
type attempt struct {
	arrival arrival
	version int
	engine  *engine
	// sent is when the attempt was sent; first when its first token came.
	sent       time.Duration
	firstToken time.Duration
	done       func(result)
	// reportTokenTime is told the time for a token in milliseconds, after paceTokens of a streamed answer or at its end.
	reportTokenTime func(ms float64)
}

// result is how an attempt ended.
type result struct {
	task    *attempt
	faulty  bool
	refused bool
	// interrupted is true when the engine stopped in the middle: the attempt may have done its work.
	interrupted bool
	quality     float64
}

// engine is a stand-in for a model engine with continuous batching and priorities.
type engine struct {
	id         string
	dataCentre string
	simulation *simulation
	holds      []int
	capacity   int
	running    int
	waiting    []*attempt
	stopped    bool
	sequence   uint64
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

func (e *engine) submit(t *attempt) {
	if e.stopped {
		t.done(result{task: t, refused: true})
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
		e.finish(t, result{task: t, faulty: f, interrupted: e.incarnation != i, quality: min(1, max(0, q))})
	})
}

func (e *engine) finish(t *attempt, r result) {
	e.running--
	if len(e.waiting) > 0 && e.running < e.capacity {
		n := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(n)
	}
	if e.stopped && !r.interrupted {
		r = result{task: t, interrupted: true}
	}
	t.done(r)
}

// countStart counts how often a request was started at an engine.
func (s *simulation) countStart(t *attempt) {
	s.starts[t.arrival.id]++
	if t.arrival.atMostOnce() && s.starts[t.arrival.id] == 2 && t.arrival.at >= warmUp {
		s.doubleRuns++
	}
}

// atMostOnce reports whether the request must run at most atMostOnce: half of them must, in the rolling scenario.
func (a arrival) atMostOnce() bool { return a.seed%2 == 0 }

// announcement describes the engine as it is now.
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

// simulation is the stand-ins of one run.
type simulation struct {
	timeline
	deployment deployment
	scenario   scenario
	versions   []versionSpec
	engines    []*engine
	random     *rand.Rand
	// ratingTokens are the ratings that may be asked now; filled is when they were last counted.
	ratingTokens    float64
	ratingsRefilled time.Duration
	// starts counts the starts of each request; doubled the requests starts twice that must run once.
	starts     map[string]int
	doubleRuns int
}

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

// newMediumVersion is a new version that is as good as the medium one for less.
func newMediumVersion(d deployment) versionSpec {
	v := newVersionSpec("medium@2", d.versions[1].version.Cost.OutputMicros/2, d.versions[1].quality...)
	v.version.Trusted = false
	return v
}

const (
	// restartTime is how long a restarting engine refuses connections; restartEvery the time from one
	// engine's restart to the next one's.
	restartTime     = 3 * time.Second
	restartInterval = 4 * time.Second
)

// restart cuts off what an engine runs and brings it back a little later.
func (s *simulation) restart(index int) {
	e := s.engines[index%len(s.engines)]
	e.stopped = true
	e.incarnation++
	for _, t := range e.waiting {
		t.done(result{task: t, refused: true})
	}
	e.waiting = nil
	s.after(restartTime, func() { e.stopped = false })
	s.after(restartInterval, func() { s.restart(index + 1) })
}

func (s *simulation) changed() bool { return s.now >= s.scenario.changeAt }

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

func (s *simulation) trueQuality(version, class int) float64 {
	q := s.versions[version].quality[class]
	if s.changed() && version == s.scenario.badVersion {
		q -= s.scenario.qualityDrop
	}
	return q
}

// cost is what the operators pay for one answer.
func (s *simulation) cost(version int, a arrival) int64 {
	return s.versions[version].version.Cost.Of(model.Usage{InputTokens: int64(a.input), OutputTokens: int64(a.output)})
}

// takeRatingToken takes one of the rating service's tokens; a reserve is kept for urgent ratings.
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

// drawRating is what the drawRating service says of an answer.
func (s *simulation) drawRating(quality float64) float64 {
	return min(1, max(0, quality+ratingNoise*s.random.NormFloat64()))
}
