package bench

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// warmUp is the first part of a run, whose requests aren't counted because no policy has any evidence yet.
const warmUp = 3 * time.Minute

// shareSettleTime is the time after the change from which served tokens count towards the customers' shares.
const shareSettleTime = 30 * time.Second

// recorder counts the outcomes of the requests under one policy.
type recorder struct {
	simulation *simulation
	requests   int
	served     int
	refused    int
	failed     int
	attempts   int
	// cost is the sum of the costs of all answers, in millionths of the billing currency.
	cost    int64
	classes []classStats
	// tokens are the served prompt and output tokens by customer, from shareSettleTime after the change to the end
	// of the trace.
	tokens map[string]int64
	// exposable counts the requests that arrived in the first minute after the change. exposed counts those of them
	// that ended on the bad version; exposedLater counts such requests that arrived after this minute.
	exposable    int
	exposed      int
	exposedLater int
	// waits are the times to the first token without the prefill time, in microseconds.
	waits *hdrhistogram.Histogram
}

// classStats are the results of one task class.
type classStats struct {
	served int
	// quality is the sum over all served answers.
	quality float64
	// firstToken are the times to the first token in microseconds.
	firstToken *hdrhistogram.Histogram
}

// newHistogram returns a histogram for times of up to an hour in microseconds, with three significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
}

// newRecorder returns a recorder with zero counts.
func newRecorder(w *simulation) *recorder {
	r := &recorder{simulation: w, tokens: make(map[string]int64), waits: newHistogram()}
	for range w.deployment.classes {
		r.classes = append(r.classes, classStats{firstToken: newHistogram()})
	}
	return r
}

// measures reports whether a request is counted, which it is if it arrived after the warm-up.
func (r *recorder) measures(a arrival) bool { return a.at >= warmUp }

// countArrival counts a request of the trace, and whether it arrived in the first minute after the change.
func (r *recorder) countArrival(a arrival) {
	if !r.measures(a) {
		return
	}
	r.requests++
	if t := r.simulation.scenario.changeAt; a.at >= t && a.at < t+time.Minute {
		r.exposable++
	}
}

// countAttempt counts an attempt that is sent after the warm-up.
func (r *recorder) countAttempt() {
	if r.simulation.now >= warmUp {
		r.attempts++
	}
}

// countRefusal counts a request that was refused before any attempt.
func (r *recorder) countRefusal(a arrival) {
	if r.measures(a) {
		r.refused++
	}
}

// countFailure counts a request whose last attempt failed.
func (r *recorder) countFailure(a arrival, t *attempt) {
	if r.measures(a) {
		r.failed++
		r.countExposure(a, t)
	}
}

// countAnswer counts a delivered answer with its cost, quality, times and tokens.
func (r *recorder) countAnswer(a arrival, t *attempt, quality float64) {
	if !r.measures(a) {
		return
	}
	r.served++
	r.cost += r.simulation.cost(t.version, a)
	c := &r.classes[a.class]
	c.served++
	c.quality += quality
	_ = c.firstToken.RecordValue(int64((t.firstToken - a.at) / time.Microsecond))
	w := t.firstToken - a.at - time.Duration(a.input)*prefillPerToken
	_ = r.waits.RecordValue(max(0, int64(w/time.Microsecond)))
	if s := r.simulation.scenario; a.at >= s.changeAt+shareSettleTime && r.simulation.now < s.length {
		r.tokens[a.customer.name] += int64(a.input + a.output)
	}
	r.countExposure(a, t)
}

// countDiscarded adds the cost of an answer that was escalated instead of delivered.
func (r *recorder) countDiscarded(a arrival, t *attempt) {
	if r.measures(a) {
		r.cost += r.simulation.cost(t.version, a)
	}
}

// countExposure counts a request whose last attempt was sent to the bad version after the change, in scenarios in
// which that version has a fault.
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

// ClassReport holds the results of one task class. Qualities are from 0 to 1.
type ClassReport struct {
	Class         string  `json:"class"`
	Served        int     `json:"served"`
	MeanQuality   float64 `json:"quality"`
	TargetQuality float64 `json:"quality-target"`
	TargetMet     bool    `json:"quality-met"`
	// FirstTokenP50, FirstTokenP95 and FirstTokenP99 are percentiles of the time to the first token in milliseconds.
	FirstTokenP50 float64 `json:"first-token-p50-ms"`
	FirstTokenP95 float64 `json:"first-token-p95-ms"`
	FirstTokenP99 float64 `json:"first-token-p99-ms"`
}

// PolicyReport holds the results of one policy on the trace. Requests that arrive during the warm-up aren't counted,
// except that the product counts a refused retry as failed at any time.
type PolicyReport struct {
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	Served   int    `json:"served"`
	Refused  int    `json:"refused"`
	Failed   int    `json:"failed"`
	// CostToBest and CostToOracle are the cost per served request divided by that of the policies always-best and
	// oracle-least-outstanding.
	CostToBest   float64 `json:"cost-to-best"`
	CostToOracle float64 `json:"cost-to-oracle"`
	// WaitP95 and WaitP99 are percentiles of the time to the first token without the prefill time, in milliseconds.
	WaitP95 float64 `json:"wait-p95-ms"`
	WaitP99 float64 `json:"wait-p99-ms"`
	// ExposedShare is the share of the requests of the first minute after the change that ended on the bad version.
	ExposedShare float64 `json:"exposure-minute"`
	// ExposedLater is the number of requests that arrived after this minute and ended on the bad version.
	ExposedLater int `json:"exposed-later"`
	// Amplification is the number of attempts per request that wasn't refused.
	Amplification float64 `json:"amplification"`
	// DoubleRuns counts the requests that must run at most once and were started more than once. It is 0 except in
	// the rolling scenario.
	DoubleRuns int           `json:"double-runs"`
	Classes    []ClassReport `json:"classes"`
	// Shares are the customers' shares of all tokens served.
	Shares []ShareReport `json:"shares"`

	// cost is the cost per served request, in millionths of the billing currency.
	cost float64
}

// ShareReport compares a customer's share of the served tokens with the share that its contract sets, both from 0
// to 1.
type ShareReport struct {
	Customer      string  `json:"customer"`
	TokenShare    float64 `json:"tokens"`
	ContractShare float64 `json:"contract"`
}

// Report holds the results of all policies on one trace. The first policy is the product.
type Report struct {
	Deployment string         `json:"deployment"`
	Scenario   string         `json:"scenario"`
	Seed       uint64         `json:"seed"`
	Policies   []PolicyReport `json:"policies"`
}

// quantileMs returns a percentile of a histogram of microseconds, in milliseconds.
func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// report returns the results under the name of a policy, without the cost ratios.
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
			FirstTokenP50: quantileMs(c.firstToken, 50), FirstTokenP95: quantileMs(c.firstToken, 95), FirstTokenP99: quantileMs(c.firstToken, 99),
		})
	}
	if r.simulation.scenario.rolling {
		p.DoubleRuns = r.simulation.doubleRuns
	}
	p.Shares = r.shares()
	return p
}

// shares returns the shares of all customers in the order of the deployment.
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

// Run replays one seeded trace of a scenario with the product and with every baseline. The result is the same for the
// same arguments. It returns an error if the deployment or the scenario is unknown.
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

// drainTime is the time that a run continues after the end of the trace, so that its requests can end.
const drainTime = 2 * time.Minute

// play submits the requests of a trace to a policy and runs the simulation to its end.
func play(w *simulation, c *recorder, p policy, trace []arrival) {
	for _, a := range trace {
		w.after(a.at, func() {
			c.countArrival(a)
			p.submit(a)
		})
	}
	w.run(w.scenario.length + drainTime)
}

// compareCosts sets the cost ratios. It relies on always-best being the second policy and oracle-least-outstanding
// the last.
func compareCosts(p []PolicyReport) {
	for i := range p {
		p[i].CostToBest = p[i].cost / p[1].cost
		p[i].CostToOracle = p[i].cost / p[len(p)-1].cost
	}
}
