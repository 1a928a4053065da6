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
	// retryRatio is the number of retries that each new request adds to the host's retry budget.
	retryRatio = 0.1
	// retryBurst is the maximum of the retry budget.
	retryBurst = 20
	// isolatedRetryAfter, capacityRetryAfter and cutOffRetryAfter are the Retry-After times of refusals by an
	// isolated host, for lack of capacity, and in a data centre that is cut off.
	isolatedRetryAfter = time.Second
	capacityRetryAfter = time.Second
	cutOffRetryAfter   = 10 * time.Second
	// minRetryAfter is the shortest Retry-After time.
	minRetryAfter = 200 * time.Millisecond
)

// plan holds the targets that a request may use under the configuration in force.
type plan struct {
	contract model.Contract
	terms    model.ClassTerms
	// service is set for calls to a plain service.
	service model.Service
	// targets holds the versions in order of preference, or just the name of the plain service.
	targets []string
	// reason says for the log why the targets were chosen.
	reason string
	// exploring is true when the version was chosen to gather evidence about it.
	exploring bool
}

// refuse answers a request with a refusal, counts the refusal and logs it.
func (r *reducer) refuse(a RouteRequest, f *Refusal) {
	r.emit(AnswerRoute{ID: a.ID, Decision: Decision{Refusal: f}})
	r.emit(IncrementMetric{Metric: `hickoryshelf_refusals_total{kind="` + f.Kind.String() + `"}`})
	r.log("route", "refused a request", Field{"request", a.RequestID}, Field{"kind", f.Kind}, Field{"reason", f.Message})
}

// routeRequested starts an attempt at a free endpoint, queues it, or refuses it.
func (r *reducer) routeRequested(a RouteRequest) {
	if !a.Retry {
		r.retryBudget = min(retryBurst, r.retryBudget+retryRatio)
	}
	p, f := r.plan(a)
	if f != nil {
		r.refuse(a, f)
		return
	}
	if s, h, ok := r.findFreeEndpoint(a, p, false, true); ok && r.mayBypassQueue(a, p) {
		r.Admit = r.Admit.WithStarted(p.contract.Customer, p.contract.Share, a.Tokens)
		r.startAttempt(a, p, h, s, 0)
		return
	}
	if !r.reachable(a, p) {
		m := "no endpoint that may get the request holds " + p.targets[0] + "; come back later"
		r.refuse(a, &Refusal{Kind: RefusedCapacity, Message: m, RetryAfter: capacityRetryAfter})
		return
	}
	r.enqueue(a, p)
}

// reachable reports whether a usable endpoint, free or not, holds one of the plan's targets, so that queueing the
// request can help.
func (r *reducer) reachable(a RouteRequest, p plan) bool {
	return slices.ContainsFunc(p.targets, func(h string) bool {
		_, ok := r.Routes.ChooseEndpoint(r.endpointQuery(h, a.ExcludeEndpoints, p.terms.Priority, true), r.Now)
		return ok
	})
}

// plan checks a request against the host's standing and the customer's contract and chooses the request's targets.
func (r *reducer) plan(a RouteRequest) (plan, *Refusal) {
	c, ok := r.Config.ContractByKeyHash(a.KeyHash)
	if f := r.checkHost(a, c); f != nil {
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

// checkHost refuses new requests that this host must not accept: while it stops or is isolated, and while its data
// centre is cut off if the contract asks for that. Retries are checked against the retry budget only, and
// escalations to another version are never refused here.
func (r *reducer) checkHost(a RouteRequest, c model.Contract) *Refusal {
	if len(a.ExcludeVersions) > 0 {
		return nil
	}
	if a.Retry {
		if r.retryBudget < 1 {
			m := "the budget of further attempts is used up; come back later"
			return &Refusal{Kind: RefusedCapacity, Message: m, RetryAfter: capacityRetryAfter}
		}
		return nil
	}
	if r.Members.Self.Stopping {
		m := "this host is stopping; send the request again, the balancer chooses another"
		return &Refusal{Kind: RefusedStopping, Message: m, RetryAfter: minRetryAfter}
	}
	switch s := r.Standing(); {
	case s == member.Isolated:
		m := "this host hears neither the control quorum nor its data centre; send the request to another"
		return &Refusal{Kind: RefusedIsolated, Message: m, RetryAfter: isolatedRetryAfter}
	case s == member.CutOff && c.CutOff == model.CutOffRefuse && c.Customer != "":
		m := "the data centre is cut off and the contract says to refuse meanwhile; use another data centre"
		return &Refusal{Kind: RefusedCutOff, Message: m, RetryAfter: cutOffRetryAfter}
	}
	return nil
}

// planService plans a call to the plain service whose prefix matches the path. Such calls are interactive.
func (r *reducer) planService(a RouteRequest, c model.Contract) (plan, *Refusal) {
	s, ok := c.Service(a.Path)
	if !ok {
		return plan{}, &Refusal{Kind: RefusedPath, Message: "the contract has no service at this path; use one that it has"}
	}
	t := model.ClassTerms{Class: s.Name, Priority: model.PriorityInteractive}
	return plan{contract: c, terms: t, service: s, targets: []string{s.Name}, reason: "the path names the service"}, nil
}

// planVersion chooses versions for a completion. A retry keeps its version, and a session keeps the version that
// it is pinned to.
func (r *reducer) planVersion(a RouteRequest, p plan) (plan, *Refusal) {
	if a.Retry {
		p.targets, p.reason = []string{a.Version}, "another attempt at the same version"
		return p, nil
	}
	if a.SessionVersion != "" && a.SessionCustomer != p.contract.Customer {
		return p, &Refusal{Kind: RefusedSession, Message: "the session belongs to another customer; open a new session"}
	}
	v := a.Version
	if a.SessionVersion != "" {
		v = a.SessionVersion
	}
	if f := r.checkVersion(a, p.contract, v); f != nil {
		return p, f
	}
	q := route.VersionQuery{Contract: p.contract, Terms: p.terms, Pinned: v, Draw: float64(r.random()>>11) / (1 << 53)}
	d := r.DataCentres()
	h := func(n string) bool { return r.Routes.HasUsableEndpoint(n, d) }
	c := route.ChooseVersion(r.Config, r.Routes.Evidence, q, h, r.Now)
	c.Versions = slices.DeleteFunc(c.Versions, func(n string) bool { return slices.Contains(a.ExcludeVersions, n) })
	if len(c.Versions) == 0 {
		return p, choiceRefusal(c)
	}
	p.targets, p.reason, p.exploring = c.Versions, c.Reason, c.Explored
	return p, nil
}

// checkVersion refuses a named version that differs from the session's, isn't allowed by the contract, or was
// withdrawn. An empty version is not refused.
func (r *reducer) checkVersion(a RouteRequest, c model.Contract, version string) *Refusal {
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

// choiceRefusal turns a choice without versions into a refusal: for lack of capacity if some candidate was ruled
// out only because no usable endpoint holds it, else for lack of a version of sufficient quality.
func choiceRefusal(c route.VersionChoice) *Refusal {
	k := RefusedQuality
	for _, d := range c.Candidates {
		if d.Ineligible == "no usable endpoint holds it" {
			k = RefusedCapacity
		}
	}
	return &Refusal{Kind: k, Message: c.Reason + "; come back later or ask the operator", RetryAfter: 2 * capacityRetryAfter}
}

// DataCentres returns the configured data centres with this host's own first.
func (s State) DataCentres() []string {
	o := s.Members.Self.DataCentre
	d := slices.DeleteFunc(s.Config.DataCentres(), func(n string) bool { return n == o })
	return append([]string{o}, d...)
}

// preferredWait returns how long a request waits for its preferred version before it may use another, usually costlier
// one: half of the bound on the time to first token of its class, or half of the class's maximum wait when there is no bound.
func preferredWait(t model.ClassTerms) time.Duration {
	if t.FirstToken > 0 {
		return t.FirstToken.Std() / 2
	}
	return t.QueueTimeout() / 2
}

// endpointQuery returns the query for an endpoint that holds the target. The endpoints of this host's data centre
// come first. allowOvercommit lets an interactive request exceed an endpoint's capacity.
func (r *reducer) endpointQuery(target string, exclude []string, priority model.Priority, allowOvercommit bool) route.EndpointQuery {
	return route.EndpointQuery{
		Target: target, DataCentres: r.DataCentres(), Exclude: exclude, Priority: priority, AllowOvercommit: allowOvercommit, Seed: r.random(),
	}
}

// findFreeEndpoint returns a free endpoint and the target that it serves. It considers only the preferred target,
// unless anyTarget is set, the plan explores, or the predicted queueing time exceeds preferredWait.
// allowOvercommit is passed on to endpointQuery.
func (r *reducer) findFreeEndpoint(a RouteRequest, p plan, anyTarget, allowOvercommit bool) (model.Endpoint, string, bool) {
	h := p.targets
	if !anyTarget && !p.exploring && r.Admit.EstimateWait(p.contract.Customer, p.contract.Share, p.terms.Priority, r.Now) <= preferredWait(p.terms) {
		h = h[:1]
	}
	for _, n := range h {
		s, ok := r.Routes.ChooseEndpoint(r.endpointQuery(n, a.ExcludeEndpoints, p.terms.Priority, allowOvercommit), r.Now)
		if ok && s.HasCapacity {
			return s.Endpoint.Endpoint, n, true
		}
	}
	return model.Endpoint{}, "", false
}

// startAttempt answers a request with the endpoint and accounts for the attempt in flight. A retry is charged to the retry
// budget. waited is the time that the request spent in the queue.
func (r *reducer) startAttempt(a RouteRequest, p plan, target string, e model.Endpoint, waited time.Duration) {
	d := Dispatch{
		Customer: p.contract.Customer, Endpoint: e.ID, Incarnation: e.Incarnation,
		Version: target, Class: p.terms.Class, Estimate: a.Tokens, Service: a.Path != "",
	}
	r.running = r.running.Set(a.ID, d)
	if a.Retry {
		r.retryBudget--
	}
	r.Routes = r.Routes.WithOwnRequests(e.ID, e.Incarnation, 1, r.Now)
	v := target
	if d.Service {
		v = ""
	}
	r.emit(AnswerRoute{ID: a.ID, Decision: Decision{
		Contract: p.contract, Terms: p.terms, Service: p.service, Version: v, Endpoint: e, Waited: waited, ShouldRate: p.exploring,
	}})
	r.emit(IncrementMetric{Metric: `hickoryshelf_routes_total{hold="` + target + `"}`})
	r.log("route", "routes a request", Field{"request", a.RequestID}, Field{"customer", d.Customer}, Field{"class", d.Class},
		Field{"hold", target}, Field{"endpoint", e.ID}, Field{"waited", waited}, Field{"reason", p.reason})
}

// attemptFinished releases the endpoint's slot, corrects the customer's charge to the actual tokens, updates the
// endpoint's health and starts queued requests.
func (r *reducer) attemptFinished(e AttemptFinished) {
	d, ok := r.running.Get(e.ID)
	if !ok {
		return
	}
	r.running = r.running.Delete(e.ID)
	r.Routes = r.Routes.WithOwnRequests(d.Endpoint, d.Incarnation, -1, r.Now)
	r.Admit = r.Admit.WithFinished(d.Customer, d.Estimate, e.Tokens, r.Now)
	switch e.Ending {
	case EndedWell:
		r.Routes = r.Routes.WithSuccess(d.Endpoint, d.Incarnation, r.Now)
	case EndedRefused, EndedFailed, EndedFaulty:
		r.Routes = r.Routes.WithFailure(d.Endpoint, d.Incarnation, e.Ending == EndedRefused, r.Now)
		r.log("member", "an attempt at an endpoint failed", Field{"endpoint", d.Endpoint}, Field{"ending", e.Ending})
	}
	r.rateFault(d, e)
	r.startQueued()
}

// rateFault rates the version of a completion by how the attempt ended: 1 (a fault) if at least two endpoints
// answered the request with an engine error, 0 (no fault) if the attempt ended well. An engine error at a single
// endpoint is held against that endpoint only.
func (r *reducer) rateFault(d Dispatch, e AttemptFinished) {
	v := 0.0
	switch {
	case d.Service:
		return
	case e.Ending == EndedFaulty && e.FaultyEndpoints > 1:
		v = 1
	case e.Ending != EndedWell:
		return
	}
	r.ratingReceived(RatingReceived{Rating: route.Rating{Kind: route.Fault, Version: d.Version, Class: d.Class, Value: v}})
}

// callerLeft removes the request from the queue, or ends its attempt as cancelled if it has started.
func (r *reducer) callerLeft(e CallerLeft) {
	if n, ok := r.Admit.WithCancelled(e.Customer, e.ID); ok {
		r.Admit = n
		return
	}
	r.attemptFinished(AttemptFinished{ID: e.ID, Ending: EndedCancelled})
}
