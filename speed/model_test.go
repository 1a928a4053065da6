package speed_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/speed"
)

const (
	modelHosts     = 58
	modelEndpoints = 112
	modelSlots     = 12
	// exchangeTime is the age that the loads of other hosts reach, and reportEvery the number of exchanges between two reports
	// of speeds.
	exchangeTime = 150 * time.Millisecond
	reportEvery  = 3
	// estimateTime is how long a control host uses an estimate.
	estimateTime = 250 * time.Millisecond
	// baseLatency is the time to the first event that doesn't depend on the prompt.
	baseLatency = 25 * time.Millisecond
	// waitNoise and gapNoise are the standard deviations of the logarithm of what an answer and an event take.
	waitNoise, gapNoise = 0.25, 0.15
)

// modelWork is a kind of request: its rate per second, the time to read its prompt, its events, the time between them, and the
// objective for the first one.
type modelWork struct {
	name      string
	rate      float64
	prefill   time.Duration
	events    int
	gap       time.Duration
	objective time.Duration
}

// modelWorks take 0.6 of the endpoints' time for prompts if all are of the usual speed.
var modelWorks = []modelWork{
	{"previews", 270, 181 * time.Millisecond, 48, 31 * time.Millisecond, 3 * time.Second},
	{"advice", 165, 13 * time.Millisecond, 36, 31 * time.Millisecond, 1500 * time.Millisecond},
	{"tags", 460, 36 * time.Millisecond, 3, 31 * time.Millisecond, 1500 * time.Millisecond},
}

// world says how long an endpoint takes, against the usual, at a time and with a number of requests in flight.
type world func(endpoint int, t time.Duration, inFlight int) float64

// event is something that happens at a time of the model.
type event struct {
	at     time.Duration
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].number < e[b].number
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// loads multiply the rates of modelWorks.
const (
	usualLoad = 1.0
	highLoad  = 1.2
)

// model is a fleet without a network: the real endpoint sets of all hosts, and endpoints that read prompts one after the other
// and write answers side by side.
type model struct {
	world     world
	load      float64
	shared    bool
	rand      *rand.Rand
	now       time.Duration
	events    events
	numbered  int
	hosts     []*modelHost
	endpoints []*modelEndpoint
	state     speed.State
	factors   map[string]speed.Factor
	estimated time.Duration
	answers   []modelAnswer
	// change alters factors before hosts get them, if it is set.
	change func(map[string]speed.Factor) map[string]speed.Factor
	// messageEndpoints counts the endpoints in reports and replies.
	messageEndpoints int
}

// modelHost is an entry host.
type modelHost struct {
	number    int
	start     int64
	set       *pick.Set
	meter     *speed.Meter
	loads     map[string]ctlrpc.Load
	sent      map[string]speed.Factor
	exchanges int
}

// modelEndpoint is an endpoint with the time until which it reads prompts.
type modelEndpoint struct {
	report   fleet.Report
	inFlight int
	busy     time.Duration
	waiting  []func()
	arrivals []time.Duration
}

// modelAnswer is what became of a request.
type modelAnswer struct {
	at, wait time.Duration
	late     bool
}

func newModel(seed uint64, load float64, shared bool, w world) *model {
	m := &model{world: w, load: load, shared: shared, rand: rand.New(rand.NewPCG(seed, 11)), state: speed.NewState()}
	for k := range modelEndpoints {
		m.endpoints = append(m.endpoints, &modelEndpoint{report: fleet.Report{ID: fmt.Sprintf("e%03d", k), Born: 1, Service: "s", DataCentre: "c", Address: fmt.Sprint("a", k), Sequence: 1}})
	}
	for k := range modelHosts {
		h := &modelHost{number: k}
		m.hosts = append(m.hosts, h)
		m.startHost(h)
		m.after(time.Duration(k)*exchangeTime/modelHosts, func() { m.exchange(h) })
		m.after(0, func() { m.arrive(h) })
	}
	return m
}

// startHost makes a host one that has just started. Requests that it has in flight end unseen.
func (m *model) startHost(h *modelHost) {
	h.set, h.meter, h.sent, h.loads = pick.NewSet("c"), speed.NewMeter(), nil, nil
	h.start++
	var r []fleet.Report
	for _, e := range m.endpoints {
		r = append(r, e.report)
	}
	h.set.Replace(r)
	h.set.SetHosts(fmt.Sprint("h", h.number), []string{"h0", "h1"}, m.at())
}

// startEndpoint makes an endpoint a later start with the same ID.
func (m *model) startEndpoint(k int) {
	e := m.endpoints[k]
	e.report.Born++
	for _, h := range m.hosts {
		h.set.Merge([]fleet.Report{e.report}, nil)
	}
}

func (m *model) at() time.Time { return time.Unix(1000, 0).Add(m.now) }

func (m *model) after(d time.Duration, f func()) {
	m.numbered++
	heap.Push(&m.events, event{m.now + d, m.numbered, f})
}

// run plays a time.
func (m *model) run(d time.Duration) {
	for end := m.now + d; len(m.events) > 0 && m.events[0].at < end; {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

func (m *model) noise(deviation float64) float64 { return math.Exp(m.rand.NormFloat64() * deviation) }

// arrive sends a request of a host and draws the time of the next one.
func (m *model) arrive(h *modelHost) {
	var t float64
	for _, w := range modelWorks {
		t += w.rate * m.load
	}
	x := m.rand.Float64() * t
	for _, w := range modelWorks {
		if x -= w.rate * m.load; x < 0 {
			m.send(h, w)
			break
		}
	}
	m.after(time.Duration(m.rand.ExpFloat64()/t*modelHosts*float64(time.Second)), func() { m.arrive(h) })
}

// send chooses an endpoint for a request.
func (m *model) send(h *modelHost, w modelWork) {
	q := pick.Request{Service: "s", Slots: modelSlots, Work: baseLatency + w.prefill, SlotTime: w.prefill + time.Duration(w.events)*w.gap, Stream: true}
	c, ok := h.set.Choose(q, m.at())
	if !ok {
		panic("no endpoint")
	}
	var k int
	_, _ = fmt.Sscanf(c.ID, "e%d", &k) // all endpoints are named so
	r := &modelRequest{model: m, host: h, set: h.set, meter: h.meter, endpoint: m.endpoints[k], index: k, work: w, choice: c, request: q, sent: m.now}
	m.after(time.Millisecond, r.reach)
}

// modelRequest is a request under way.
type modelRequest struct {
	model    *model
	host     *modelHost
	set      *pick.Set
	meter    *speed.Meter
	endpoint *modelEndpoint
	index    int
	work     modelWork
	choice   pick.Choice
	request  pick.Request
	sent     time.Duration
	// since is when the four events began from which the time between events is measured, and steps counts them.
	since time.Duration
	steps int
}

func (r *modelRequest) reach() {
	r.endpoint.arrivals = append(r.endpoint.arrivals, r.model.now)
	if r.endpoint.inFlight >= modelSlots {
		r.endpoint.waiting = append(r.endpoint.waiting, r.begin)
		return
	}
	r.begin()
}

// factor returns how long the endpoint takes now against the usual.
func (r *modelRequest) factor() float64 {
	return r.model.world(r.index, r.model.now, r.endpoint.inFlight)
}

// begin takes a slot and reads the prompt after those before it.
func (r *modelRequest) begin() {
	m, e := r.model, r.endpoint
	e.inFlight++
	d := time.Duration(float64(r.work.prefill) * r.factor() * m.noise(waitNoise))
	e.busy = max(e.busy, m.now) + d
	m.after(e.busy-m.now+time.Duration(float64(baseLatency)*r.factor()), r.firstEvent)
}

func (r *modelRequest) firstEvent() {
	m := r.model
	w := m.now - r.sent
	m.answers = append(m.answers, modelAnswer{r.sent, w, w > r.work.objective})
	r.set.RecordActivity(r.choice.ID, pick.Direct, m.at())
	r.set.AnswerStarted(r.choice.ID, r.request.Work)
	r.set.RecordStart(r.choice, pick.Direct, w)
	if m.shared && r.choice.Expected < 3*r.request.Work/2 {
		r.observe(speed.Wait, r.choice.Band, r.choice.Factor, float64(w)/float64(r.choice.Expected))
	}
	r.since = m.now
	m.after(r.step(), func() { r.next(r.work.events / 4) })
}

// step returns the time of four events.
func (r *modelRequest) step() time.Duration {
	return time.Duration(4 * float64(r.work.gap) * r.factor() * (1 + 0.03*float64(r.endpoint.inFlight)) * r.model.noise(gapNoise))
}

// next is called after each four events. left counts them with the ones that have just passed.
func (r *modelRequest) next(left int) {
	m, e := r.model, r.endpoint
	if r.steps++; r.steps == 2 {
		r.observeGap()
	}
	if left > 1 {
		m.after(r.step(), func() { r.next(left - 1) })
		return
	}
	if r.work.events >= 8 {
		r.observeGap()
	}
	r.set.RequestEnded(r.choice.ID)
	e.inFlight--
	if len(e.waiting) > 0 {
		f := e.waiting[0]
		e.waiting = e.waiting[1:]
		f()
	}
}

// observeGap adds a sample of the time between events.
func (r *modelRequest) observeGap() {
	if b, f, ok := r.set.SpeedNow(r.choice.ID, r.choice.Born, modelSlots); ok && r.model.shared && r.steps > 0 {
		r.observe(speed.Gap, b, f, (r.model.now-r.since).Seconds()/float64(4*r.steps))
	}
	r.since, r.steps = r.model.now, 0
}

func (r *modelRequest) observe(k speed.Kind, band int, factor, took float64) {
	r.meter.Observe(speed.Sample{Kind: k, Work: r.work.name, Endpoint: r.choice.ID, Born: r.choice.Born, Band: band, Factor: factor, Took: took}, r.model.at())
}

// exchange is an exchange of a host with a control host.
func (m *model) exchange(h *modelHost) {
	m.after(exchangeTime, func() { m.exchange(h) })
	h.loads = h.set.LocalLoads()
	o := map[string]ctlrpc.Load{}
	for _, x := range m.hosts {
		if x != h {
			for e, l := range x.loads {
				o[e] = o[e].Plus(l)
			}
		}
	}
	h.set.SetRemoteLoads(o)
	if !m.shared {
		return
	}
	if h.exchanges++; h.exchanges%reportEvery == 0 {
		r := h.meter.Take(m.at())
		m.messageEndpoints += len(r)
		m.state = m.state.WithReport(fmt.Sprint(h.number), h.start, r, m.now)
	}
	m.estimate()
	c := speed.Changes(h.sent, m.factors, speed.MaxChanges)
	if h.sent == nil {
		h.sent, c = map[string]speed.Factor{}, m.factors
	}
	m.messageEndpoints += len(c)
	for e, f := range c {
		h.sent[e] = f
	}
	if m.change != nil {
		c = m.change(c)
	}
	h.set.SetSpeeds(c, false, m.at())
}

// estimate renews the factors if it is due.
func (m *model) estimate() {
	if m.factors != nil && m.now-m.estimated < estimateTime {
		return
	}
	m.estimated = m.now
	m.factors = m.state.Estimate(m.now, func(yield func(speed.Endpoint) bool) {
		for _, e := range m.endpoints {
			if !yield(speed.Endpoint{ID: e.report.ID, Service: "s", Born: e.report.Born}) {
				return
			}
		}
	}, m.factors)
}

// factor returns the factor of an endpoint at a band of load.
func (m *model) factor(endpoint, band int) float64 {
	return m.factors[m.endpoints[endpoint].report.ID].At(band)
}

// figures describes the requests that were sent since a time.
type figures struct {
	late, mean float64
	p99        time.Duration
	busiest    float64
}

func (f figures) String() string {
	return fmt.Sprintf("late %.4f, mean wait %.0f ms, p99 %d ms, busiest %.2f of the mean", f.late, f.mean, f.p99.Milliseconds(), f.busiest)
}

func (m *model) figures(since time.Duration) figures {
	var f figures
	var w []time.Duration
	for _, a := range m.answers {
		if a.at < since {
			continue
		}
		w = append(w, a.wait)
		f.mean += float64(a.wait.Milliseconds())
		if a.late {
			f.late++
		}
	}
	n := float64(len(w))
	f.late, f.mean = f.late/n, f.mean/n
	slices.Sort(w)
	f.p99 = w[len(w)*99/100]
	var t, x float64
	for k := range m.endpoints {
		c := m.arrivals(k, since, m.now)
		t, x = t+c, max(x, c)
	}
	f.busiest = x / (t / modelEndpoints)
	return f
}

// arrivals returns the number of requests that reached an endpoint in a time.
func (m *model) arrivals(endpoint int, from, to time.Duration) float64 {
	var n float64
	for _, t := range m.endpoints[endpoint].arrivals {
		if t >= from && t < to {
			n++
		}
	}
	return n
}
