// Package stress is a load generator: it drives callers against running hosts at a steady rate and reports what
// they saw.
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
	// Hosts are caller addresses; each request goes to a random one.
	Hosts []string
	// DirectEngine is an engine's address that gets half of the requests itself, or empty.
	DirectEngine string
	// Version is the one that direct requests name.
	Version string
	Key     string
	Class   string
	// Rate is in requests a second.
	Rate      float64
	Duration  time.Duration
	MaxTokens int
	// StreamedShare is the share of streamed requests.
	StreamedShare float64
	Seed          uint64
	// Engines are the addresses of stand-in engines whose counts are compared with the bills.
	Engines []string
}

// maxInFlight bounds the requests in progress.
const maxInFlight = 4000

// TargetReport is what callers of one side saw. Times are in milliseconds.
type TargetReport struct {
	Requests      int            `json:"requests"`
	Complete      int            `json:"whole"`
	Outcomes      map[string]int `json:"outcomes"`
	FirstTokenP50 float64        `json:"first-token-p50-ms"`
	FirstTokenP95 float64        `json:"first-token-p95-ms"`
	FirstTokenP99 float64        `json:"first-token-p99-ms"`
	TotalP50      float64        `json:"total-p50-ms"`
	TotalP99      float64        `json:"total-p99-ms"`
	InterTokenP95 float64        `json:"between-tokens-p95-ms"`
	Tokens        int64          `json:"tokens"`

	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
}

// Report is the result of a load.
type Report struct {
	Seconds float64       `json:"seconds"`
	Router  *TargetReport `json:"router"`
	Direct  *TargetReport `json:"direct,omitempty"`
	// AddedP50 and AddedP99 are what the router adds to the time to the first token, in milliseconds.
	AddedP50 float64 `json:"added-first-token-p50-ms"`
	AddedP99 float64 `json:"added-first-token-p99-ms"`
	// CoreSeconds is the processor time of all hosts.
	CoreSeconds           float64 `json:"core-seconds"`
	RequestsPerCoreSecond float64 `json:"requests-per-core-second"`
	TokensPerCorePercent  float64 `json:"tokens-a-second-per-percent-of-a-core"`
	BytesPerRequest       float64 `json:"allocated-bytes-per-request"`
	AllocationsPerRequest float64 `json:"allocations-per-request"`
}

func newTargetReport() *TargetReport {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3) }
	return &TargetReport{Outcomes: make(map[string]int), firstToken: h(), total: h(), interToken: h()}
}

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

// Run plays a load to its end.
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

// generate starts requests at random intervals around the rate, whatever becomes of earlier ones.
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

// caller makes one request.
type caller struct {
	runner   *runner
	number   int
	direct   bool
	streamed bool
	host     string
}

// observation is what one caller saw.
type observation struct {
	outcome    string
	complete   bool
	firstToken time.Duration
	total      time.Duration
	tokens     int64
}

func (c caller) run(ctx context.Context) {
	defer c.runner.callers.Done()
	v := c.send(ctx)
	<-c.runner.inFlight
	c.runner.record(c.direct, v)
}

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

// readStream counts the parts of a streamed answer.
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

// StartedAttempt is what engines say of the attempts they started.
type StartedAttempt struct {
	Attempt  string `json:"attempt"`
	Complete bool   `json:"whole"`
	Output   int64  `json:"output"`
}

// StartedAttempts returns the attempts that stand-in engines have started.
func StartedAttempts(ctx context.Context, engines []string) ([]StartedAttempt, error) {
	var l []StartedAttempt
	for _, e := range engines {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e+"/fake/runs", nil)
		if err != nil {
			return nil, err
		}
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			return nil, fmt.Errorf("engine %s: %w; name the addresses of running stand-ins", e, err)
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
