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
	// Direct is an engine's address that gets half of the requests itself, or empty.
	Direct string
	// Version is the one that direct requests name.
	Version string
	Key     string
	Class   string
	// Rate is in requests a second.
	Rate     float64
	Duration time.Duration
	Tokens   int
	// Streamed is the share of streamed requests.
	Streamed float64
	Seed     uint64
	// Engines are the addresses of stand-in engines whose counts are compared with the bills.
	Engines []string
}

// maxOpen bounds the requests in progress.
const maxOpen = 4000

// Side is what callers of one side saw. Times are in milliseconds.
type Side struct {
	Requests int            `json:"requests"`
	Whole    int            `json:"whole"`
	Outcomes map[string]int `json:"outcomes"`
	FirstP50 float64        `json:"first-token-p50-ms"`
	FirstP95 float64        `json:"first-token-p95-ms"`
	FirstP99 float64        `json:"first-token-p99-ms"`
	TotalP50 float64        `json:"total-p50-ms"`
	TotalP99 float64        `json:"total-p99-ms"`
	GapP95   float64        `json:"between-tokens-p95-ms"`
	Tokens   int64          `json:"tokens"`

	first *hdrhistogram.Histogram
	total *hdrhistogram.Histogram
	gap   *hdrhistogram.Histogram
}

// Report is the result of a load.
type Report struct {
	Seconds float64 `json:"seconds"`
	Router  *Side   `json:"router"`
	Direct  *Side   `json:"direct,omitempty"`
	// AddedP50 and AddedP99 are what the router adds to the time to the first token, in milliseconds.
	AddedP50 float64 `json:"added-first-token-p50-ms"`
	AddedP99 float64 `json:"added-first-token-p99-ms"`
	// CoreSeconds is the processor time of all hosts.
	CoreSeconds       float64 `json:"core-seconds"`
	RequestsPerCore   float64 `json:"requests-per-core-second"`
	TokensPerPercent  float64 `json:"tokens-a-second-per-percent-of-a-core"`
	BytesPerRequest   float64 `json:"allocated-bytes-per-request"`
	ObjectsPerRequest float64 `json:"allocations-per-request"`
}

func newSide() *Side {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3) }
	return &Side{Outcomes: make(map[string]int), first: h(), total: h(), gap: h()}
}

func (s *Side) finish() {
	q := func(h *hdrhistogram.Histogram, p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	s.FirstP50, s.FirstP95, s.FirstP99 = q(s.first, 50), q(s.first, 95), q(s.first, 99)
	s.TotalP50, s.TotalP99, s.GapP95 = q(s.total, 50), q(s.total, 99), q(s.gap, 95)
}

// runner is a load in progress.
type runner struct {
	options Options
	client  *http.Client
	lock    sync.Mutex
	router  *Side
	direct  *Side
	wait    sync.WaitGroup
	open    chan struct{}
}

// Run plays a load to its end.
func Run(ctx context.Context, o Options) (Report, error) {
	r := &runner{options: o, router: newSide(), open: make(chan struct{}, maxOpen)}
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxOpen, DisableCompression: true}}
	b, err := r.usage(ctx)
	if err != nil {
		return Report{}, err
	}
	if o.Direct != "" {
		r.direct = newSide()
	}
	s := time.Now()
	r.generate(ctx)
	r.wait.Wait()
	e := time.Since(s).Seconds()
	a, err := r.usage(ctx)
	if err != nil {
		return Report{}, err
	}
	return r.report(e, a.minus(b)), nil
}

// generate starts requests at random intervals around the rate, whatever becomes of earlier ones.
func (r *runner) generate(ctx context.Context) {
	g := rand.New(rand.NewPCG(r.options.Seed, 3))
	n := time.Now()
	e := n.Add(r.options.Duration)
	for k := 0; n.Before(e) && ctx.Err() == nil; k++ {
		time.Sleep(time.Until(n))
		c := caller{
			runner: r, number: k, direct: r.direct != nil && k%2 == 1, streamed: g.Float64() < r.options.Streamed,
			host: r.options.Hosts[g.IntN(len(r.options.Hosts))],
		}
		r.open <- struct{}{}
		r.wait.Add(1)
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

// seen is what one caller saw.
type seen struct {
	outcome string
	whole   bool
	first   time.Duration
	total   time.Duration
	tokens  int64
}

func (c caller) run(ctx context.Context) {
	defer c.runner.wait.Done()
	v := c.ask(ctx)
	<-c.runner.open
	c.runner.note(c.direct, v)
}

func (r *runner) note(direct bool, v seen) {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.router
	if direct {
		s = r.direct
	}
	s.Requests++
	s.Outcomes[v.outcome]++
	s.Tokens += v.tokens
	if !v.whole {
		return
	}
	s.Whole++
	_ = s.total.RecordValue(v.total.Microseconds())
	if v.first > 0 {
		_ = s.first.RecordValue(v.first.Microseconds())
	}
	if v.tokens > 1 && v.first > 0 {
		_ = s.gap.RecordValue(((v.total - v.first) / time.Duration(v.tokens-1)).Microseconds())
	}
}

func (c caller) ask(ctx context.Context) seen {
	o := c.runner.options
	m, h := "auto", c.host
	if c.direct {
		m, h = o.Version, o.Direct
	}
	b := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"request %d of seed %d"}]}`,
		m, c.streamed, o.Tokens, c.number, o.Seed)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h+"/v1/chat/completions", strings.NewReader(b))
	if err != nil {
		return seen{outcome: err.Error()}
	}
	q.Header.Set("Authorization", "Bearer "+o.Key)
	q.Header.Set("Hickoryshelf-Class", o.Class)
	s := time.Now()
	r, err := c.runner.client.Do(q)
	if err != nil {
		return seen{outcome: "no-connection"}
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, r.Body)
		return seen{outcome: r.Status + " " + r.Header.Get("Hickoryshelf-Outcome")}
	}
	if c.streamed {
		return c.read(r, s)
	}
	_, err = io.Copy(io.Discard, r.Body)
	return seen{outcome: "ran", whole: err == nil, total: time.Since(s), tokens: int64(o.Tokens)}
}

// read counts the parts of a streamed answer.
func (c caller) read(r *http.Response, start time.Time) seen {
	v := seen{outcome: "cut-off"}
	for s := bufio.NewScanner(r.Body); s.Scan(); {
		switch t := s.Text(); {
		case t == "data: [DONE]":
			v.outcome, v.whole = "ran", v.tokens == int64(c.runner.options.Tokens)
		case strings.Contains(t, `"content":"`):
			v.tokens++
			if v.first == 0 {
				v.first = time.Since(start)
			}
		}
	}
	v.total = time.Since(start)
	return v
}

func (r *runner) report(seconds float64, u usage) Report {
	p := Report{Seconds: seconds, Router: r.router, Direct: r.direct, CoreSeconds: u.cpu}
	p.Router.finish()
	if r.direct != nil {
		r.direct.finish()
		p.AddedP50 = r.router.FirstP50 - r.direct.FirstP50
		p.AddedP99 = r.router.FirstP99 - r.direct.FirstP99
	}
	n := float64(max(1, r.router.Requests))
	if u.cpu > 0 {
		p.RequestsPerCore = n / u.cpu
		p.TokensPerPercent = float64(r.router.Tokens) / u.cpu / 100
	}
	p.BytesPerRequest, p.ObjectsPerRequest = u.bytes/n, u.objects/n
	return p
}

// Runs is what engines say of the attempts they started.
type Runs struct {
	Attempt string `json:"attempt"`
	Whole   bool   `json:"whole"`
	Output  int64  `json:"output"`
}

// Started returns the attempts that stand-in engines have started.
func Started(ctx context.Context, engines []string) ([]Runs, error) {
	var l []Runs
	for _, e := range engines {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e+"/fake/runs", nil)
		if err != nil {
			return nil, err
		}
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			return nil, fmt.Errorf("engine %s: %w; name the addresses of running stand-ins", e, err)
		}
		var a []Runs
		err = json.NewDecoder(r.Body).Decode(&a)
		_ = r.Body.Close()
		if err != nil {
			return nil, err
		}
		l = append(l, a...)
	}
	return l, nil
}
