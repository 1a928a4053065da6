package fakes

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// RaterOptions describe a stand-in for the rating service.
type RaterOptions struct {
	ID         string
	DataCentre string
	Listener   net.Listener
	Hosts      []string
	// PerSecond bounds the ratings; more are refused with status 429.
	PerSecond float64
	// Delay is the time a rating takes.
	Delay time.Duration
}

// raterCapacity is how many ratings run at once.
const raterCapacity = 64

// raterNoise is the deviation of a rating from the answer's true quality.
const raterNoise = 0.05

// Rater is a stand-in for the service that rates answers. It reads the quality from the first token of the
// stand-in engine's answers.
type Rater struct {
	options   RaterOptions
	server    *http.Server
	limiter   *rate.Limiter
	announcer *announcer
	cancel    context.CancelFunc
	started   time.Time
	rated     atomic.Int64
}

// NewRater starts a rating service.
func NewRater(o RaterOptions) *Rater {
	r := &Rater{options: o, limiter: rate.NewLimiter(rate.Limit(o.PerSecond), max(1, int(o.PerSecond))), started: time.Now()}
	r.announcer = newAnnouncer(o.Hosts, r.describe)
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/rate", r.handleRate)
	r.server = &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	var c context.Context
	c, r.cancel = context.WithCancel(context.Background())
	go r.loop()
	go r.announcer.loop(c)
	return r
}

func (r *Rater) loop() { _ = r.server.Serve(r.options.Listener) }

// Close kills the service.
func (r *Rater) Close() {
	r.cancel()
	_ = r.server.Close()
}

// Rated returns how many answers were rated.
func (r *Rater) Rated() int64 { return r.rated.Load() }

func (r *Rater) describe() model.Endpoint {
	return model.Endpoint{
		ID: r.options.ID, DataCentre: r.options.DataCentre, Address: r.options.Listener.Addr().String(),
		Incarnation: uint64(r.started.UnixMilli()), Holds: []string{"rater"}, Capacity: raterCapacity,
	}
}

type rateRequest struct {
	Answer string `json:"answer"`
}

type rateReply struct {
	Score float64 `json:"score"`
}

func (r *Rater) handleRate(w http.ResponseWriter, q *http.Request) {
	if !r.limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return
	}
	var a rateRequest
	if err := json.NewDecoder(q.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(r.options.Delay)
	f, _, _ := strings.Cut(strings.TrimPrefix(a.Answer, "q"), " ")
	n, _ := strconv.Atoi(f)
	r.rated.Add(1)
	_ = json.NewEncoder(w).Encode(rateReply{Score: min(1, max(0, float64(n)/100+raterNoise*rand.NormFloat64()))})
}
