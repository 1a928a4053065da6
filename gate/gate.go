// Package gate serves callers, endpoints and probes over HTTP.
package gate

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/memory"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/route"
	"github.com/hickoryshelf/hickoryshelf/token"
)

// Names of HTTP headers that the gate reads and writes.
const (
	HeaderClass     = "Hickoryshelf-Class"
	HeaderSession   = "Hickoryshelf-Session"
	HeaderRequestID = "Hickoryshelf-Request-Id"
	HeaderVersion   = "Hickoryshelf-Version"
	HeaderOutcome   = "Hickoryshelf-Outcome"
	// HeaderKey carries a caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderReplayed is "true" on answers that were stored by an earlier attempt with the same idempotency key.
	HeaderReplayed = "Hickoryshelf-Replayed"
	// HeaderNotRun is set to "true" by an endpoint that refused a request without starting it.
	HeaderNotRun = "Hickoryshelf-Not-Run"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 1 << 20
	// bodyTimeout bounds the time in which a caller sends its body.
	bodyTimeout = 10 * time.Second
	// AnnouncePath is the path to which endpoints post their announcements.
	AnnouncePath = "/announce"
)

// Router is the part of the host that the gate uses.
type Router interface {
	Decide(ctx context.Context, request core.RouteRequest) (core.Decision, error)
	Finish(finished core.AttemptFinished)
	Record(ctx context.Context, line ledger.Line) error
	Propose(ctx context.Context, command config.Command) (config.Result, error)
	Announce(endpoint model.Endpoint)
	Rate(rating route.Rating)
	State() core.State
	NewID() string
	Incarnation() uint64
}

// Options holds the dependencies of a Gate; all but Dial and Memory are required.
type Options struct {
	Router  Router
	Signer  token.Signer
	Log     *logrus.Logger
	Metrics *metrics.Set
	// Dial opens the connections to endpoints. nil stands for DialEndpoint.
	Dial DialFunc
	// Memory bounds what is kept of answers. nil stands for the account of a process whose memory isn't known.
	Memory *memory.Account
}

// Gate is the HTTP handler of an entry host.
type Gate struct {
	router  Router
	signer  token.Signer
	log     *logrus.Logger
	metrics *metrics.Set
	engines *engineClient
	memory  *memory.Account
	ratings *ratingQueue
	ready   atomic.Bool
	mux     *http.ServeMux
}

// New returns a gate that reports itself as ready, and starts its rating workers. Close stops them.
func New(o Options) *Gate {
	if o.Memory == nil {
		o.Memory = memory.NewAccountOf(0, memoryOwnerPart)
	}
	g := &Gate{
		router: o.Router, signer: o.Signer, log: o.Log, metrics: o.Metrics,
		engines: newEngineClient(o.Dial), memory: o.Memory, mux: http.NewServeMux(),
	}
	o.Metrics.GetOrCreateGauge("hickoryshelf_answer_memory_bytes", func() float64 { return float64(g.memory.Taken()) })
	g.ratings = newRatingQueue(g)
	g.ready.Store(true)
	g.mux.HandleFunc("POST /v1/chat/completions", g.chat)
	g.mux.HandleFunc("GET /v1/models", g.models)
	g.mux.HandleFunc("POST "+AnnouncePath, g.announce)
	g.mux.HandleFunc("GET /livez", g.livez)
	g.mux.HandleFunc("GET /readyz", g.readyz)
	g.mux.HandleFunc("GET /metrics", g.writeMetrics)
	g.mux.HandleFunc("/", g.serveService)
	return g
}

// ServeHTTP serves one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.mux.ServeHTTP(w, r) }

// SetReady sets whether the gate reports itself as ready. The readiness probe also fails while the host stops
// or is isolated.
func (g *Gate) SetReady(ready bool) { g.ready.Store(ready) }

// Close stops the rating workers. Requests that are being served go on.
func (g *Gate) Close() { g.ratings.close() }

// livez answers the liveness probe.
func (g *Gate) livez(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// readyz answers the readiness probe with 200 or 503.
func (g *Gate) readyz(w http.ResponseWriter, _ *http.Request) {
	s := g.router.State()
	if !g.ready.Load() || s.Members.Self.Stopping || s.Standing() == member.Isolated {
		http.Error(w, "not ready: "+s.Standing().String(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gate) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	g.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// announce handles an endpoint's announcement; it answers 204, or 400 if the announcement is invalid.
func (g *Gate) announce(w http.ResponseWriter, r *http.Request) {
	b, f := readBody(w, r)
	if f != nil {
		f.write(w, "")
		return
	}
	e, err := conf.Decode[model.Endpoint](b)
	if err == nil {
		err = e.Check()
	}
	if err != nil {
		badRequest("announcement: "+err.Error()).write(w, "")
		return
	}
	g.router.Announce(e)
	w.WriteHeader(http.StatusNoContent)
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"` // OpenAI's format
}

// models lists autoModel and the live versions that the caller's contract allows.
func (g *Gate) models(w http.ResponseWriter, r *http.Request) {
	s := g.router.State()
	c, ok := s.Config.ContractByKeyHash(keyHash(r))
	if !ok {
		unknownKey().write(w, "")
		return
	}
	l := modelList{Object: "list", Data: []modelItem{{ID: autoModel, Object: "model", Owner: "hickoryshelf"}}}
	for _, n := range c.Versions {
		if v, ok := s.Config.Version(n); ok && v.State == model.VersionLive {
			l.Data = append(l.Data, modelItem{ID: n, Object: "model", Owner: "hickoryshelf"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}

// keyHash returns the hash of the request's bearer key, in the form in which contracts store it.
func keyHash(r *http.Request) string {
	k, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return model.HashKey(k)
}
