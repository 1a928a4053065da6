package gate_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/gate"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/memory"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/route"
	"github.com/hickoryshelf/hickoryshelf/token"
)

const (
	// apiKey is the bearer key of the contract.
	apiKey = "key"
	// onceClass is the task class whose requests run at most once.
	onceClass = "once"
	version   = "fitting@1"
	// judgedClass is the task class whose answers are rated before they are delivered, at raterID. Answers that are rated
	// too low are escalated to largeVersion.
	judgedClass  = "judged"
	largeVersion = "fitting-large@1"
	raterID      = "rater"
	dataCentre   = "hall"
)

// listener accepts connections that are pipes.
type listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// run serves the connections.
func (l *listener) run(s *http.Server) { _ = s.Serve(l) }

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// run is an attempt that an endpoint has got. end is when its request ended, and cancelled whether the host had cancelled it.
type run struct {
	begin, end time.Duration
	cancelled  bool
}

// endpoint is a stand-in for an engine or a plain service.
type endpoint struct {
	id    string
	serve func(x *exchange)
	world *world
	lock  sync.Mutex
	runs  []run
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	x := &exchange{ResponseWriter: w, request: r, attempt: r.Header.Get("X-Request-Id")}
	_ = json.Unmarshal(b, x)
	s := run{begin: e.world.now()}
	defer func() {
		s.end, s.cancelled = e.world.now(), r.Context().Err() != nil
		e.lock.Lock()
		defer e.lock.Unlock()
		e.runs = append(e.runs, s)
	}()
	e.serve(x)
}

// served returns the attempts that have ended at the endpoint.
func (e *endpoint) served() []run {
	e.lock.Lock()
	defer e.lock.Unlock()
	return slices.Clone(e.runs)
}

// exchange is a request at an endpoint.
type exchange struct {
	http.ResponseWriter `json:"-"`
	request             *http.Request
	attempt             string
	Continue            bool `json:"continue_final_message"`
	Messages            []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// delivered returns the number of tokens that the caller has got from other engines.
func (x *exchange) delivered() int {
	if !x.Continue {
		return 0
	}
	return strings.Count(x.Messages[len(x.Messages)-1].Content, " ")
}

// pause waits, and reports false if the request was cancelled first.
func (x *exchange) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-x.request.Context().Done():
		return false
	}
}

// delta sends a chunk of a stream.
func (x *exchange) delta(delta string) {
	_, _ = fmt.Fprintf(x, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":%s,\"finish_reason\":null}]}\n\n", x.attempt, delta)
	_ = http.NewResponseController(x.ResponseWriter).Flush()
}

// comment sends a comment of a stream.
func (x *exchange) comment() {
	_, _ = io.WriteString(x, ": wait\n\n")
	_ = http.NewResponseController(x.ResponseWriter).Flush()
}

// tokens sends the tokens from one index up to another one.
func (x *exchange) tokens(from, to int) {
	for n := from; n < to; n++ {
		x.delta(fmt.Sprintf(`{"content":"t%d "}`, n))
	}
}

// end sends the end of a stream with a number of tokens.
func (x *exchange) end(tokens int) {
	_, _ = fmt.Fprintf(x, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", x.attempt)
	_, _ = fmt.Fprintf(x, "data: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":%d}}\n\n", x.attempt, tokens)
	_, _ = io.WriteString(x, "data: [DONE]\n\n")
}

// answer sends a complete answer that isn't streamed.
func (x *exchange) answer(text string) {
	_, _ = fmt.Fprintf(x, `{"id":%q,"choices":[{"message":{"content":%q}}],"usage":{"prompt_tokens":1,"completion_tokens":1}}`, x.attempt, text)
}

// world is a gate with its endpoints. It is the gate's router: it sends each request to the first endpoint that isn't excluded.
type world struct {
	gate      *gate.Gate
	memory    *memory.Account
	started   time.Time
	contract  model.Contract
	listeners map[string]*listener
	servers   []*http.Server
	// order lists the endpoints' IDs. further is the number of further attempts that the router allows.
	order   []string
	further int
	// large lists the IDs of the endpoints that hold largeVersion, and routes has the rating service.
	large  []string
	routes route.State
	lock   sync.Mutex
	ids    int
	// finished lists how attempts ended, by their IDs.
	finished map[string]core.Ending
}

// newWorld returns a gate, and stops it at the end of the test.
func newWorld(t *testing.T) *world {
	w := &world{started: time.Now(), listeners: map[string]*listener{}, further: 100, finished: map[string]core.Ending{}, routes: route.NewState()}
	w.contract = model.Contract{
		Customer: "customer", KeyHashes: []string{model.HashKey(apiKey)}, Versions: []string{version, largeVersion}, Share: 1, MaxOutputTokens: 100,
		Classes:  []model.ClassTerms{{Class: "chat"}, {Class: onceClass, RunsOnce: true}, {Class: judgedClass, Judge: true, Quality: 0.9}},
		Services: []model.Service{{Prefix: "/desk/", Name: "desk"}},
	}
	w.memory = memory.NewAccountOf(256, 2)
	l := logrus.New()
	l.SetOutput(io.Discard)
	w.gate = gate.New(gate.Options{Router: w, Signer: token.NewSigner([]string{"k"}), Log: l, Metrics: metrics.NewSet(), Dial: w.dial, Memory: w.memory})
	t.Cleanup(w.close)
	return w
}

func (w *world) close() {
	w.gate.Close()
	for _, s := range w.servers {
		_ = s.Close()
	}
	synctest.Wait()
}

func (w *world) now() time.Duration { return time.Since(w.started) }

// add starts an endpoint.
func (w *world) add(id string, serve func(x *exchange)) *endpoint {
	w.addClosed(id)
	return w.listen(id, serve)
}

// addLarge starts an endpoint that holds largeVersion.
func (w *world) addLarge(id string, serve func(x *exchange)) *endpoint {
	w.large = append(w.large, id)
	return w.listen(id, serve)
}

// addRater starts a rating service that gives all answers the same score.
func (w *world) addRater(score float64) {
	w.listen(raterID, func(x *exchange) { _, _ = fmt.Fprintf(x, `{"score":%g}`, score) })
	e := model.Endpoint{ID: raterID, DataCentre: dataCentre, Address: raterID + ":1", Incarnation: 1, Sequence: 1, Holds: []string{gate.RaterService}, Capacity: 1}
	w.routes = w.routes.WithAnnouncement(e, 0, 0)
}

// listen starts an endpoint to which the router sends nothing yet.
func (w *world) listen(id string, serve func(x *exchange)) *endpoint {
	e := &endpoint{id: id, serve: serve, world: w}
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	w.listeners[id+":1"] = l
	s := &http.Server{Handler: e, ReadHeaderTimeout: time.Hour}
	w.servers = append(w.servers, s)
	go l.run(s)
	return e
}

// setOrder replaces the endpoints to which the router sends requests from now on.
func (w *world) setOrder(ids ...string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.order = ids
}

// addClosed adds an endpoint that refuses connections.
func (w *world) addClosed(id string) { w.order = append(w.order, id) }

// dial opens a pipe to an endpoint.
func (w *world) dial(ctx context.Context, _, address string) (net.Conn, error) {
	l, ok := w.listeners[address]
	if !ok {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	a, b := net.Pipe()
	select {
	case l.conns <- b:
		return a, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (w *world) Decide(_ context.Context, a core.RouteRequest) (core.Decision, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	v, o := version, w.order
	if len(a.ExcludeVersions) > 0 {
		v, o = largeVersion, w.large
	}
	i := slices.IndexFunc(o, func(id string) bool { return !slices.Contains(a.ExcludeEndpoints, id) })
	if i < 0 || (a.Retry && w.further == 0) {
		return core.Decision{Refusal: &core.Refusal{Kind: core.RefusedCapacity, Message: "no capacity", RetryAfter: time.Second}}, nil
	}
	if a.Retry {
		w.further--
	}
	t, _ := w.contract.Terms(a.Class)
	d := core.Decision{Contract: w.contract, Terms: t, Version: v, Endpoint: model.Endpoint{ID: o[i], Address: o[i] + ":1"}}
	if a.Path != "" {
		d.Version, d.Service = "", w.contract.Services[0]
	}
	return d, nil
}

func (w *world) Finish(f core.AttemptFinished) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.finished[f.ID] = f.Ending
}

func (w *world) Record(context.Context, ledger.Line) error { return nil }

func (w *world) Propose(context.Context, config.Command) (config.Result, error) {
	return config.Result{Granted: true}, nil
}

func (w *world) Announce(model.Endpoint) {}

func (w *world) Rate(route.Rating) {}

func (w *world) State() core.State {
	s := core.NewState(core.Options{Self: member.Self{DataCentre: dataCentre}})
	s.Routes = w.routes
	s.Config.Contracts = []model.Contract{w.contract}
	return s
}

func (w *world) NewID() string {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.ids++
	return "r" + strconv.Itoa(w.ids)
}

func (w *world) Incarnation() uint64 { return 1 }

// reply is what a caller has got, and when its answer ended.
type reply struct {
	status  int
	version string
	outcome string
	text    string
	done    bool
	at      time.Duration
}

// ask sends a request and returns the reply. class may be empty.
func (w *world) ask(ctx context.Context, method, path, class, body string) reply {
	q := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	q.Header.Set("Authorization", "Bearer "+apiKey)
	q.Header.Set("Hickoryshelf-Class", class)
	if class == onceClass {
		q.Header.Set("Idempotency-Key", "k")
	}
	c := httptest.NewRecorder()
	w.gate.ServeHTTP(c, q)
	h := c.Result().Header
	r := reply{status: c.Code, version: h.Get("Hickoryshelf-Version"), outcome: cmp.Or(h.Get("Hickoryshelf-Outcome"), c.Result().Trailer.Get("Hickoryshelf-Outcome")), at: w.now()}
	b := c.Body.String()
	r.done, r.text = strings.Contains(b, "data: [DONE]"), b
	if h.Get("Content-Type") == "text/event-stream" {
		r.text = contents(b)
	}
	return r
}

// contents returns the text of a stream's chunks.
func contents(stream string) string {
	var r strings.Builder
	for _, p := range strings.Split(stream, `"content":"`)[1:] {
		t, _, _ := strings.Cut(p, `"`)
		r.WriteString(t)
	}
	return r.String()
}

// stream asks for a streamed answer.
func (w *world) stream(ctx context.Context, class string) reply {
	return w.ask(ctx, http.MethodPost, "/v1/chat/completions", class, `{"model":"auto","stream":true,"messages":[{"role":"user","content":"x"}]}`)
}

// whole asks for an answer that isn't streamed.
func (w *world) whole(ctx context.Context, class string) reply {
	return w.ask(ctx, http.MethodPost, "/v1/chat/completions", class, `{"model":"auto","messages":[{"role":"user","content":"x"}]}`)
}
