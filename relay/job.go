package relay

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/assist"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/poison"
	"github.com/hickoryshelf/hickoryshelf/table"
)

const (
	// configurationRetryAfter is the Retry-After of a host that has no configuration yet.
	configurationRetryAfter = 700 * time.Millisecond
	// configurationWait is how long a request waits for the first configuration. configurationPoll is the interval of
	// the checks for the first configuration and for the first endpoint of a service.
	configurationWait = 800 * time.Millisecond
	configurationPoll = 10 * time.Millisecond
	// endpointWait is how long after the start of this host requests wait for the first endpoint of their service.
	endpointWait = 2 * time.Second
	// stoppingRetryAfter is the Retry-After of a host that is about to stop. It is short because the retry reaches
	// another host.
	stoppingRetryAfter = 20 * time.Millisecond
	// noEndpointRetryAfter is the Retry-After if no endpoint can take the request, or if the deadline passed before
	// the request ran.
	noEndpointRetryAfter = 500 * time.Millisecond
	// defaultApplyTime is Options.ApplyTime if that isn't set.
	defaultApplyTime = 2 * time.Second
	// unconfirmedRetryAfter is the Retry-After of a denial by a table that may not be the newest. It is short because another host, or
	// this one after its next exchange with a control host, can tell.
	unconfirmedRetryAfter = 250 * time.Millisecond
	// bodyDroppedRetryAfter is the Retry-After of a request that was dropped for want of memory. Stalled requests give theirs up sooner.
	bodyDroppedRetryAfter = 500 * time.Millisecond
	// heldBackRetryAfter is the Retry-After of a request that is held back: it is refused until an operator lifts the rule.
	heldBackRetryAfter = time.Minute
)

// job holds the state of one request while it is relayed. Only the goroutine that called Serve changes it.
type job struct {
	relay   *Relay
	request *Request
	sink    Sink
	route   table.Route
	service table.Service
	// version is the version of the routing table that the request was routed by, or 0 if there was none.
	version int64
	// tableSince is when this host put that table in force.
	tableSince time.Time
	// confirmedAge is how long ago that table was known to be the newest when the request was admitted, or negative if that wasn't known.
	confirmedAge time.Duration
	account      string
	priority     int
	// deadline is the zero time until the route is known.
	deadline time.Time
	// callerContext is cancelled when the caller disconnects. Unlike the context of run, it has no deadline.
	callerContext context.Context
	// fraction is the hash of the request ID in [0, 1). It selects the service, and for requests without a session the
	// version during a rollout. It also spreads the Retry-After of an overloaded service.
	fraction float64

	// tried holds the IDs of the endpoints that failed or refused the request since the last retry round began, and
	// unreached those that this host didn't reach: another host may.
	tried, unreached map[string]bool
	// sentTo holds the addresses of all endpoints that the request was sent to. Endpoints that were started one after the other may share one.
	sentTo map[string]bool
	// sends counts the attempts that reached an endpoint or may have, and runs the attempts that ran or may have run.
	sends int
	runs  int
	// retryRounds counts how often the request started over with all endpoints after an attempt, and searchRounds how often the
	// search for a successor did.
	retryRounds, searchRounds int
	// undelivered counts the attempts that did not reach an endpoint.
	undelivered int
	// context ends at the deadline of the request and when the caller disconnects.
	context context.Context
	// choice is the endpoint that was chosen last.
	choice pick.Choice
	// current is the attempt whose answer is awaited or passed on, or the last one, or nil. successor is the attempt that is
	// made beside it while it is silent, or nil.
	current, successor *upstreamAttempt
	// helper is the host that was last chosen to send the request through. refusedBy holds the hosts that declined this
	// request or didn't respond, and hops counts the attempts that ended so.
	helper    assist.Choice
	refusedBy map[string]bool
	hops      int
	// avoided holds the data centres that are drained by the word of hosts that declined this request.
	avoided map[string]bool
	// hopWait is the time after which a host that declined the request may be asked again.
	hopWait time.Duration
	// placeUntil is until when the request may wait for a place at a brittle endpoint, or the zero time if it hasn't waited.
	placeUntil time.Time
	// asksWait is when the service's endpoints take another request, if they ask for less.
	asksWait pick.AsksWait
	// keys are what the request may have in common with requests that end endpoints.
	keys []poison.Key
	// retries counts the retries that were taken from the retry budget. sends is at most retries+1: a retry was taken for each arrival
	// at an endpoint but the first, before the attempt was sent.
	retries int
	// noRetryReason says which limit prevents another attempt. It is logged as the field spent.
	noRetryReason string
	// mayHaveRun is set once the request has run or may have run on any endpoint.
	mayHaveRun bool
	// tier is the index in route.Tiers of the model that answers.
	tier int
	// tierAsked is set if the caller named that model: no other one answers.
	tierAsked bool
	// draw and returnDraw are the random numbers by which package shed decides on the request.
	draw, returnDraw float64
	// queue is the mean wait at the endpoints when the first tier was chosen.
	queue time.Duration
	// escalatedFrom is the latest answer that was judged by its confidence, or nil. It is kept or dropped after that.
	escalatedFrom *judgedAnswer
	// lastEventID is the ID of the last event that was passed on. answerBegun is set once the head of an answer was
	// passed on, after which the request can no longer be refused.
	lastEventID string
	answerBegun bool
	// passed counts the events that were passed on, and contentType is the media type of their stream. lastEventID is empty if
	// the last of them had no ID.
	passed      int
	contentType string
	// lastEventAt is when the last event was passed on, and longestGap the longest time between two events.
	lastEventAt time.Time
	longestGap  time.Duration
	// writeError is why the answer could not be written to the caller, and breakError why that of the endpoint broke off, or nil.
	writeError, breakError error
	// ttft is the time from reading the head of the request to passing on the first event of a stream, and 0 for other
	// answers.
	// confidence is what the model reported for its stream: 0 to 100, or -1 for none.
	ttft       time.Duration
	confidence int
	// lastFailure is the latest failure that an endpoint answered with. It is passed on if no other attempt succeeds.
	lastFailure *bufferedReply
}

// log returns a log entry with the fields of the request that are known. age and left are in ms.
func (j *job) log() *logrus.Entry {
	f := logrus.Fields{"id": j.request.ID, "age": time.Since(j.request.Received).Milliseconds()}
	if j.version > 0 {
		f["table"] = j.version
	}
	if j.route.Name != "" {
		f["route"] = j.route.Name
	}
	if j.account != "" {
		f["account"] = j.account
	}
	if !j.deadline.IsZero() {
		f["left"] = time.Until(j.deadline).Milliseconds()
	}
	return j.relay.Log.WithFields(f)
}

// count increments the counter of requests with the route and an outcome.
func (j *job) count(outcome string) { j.relay.countRequest(j.route.Name, outcome) }

// countRequest increments the counter of requests with a route, empty if it isn't known, and an outcome.
func (r *Relay) countRequest(route, outcome string) {
	r.Metrics.GetOrCreateCounter(fmt.Sprintf("requests_total{route=%q,outcome=%q}", route, outcome)).Inc()
}

// countUnserved counts a request that ends without a complete answer, and returns a log entry that names the latest
// attempt.
func (j *job) countUnserved(outcome string) *logrus.Entry {
	j.count(outcome)
	e := j.log().WithFields(logrus.Fields{"outcome": outcome, "sends": j.sends, "runs": j.runs, "spent": j.noRetryReason})
	u := j.current
	if u == nil {
		return e
	}
	return e.WithFields(logrus.Fields{
		"endpoint": u.choice.ID, "relayed-by": u.helper.Host, "waited": time.Since(u.sent).Milliseconds(), "answering": u.answering,
	})
}

// deny refuses a request that a routing table doesn't allow, or asks its caller to come back if a newer table may. The line tells which
// table that was, since when it is in force, when it was last known to be the newest, and what the control host that this host last heard
// held.
func (j *job) deny(reason Reason, v *tableInForce) {
	f := j.tableFields()
	maps.Copy(f, j.relay.source.Load().fields())
	n := j.relay.Now()
	maps.Copy(f, v.denialFields(reason, n))
	d := v.denial(reason, n-j.relay.ApplyTime)
	j.refuseWith(d.Reason, d.RetryAfter, f)
}

// refuse logs and counts a refusal and ends the request with it.
func (j *job) refuse(reason Reason, after time.Duration) {
	f := logrus.Fields{}
	maps.Copy(f, j.choiceFields())
	if j.asksWait.Cold {
		f["cold"] = true // endpoints that could take it are cold, and there is no permit
	}
	j.refuseWith(reason, after, f)
}

// refuseWith refuses a request with further fields in the log line.
func (j *job) refuseWith(reason Reason, after time.Duration, f logrus.Fields) {
	j.count(reason.String())
	j.log().WithFields(f).WithFields(j.lastAttemptFields()).WithFields(logrus.Fields{
		"outcome": reason.String(), "retry-after": after.Milliseconds(), "sends": j.sends, "runs": j.runs, "spent": j.noRetryReason,
	}).Warn("request: refused")
	j.sink.Refuse(Refusal{Reason: reason, RetryAfter: after})
}

// choiceFields returns what spoke for the endpoint that was chosen last, as fields of a log line, or nothing if none was chosen.
// estimate and backlog are in ms.
func (j *job) choiceFields() logrus.Fields {
	if j.choice.ID == "" {
		return nil
	}
	return logrus.Fields{
		"estimate": j.choice.Wait.Milliseconds(), "load": j.choice.Load.Requests, "backlog": j.choice.Load.Backlog, "candidates": j.choice.Candidates,
	}
}

// run sends the request until it has an answer or may not be sent again. ctx ends at the deadline of the request and
// when the caller disconnects.
func (j *job) run(ctx context.Context) {
	j.context = ctx
	if j.relay.outlivesStop(j.route) {
		j.refuse(Stopping, stoppingRetryAfter)
		return
	}
	if len(j.route.Tiers) > 0 {
		j.relay.demands.addRequest(j.service.Name, j.relay.chooser.Value(j.tiers(pick.Queue{})))
		j.chooseTier()
	}
	j.setKeys()
	if !j.admit() {
		return
	}
	defer func() { j.lastFailure.release() }()
	for {
		v := j.attempt()
		if v == done || v == ended {
			j.dropSuccessor("the request has ended")
		}
		switch {
		case v == done:
			return
		case j.successor != nil: // it was allowed when it was sent
		case !j.mayRetry(v):
			j.giveUp(v)
			return
		case j.refuseIfShed():
			return
		}
	}
}

// chooseTier chooses the model that answers first, unless the caller names one of the route.
func (j *job) chooseTier() {
	q := j.tierRequest()
	j.queue = q.Queue
	if k := slices.Index(j.route.Tiers, j.request.AskedModel); k >= 0 {
		j.tier, j.tierAsked = k, true
		return
	}
	j.tier = j.relay.chooser.First(q)
}

// judgedAnswer is an answer of a tier that is wrong with a probability.
type judgedAnswer struct {
	tier  int
	wrong float64
}

// nextStep says how a request continues after an attempt.
type nextStep int

const (
	// done means that the request has its final answer.
	done nextStep = iota // done
	// undelivered means that no byte of the request reached the endpoint, so that another attempt takes nothing from
	// the retry budget.
	undelivered // undelivered
	// resend means that the request reached the endpoint and did not run.
	resend // resend
	// rerun means that the request ran or may have run, and has no complete answer.
	rerun // rerun
	// escalate means that a larger model has to answer.
	escalate // escalate
	// noEndpoint means that no endpoint can take the request.
	noEndpoint // no endpoint
	// ended means that the deadline has passed or the caller has disconnected.
	ended // ended
	// overloaded means that no endpoint is expected to begin its answer before the deadline.
	overloaded // no endpoint in time
	// declined means that another host, through which the request was to go, didn't begin to send it.
	declined // declined by another host
	// unpaid means that the retry budget has no retry left for another attempt.
	unpaid // budget
	// cutOff means that this host reaches no endpoint and no host that does.
	cutOff // cut off
	// quarantined means that the request is held back because requests like it end the endpoints that run them.
	quarantined // held back
)

// attempt sends the request to an endpoint, or takes the successor of the attempt before, and handles its answer.
func (j *job) attempt() nextStep {
	u := j.successor
	j.successor = nil
	if u == nil {
		var v nextStep
		if u, v = j.nextAttempt(); u == nil {
			return v
		}
		u.start()
	}
	defer u.close()
	j.current = u
	w := u.newSilence(j.startTimeout(u.choice.Wait, 0), j.busyWindow())
	g := u.next(w)
	w.stop()
	return u.handleOutcome(g.outcome)
}

// nextAttempt chooses a way and an endpoint for the next attempt. If no endpoint is left for a request that has run or may have
// run, it waits for the next retry round first. If there is no attempt, it returns why.
func (j *job) nextAttempt() (*upstreamAttempt, nextStep) {
	if j.isHeldBack() {
		return nil, quarantined
	}
	n := j.endpointRequest()
	if !j.findWay(j.context, &n) {
		return nil, cutOff
	}
	c, v := j.choose(n)
	for v == noEndpoint && j.awaitPlace(n) {
		c, v = j.choose(n)
	}
	for ; v == noEndpoint && j.runs > 0 && len(n.Tried) > 0 && j.awaitRetryRound(j.context); j.retryRounds++ {
		j.tried, j.unreached = map[string]bool{}, map[string]bool{}
		n.Tried = j.tried
		c, v = j.choose(n)
	}
	if v != done {
		j.releaseWay(n)
	}
	switch v {
	case unpaid:
		return nil, unpaid
	case noEndpoint:
		var l bool
		if j.asksWait, l = j.relay.Endpoints.AsksWait(n, time.Now()); l {
			return nil, overloaded
		}
		return nil, noEndpoint
	}
	u := &upstreamAttempt{job: j, choice: c, way: n.Way, helper: j.helperOf(n), work: n.Work, sent: time.Now()}
	j.choice = c
	if time.Until(j.deadline) < c.Wait && !j.answerBegun {
		u.end()
		j.relay.Endpoints.ReturnPermit(c)
		return nil, overloaded
	}
	j.prepare(u)
	return u, done
}

// choose chooses the endpoint of an attempt, and takes a retry for it if the job holds none. It returns done, or noEndpoint or unpaid,
// after which none is chosen. Each attempt passes here immediately before it is sent, so that none is sent without its retry, and
// no retry is taken while a request waits for an endpoint.
func (j *job) choose(q pick.Request) (pick.Choice, nextStep) {
	e := j.relay.Endpoints
	c, ok := e.Choose(q, time.Now())
	if !ok {
		return c, noEndpoint
	}
	if !j.takeRetry() {
		e.AnswerStarted(c.ID, q.Work)
		e.RequestEnded(c.ID)
		e.ReturnPermit(c)
		return c, unpaid
	}
	return c, done
}

// helperOf returns the host that a request goes through by its way.
func (j *job) helperOf(q pick.Request) assist.Choice {
	if q.Way == pick.Direct {
		return assist.Choice{}
	}
	return j.helper
}

// prepare sets what an attempt sends, and counts it.
func (j *job) prepare(u *upstreamAttempt) {
	j.sends++
	u.order = Attempt{
		Request: j.request, Endpoint: u.choice.Report, Account: j.account, Remaining: time.Until(j.deadline),
		ResumeAfter: j.request.ResumeAfter, Priority: j.priority, MaxConnections: j.maxConnections(), Repeated: j.sentTo[u.choice.Address],
	}
	j.sentTo[u.choice.Address] = true
	u.limitSending()
	if len(j.route.Tiers) > 0 {
		u.order.Model = j.route.Tiers[j.tier]
	}
	if j.lastEventID != "" {
		u.order.ResumeAfter = j.lastEventID
	}
	u.context, u.cancel = context.WithCancel(j.context)
	u.signals, u.closed, u.ended = make(chan signal), make(chan struct{}), make(chan struct{})
	if u.way == pick.Relayed {
		u.unheard = make(chan time.Time, 1)
		u.order.Unheard = u.signalUnheard
	}
}
