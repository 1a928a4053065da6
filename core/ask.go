package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/route"
)

const (
	// retryShare is how many further attempts each new request adds to the host's budget.
	retryShare = 0.1
	// retryBurst bounds the budget of further attempts.
	retryBurst = 20
	// isolatedRetry, capacityRetry and cutOffRetry tell callers when to come back.
	isolatedRetry = time.Second
	capacityRetry = time.Second
	cutOffRetry   = 10 * time.Second
	// minRetry is the least time that a refused caller is told to wait.
	minRetry = 200 * time.Millisecond
)

// plan is what may be done with a request under the configuration in force.
type plan struct {
	contract model.Contract
	terms    model.ClassTerms
	service  model.Service
	// holds are the versions in order of preference, or the name of the plain service.
	holds    []string
	reason   string
	explored bool
}

func (r *reducer) refuse(a Ask, f *Refusal) {
	r.emit(Decide{ID: a.ID, Decision: Decision{Refusal: f}})
	r.emit(Count{Metric: `hickoryshelf_refusals_total{kind="` + f.Kind.String() + `"}`})
	r.log("route", "refused a request", Field{"request", a.RequestID}, Field{"kind", f.Kind}, Field{"reason", f.Message})
}

func (r *reducer) asked(a Ask) {
	if !a.Again {
		r.retryBudget = min(retryBurst, r.retryBudget+retryShare)
	}
	p, f := r.plan(a)
	if f != nil {
		r.refuse(a, f)
		return
	}
	if s, h, ok := r.spot(a, p, false, true); ok && r.mayOvertake(a, p) {
		r.Admit = r.Admit.WithStarted(p.contract.Customer, p.contract.Share, a.Tokens)
		r.start(a, p, h, s, 0)
		return
	}
	if !r.reachable(a, p) {
		m := "no endpoint that may get the request holds " + p.holds[0] + "; come back later"
		r.refuse(a, &Refusal{Kind: RefusedCapacity, Message: m, RetryAfter: capacityRetry})
		return
	}
	r.queue(a, p)
}

// reachable reports whether there is an endpoint worth waiting for.
func (r *reducer) reachable(a Ask, p plan) bool {
	return slices.ContainsFunc(p.holds, func(h string) bool {
		_, ok := r.Routes.ChooseEndpoint(r.wish(h, a.Exclude, p.terms.Priority, true), r.Now)
		return ok
	})
}

// mayOvertake reports whether a new request may start although others wait.
// plan checks a request against the contract and chooses versions for it.
func (r *reducer) plan(a Ask) (plan, *Refusal) {
	c, ok := r.Config.ContractByKeyHash(a.KeyHash)
	if f := r.refuseHost(a, c); f != nil {
		return plan{}, f
	}
	if !ok {
		return plan{}, &Refusal{Kind: RefusedKey, Message: "no contract holds this bearer key; ask the operator for one"}
	}
	if a.Path != "" {
		return r.planService(a, c)
	}
	t, ok := c.Terms(a.Class)
	if !ok {
		return plan{}, &Refusal{Kind: RefusedClass, Message: "the contract has no task class " + a.Class + "; name one that it has"}
	}
	return r.planVersion(a, plan{contract: c, terms: t})
}

// refuseHost refuses new requests that this host must not take.
func (r *reducer) refuseHost(a Ask, c model.Contract) *Refusal {
	if len(a.Avoid) > 0 {
		return nil
	}
	if a.Again {
		if r.retryBudget < 1 {
			m := "the budget of further attempts is used up; come back later"
			return &Refusal{Kind: RefusedCapacity, Message: m, RetryAfter: capacityRetry}
		}
		r.retryBudget--
		return nil
	}
	if r.Members.Self.Stopping {
		m := "this host is stopping; send the request again, the balancer chooses another"
		return &Refusal{Kind: RefusedStopping, Message: m, RetryAfter: minRetry}
	}
	switch s := r.Standing(); {
	case s == member.Isolated:
		m := "this host hears neither the control quorum nor its data centre; send the request to another"
		return &Refusal{Kind: RefusedIsolated, Message: m, RetryAfter: isolatedRetry}
	case s == member.CutOff && c.CutOff == model.CutOffRefuse && c.Customer != "":
		m := "the data centre is cut off and the contract says to refuse meanwhile; use another data centre"
		return &Refusal{Kind: RefusedCutOff, Message: m, RetryAfter: cutOffRetry}
	}
	return nil
}

func (r *reducer) planService(a Ask, c model.Contract) (plan, *Refusal) {
	s, ok := c.Service(a.Path)
	if !ok {
		return plan{}, &Refusal{Kind: RefusedPath, Message: "the contract has no service at this path; use one that it has"}
	}
	t := model.ClassTerms{Class: s.Name, Priority: model.PriorityInteractive}
	return plan{contract: c, terms: t, service: s, holds: []string{s.Name}, reason: "the path names the service"}, nil
}

func (r *reducer) planVersion(a Ask, p plan) (plan, *Refusal) {
	if a.Again {
		p.holds, p.reason = []string{a.Version}, "another attempt at the same version"
		return p, nil
	}
	if a.SessionVersion != "" && a.SessionCustomer != p.contract.Customer {
		return p, &Refusal{Kind: RefusedSession, Message: "the session belongs to another customer; open a new session"}
	}
	v := a.Version
	if a.SessionVersion != "" {
		v = a.SessionVersion
	}
	if f := r.refuseVersion(a, p.contract, v); f != nil {
		return p, f
	}
	q := route.Query{Contract: p.contract, Terms: p.terms, Pinned: v, Draw: float64(r.draw()>>11) / (1 << 53)}
	d := r.DataCentres()
	h := func(n string) bool { return r.Routes.Holders(n, d) }
	c := route.ChooseVersion(r.Config, r.Routes.Evidence, q, h, r.Now)
	c.Versions = slices.DeleteFunc(c.Versions, func(n string) bool { return slices.Contains(a.Avoid, n) })
	if len(c.Versions) == 0 {
		return p, refuseChoice(c)
	}
	p.holds, p.reason, p.explored = c.Versions, c.Reason, c.Explored
	return p, nil
}

// refuseVersion refuses a named version that isn't allowed, isn't the session's, or was withdrawn.
func (r *reducer) refuseVersion(a Ask, c model.Contract, version string) *Refusal {
	if version == "" {
		return nil
	}
	if a.Version != "" && a.Version != version {
		m := fmt.Sprintf("the session runs on %s, not %s; name its version or open a new session", version, a.Version)
		return &Refusal{Kind: RefusedSession, Message: m}
	}
	d, ok := r.Config.Version(version)
	if !ok || !c.Allows(version) {
		return &Refusal{Kind: RefusedVersion, Message: "the contract doesn't allow " + version + "; name one that it allows"}
	}
	if d.State == model.VersionWithdrawn {
		m := version + " was withdrawn; open a new session or name another version"
		return &Refusal{Kind: RefusedWithdrawn, Message: m}
	}
	return nil
}

func refuseChoice(c route.Choice) *Refusal {
	k := RefusedQuality
	for _, d := range c.Candidates {
		if d.Refused == "no usable endpoint holds it" {
			k = RefusedCapacity
		}
	}
	return &Refusal{Kind: k, Message: c.Reason + "; come back later or ask the operator", RetryAfter: 2 * capacityRetry}
}

// DataCentres returns this host's data centre, then the others.
func (s State) DataCentres() []string {
	o := s.Members.Self.DataCentre
	d := slices.DeleteFunc(s.Config.DataCentres(), func(n string) bool { return n == o })
	return append([]string{o}, d...)
}

// patience is how long a request waits for its preferred version before it takes a costlier one.
func patience(t model.ClassTerms) time.Duration {
	if t.FirstToken > 0 {
		return t.FirstToken.Std() / 2
	}
	return t.QueueTimeout() / 2
}

func (r *reducer) wish(hold string, exclude []string, priority model.Priority, excess bool) route.Wish {
	return route.Wish{
		Hold: hold, DataCentres: r.DataCentres(), Exclude: exclude, Priority: priority, Excess: excess, Seed: r.draw(),
	}
}

// spot looks for a free endpoint of the preferred version, or of any planned one when the request can't
// wait for it.
func (r *reducer) spot(a Ask, p plan, impatient, excess bool) (model.Endpoint, string, bool) {
	h := p.holds
	if !impatient && !p.explored && r.Admit.Wait(p.contract.Customer, p.contract.Share, p.terms.Priority, r.Now) <= patience(p.terms) {
		h = h[:1]
	}
	for _, n := range h {
		s, ok := r.Routes.ChooseEndpoint(r.wish(n, a.Exclude, p.terms.Priority, excess), r.Now)
		if ok && s.Free {
			return s.Node.Endpoint, n, true
		}
	}
	return model.Endpoint{}, "", false
}

func (r *reducer) start(a Ask, p plan, hold string, e model.Endpoint, waited time.Duration) {
	d := Dispatch{
		Customer: p.contract.Customer, Endpoint: e.ID, Incarnation: e.Incarnation,
		Version: hold, Class: p.terms.Class, Estimate: a.Tokens, Service: a.Path != "",
	}
	r.running = r.running.Set(a.ID, d)
	r.Routes = r.Routes.WithOwn(e.ID, e.Incarnation, 1, r.Now)
	v := hold
	if d.Service {
		v = ""
	}
	r.emit(Decide{ID: a.ID, Decision: Decision{
		Contract: p.contract, Terms: p.terms, Service: p.service, Version: v, Endpoint: e, Waited: waited, Rate: p.explored,
	}})
	r.emit(Count{Metric: `hickoryshelf_routes_total{hold="` + hold + `"}`})
	r.log("route", "routes a request", Field{"request", a.RequestID}, Field{"customer", d.Customer}, Field{"class", d.Class},
		Field{"hold", hold}, Field{"endpoint", e.ID}, Field{"waited", waited}, Field{"reason", p.reason})
}

// queue lets a request wait, unless it would wait longer than its class allows.
// startQueued starts waiting requests while there are free endpoints.
// rivals reports whether two waiting requests compete for capacity: all completions do, since engines hold
// several versions, and calls of the same plain service.
// freeHolds returns a test for free endpoints of a version or service, which remembers what it has found.
// startWaiting starts a request taken from the queue, whose plan is made anew since the configuration may
// have changed while it waited.
func (r *reducer) finished(e Finished) {
	d, ok := r.running.Get(e.ID)
	if !ok {
		return
	}
	r.running = r.running.Delete(e.ID)
	r.Routes = r.Routes.WithOwn(d.Endpoint, d.Incarnation, -1, r.Now)
	r.Admit = r.Admit.WithFinished(d.Customer, d.Estimate, e.Tokens, r.Now)
	switch e.Ending {
	case EndedWell:
		r.Routes = r.Routes.WithSuccess(d.Endpoint, d.Incarnation, r.Now)
	case EndedRefused, EndedFailed, EndedFaulty:
		r.Routes = r.Routes.WithFailure(d.Endpoint, d.Incarnation, e.Ending == EndedRefused, r.Now)
		r.log("member", "an endpoint failed a request", Field{"endpoint", d.Endpoint}, Field{"ending", e.Ending})
	}
	r.rateFault(d, e)
	r.startQueued()
}

// rateFault counts a request that two endpoints answered with faults against its version, and one that
// ended well in its favour. A fault at one endpoint alone speaks against that endpoint.
func (r *reducer) rateFault(d Dispatch, e Finished) {
	v := 0.0
	switch {
	case d.Service:
		return
	case e.Ending == EndedFaulty && e.Faulty > 1:
		v = 1
	case e.Ending != EndedWell:
		return
	}
	r.rated(Rated{Rating: route.Rating{Kind: route.Fault, Version: d.Version, Class: d.Class, Value: v}})
}

// abandoned forgets a caller that has gone.
func (r *reducer) abandoned(e Abandoned) {
	if n, ok := r.Admit.WithCancelled(e.Customer, e.ID); ok {
		r.Admit = n
		return
	}
	r.finished(Finished{ID: e.ID, Ending: EndedCancelled})
}

// expireQueued gives up requests that have waited as long as their class allows.
// refuseQueued refuses all waiting requests of a host that stops, but for further attempts.
// refuseWithdrawn refuses waiting requests that the new configuration no longer allows.
