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
	tickEvery = 50 * time.Millisecond
	// controlEvery is how often the stand-in of the leader renews the hosts' leases.
	controlEvery = 500 * time.Millisecond
	maxAttempts  = 4
)

// product runs the real reducers of all entry hosts.
type product struct {
	world  *world
	record *record
	config model.Config
	hosts  []*reducerHost
	// open are the requests between a question and its answer, by the id of the question.
	open map[string]*pending
}

// pending is a request on its way.
type pending struct {
	arrival  arrival
	ask      core.RouteRequest
	attempts int
	faulty   int
	decision core.Decision
}

// reducerHost is one entry host.
type reducerHost struct {
	product    *product
	name       string
	dataCentre string
	state      core.State
	beats      map[string]beatReturn
}

// beatReturn leads the answer to a heartbeat back to its sender.
type beatReturn struct {
	from *reducerHost
	sent core.SentHeartbeat
}

func newProduct(w *world, r *record, seed uint64) *product {
	p := &product{world: w, record: r, open: make(map[string]*pending)}
	d := w.deployment
	var m []model.Member
	for i, c := range d.dataCentres {
		for k := range d.hosts[i] {
			h := &reducerHost{product: p, name: fmt.Sprintf("%s%d", c, k), dataCentre: c, beats: make(map[string]beatReturn)}
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
		h.renew()
	}
	for _, e := range w.engines {
		p.announce(e)
	}
	return p
}

// configuration makes one contract for each customer, all with the deployment's classes.
func (p *product) configuration(m []model.Member) model.Config {
	var c model.Config
	d := p.world.deployment
	for _, x := range m {
		c = c.WithMember(x)
	}
	var n []string
	for _, v := range p.world.versions {
		c = c.WithVersion(v.version)
		n = append(n, v.version.Name)
	}
	for _, u := range d.customers {
		t := model.Contract{Customer: u.name, KeyHashes: []string{u.name}, Versions: n, Share: u.share, MaxOutputTokens: 4000}
		for _, k := range d.classes {
			t.Classes = append(t.Classes, k.terms)
		}
		c = c.WithContract(t)
	}
	return c.WithRevision(1)
}

func (h *reducerHost) tick() {
	h.reduce(core.Tick{})
	h.product.world.after(tickEvery, h.tick)
}

// renew stands in for the leader's answers.
func (h *reducerHost) renew() {
	w := h.product.world
	h.reduce(core.ConfigPulled{From: "control", Config: h.product.config})
	s := member.Self{Name: "control", Incarnation: 1, Revision: 1, Leading: true}
	if !h.isCut() {
		h.reduce(core.HeartbeatAnswered{Sent: core.SentHeartbeat{To: "control", At: w.now}, Heartbeat: member.Heartbeat{Self: s}})
	}
	w.after(controlEvery, h.renew)
}

func (h *reducerHost) isCut() bool {
	w := h.product.world
	return w.scenario.cut && w.turned() && h.dataCentre == w.deployment.dataCentres[0]
}

// reaches reports whether a message between two data centres arrives.
func (p *product) reaches(a, b string) bool {
	w := p.world
	if !w.scenario.cut || !w.turned() {
		return true
	}
	return (a == w.deployment.dataCentres[0]) == (b == w.deployment.dataCentres[0])
}

// announce has an engine announce itself to a host of its data centre, late.
func (p *product) announce(e *engine) {
	w := p.world
	a := e.announcement()
	w.after(announceEvery, func() { p.announce(e) })
	if e.stopped {
		return
	}
	var n []*reducerHost
	for _, h := range p.hosts {
		if h.dataCentre == e.dataCentre {
			n = append(n, h)
		}
	}
	h := n[w.random.IntN(len(n))]
	w.after(reportLag, func() { h.reduce(core.EndpointAnnounced{Endpoint: a}) })
}

func (h *reducerHost) reduce(e core.Event) {
	s, f := core.Reduce(h.state, h.product.world.now, e)
	h.state = s
	for _, x := range f {
		h.carryOut(x)
	}
}

func (h *reducerHost) carryOut(effect core.Effect) {
	p := h.product
	switch e := effect.(type) {
	case core.SendHeartbeat:
		h.sendBeat(e)
	case core.AnswerHeartbeat:
		b := h.beats[e.ID]
		delete(h.beats, e.ID)
		p.world.after(linkDelay, func() { b.from.reduce(core.HeartbeatAnswered{Sent: b.sent, Heartbeat: e.Heartbeat}) })
	case core.AnswerRoute:
		p.decided(h, e)
	}
}

func (h *reducerHost) sendBeat(e core.SendHeartbeat) {
	p := h.product
	for _, o := range p.hosts {
		if o.name != e.Sent.To || !p.reaches(h.dataCentre, o.dataCentre) {
			continue
		}
		i := fmt.Sprintf("%s>%s@%d", h.name, o.name, p.world.count)
		o.beats[i] = beatReturn{h, e.Sent}
		p.world.after(linkDelay, func() { o.reduce(core.HeartbeatReceived{ID: i, Heartbeat: e.Heartbeat}) })
	}
}

func (p *product) submit(a arrival) {
	k := p.world.deployment.classes[a.class]
	x := &pending{arrival: a, ask: core.RouteRequest{
		RequestID: a.id, KeyHash: a.customer.name, Class: k.terms.Class, Tokens: float64(a.input + a.output),
	}}
	p.ask(p.hosts[a.host], x)
}

func (p *product) ask(h *reducerHost, x *pending) {
	x.ask.ID = fmt.Sprintf("%s.%d", x.arrival.id, x.attempts)
	x.attempts++
	p.open[x.ask.ID] = x
	h.reduce(core.RouteRequested{Request: x.ask})
}

func (p *product) decided(h *reducerHost, e core.AnswerRoute) {
	x := p.open[e.ID]
	delete(p.open, e.ID)
	if e.Decision.Refusal != nil {
		if x.attempts > 1 {
			p.record.failed++
			return
		}
		p.record.refuse(x.arrival)
		return
	}
	x.decision = e.Decision
	t := &task{arrival: x.arrival, version: p.versionIndex(e.Decision.Version), engine: p.engineOf(e.Decision.Endpoint.ID), sent: p.world.now}
	t.done = func(r result) { p.ended(h, x, r) }
	t.paced = func(v float64) {
		h.reduce(core.RatingReceived{Rating: route.Rating{
			Kind: route.TokenTime, Version: e.Decision.Version, Class: x.ask.Class, Value: v, Endpoint: e.Decision.Endpoint.ID,
		}})
	}
	p.record.attempt()
	p.world.after(linkDelay, func() { p.deliver(h, t) })
}

func (p *product) deliver(h *reducerHost, t *task) {
	if !p.reaches(h.dataCentre, t.engine.dataCentre) {
		p.world.after(700*time.Millisecond, func() { t.done(result{task: t, refused: true}) })
		return
	}
	t.engine.submit(t)
}

func (p *product) versionIndex(name string) int {
	for i, v := range p.world.versions {
		if v.version.Name == name {
			return i
		}
	}
	return -1
}

func (p *product) engineOf(id string) *engine {
	for _, e := range p.world.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (p *product) ended(h *reducerHost, x *pending, r result) {
	a := x.arrival
	f := core.AttemptFinished{ID: x.ask.ID, Tokens: float64(a.input + a.output)}
	switch {
	case r.refused:
		f.Ending, f.Tokens = core.EndedRefused, 0
	case r.cut:
		f.Ending, f.Tokens = core.EndedFailed, 0
	case r.faulty:
		x.faulty++
		f.Ending, f.Tokens, f.FaultyEndpoints = core.EndedFaulty, 0, x.faulty
	}
	h.reduce(f)
	if f.Ending == core.EndedWell {
		p.answered(h, x, r)
		return
	}
	if x.attempts >= maxAttempts || (p.world.scenario.rolling && r.cut && a.once()) {
		p.record.fail(a, r.task)
		return
	}
	x.ask.Retry, x.ask.Version = true, x.decision.Version
	x.ask.ExcludeEndpoints = append(x.ask.ExcludeEndpoints, x.decision.Endpoint.ID)
	p.ask(h, x)
}

// answered delivers an answer and has it rated; one that can be held back is judged first where its class
// wants that or its version is in doubt.
func (p *product) answered(h *reducerHost, x *pending, r result) {
	k := p.world.deployment.classes[x.arrival.class]
	s := route.Subject{Version: x.decision.Version, Class: x.ask.Class}
	d := !k.streamed && h.state.Routes.Evidence.Stat(s).Health != route.Healthy
	o := p.world.scenario.rolling && x.arrival.once()
	if (!k.terms.Judge && !d) || o || len(x.ask.ExcludeVersions) > 0 {
		p.record.serve(x.arrival, r.task, r.quality)
		p.rate(h, x, r)
		return
	}
	if !p.world.mayRate(true) {
		p.judge(h, x, r, 0, false)
		return
	}
	v := p.world.rating(r.quality)
	p.world.after(ratingDelay, func() {
		h.reduce(core.RatingReceived{Rating: route.Rating{Kind: route.Quality, Version: s.Version, Class: s.Class, Value: v}})
		p.judge(h, x, r, v, true)
	})
}

func (p *product) judge(h *reducerHost, x *pending, r result, score float64, rated bool) {
	s := route.Subject{Version: x.decision.Version, Class: x.ask.Class}
	q := p.world.deployment.classes[x.arrival.class].terms.Quality
	r.task.first = p.world.now
	if h.state.Routes.Evidence.Judge(s, q, score, rated) == route.Deliver {
		p.record.serve(x.arrival, r.task, r.quality)
		return
	}
	p.record.waste(x.arrival, r.task)
	x.ask.ExcludeVersions = append(x.ask.ExcludeVersions, s.Version)
	p.ask(h, x)
}

// rate has the answer rated, as far as the rating service allows.
func (p *product) rate(h *reducerHost, x *pending, r result) {
	w := p.world
	s := h.state.Routes.Evidence.Stat(route.Subject{Version: x.decision.Version, Class: x.ask.Class})
	if !w.mayRate(x.decision.ShouldRate || s.Health != route.Healthy) {
		return
	}
	v := w.rating(r.quality)
	t := route.Rating{Kind: route.Quality, Version: x.decision.Version, Class: x.ask.Class, Value: v}
	w.after(ratingDelay, func() { h.reduce(core.RatingReceived{Rating: t}) })
}
