package bench

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// warmUp is the part of a run that isn't counted: no policy knows anything yet.
const warmUp = 3 * time.Minute

// settle is how long after the turn the customers' shares are counted.
const settle = 30 * time.Second

// record collects what became of the requests of one policy.
type record struct {
	world    *world
	requests int
	served   int
	refused  int
	failed   int
	attempts int
	cost     int64
	classes  []classRecord
	tokens   map[string]int64
	// minute and exposed count the requests that arrived in the minute after the turn, and those of them
	// answered by the bad version; late counts exposed ones that arrived afterwards.
	minute  int
	exposed int
	late    int
	waits   *hdrhistogram.Histogram
}

type classRecord struct {
	served  int
	quality float64
	first   *hdrhistogram.Histogram
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
}

func newRecord(w *world) *record {
	r := &record{world: w, tokens: make(map[string]int64), waits: histogram()}
	for range w.deployment.classes {
		r.classes = append(r.classes, classRecord{first: histogram()})
	}
	return r
}

func (r *record) counts(a arrival) bool { return a.at >= warmUp }

// arrive counts a request of the trace.
func (r *record) arrive(a arrival) {
	if !r.counts(a) {
		return
	}
	r.requests++
	if t := r.world.scenario.turn; a.at >= t && a.at < t+time.Minute {
		r.minute++
	}
}

func (r *record) attempt() {
	if r.world.now >= warmUp {
		r.attempts++
	}
}

func (r *record) refuse(a arrival) {
	if r.counts(a) {
		r.refused++
	}
}

func (r *record) fail(a arrival, t *task) {
	if r.counts(a) {
		r.failed++
		r.expose(a, t)
	}
}

func (r *record) serve(a arrival, t *task, quality float64) {
	if !r.counts(a) {
		return
	}
	r.served++
	r.cost += r.world.cost(t.version, a)
	c := &r.classes[a.class]
	c.served++
	c.quality += quality
	_ = c.first.RecordValue(int64((t.first - a.at) / time.Microsecond))
	w := t.first - a.at - time.Duration(a.input)*prefillPerToken
	_ = r.waits.RecordValue(max(0, int64(w/time.Microsecond)))
	if s := r.world.scenario; a.at >= s.turn+settle && r.world.now < s.length {
		r.tokens[a.customer.name] += int64(a.input + a.output)
	}
	r.expose(a, t)
}

// waste counts the cost of an answer that is not delivered.
func (r *record) waste(a arrival, t *task) {
	if r.counts(a) {
		r.cost += r.world.cost(t.version, a)
	}
}

func (r *record) expose(a arrival, t *task) {
	s := r.world.scenario
	if s.drop+s.faulty+s.slow == 0 || t.version != s.bad || t.sent < s.turn {
		return
	}
	if a.at < s.turn+time.Minute {
		r.exposed++
		return
	}
	r.late++
}

// ClassReport is one task class's part of a report.
type ClassReport struct {
	Class  string  `json:"class"`
	Served int     `json:"served"`
	MeanQuality   float64 `json:"quality"`
	TargetQuality float64 `json:"quality-target"`
	TargetMet    bool    `json:"quality-met"`
	// First are the times to the first token in milliseconds.
	FirstTokenP50 float64 `json:"first-token-p50-ms"`
	FirstTokenP95 float64 `json:"first-token-p95-ms"`
	FirstTokenP99 float64 `json:"first-token-p99-ms"`
}

// PolicyReport is what one policy made of the trace.
type PolicyReport struct {
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	Served   int    `json:"served"`
	Refused  int    `json:"refused"`
	Failed   int    `json:"failed"`
	// CostToBest and CostToOracle are costs a served request, as ratios.
	CostToBest    float64 `json:"cost-to-best"`
	CostToOracle  float64 `json:"cost-to-oracle"`
	WaitP95       float64 `json:"wait-p95-ms"`
	WaitP99       float64 `json:"wait-p99-ms"`
	ExposedShare      float64 `json:"exposure-minute"`
	ExposedLater  int     `json:"exposed-later"`
	Amplification float64 `json:"amplification"`
	// DoubleRuns counts requests that must run once and were started twice; see the rolling scenario.
	DoubleRuns int           `json:"double-runs"`
	Classes []ClassReport `json:"classes"`
	// Shares are the customers' parts of all tokens served.
	Shares []ShareReport `json:"shares"`

	cost float64
}

// ShareReport is one customer's part of the tokens beside its contract's part.
type ShareReport struct {
	Customer string  `json:"customer"`
	TokenShare   float64 `json:"tokens"`
	ContractShare float64 `json:"contract"`
}

// Report is the result of a run.
type Report struct {
	Deployment string         `json:"deployment"`
	Scenario   string         `json:"scenario"`
	Seed       uint64         `json:"seed"`
	Policies   []PolicyReport `json:"policies"`
}

func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

func (r *record) report(name string) PolicyReport {
	p := PolicyReport{
		Policy: name, Requests: r.requests, Served: r.served, Refused: r.refused, Failed: r.failed,
		WaitP95: ms(r.waits, 95), WaitP99: ms(r.waits, 99), ExposedLater: r.late,
		cost: float64(r.cost) / float64(max(1, r.served)), Amplification: float64(r.attempts) / float64(max(1, r.requests-r.refused)),
	}
	if r.minute > 0 {
		p.ExposedShare = float64(r.exposed) / float64(r.minute)
	}
	for i, c := range r.classes {
		t := r.world.deployment.classes[i].terms
		m := c.quality / float64(max(1, c.served))
		p.Classes = append(p.Classes, ClassReport{
			Class: t.Class, Served: c.served, MeanQuality: m, TargetQuality: t.Quality, TargetMet: m >= t.Quality,
			FirstTokenP50: ms(c.first, 50), FirstTokenP95: ms(c.first, 95), FirstTokenP99: ms(c.first, 99),
		})
	}
	if r.world.scenario.rolling {
		p.DoubleRuns = r.world.doubled
	}
	p.Shares = r.shares()
	return p
}

func (r *record) shares() []ShareReport {
	var t int64
	var s int
	for _, c := range r.world.deployment.customers {
		t += r.tokens[c.name]
		s += c.share
	}
	var l []ShareReport
	for _, c := range r.world.deployment.customers {
		l = append(l, ShareReport{c.name, float64(r.tokens[c.name]) / float64(max(1, t)), float64(c.share) / float64(s)})
	}
	return l
}

// Run plays a scenario against the product and all baselines.
func Run(deploymentName, scenarioName string, seed uint64) (Report, error) {
	d, s, err := find(deploymentName, scenarioName)
	if err != nil {
		return Report{}, err
	}
	a := newTrace(d, s, seed)
	r := Report{Deployment: d.name, Scenario: s.name, Seed: seed}
	for _, b := range []struct {
		name    string
		version func(*plain, arrival) int
		engine  func(*plain, []*engine) *engine
		retry   retry
	}{
		{"product", nil, nil, 0},
		{"always-best", best, leastOutstanding, retryNone},
		{"always-cheapest", cheapest, leastOutstanding, retryNone},
		{"random", randomVersion, anyEngine, retryNone},
		{"oracle-round-robin", oracle, roundRobin, retryNone},
		{"oracle-retry-any", oracle, anyEngine, retryAny},
		{"oracle-retry-classified", oracle, anyEngine, retryClassified},
		{"oracle-retry-none", oracle, anyEngine, retryNone},
		{"oracle-least-outstanding", oracle, leastOutstanding, retryNone},
	} {
		w := newWorld(d, s, seed)
		c := newRecord(w)
		var p policy = &plain{world: w, record: c, version: b.version, engine: b.engine, random: rand.New(rand.NewPCG(seed, 17)), retry: b.retry}
		if b.version == nil {
			p = newProduct(w, c, seed)
		}
		play(w, c, p, a)
		r.Policies = append(r.Policies, c.report(b.name))
	}
	compare(r.Policies)
	return r, nil
}

// drain is how long a run goes on after the last request.
const drain = 2 * time.Minute

func play(w *world, c *record, p policy, trace []arrival) {
	for _, a := range trace {
		w.after(a.at, func() {
			c.arrive(a)
			p.submit(a)
		})
	}
	w.run(w.scenario.length + drain)
}

func compare(p []PolicyReport) {
	for i := range p {
		p[i].CostToBest = p[i].cost / p[1].cost
		p[i].CostToOracle = p[i].cost / p[len(p)-1].cost
	}
}
