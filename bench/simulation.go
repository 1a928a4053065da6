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
	// tokenTime is the time between tokens on an idle engine; a full batch takes half as long again.
	tokenTime = 25 * time.Millisecond
	// answerNoise is the deviation of answers' quality; ratingNoise that of ratings from it.
	answerNoise = 0.10
	ratingNoise = 0.05
	// paceTokens is after how many tokens the pace of a streamed answer is known.
	paceTokens  = 8
	ratingDelay = 300 * time.Millisecond
	// linkDelay is one way between hosts, and between a host and an engine.
	linkDelay = time.Millisecond
	// announceEvery is the interval of announcements, each delivered reportLag late.
	announceEvery = time.Second
	reportLag     = 200 * time.Millisecond
)

// timeline is a queue of actions in virtual time.
type timeline struct {
	items timedItems
	now   time.Duration
	count int
}

type timed struct {
	at    time.Duration
	order int
	do    func()
}

type timedItems []timed

func (t timedItems) Len() int { return len(t) }
func (t timedItems) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].order < t[j].order)
}
func (t timedItems) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push is heap.Interface's.
func (t *timedItems) Push(x any) { *t = append(*t, x.(timed)) }

// Pop is heap.Interface's.
func (t *timedItems) Pop() any {
	o := *t
	x := o[len(o)-1]
	*t = o[:len(o)-1]
	return x
}

func (t *timeline) after(d time.Duration, do func()) {
	t.count++
	heap.Push(&t.items, timed{t.now + d, t.count, do})
}

func (t *timeline) run(until time.Duration) {
	for len(t.items) > 0 && t.items[0].at <= until {
		x := heap.Pop(&t.items).(timed)
		t.now = x.at
		x.do()
	}
}

// task is one attempt at an engine.
type task struct {
	arrival arrival
	version int
	engine  *engine
	// sent is when the attempt was sent; first when its first token came.
	sent  time.Duration
	first time.Duration
	done  func(result)
	// paced is told the time for a token in milliseconds, after paceTokens of a streamed answer or at its end.
	paced func(ms float64)
}

// result is how an attempt ended.
type result struct {
	task    *task
	faulty  bool
	refused bool
	// cut is true when the engine stopped in the middle: the attempt may have done its work.
	cut     bool
	quality float64
}

// engine is a stand-in for a model engine with continuous batching and priorities.
type engine struct {
	id         string
	dataCentre string
	world      *world
	holds      []int
	capacity   int
	running    int
	waiting    []*task
	stopped    bool
	sequence   uint64
	// incarnation counts the engine's restarts.
	incarnation uint64
}

func (e *engine) has(version int) bool {
	for _, h := range e.holds {
		if h == version {
			return true
		}
	}
	return false
}

func (e *engine) outstanding() int { return e.running + len(e.waiting) }

func (e *engine) submit(t *task) {
	if e.stopped {
		t.done(result{task: t, refused: true})
		return
	}
	if e.running < e.capacity {
		e.start(t)
		return
	}
	p := e.world.deployment.classes[t.arrival.class].terms.Priority
	i := len(e.waiting)
	for i > 0 && e.world.deployment.classes[e.waiting[i-1].arrival.class].terms.Priority < p {
		i--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = t
}

func (e *engine) start(t *task) {
	w := e.world
	e.running++
	w.note(t)
	i := e.incarnation
	r := rand.New(rand.NewPCG(t.arrival.draw, uint64(t.version)))
	s := 1.0
	f := false
	if w.turned() && t.version == w.scenario.bad {
		f = r.Float64() < w.scenario.faulty
		if w.scenario.slow > 0 {
			s = w.scenario.slow
		}
	}
	b := 1 + 0.5*float64(e.running)/float64(e.capacity)
	p := time.Duration(float64(prefillPerToken) * float64(t.arrival.input) * s)
	g := time.Duration(float64(tokenTime) * float64(t.arrival.output) * s * b)
	if f {
		g = 0
	}
	n := t.arrival.output
	if w.deployment.classes[t.arrival.class].streamed {
		n = min(n, paceTokens)
	}
	if t.paced != nil && !f {
		v := float64(tokenTime) * s * b
		w.after(p+time.Duration(v*float64(n)), func() { t.paced(v / float64(time.Millisecond)) })
	}
	q := w.trueQuality(t.version, t.arrival.class) + answerNoise*r.NormFloat64()
	w.after(p, func() { t.first = w.now })
	w.after(p+g, func() { e.finish(t, result{task: t, faulty: f, cut: e.incarnation != i, quality: min(1, max(0, q))}) })
}

func (e *engine) finish(t *task, r result) {
	e.running--
	if len(e.waiting) > 0 && e.running < e.capacity {
		n := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(n)
	}
	if e.stopped && !r.cut {
		r = result{task: t, cut: true}
	}
	t.done(r)
}

// note counts how often a request was started at an engine.
func (w *world) note(t *task) {
	w.started[t.arrival.id]++
	if t.arrival.once() && w.started[t.arrival.id] == 2 && t.arrival.at >= warmUp {
		w.doubled++
	}
}

// once reports whether the request must run at most once: half of them must, in the rolling scenario.
func (a arrival) once() bool { return a.draw%2 == 0 }

// announcement describes the engine as it is now.
func (e *engine) announcement() model.Endpoint {
	e.sequence++
	a := model.Endpoint{
		ID: e.id, DataCentre: e.dataCentre, Address: "stand-in", Incarnation: 1 + e.incarnation, Sequence: e.sequence,
		Capacity: e.capacity, Running: e.running, Waiting: len(e.waiting),
	}
	for _, h := range e.holds {
		a.Holds = append(a.Holds, e.world.versions[h].version.Name)
	}
	return a
}

// world is the stand-ins of one run.
type world struct {
	timeline
	deployment deployment
	scenario   scenario
	versions   []versionSpec
	engines    []*engine
	random     *rand.Rand
	// tokens are the ratings that may be asked now; filled is when they were last counted.
	tokens float64
	filled time.Duration
	// started counts the starts of each request; doubled the requests started twice that must run once.
	started map[string]int
	doubled int
}

func newWorld(d deployment, s scenario, seed uint64) *world {
	w := &world{deployment: d, scenario: s, versions: d.versions, random: rand.New(rand.NewPCG(seed, 13)), tokens: d.ratings, started: make(map[string]int)}
	for _, c := range d.dataCentres {
		for i := range d.enginesPerCentre {
			w.engines = append(w.engines, &engine{
				id: fmt.Sprintf("%s-%d", c, i), dataCentre: c, world: w, holds: d.holds[i], capacity: d.capacity,
			})
		}
	}
	if s.fresh {
		w.versions = append(append([]versionSpec(nil), d.versions...), freshVersion(d))
	}
	w.after(s.turn, w.turnNow)
	if s.rolling {
		w.after(s.turn, func() { w.restart(0) })
	}
	return w
}

// freshVersion is a new version that is as good as the medium one for less.
func freshVersion(d deployment) versionSpec {
	v := spec("medium@2", d.versions[1].version.Cost.OutputMicros/2, d.versions[1].quality...)
	v.version.Trusted = false
	return v
}

const (
	// restartTime is how long a restarting engine refuses connections; restartEvery the time from one
	// engine's restart to the next one's.
	restartTime  = 3 * time.Second
	restartEvery = 4 * time.Second
)

// restart cuts off what an engine runs and brings it back a little later.
func (w *world) restart(index int) {
	e := w.engines[index%len(w.engines)]
	e.stopped = true
	e.incarnation++
	for _, t := range e.waiting {
		t.done(result{task: t, refused: true})
	}
	e.waiting = nil
	w.after(restartTime, func() { e.stopped = false })
	w.after(restartEvery, func() { w.restart(index + 1) })
}

func (w *world) turned() bool { return w.now >= w.scenario.turn }

func (w *world) turnNow() {
	for i, e := range w.engines {
		if i < w.scenario.lost {
			e.stopped = true
		}
		if w.scenario.fresh && i%2 == 0 {
			e.holds = append(append([]int(nil), e.holds...), len(w.versions)-1)
		}
	}
}

func (w *world) trueQuality(version, class int) float64 {
	q := w.versions[version].quality[class]
	if w.turned() && version == w.scenario.bad {
		q -= w.scenario.drop
	}
	return q
}

// cost is what the operators pay for one answer.
func (w *world) cost(version int, a arrival) int64 {
	return w.versions[version].version.Cost.Of(model.Usage{InputTokens: int64(a.input), OutputTokens: int64(a.output)})
}

// mayRate takes one of the rating service's tokens; a reserve is kept for urgent ratings.
func (w *world) mayRate(urgent bool) bool {
	w.tokens = min(w.deployment.ratings, w.tokens+w.deployment.ratings*(w.now-w.filled).Seconds())
	w.filled = w.now
	n := 1.0
	if !urgent {
		n += w.deployment.ratings / 4
	}
	if w.tokens < n || (w.scenario.raterDown && w.turned()) {
		return false
	}
	w.tokens--
	return true
}

// rating is what the rating service says of an answer.
func (w *world) rating(quality float64) float64 {
	return min(1, max(0, quality+ratingNoise*w.random.NormFloat64()))
}
