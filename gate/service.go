package gate

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/model"
)

// serviceTimeout bounds a call of a plain service.
const serviceTimeout = 30 * time.Second

// passed are the request headers that a plain service gets.
var passed = []string{"Content-Type", "Accept", "Accept-Language", HeaderKey}

// service serves a call of a plain service.
func (g *Gate) service(w http.ResponseWriter, r *http.Request) {
	s := g.router.State()
	c, ok := s.Config.ContractOf(keyHash(r))
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
	x := &exchange{id: g.router.NewID(), keyHash: keyHash(r), key: r.Header.Get(HeaderKey), size: len(b)}
	x.fingerprint = fingerprint(r.Method+" "+r.URL.RequestURI(), b)
	o := v.RunsOnce(r.URL.Path)
	if o && x.key == "" {
		badRequest("calls of this path run at most once; send an "+HeaderKey+" header").write(w, x.id)
		return
	}
	a := core.RouteRequest{RequestID: x.id, KeyHash: x.keyHash, Path: r.URL.Path, Tokens: 1}
	j := &job{gate: g, x: x, ask: a}
	d := serviceCall{job: j, request: r, body: b, once: o}
	if x.key == "" {
		d.serve(r.Context(), w)
		return
	}
	g.claimed(r.Context(), w, j, c.Customer, func(t http.ResponseWriter) model.Outcome { return d.serve(r.Context(), t) })
}

// serviceCall is a call of a plain service.
type serviceCall struct {
	job     *job
	request *http.Request
	body    []byte
	once    bool
}

func (d serviceCall) serve(ctx context.Context, w http.ResponseWriter) model.Outcome {
	j := d.job
	if f := j.begin(ctx); f != nil {
		return j.fail(ctx, w, f)
	}
	for {
		r, b, e := d.fetch(ctx)
		if e.kind == core.EndedWell {
			return d.answer(ctx, w, r, b, e)
		}
		if f := j.again(ctx, e, d.once || !d.safe()); f != nil {
			return j.fail(ctx, w, f)
		}
	}
}

// safe reports whether the call may be repeated: HTTP's safe methods are.
func (d serviceCall) safe() bool {
	return d.request.Method == http.MethodGet || d.request.Method == http.MethodHead
}

func (d serviceCall) fetch(ctx context.Context) (*http.Response, []byte, ending) {
	j := d.job
	h := http.Header{}
	for _, k := range passed {
		if v := d.request.Header.Values(k); len(v) > 0 {
			h[k] = v
		}
	}
	p := "/" + strings.TrimPrefix(d.request.URL.RequestURI(), j.decision.Service.Prefix)
	c, f := context.WithTimeoutCause(ctx, serviceTimeout, errStalled)
	defer f()
	r, err := j.gate.engines.send(c, call{
		endpoint: j.decision.Endpoint, method: d.request.Method, path: p, body: d.body, header: h,
		attempt: j.attemptID(), priority: j.decision.Terms.Priority, once: d.once || !d.safe(),
	})
	if err != nil {
		return nil, nil, classify(c, err)
	}
	defer func() { _ = r.Body.Close() }()
	if e := classifyStatus(r); e.kind != core.EndedWell {
		return nil, nil, e
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, maxAnswerBytes))
	if err != nil {
		return nil, nil, classify(c, err)
	}
	return r, b, ending{kind: core.EndedWell, started: true}
}

func (d serviceCall) answer(ctx context.Context, w http.ResponseWriter, r *http.Response, b []byte, e ending) model.Outcome {
	j := d.job
	j.finish(e)
	j.settle(ctx, model.OutcomeRan)
	h := w.Header()
	if t := r.Header.Get("Content-Type"); t != "" {
		h.Set("Content-Type", t)
	}
	h.Set(HeaderRequestID, j.x.id)
	h.Set(HeaderOutcome, model.OutcomeRan.String())
	w.WriteHeader(r.StatusCode)
	_, _ = w.Write(b)
	return model.OutcomeRan
}
