package gate

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/model"
)

const (
	// recordTimeout bounds the wait for a copy of a line before the request is sent.
	recordTimeout = 2 * time.Second
	// maxAttempts bounds the attempts at one request.
	maxAttempts = 4
	// retryDelay tells a caller when to come back after a failure that may pass soon.
	retryDelay = time.Second
)

// job is a request with what has been decided and done about it.
type job struct {
	gate    *Gate
	request *callerRequest
	ask     core.Ask
	line    ledger.Line
	// decision is that of the newest attempt.
	decision core.Decision
	attempts int
	// mayHaveStarted is true once an endpoint may have mayHaveStarted the request.
	mayHaveStarted bool
	// faultyEndpoints counts the endpoints that have answered with a fault.
	faultyEndpoints int
	// escalating is true while a decision for another version is wanted; judged once the answer has a rating.
	escalating bool
	rated      bool
	// answerText is that of a whole answer that isn't streamed.
	answerText string
	exclude    []string
	usage      model.Usage
}

// chat serves a completion.
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
	a := core.Ask{
		RequestID: x.id, KeyHash: x.keyHash, Class: x.class, Version: x.version, Tokens: x.estimatedTokens(),
		SessionVersion: x.session.Version, SessionCustomer: x.session.Customer,
	}
	j := &job{gate: g, request: x, ask: a}
	if x.idempotencyKey == "" || !ok {
		j.runChat(r.Context(), w, t.RunsOnce)
		return
	}
	g.runClaimed(r.Context(), w, j, c.Customer, func(v http.ResponseWriter) model.Outcome {
		return j.runChat(r.Context(), v, t.RunsOnce)
	})
}

// runChat decides, sends and answers; it returns what became of the request.
func (j *job) runChat(ctx context.Context, w http.ResponseWriter, atMostOnce bool) model.Outcome {
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

// begin gets a decision and has the request's line kept before anything is sent.
func (j *job) begin(ctx context.Context) *failure {
	if f := j.decide(ctx); f != nil {
		return f
	}
	s := j.gate.router.State()
	j.line = core.NewLine(j.request.id, s.Members.Self.Name, s.Members.Self.Incarnation, j.decision, time.Now())
	c, f := context.WithTimeout(ctx, recordTimeout)
	defer f()
	if err := j.gate.router.Record(c, j.line); err != nil {
		j.finish(attemptResult{kind: core.EndedCancelled})
		return unavailable("no-record", "the request's record can't be kept safely; come back later", retryDelay)
	}
	return nil
}

// decide asks the reducer for the next attempt.
func (j *job) decide(ctx context.Context) *failure {
	a := j.ask
	a.ID = j.request.id + "." + strconv.Itoa(j.attempts)
	a.Exclude = j.exclude
	if a.Again = j.attempts > 0 && !j.escalating; a.Again {
		a.Version = j.decision.Version
	}
	d, err := j.gate.router.Decide(ctx, a)
	switch {
	case err != nil:
		return unavailable("cancelled", "the caller left while the request waited", retryDelay)
	case d.Refusal != nil:
		return refusalFailure(d.Refusal)
	}
	j.decision = d
	j.attempts++
	j.gate.metrics.GetOrCreateCounter("hickoryshelf_attempts_total").Inc()
	return nil
}

// attemptID names the current attempt.
func (j *job) attemptID() string { return j.request.id + "." + strconv.Itoa(j.attempts-1) }

// finish tells the reducer how the current attempt ended.
func (j *job) finish(e attemptResult) {
	j.mayHaveStarted = j.mayHaveStarted || e.mayHaveStarted
	if e.kind == core.EndedFaulty {
		j.faultyEndpoints++
	}
	t := float64(j.usage.InputTokens + j.usage.OutputTokens)
	j.gate.router.Finish(core.Finished{ID: j.attemptID(), Ending: e.kind, Tokens: t, Faulty: j.faultyEndpoints})
}

// retry decides about a further attempt after one that failed. It returns the final failure when there is
// to be none.
func (j *job) retry(ctx context.Context, e attemptResult, atMostOnce bool) *failure {
	j.finish(e)
	j.exclude = append(j.exclude, j.decision.Endpoint.ID)
	switch {
	case e.kind == core.EndedCancelled:
		return outcomeUnknown("cancelled", "the caller left")
	case atMostOnce && e.mayHaveStarted:
		return outcomeUnknown("endpoint-failed", "the endpoint failed after the request was sent; ask with the same idempotency key what became of it")
	case j.attempts >= maxAttempts:
		return j.exhausted()
	}
	j.gate.log.WithField("request", j.request.id).WithError(e.err).Warn("gate: an attempt failed, trying the next endpoint")
	if f := j.decide(ctx); f != nil {
		if j.mayHaveStarted {
			f.outcome = model.OutcomeUnknown
		}
		return f
	}
	return nil
}

func (j *job) exhausted() *failure {
	if j.mayHaveStarted {
		return outcomeUnknown("endpoints-failed", "all attempts failed; come back later")
	}
	return unavailable("endpoints-unreachable", "no endpoint could be reached; come back later", retryDelay)
}

// settle has the line's final form kept before the caller sees the end.
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
		j.gate.log.WithError(err).WithField("request", j.request.id).Warn("ledger: the settled line has no copy yet")
	}
}

// fail settles a request that gets no answer, and tells the caller.
func (j *job) fail(ctx context.Context, w http.ResponseWriter, f *failure) model.Outcome {
	j.settle(ctx, f.outcome)
	j.gate.countFailure(f)
	f.write(w, j.request.id)
	return f.outcome
}

func (g *Gate) countFailure(f *failure) {
	g.metrics.GetOrCreateCounter(`hickoryshelf_failures_total{code="` + f.code + `",outcome="` + f.outcome.String() + `"}`).Inc()
}

// setHeaders sets the headers that come before the answer.
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
