// Package stress is a load generator. It sends requests to running hosts at a steady rate and reports their outcomes,
// their latencies and the resources that the hosts used.
package stress

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options describe a load.
type Options struct {
	// Hosts are the caller addresses of entry hosts. Each request goes to a random one.
	Hosts []string
	// DirectEngine is the address of an engine that gets every second request directly, for comparison with the
	// router. If it is empty, all requests go to the hosts.
	DirectEngine string
	// Version is the model version that direct requests name.
	Version string
	// Key is the API key of the customer.
	Key   string
	Class string
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	// MaxTokens is the max_tokens of each request, and the number of tokens that a complete answer has.
	MaxTokens int
	// StreamedShare is the share of streamed requests, from 0 to 1.
	StreamedShare float64
	Seed          uint64
	// Engines are the addresses of stand-in engines whose started attempts are compared with the bills. Run ignores
	// them; see StartedAttempts.
	Engines []string
}

// maxInFlight bounds the requests in flight. At the bound the generator waits for a request to end.
const maxInFlight = 4000

// TargetReport holds the results of the requests to one target: the router or, directly, an engine. Times are in
// milliseconds.
type TargetReport struct {
	Requests int `json:"requests"`
	// Complete is the number of requests whose answer was received to its end.
	Complete int `json:"whole"`
	// Outcomes counts the requests by outcome: ran, cut-off, no-connection, or the HTTP status with the outcome header
	// of a refusal.
	Outcomes      map[string]int `json:"outcomes"`
	FirstTokenP50 float64        `json:"first-token-p50-ms"`
	FirstTokenP95 float64        `json:"first-token-p95-ms"`
	FirstTokenP99 float64        `json:"first-token-p99-ms"`
	TotalP50      float64        `json:"total-p50-ms"`
	TotalP99      float64        `json:"total-p99-ms"`
	// InterTokenP95 is a percentile over the requests of the mean time between the tokens of one answer.
	InterTokenP95 float64 `json:"between-tokens-p95-ms"`
	// Tokens is the number of output tokens received.
	Tokens int64 `json:"tokens"`

	// firstToken, total and interToken are the times of complete answers in microseconds. Only streamed answers count
	// in firstToken and interToken.

	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
}

// Report holds the results of a load.
type Report struct {
	// Seconds is the time from the first request to the end of the last.
	Seconds float64       `json:"seconds"`
	Router  *TargetReport `json:"router"`
	Direct  *TargetReport `json:"direct,omitempty"`
	// AddedP50 and AddedP99 are the percentiles of the time to the first token through the router minus those of the
	// direct requests, in milliseconds. They are 0 without direct requests.
	AddedP50 float64 `json:"added-first-token-p50-ms"`
	AddedP99 float64 `json:"added-first-token-p99-ms"`
	// CoreSeconds is the processor time that all hosts used during the load. The fields below relate to the requests
	// and tokens that went through the router.
	CoreSeconds           float64 `json:"core-seconds"`
	RequestsPerCoreSecond float64 `json:"requests-per-core-second"`
	// TokensPerCorePercent is the number of tokens per second for each percent of a processor core.
	TokensPerCorePercent float64 `json:"tokens-a-second-per-percent-of-a-core"`
	// BytesPerRequest and AllocationsPerRequest are the heap allocations of the hosts per request.
	BytesPerRequest       float64 `json:"allocated-bytes-per-request"`
	AllocationsPerRequest float64 `json:"allocations-per-request"`
}

// newTargetReport returns an empty report with histograms for times of up to 10 minutes in microseconds, with three
// significant digits.
func newTargetReport() *TargetReport {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3) }
	return &TargetReport{Outcomes: make(map[string]int), firstToken: h(), total: h(), interToken: h()}
}

// computePercentiles sets the percentiles from the histograms.
func (s *TargetReport) computePercentiles() {
	q := func(h *hdrhistogram.Histogram, p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	s.FirstTokenP50, s.FirstTokenP95, s.FirstTokenP99 = q(s.firstToken, 50), q(s.firstToken, 95), q(s.firstToken, 99)
	s.TotalP50, s.TotalP99, s.InterTokenP95 = q(s.total, 50), q(s.total, 99), q(s.interToken, 95)
}

// runner is a load in progress.
type runner struct {
	options  Options
	client   *http.Client
	lock     sync.Mutex
	router   *TargetReport
	direct   *TargetReport
	callers  sync.WaitGroup
	inFlight chan struct{}
}

// Run generates a load, waits for its requests to end and returns the results. It returns an error if the metrics of a
// host can't be read; failed requests are counted as outcomes.
func Run(ctx context.Context, o Options) (Report, error) {
	r := &runner{options: o, router: newTargetReport(), inFlight: make(chan struct{}, maxInFlight)}
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}}
	b, err := r.hostUsage(ctx)
	if err != nil {
		return Report{}, err
	}
	if o.DirectEngine != "" {
		r.direct = newTargetReport()
	}
	s := time.Now()
	r.generate(ctx)
	r.callers.Wait()
	e := time.Since(s).Seconds()
	a, err := r.hostUsage(ctx)
	if err != nil {
		return Report{}, err
	}
	return r.report(e, a.sub(b)), nil
}

// generate starts requests at exponentially distributed intervals with the mean rate. It is an open loop: up to
// maxInFlight, slow requests don't delay later ones.
func (r *runner) generate(ctx context.Context) {
	g := rand.New(rand.NewPCG(r.options.Seed, 3))
	n := time.Now()
	e := n.Add(r.options.Duration)
	for k := 0; n.Before(e) && ctx.Err() == nil; k++ {
		time.Sleep(time.Until(n))
		c := caller{
			runner: r, number: k, direct: r.direct != nil && k%2 == 1, streamed: g.Float64() < r.options.StreamedShare,
			host: r.options.Hosts[g.IntN(len(r.options.Hosts))],
		}
		r.inFlight <- struct{}{}
		r.callers.Add(1)
		go c.run(ctx)
		n = n.Add(time.Duration(g.ExpFloat64() / r.options.Rate * float64(time.Second)))
	}
}

// caller sends one request.
type caller struct {
	runner   *runner
	number   int
	direct   bool
	streamed bool
	host     string
}

// observation is the result of one request as its caller sees it.
type observation struct {
	outcome string
	// complete is true if the answer was received to its end.
	complete   bool
	firstToken time.Duration
	total      time.Duration
	tokens     int64
}

// run sends the request, frees its place in flight and records the result.
func (c caller) run(ctx context.Context) {
	defer c.runner.callers.Done()
	v := c.send(ctx)
	<-c.runner.inFlight
	c.runner.record(c.direct, v)
}

// record adds the result of a request to the report of its target.
func (r *runner) record(direct bool, v observation) {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.router
	if direct {
		s = r.direct
	}
	s.Requests++
	s.Outcomes[v.outcome]++
	s.Tokens += v.tokens
	if !v.complete {
		return
	}
	s.Complete++
	_ = s.total.RecordValue(v.total.Microseconds())
	if v.firstToken > 0 {
		_ = s.firstToken.RecordValue(v.firstToken.Microseconds())
	}
	if v.tokens > 1 && v.firstToken > 0 {
		_ = s.interToken.RecordValue(((v.total - v.firstToken) / time.Duration(v.tokens-1)).Microseconds())
	}
}

// send sends the request and reads the answer to its end.
func (c caller) send(ctx context.Context) observation {
	o := c.runner.options
	m, h := "auto", c.host
	if c.direct {
		m, h = o.Version, o.DirectEngine
	}
	b := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"request %d of seed %d"}]}`,
		m, c.streamed, o.MaxTokens, c.number, o.Seed)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h+"/v1/chat/completions", strings.NewReader(b))
	if err != nil {
		return observation{outcome: err.Error()}
	}
	q.Header.Set("Authorization", "Bearer "+o.Key)
	q.Header.Set("Hickoryshelf-Class", o.Class)
	s := time.Now()
	r, err := c.runner.client.Do(q)
	if err != nil {
		return observation{outcome: "no-connection"}
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, r.Body)
		return observation{outcome: r.Status + " " + r.Header.Get("Hickoryshelf-Outcome")}
	}
	if c.streamed {
		return c.readStream(r, s)
	}
	_, err = io.Copy(io.Discard, r.Body)
	return observation{outcome: "ran", complete: err == nil, total: time.Since(s), tokens: int64(o.MaxTokens)}
}

// readStream counts the tokens of a streamed answer and takes the time of the first. The answer is complete if it has
// MaxTokens tokens and the end marker.
func (c caller) readStream(r *http.Response, start time.Time) observation {
	v := observation{outcome: "cut-off"}
	for s := bufio.NewScanner(r.Body); s.Scan(); {
		switch t := s.Text(); {
		case t == "data: [DONE]":
			v.outcome, v.complete = "ran", v.tokens == int64(c.runner.options.MaxTokens)
		case strings.Contains(t, `"content":"`):
			v.tokens++
			if v.firstToken == 0 {
				v.firstToken = time.Since(start)
			}
		}
	}
	v.total = time.Since(start)
	return v
}

// report computes the results from the time that the load took and the resources that the hosts used meanwhile.
func (r *runner) report(seconds float64, u usage) Report {
	p := Report{Seconds: seconds, Router: r.router, Direct: r.direct, CoreSeconds: u.cpu}
	p.Router.computePercentiles()
	if r.direct != nil {
		r.direct.computePercentiles()
		p.AddedP50 = r.router.FirstTokenP50 - r.direct.FirstTokenP50
		p.AddedP99 = r.router.FirstTokenP99 - r.direct.FirstTokenP99
	}
	n := float64(max(1, r.router.Requests))
	if u.cpu > 0 {
		p.RequestsPerCoreSecond = n / u.cpu
		p.TokensPerCorePercent = float64(r.router.Tokens) / u.cpu / 100
	}
	p.BytesPerRequest, p.AllocationsPerRequest = u.bytes/n, u.objects/n
	return p
}

// StartedAttempt is an attempt that a stand-in engine has started.
type StartedAttempt struct {
	// Attempt is the attempt's id, which the router gave to the engine.
	Attempt string `json:"attempt"`
	// Complete is true if the answer was sent to its end.
	Complete bool `json:"whole"`
	// Output is the number of output tokens sent.
	Output int64 `json:"output"`
}

// StartedAttempts returns the attempts that the stand-in engines at the given addresses have started.
func StartedAttempts(ctx context.Context, engines []string) ([]StartedAttempt, error) {
	var l []StartedAttempt
	for _, e := range engines {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e+"/fake/runs", nil)
		if err != nil {
			return nil, err
		}
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			return nil, fmt.Errorf("can't read the runs of engine %s, which must be a running stand-in engine: %w", e, err)
		}
		var a []StartedAttempt
		err = json.NewDecoder(r.Body).Decode(&a)
		_ = r.Body.Close()
		if err != nil {
			return nil, err
		}
		l = append(l, a...)
	}
	return l, nil
}
