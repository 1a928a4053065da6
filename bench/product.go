package bench

import (
	"fmt"
	"time"

	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/route"
)

const (
	// tickInterval is the time between two ticks of a host's reducer.
	tickInterval = 50 * time.Millisecond
	// leaseInterval is the time between two heartbeat replies of the simulated leader, which renew the hosts' leases.
	leaseInterval = 500 * time.Millisecond
	// maxAttempts bounds the attempts of one request, for the product and for the baselines.
	maxAttempts = 4
)

// product is the policy under test. It runs the router's real reducer for every entry host.
type product struct {
	simulation *simulation
	recorder   *recorder
	config     model.Config
	hosts      []*entryHost
	// pending holds the requests that wait for a routing decision, by the id of the route request.
	pending map[string]*pendingRequest
}

// pendingRequest is a request that hasn't ended yet.
type pendingRequest struct {
	arrival arrival
	// request is the latest route request; its id consists of the arrival's id and the attempt's number.
	request  core.RouteRequest
	attempts int
	// faultyAnswers counts the attempts that ended with a faulty answer.
	faultyAnswers int
	// decision is the latest routing decision.
	decision core.Decision
}

// entryHost is a simulated entry host with the state of its reducer.
type entryHost struct {
	product    *product
	name       string
	dataCentre string
	state      core.State
	// heartbeats holds the received heartbeats that haven't been answered yet, by id.
	heartbeats map[string]heartbeatSource
}

// heartbeatSource is the sender of a received heartbeat, to which the reply goes.
type heartbeatSource struct {
	from *entryHost
	sent core.SentHeartbeat
}

// newProduct creates the entry hosts, schedules their ticks and lease renewals, and starts the announcements of the
// engines.
func newProduct(w *simulation, r *recorder, seed uint64) *product {
	p := &product{simulation: w, recorder: r, pending: make(map[string]*pendingRequest)}
	d := w.deployment
	var m []model.Member
	for i, c := range d.dataCentres {
		for k := range d.hosts[i] {
			h := &entryHost{product: p, name: fmt.Sprintf("%s%d", c, k), dataCentre: c, heartbeats: make(map[string]heartbeatSource)}
			p.hosts = append(p.hosts, h)
			m = append(m, model.Member{Name: h.name, DataCentre: c, Address: "stand-in"})
		}
	}
	p.config = p.configuration(m)
	for i, h := range p.hosts {
		t := quorum.Timing{Heartbeat: time.Second, Election: time.Second}
		h.state = core.NewState(core.Options{
			Self: member.Self{Name: h.name, DataCentre: h.dataCentre, Incarnation: 1}, Seeds: m, Control: config.NewState(),
			Ledger: ledger.NewState(), Quorum: quorum.New("", t, quorum.HardState{}, quorum.Snapshot{}, nil, 1), Seed: seed + uint64(i),
		})
		h.tick()
		h.renewLease()
	}
	for _, e := range w.engines {
		p.announce(e)
	}
	return p
}

// configuration returns a configuration with the given members, all versions, and one contract for each customer,
// which allows all versions and has all classes of the deployment.
func (p *product) configuration(m []model.Member) model.Config {
	var c model.Config
	d := p.simulation.deployment
	for _, x := range m {
		c = c.WithMember(x)
	}
	var n []string
	for _, v := range p.simulation.versions {
		c = c.WithVersion(v.version)
		n = append(n, v.version.Name)
	}
	for _, u := range d.customers {
		t := model.Contract{Customer: u.name, KeyHashes: []string{u.name}, Versions: n, Share: u.capacityShare, MaxOutputTokens: 4000}
		for _, k := range d.classes {
			t.Classes = append(t.Classes, k.terms)
		}
		c = c.WithContract(t)
	}
	return c.WithRevision(1)
}

// tick sends a tick to the reducer and schedules the next one.
func (h *entryHost) tick() {
	h.reduce(core.Tick{})
	h.product.simulation.after(tickInterval, h.tick)
}

// renewLease simulates the leader: the host gets the configuration and, unless it is partitioned, a heartbeat reply
// that renews its lease.
func (h *entryHost) renewLease() {
	w := h.product.simulation
	h.reduce(core.ConfigPulled{From: "control", Config: h.product.config})
	s := member.Self{Name: "control", Incarnation: 1, Revision: 1, Leading: true}
	if !h.isPartitioned() {
		h.reduce(core.HeartbeatAnswered{Sent: core.SentHeartbeat{To: "control", At: w.now}, Heartbeat: member.Heartbeat{Self: s}})
	}
	w.after(leaseInterval, h.renewLease)
}

// isPartitioned reports whether the host is in the first data centre and the scenario has cut this data centre off.
func (h *entryHost) isPartitioned() bool {
	w := h.product.simulation
	return w.scenario.partition && w.changed() && h.dataCentre == w.deployment.dataCentres[0]
}

// reachable reports whether a message from one data centre to another arrives. During a partition no messages pass
// between the first data centre and the others.
func (p *product) reachable(a, b string) bool {
	w := p.simulation
	if !w.scenario.partition || !w.changed() {
		return true
	}
	return (a == w.deployment.dataCentres[0]) == (b == w.deployment.dataCentres[0])
}

// announce delivers an announcement of an engine to a random host of its data centre after announceDelay, and
// schedules the next announcement. A stopped engine doesn't announce itself.
func (p *product) announce(e *engine) {
	w := p.simulation
	a := e.announcement()
	w.after(announceInterval, func() { p.announce(e) })
	if e.stopped {
		return
	}
	var n []*entryHost
	for _, h := range p.hosts {
		if h.dataCentre == e.dataCentre {
			n = append(n, h)
		}
	}
	h := n[w.random.IntN(len(n))]
	w.after(announceDelay, func() { h.reduce(core.EndpointAnnounced{Endpoint: a}) })
}

// reduce applies an event to the host's state and executes the resulting effects.
func (h *entryHost) reduce(e core.Event) {
	s, f := core.Reduce(h.state, h.product.simulation.now, e)
	h.state = s
	for _, x := range f {
		h.execute(x)
	}
}

// execute carries out the effects that matter to the simulation: heartbeats, heartbeat replies and routing decisions.
// All others are ignored.
func (h *entryHost) execute(effect core.Effect) {
	p := h.product
	switch e := effect.(type) {
	case core.SendHeartbeat:
		h.sendHeartbeat(e)
	case core.AnswerHeartbeat:
		b := h.heartbeats[e.ID]
		delete(h.heartbeats, e.ID)
		p.simulation.after(linkDelay, func() { b.from.reduce(core.HeartbeatAnswered{Sent: b.sent, Heartbeat: e.Heartbeat}) })
	case core.AnswerRoute:
		p.handleDecision(h, e)
	}
}

// sendHeartbeat delivers a heartbeat to its host after linkDelay, or drops it if that host isn't reachable.
func (h *entryHost) sendHeartbeat(e core.SendHeartbeat) {
	p := h.product
	for _, o := range p.hosts {
		if o.name != e.Sent.To || !p.reachable(h.dataCentre, o.dataCentre) {
			continue
		}
		i := fmt.Sprintf("%s>%s@%d", h.name, o.name, p.simulation.scheduled)
		o.heartbeats[i] = heartbeatSource{h, e.Sent}
		p.simulation.after(linkDelay, func() { o.reduce(core.HeartbeatReceived{ID: i, Heartbeat: e.Heartbeat}) })
	}
}

// submit implements policy. The entry host is the one that the trace chose for the request.
func (p *product) submit(a arrival) {
	k := p.simulation.deployment.classes[a.class]
	x := &pendingRequest{arrival: a, request: core.RouteRequest{
		RequestID: a.id, KeyHash: a.customer.name, Class: k.terms.Class, Tokens: float64(a.input + a.output),
	}}
	p.requestRoute(p.hosts[a.host], x)
}

// requestRoute asks a host's reducer for the next routing decision of a request.
func (p *product) requestRoute(h *entryHost, x *pendingRequest) {
	x.request.ID = fmt.Sprintf("%s.%d", x.arrival.id, x.attempts)
	x.attempts++
	p.pending[x.request.ID] = x
	h.reduce(core.RouteRequested{Request: x.request})
}

// handleDecision sends an attempt to the chosen endpoint. A refusal counts as a refused request on its first attempt
// and as a failed request on a later one; such a failure is counted during the warm-up too.
func (p *product) handleDecision(h *entryHost, e core.AnswerRoute) {
	x := p.pending[e.ID]
	delete(p.pending, e.ID)
	if e.Decision.Refusal != nil {
		if x.attempts > 1 {
			p.recorder.failed++
			return
		}
		p.recorder.countRefusal(x.arrival)
		return
	}
	x.decision = e.Decision
	t := &attempt{arrival: x.arrival, version: p.versionIndex(e.Decision.Version), engine: p.engineByID(e.Decision.Endpoint.ID), sent: p.simulation.now}
	t.done = func(r result) { p.handleResult(h, x, r) }
	t.reportTokenTime = func(v float64) {
		h.reduce(core.RatingReceived{Rating: route.Rating{
			Kind: route.TokenTime, Version: e.Decision.Version, Class: x.request.Class, Value: v, Endpoint: e.Decision.Endpoint.ID,
		}})
	}
	p.recorder.countAttempt()
	p.simulation.after(linkDelay, func() { p.sendAttempt(h, t) })
}

// sendAttempt submits an attempt to its engine. An engine that isn't reachable refuses it after 700 ms.
func (p *product) sendAttempt(h *entryHost, t *attempt) {
	if !p.reachable(h.dataCentre, t.engine.dataCentre) {
		p.simulation.after(700*time.Millisecond, func() { t.done(result{attempt: t, refused: true}) })
		return
	}
	t.engine.submit(t)
}

// versionIndex returns the index of a version by its name, or -1.
func (p *product) versionIndex(name string) int {
	for i, v := range p.simulation.versions {
		if v.version.Name == name {
			return i
		}
	}
	return -1
}

// engineByID returns the engine with an id, or nil.
func (p *product) engineByID(id string) *engine {
	for _, e := range p.simulation.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// handleResult reports the end of an attempt to the reducer. After a failed attempt the request is retried with the
// same version on another endpoint, up to maxAttempts. In the rolling scenario an interrupted request that must run
// at most once fails without a retry.
func (p *product) handleResult(h *entryHost, x *pendingRequest, r result) {
	a := x.arrival
	f := core.AttemptFinished{ID: x.request.ID, Tokens: float64(a.input + a.output)}
	switch {
	case r.refused:
		f.Ending, f.Tokens = core.EndedRefused, 0
	case r.interrupted:
		f.Ending, f.Tokens = core.EndedFailed, 0
	case r.faulty:
		x.faultyAnswers++
		f.Ending, f.Tokens, f.FaultyEndpoints = core.EndedFaulty, 0, x.faultyAnswers
	}
	h.reduce(f)
	if f.Ending == core.EndedWell {
		p.handleAnswer(h, x, r)
		return
	}
	if x.attempts >= maxAttempts || (p.simulation.scenario.rolling && r.interrupted && a.atMostOnce()) {
		p.recorder.countFailure(a, r.attempt)
		return
	}
	x.request.Retry, x.request.Version = true, x.decision.Version
	x.request.ExcludeEndpoints = append(x.request.ExcludeEndpoints, x.decision.Endpoint.ID)
	p.requestRoute(h, x)
}

// handleAnswer delivers an answer and then has it rated. The answer is held back and judged first if its class
// requires that, or if it isn't streamed and its version isn't healthy. An answer that follows an escalation, and in
// the rolling scenario one of a request that must run at most once, is always delivered without judging.
func (p *product) handleAnswer(h *entryHost, x *pendingRequest, r result) {
	k := p.simulation.deployment.classes[x.arrival.class]
	s := route.Subject{Version: x.decision.Version, Class: x.request.Class}
	d := !k.streamed && h.state.Routes.Evidence.Stat(s).Health != route.Healthy
	o := p.simulation.scenario.rolling && x.arrival.atMostOnce()
	if (!k.terms.Judge && !d) || o || len(x.request.ExcludeVersions) > 0 {
		p.recorder.countAnswer(x.arrival, r.attempt, r.quality)
		p.rateAnswer(h, x, r)
		return
	}
	if !p.simulation.takeRatingToken(true) {
		p.deliverOrEscalate(h, x, r, 0, false)
		return
	}
	v := p.simulation.drawRating(r.quality)
	p.simulation.after(ratingDelay, func() {
		h.reduce(core.RatingReceived{Rating: route.Rating{Kind: route.Quality, Version: s.Version, Class: s.Class, Value: v}})
		p.deliverOrEscalate(h, x, r, v, true)
	})
}

// deliverOrEscalate judges a held answer by its score, or without one if rated is false. It delivers the answer, or
// discards it and requests a route that excludes the version.
func (p *product) deliverOrEscalate(h *entryHost, x *pendingRequest, r result, score float64, rated bool) {
	s := route.Subject{Version: x.decision.Version, Class: x.request.Class}
	q := p.simulation.deployment.classes[x.arrival.class].terms.Quality
	r.attempt.firstToken = p.simulation.now
	if h.state.Routes.Evidence.Judge(s, q, score, rated) == route.Deliver {
		p.recorder.countAnswer(x.arrival, r.attempt, r.quality)
		return
	}
	p.recorder.countDiscarded(x.arrival, r.attempt)
	x.request.ExcludeVersions = append(x.request.ExcludeVersions, s.Version)
	p.requestRoute(h, x)
}

// rateAnswer has a delivered answer rated if the rating service accepts it. A rating is urgent if the routing
// decision asked for it or the version isn't healthy.
func (p *product) rateAnswer(h *entryHost, x *pendingRequest, r result) {
	w := p.simulation
	s := h.state.Routes.Evidence.Stat(route.Subject{Version: x.decision.Version, Class: x.request.Class})
	if !w.takeRatingToken(x.decision.ShouldRate || s.Health != route.Healthy) {
		return
	}
	v := w.drawRating(r.quality)
	t := route.Rating{Kind: route.Quality, Version: x.decision.Version, Class: x.request.Class, Value: v}
	w.after(ratingDelay, func() { h.reduce(core.RatingReceived{Rating: t}) })
}
