package gate

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/model"
)

// serviceTimeout is how long a plain service may take for an answer before another endpoint is asked beside it.
const serviceTimeout = 30 * time.Second

// forwardedHeaders lists the request headers that are passed on to a plain service; all others are dropped.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", HeaderKey}

// serveService handles a call of a plain service. Calls of paths that the contract lists as non-repeatable
// need an idempotency key; a call with a key runs under a claim.
func (g *Gate) serveService(w http.ResponseWriter, r *http.Request) {
	s := g.router.State()
	c, ok := s.Config.ContractByKeyHash(keyHash(r))
	if !ok {
		unknownKey().write(w, "")
		return
	}
	v, ok := c.Service(r.URL.Path)
	if !ok {
		m := "the contract has no service at " + r.URL.Path + "; use a path that it has"
		(&failure{status: http.StatusNotFound, code: "unknown-path", message: m, outcome: model.OutcomeNotRun}).write(w, "")
		return
	}
	b, f := readBody(w, r)
	if f != nil {
		f.write(w, "")
		return
	}
	x := &callerRequest{id: g.router.NewID(), keyHash: keyHash(r), idempotencyKey: r.Header.Get(HeaderKey), bodyBytes: len(b)}
	x.fingerprint = fingerprint(r.Method+" "+r.URL.RequestURI(), b)
	o := v.RunsOnce(r.URL.Path)
	if o && x.idempotencyKey == "" {
		badRequest("calls of this path run at most once; send an "+HeaderKey+" header").write(w, x.id)
		return
	}
	a := core.RouteRequest{RequestID: x.id, KeyHash: x.keyHash, Path: r.URL.Path, Tokens: 1}
	j := &job{gate: g, request: x, routeRequest: a}
	d := serviceCall{job: j, request: r, body: b, atMostOnce: o}
	if x.idempotencyKey == "" {
		d.serve(r.Context(), w)
		return
	}
	g.runClaimed(r.Context(), w, j, c.Customer, func(t http.ResponseWriter) model.Outcome { return d.serve(r.Context(), t) })
}

// serviceCall is a call of a plain service while it is served.
type serviceCall struct {
	job        *job
	request    *http.Request
	body       []byte
	atMostOnce bool
}

// serve makes attempts until one succeeds or no further one is allowed, and returns the request's outcome.
func (d serviceCall) serve(ctx context.Context, w http.ResponseWriter) model.Outcome {
	j := d.job
	defer j.release()
	if f := j.begin(ctx); f != nil {
		return j.fail(ctx, w, f)
	}
	j.method = method{
		call:       func() (call, error) { return d.call(), nil },
		repeatable: d.repeatable,
		begun:      func() bool { return false },
		check:      func(_ string, g signal) attemptResult { return *g.result },
		silence:    serviceTimeout,
	}
	for {
		g := j.fetch(ctx)
		if e := *g.result; e.succeeded() {
			return d.deliver(ctx, w, g.response, g.data, e)
		}
		if l := (*tooLongError)(nil); errors.As(g.result.err, &l) {
			j.finish(*g.result)
			return j.fail(ctx, w, outcomeUnknown("answer-too-long", l.Error()))
		}
		if f := j.retry(ctx, *g.result, !d.repeatable()); f != nil {
			return j.fail(ctx, w, f)
		}
	}
}

// repeatable reports whether the call may be repeated after it may have started: GET and HEAD calls may, unless the contract
// says otherwise.
func (d serviceCall) repeatable() bool {
	return !d.atMostOnce && (d.request.Method == http.MethodGet || d.request.Method == http.MethodHead)
}

// call returns the call of the next attempt.
func (d serviceCall) call() call {
	j := d.job
	h := http.Header{}
	for _, k := range forwardedHeaders {
		if v := d.request.Header.Values(k); len(v) > 0 {
			h[k] = v
		}
	}
	return call{
		method: d.request.Method, path: "/" + strings.TrimPrefix(d.request.URL.RequestURI(), j.decision.Service.Prefix),
		body: d.body, header: h, priority: j.decision.Terms.Priority, atMostOnce: !d.repeatable(), limit: maxAnswerBytes,
	}
}

// deliver settles the request and sends the service's status, content type and body to the caller.
func (d serviceCall) deliver(ctx context.Context, w http.ResponseWriter, r *http.Response, b []byte, e attemptResult) model.Outcome {
	j := d.job
	j.finish(e)
	j.settle(ctx, model.OutcomeRan)
	h := w.Header()
	if t := r.Header.Get("Content-Type"); t != "" {
		h.Set("Content-Type", t)
	}
	h.Set(HeaderRequestID, j.request.id)
	h.Set(HeaderOutcome, model.OutcomeRan.String())
	w.WriteHeader(r.StatusCode)
	_, _ = w.Write(b)
	return model.OutcomeRan
}
