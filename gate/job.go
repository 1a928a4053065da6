package gate

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/memory"
	"github.com/hickoryshelf/hickoryshelf/model"
)

const (
	// recordTimeout bounds the wait until the request's ledger line is copied to another host.
	recordTimeout = 2 * time.Second
	// maxAttempts bounds the number of attempts for one request.
	maxAttempts = 4
	// retryDelay is the Retry-After for failures that are likely to be short.
	retryDelay = time.Second
)

// job is the state of one request while it is served.
type job struct {
	gate         *Gate
	request      *callerRequest
	routeRequest core.RouteRequest
	line         ledger.Line
	method       method
	// current is the attempt whose answer the caller gets, and decision its routing decision. successor is made beside it
	// while it is silent; it was asked for, or got its decision, at successorSince.
	current        *attempt
	decision       core.Decision
	successor      *attempt
	successorSince time.Time
	// silence fires when the current attempt has been silent for too long. It is set once the first attempt is made.
	silence *time.Timer
	// asked counts the decisions that were asked for, and attempts the attempts that have ended.
	asked    int
	attempts int
	// mayHaveStarted is true once an endpoint may have started the request.
	mayHaveStarted bool
	// faultyEndpoints counts the endpoints that answered with an error of their own or with an invalid answer.
	faultyEndpoints int
	// escalating is true while a decision for another version is requested. rated is true once the answer has
	// been rated.
	escalating bool
	rated      bool
	// kept is set from an escalation on until another version has answered or the answer is delivered after all.
	kept *keptAnswer
	// exclude lists the ids of the endpoints at which an attempt with the current version failed.
	exclude []string
	usage   model.Usage
	// buffers hold what is kept of streams until the request is over.
	buffers []*memory.Buffer
}

// chat handles a chat completion request. Requests of a class that runs at most once need an idempotency key;
// a request with a key runs under a claim.
func (g *Gate) chat(w http.ResponseWriter, r *http.Request) {
	x, f := g.parseChat(w, r)
	if f != nil {
		g.countFailure(f)
		f.write(w, "")
		return
	}
	s := g.router.State()
	c, ok := s.Config.ContractByKeyHash(x.keyHash)
	t, _ := c.Terms(x.class)
	if ok && t.RunsOnce && x.idempotencyKey == "" {
		m := "requests of class " + t.Class + " run at most once; send an " + HeaderKey + " header"
		badRequest(m).write(w, x.id)
		return
	}
	a := core.RouteRequest{
		RequestID: x.id, KeyHash: x.keyHash, Class: x.class, Version: x.version, Tokens: x.estimatedTokens(),
		SessionVersion: x.session.Version, SessionCustomer: x.session.Customer,
	}
	j := &job{gate: g, request: x, routeRequest: a}
	if x.idempotencyKey == "" || !ok {
		j.runChat(r.Context(), w, t.RunsOnce)
		return
	}
	g.runClaimed(r.Context(), w, j, c.Customer, func(v http.ResponseWriter) model.Outcome {
		return j.runChat(r.Context(), v, t.RunsOnce)
	})
}

// runChat routes the request, sends it to an engine and answers the caller. It returns the request's outcome.
func (j *job) runChat(ctx context.Context, w http.ResponseWriter, atMostOnce bool) model.Outcome {
	defer j.release()
	if f := j.begin(ctx); f != nil {
		return j.fail(ctx, w, f)
	}
	if err := j.setHeaders(w); err != nil {
		return j.fail(ctx, w, unavailable("signing", "the session can't be signed; report this as a fault", retryDelay))
	}
	if j.request.chat.Stream {
		return j.serveStream(ctx, w, atMostOnce)
	}
	return j.serveBuffered(ctx, w, atMostOnce)
}

// begin gets the first routing decision, and records the request's ledger line here and on another host before the
// request is sent to an endpoint.
func (j *job) begin(ctx context.Context) *failure {
	if f := j.decide(ctx); f != nil {
		return f
	}
	s := j.gate.router.State()
	j.line = core.NewLine(j.request.id, s.Members.Self.Name, s.Members.Self.Incarnation, j.decision, time.Now())
	c, f := context.WithTimeout(ctx, recordTimeout)
	defer f()
	if err := j.gate.router.Record(c, j.line); err != nil {
		j.finish(attemptResult{ending: core.EndedCancelled})
		return unavailable("no-record", "the request's record can't be kept safely; come back later", retryDelay)
	}
	return nil
}

// decide asks the reducer where to run the next attempt. A retry keeps the version of the attempt before it;
// an escalation doesn't.
func (j *job) decide(ctx context.Context) *failure {
	a := j.newAttempt(ctx, j.attempts > 0 && !j.escalating)
	if f := a.decide(); f != nil {
		a.close()
		return f
	}
	a.placed = true
	j.current, j.decision = a, a.decision
	return nil
}

// attemptID returns the id of the current attempt, "REQUEST.N", with attempts numbered from 0.
func (j *job) attemptID() string { return j.current.request.ID }

// finish ends the current attempt and reports its end and its number of tokens to the reducer.
func (j *job) finish(e attemptResult) {
	j.finishAttempt(j.current, e, j.usage.InputTokens+j.usage.OutputTokens)
}

// finishAttempt ends an attempt and reports its end and its number of tokens to the reducer.
func (j *job) finishAttempt(a *attempt, e attemptResult, tokens int64) {
	a.close()
	if !e.succeeded() {
		a.release()
	}
	j.attempts++
	j.mayHaveStarted = j.mayHaveStarted || e.mayHaveStarted
	if e.ending == core.EndedFaulty {
		j.faultyEndpoints++
	}
	j.gate.router.Finish(core.AttemptFinished{ID: a.request.ID, Ending: e.ending, Tokens: float64(tokens), FaultyEndpoints: j.faultyEndpoints})
}

// release gives the memory of the answers back. The request is over.
func (j *job) release() {
	j.current.release()
	if j.kept != nil {
		j.kept.attempt.release()
	}
	for _, b := range j.buffers {
		b.Release()
	}
}

// newBuffer returns a buffer for a stream of the current attempt's endpoint, and of those that continue it.
func (j *job) newBuffer() *memory.Buffer {
	b := j.gate.memory.NewBuffer(j.decision.Endpoint.ID)
	j.buffers = append(j.buffers, b)
	return b
}

// retry finishes a failed attempt and gets a decision for another one at another endpoint. It returns the
// final failure if there is none: the caller has disconnected, the request must run at most once and may have
// started, maxAttempts is reached, the attempt is too slow for an answer that is kept, or the reducer refuses.
func (j *job) retry(ctx context.Context, e attemptResult, atMostOnce bool) *failure {
	if e.refusal != nil {
		j.current.close()
		return j.refused(e.refusal)
	}
	j.finish(e)
	j.exclude = append(j.exclude, j.decision.Endpoint.ID)
	switch {
	case e.ending == core.EndedCancelled:
		return outcomeUnknown("cancelled", "the caller left")
	case atMostOnce && e.mayHaveStarted:
		return outcomeUnknown("endpoint-failed", "the endpoint failed after the request was sent; ask with the same idempotency key what became of it")
	case j.attempts >= maxAttempts, errors.Is(e.err, errSlow):
		return j.exhausted()
	}
	j.gate.log.WithField("request", j.request.id).WithError(e.err).Warn("gate: an attempt failed, trying the next endpoint")
	if f := j.decide(ctx); f != nil {
		return j.refused(f)
	}
	return nil
}

// refused returns the failure of a request whose next attempt is refused.
func (j *job) refused(f *failure) *failure {
	if j.mayHaveStarted {
		f.outcome = model.OutcomeUnknown
	}
	return f
}

// exhausted returns the failure of a request whose attempts are used up.
func (j *job) exhausted() *failure {
	if j.mayHaveStarted {
		return outcomeUnknown("endpoints-failed", "all attempts failed; come back later")
	}
	return unavailable("endpoints-unreachable", "no endpoint could be reached; come back later", retryDelay)
}

// settle records the ledger line with the outcome and, if the request ran, its usage and price. It is called
// before the caller sees the end of the answer, and does nothing if the request was never recorded. The
// request's context isn't used for it, as the caller may be gone.
func (j *job) settle(ctx context.Context, outcome model.Outcome) {
	if j.line.RequestID == "" {
		return
	}
	l := j.line
	l.Stage, l.Outcome, l.At = ledger.StageSettled, outcome, time.Now()
	l.Endpoint = j.decision.Endpoint.ID
	if j.decision.Version != "" {
		l.Version = j.decision.Version
	}
	if outcome == model.OutcomeRan {
		l.Usage = j.usage
		l.Micros = j.decision.Contract.Price.Amount(j.usage)
	}
	c, f := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer f()
	if err := j.gate.router.Record(c, l); err != nil {
		j.gate.log.WithError(err).WithField("request", j.request.id).Warn("ledger: the settled line is not copied to another host yet")
	}
}

// fail settles a request with the outcome of the failure and sends the failure to the caller.
func (j *job) fail(ctx context.Context, w http.ResponseWriter, f *failure) model.Outcome {
	j.settle(ctx, f.outcome)
	j.gate.countFailure(f)
	f.write(w, j.request.id)
	return f.outcome
}

// countFailure counts the failure by code and outcome.
func (g *Gate) countFailure(f *failure) {
	g.metrics.GetOrCreateCounter(`hickoryshelf_failures_total{code="` + f.code + `",outcome="` + f.outcome.String() + `"}`).Inc()
}

// setHeaders sets the headers with the session token, the request's id and the version. A request without a
// session gets a new one, pinned to the version of the current decision.
func (j *job) setHeaders(w http.ResponseWriter) error {
	s := j.request.session
	if s.Version == "" {
		s.ID, s.Customer, s.Version = j.request.id, j.decision.Contract.Customer, j.decision.Version
	}
	t, err := j.gate.signer.Sign(s)
	if err != nil {
		return err
	}
	h := w.Header()
	h.Set(HeaderSession, t)
	h.Set(HeaderRequestID, j.request.id)
	h.Set(HeaderVersion, j.decision.Version)
	return nil
}
