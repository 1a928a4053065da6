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

// RaterOptions configure a stand-in for the rating service.
type RaterOptions struct {
	ID         string
	DataCentre string
	Listener   net.Listener
	// Hosts are the caller addresses of entry hosts.
	Hosts []string
	// PerSecond is the limit of ratings per second. Requests above it are refused with status 429.
	PerSecond float64
	// Delay is the time that a rating takes.
	Delay time.Duration
}

// raterCapacity is the announced number of ratings that run at the same time. It isn't enforced.
const raterCapacity = 64

// raterNoise is the standard deviation of a rating from the true quality of the answer.
const raterNoise = 0.05

// Rater is a stand-in for the rating service. It reads the true quality from the first token of an answer, as Token
// writes it, and returns it with random noise.
type Rater struct {
	options   RaterOptions
	server    *http.Server
	limiter   *rate.Limiter
	announcer *announcer
	cancel    context.CancelFunc
	started   time.Time
	rated     atomic.Int64
}

// NewRater starts a rating service, which serves and announces itself until Close.
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

// Close stops the service at once and closes its connections.
func (r *Rater) Close() {
	r.cancel()
	_ = r.server.Close()
}

// Rated returns the number of answers rated.
func (r *Rater) Rated() int64 { return r.rated.Load() }

// describe returns the announcement of the service, without a sequence number.
func (r *Rater) describe() model.Endpoint {
	return model.Endpoint{
		ID: r.options.ID, DataCentre: r.options.DataCentre, Address: r.options.Listener.Addr().String(),
		Incarnation: uint64(r.started.UnixMilli()), Holds: []string{"rater"}, Capacity: raterCapacity,
	}
}

// rateRequest is the body of POST /v1/rate.
type rateRequest struct {
	Answer string `json:"answer"`
}

// rateReply holds the score of an answer, from 0 to 1.
type rateReply struct {
	Score float64 `json:"score"`
}

// handleRate rates an answer. An answer without a readable quality gets the score of quality 0.
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
