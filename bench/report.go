package bench

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// warmUp is the part of a run that isn't counted: no policy knows anything yet.
const warmUp = 3 * time.Minute

// shareSettleTime is how long after the turn the customers' shares are counted.
const shareSettleTime = 30 * time.Second

// recorder collects what became of the requests of one policy.
type recorder struct {
	simulation *simulation
	requests   int
	served     int
	refused    int
	failed     int
	attempts   int
	cost       int64
	classes    []classStats
	tokens     map[string]int64
	// exposable and exposed count the requests that arrived in the exposable after the turn, and those of them
	// answered by the bad version; late counts exposed ones that arrived afterwards.
	exposable    int
	exposed      int
	exposedLater int
	waits        *hdrhistogram.Histogram
}

type classStats struct {
	served  int
	quality float64
	first   *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
}

func newRecorder(w *simulation) *recorder {
	r := &recorder{simulation: w, tokens: make(map[string]int64), waits: newHistogram()}
	for range w.deployment.classes {
		r.classes = append(r.classes, classStats{first: newHistogram()})
	}
	return r
}

func (r *recorder) measures(a arrival) bool { return a.at >= warmUp }

// countArrival counts a request of the trace.
func (r *recorder) countArrival(a arrival) {
	if !r.measures(a) {
		return
	}
	r.requests++
	if t := r.simulation.scenario.changeAt; a.at >= t && a.at < t+time.Minute {
		r.exposable++
	}
}

func (r *recorder) countAttempt() {
	if r.simulation.now >= warmUp {
		r.attempts++
	}
}

func (r *recorder) countRefusal(a arrival) {
	if r.measures(a) {
		r.refused++
	}
}

func (r *recorder) countFailure(a arrival, t *attempt) {
	if r.measures(a) {
		r.failed++
		r.countExposure(a, t)
	}
}

func (r *recorder) countAnswer(a arrival, t *attempt, quality float64) {
	if !r.measures(a) {
		return
	}
	r.served++
	r.cost += r.simulation.cost(t.version, a)
	c := &r.classes[a.class]
	c.served++
	c.quality += quality
	_ = c.first.RecordValue(int64((t.firstToken - a.at) / time.Microsecond))
	w := t.firstToken - a.at - time.Duration(a.input)*prefillPerToken
	_ = r.waits.RecordValue(max(0, int64(w/time.Microsecond)))
	if s := r.simulation.scenario; a.at >= s.changeAt+shareSettleTime && r.simulation.now < s.length {
		r.tokens[a.customer.name] += int64(a.input + a.output)
	}
	r.countExposure(a, t)
}

// countDiscarded counts the cost of an answer that is not delivered.
func (r *recorder) countDiscarded(a arrival, t *attempt) {
	if r.measures(a) {
		r.cost += r.simulation.cost(t.version, a)
	}
}

func (r *recorder) countExposure(a arrival, t *attempt) {
	s := r.simulation.scenario
	if s.qualityDrop+s.errorShare+s.slowdown == 0 || t.version != s.badVersion || t.sent < s.changeAt {
		return
	}
	if a.at < s.changeAt+time.Minute {
		r.exposed++
		return
	}
	r.exposedLater++
}

// ClassReport is one task class's part of a report.
type ClassReport struct {
	Class         string  `json:"class"`
	Served        int     `json:"served"`
	MeanQuality   float64 `json:"quality"`
	TargetQuality float64 `json:"quality-target"`
	TargetMet     bool    `json:"quality-met"`
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
	ExposedShare  float64 `json:"exposure-minute"`
	ExposedLater  int     `json:"exposed-later"`
	Amplification float64 `json:"amplification"`
	// DoubleRuns counts requests that must run once and were started twice; see the rolling scenario.
	DoubleRuns int           `json:"double-runs"`
	Classes    []ClassReport `json:"classes"`
	// Shares are the customers' parts of all tokens served.
	Shares []ShareReport `json:"shares"`

	cost float64
}

// ShareReport is one customer's part of the tokens beside its contract's part.
type ShareReport struct {
	Customer      string  `json:"customer"`
	TokenShare    float64 `json:"tokens"`
	ContractShare float64 `json:"contract"`
}

// Report is the result of a run.
type Report struct {
	Deployment string         `json:"deployment"`
	Scenario   string         `json:"scenario"`
	Seed       uint64         `json:"seed"`
	Policies   []PolicyReport `json:"policies"`
}

func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func (r *recorder) report(name string) PolicyReport {
	p := PolicyReport{
		Policy: name, Requests: r.requests, Served: r.served, Refused: r.refused, Failed: r.failed,
		WaitP95: quantileMs(r.waits, 95), WaitP99: quantileMs(r.waits, 99), ExposedLater: r.exposedLater,
		cost: float64(r.cost) / float64(max(1, r.served)), Amplification: float64(r.attempts) / float64(max(1, r.requests-r.refused)),
	}
	if r.exposable > 0 {
		p.ExposedShare = float64(r.exposed) / float64(r.exposable)
	}
	for i, c := range r.classes {
		t := r.simulation.deployment.classes[i].terms
		m := c.quality / float64(max(1, c.served))
		p.Classes = append(p.Classes, ClassReport{
			Class: t.Class, Served: c.served, MeanQuality: m, TargetQuality: t.Quality, TargetMet: m >= t.Quality,
			FirstTokenP50: quantileMs(c.first, 50), FirstTokenP95: quantileMs(c.first, 95), FirstTokenP99: quantileMs(c.first, 99),
		})
	}
	if r.simulation.scenario.rolling {
		p.DoubleRuns = r.simulation.doubleRuns
	}
	p.Shares = r.shares()
	return p
}

func (r *recorder) shares() []ShareReport {
	var t int64
	var s int
	for _, c := range r.simulation.deployment.customers {
		t += r.tokens[c.name]
		s += c.capacityShare
	}
	var l []ShareReport
	for _, c := range r.simulation.deployment.customers {
		l = append(l, ShareReport{c.name, float64(r.tokens[c.name]) / float64(max(1, t)), float64(c.capacityShare) / float64(s)})
	}
	return l
}

// Run plays a scenario against the product and all baselines.
func Run(deploymentName, scenarioName string, seed uint64) (Report, error) {
	d, s, err := findRun(deploymentName, scenarioName)
	if err != nil {
		return Report{}, err
	}
	a := newTrace(d, s, seed)
	r := Report{Deployment: d.name, Scenario: s.name, Seed: seed}
	for _, b := range []struct {
		name    string
		version func(*baseline, arrival) int
		engine  func(*baseline, []*engine) *engine
		retry   retryMode
	}{
		{"product", nil, nil, 0},
		{"always-best", bestVersion, leastOutstanding, retryNone},
		{"always-cheapest", cheapestVersion, leastOutstanding, retryNone},
		{"random", randomVersion, randomEngine, retryNone},
		{"oracle-round-robin", oracleVersion, roundRobin, retryNone},
		{"oracle-retry-any", oracleVersion, randomEngine, retryAny},
		{"oracle-retry-classified", oracleVersion, randomEngine, retryClassified},
		{"oracle-retry-none", oracleVersion, randomEngine, retryNone},
		{"oracle-least-outstanding", oracleVersion, leastOutstanding, retryNone},
	} {
		w := newSimulation(d, s, seed)
		c := newRecorder(w)
		var p policy = &baseline{simulation: w, recorder: c, pickVersion: b.version, pickEngine: b.engine, random: rand.New(rand.NewPCG(seed, 17)), retry: b.retry}
		if b.version == nil {
			p = newProduct(w, c, seed)
		}
		play(w, c, p, a)
		r.Policies = append(r.Policies, c.report(b.name))
	}
	compareCosts(r.Policies)
	return r, nil
}

// drainTime is how long a run goes on after the last request.
const drainTime = 2 * time.Minute

func play(w *simulation, c *recorder, p policy, trace []arrival) {
	for _, a := range trace {
		w.after(a.at, func() {
			c.countArrival(a)
			p.submit(a)
		})
	}
	w.run(w.scenario.length + drainTime)
}

func compareCosts(p []PolicyReport) {
	for i := range p {
		p[i].CostToBest = p[i].cost / p[1].cost
		p[i].CostToOracle = p[i].cost / p[len(p)-1].cost
	}
}
