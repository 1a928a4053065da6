package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// EngineOptions describe a stand-in for a model engine.
type EngineOptions struct {
	ID         string
	DataCentre string
	Listener   net.Listener
	// Hosts are the caller addresses of entry hosts.
	Hosts    []string
	Versions []string
	Capacity int
	// FirstToken is the time to the first token; Interval that between tokens.
	FirstToken time.Duration
	Interval   time.Duration
	// Quality is the true mean quality of answers by version; 0.9 where a version isn't listed.
	Quality     map[string]float64
	ChecksFence bool
	// NoOrders is set for engines that others place versions on.
	NoOrders bool
	Seed     uint64
}

// EngineFaults are switched on by POST /fake/faults. The zero value is no fault.
type EngineFaults struct {
	// QualityDrop lowers the quality of the named version's answers.
	Version     string  `json:"version"`
	QualityDrop float64 `json:"quality-drop"`
	// ErrorShare of requests is answered with status 500.
	ErrorShare float64 `json:"error-share"`
	// CutAfter closes the connection after that many tokens of each answer.
	CutAfter int `json:"cut-after"`
	// Garbage answers with bytes that are no answer.
	Garbage bool `json:"garbage"`
	// Foreign sends a part of another request's answer in the middle.
	Foreign bool `json:"foreign"`
	// Slow multiplies the time between tokens.
	Slow float64 `json:"slow"`
}

// Run is one attempt that an endpoint started.
type Run struct {
	// Attempt is the id that the router gave.
	Attempt string `json:"attempt"`
	Version string `json:"version"`
	Input   int64  `json:"input"`
	Output  int64  `json:"output"`
	// Complete is true once the answer was sent to its end.
	Complete  bool      `json:"whole"`
	Cancelled bool      `json:"cancelled"`
	At        time.Time `json:"at"`
	Key       string    `json:"key"`
}

// Engine is a stand-in for a model engine with continuous batching.
type Engine struct {
	options     EngineOptions
	server      *http.Server
	slots       *slots
	announcer   *announcer
	cancel      context.CancelFunc
	lock        sync.Mutex
	faults      EngineFaults
	runs        []*Run
	loaded      []string
	draining    bool
	random      *rand.Rand
	started     time.Time
	fence       uint64
	staleOrders int
}

// NewEngine starts an engine.
func NewEngine(o EngineOptions) *Engine {
	e := &Engine{options: o, slots: newSlots(o.Capacity), loaded: slices.Clone(o.Versions), started: time.Now()}
	e.random = rand.New(rand.NewPCG(o.Seed, 7))
	e.announcer = newAnnouncer(o.Hosts, e.describe)
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	m.HandleFunc("GET /fake/runs", e.handleRuns)
	m.HandleFunc("POST /fake/faults", e.handleFaults)
	m.HandleFunc("POST /fake/leave", e.handleLeave)
	m.HandleFunc("POST /v1/orders", e.handleOrder)
	e.server = &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	var c context.Context
	c, e.cancel = context.WithCancel(context.Background())
	go e.loop()
	go e.announcer.loop(c)
	return e
}

func (e *Engine) loop() { _ = e.server.Serve(e.options.Listener) }

// Close kills the engine: its connections break at once.
func (e *Engine) Close() {
	e.cancel()
	_ = e.server.Close()
}

// Leave announces that the engine wants no new work.
func (e *Engine) Leave() {
	e.lock.Lock()
	e.draining = true
	e.lock.Unlock()
	e.announcer.trigger()
}

// Shutdown leaves, and returns once the running requests have ended.
func (e *Engine) Shutdown(ctx context.Context) error {
	e.Leave()
	defer e.cancel()
	for {
		if r, w := e.slots.counts(); r+w == 0 && time.Since(e.lastRun()) > drainQuietTime {
			return e.server.Shutdown(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// drainQuietTime is how long a leaving endpoint must have got nothing new before it stops.
const drainQuietTime = 3 * time.Second

func (e *Engine) lastRun() time.Time {
	e.lock.Lock()
	defer e.lock.Unlock()
	if len(e.runs) == 0 {
		return time.Time{}
	}
	return e.runs[len(e.runs)-1].At
}

func (e *Engine) describe() model.Endpoint {
	r, w := e.slots.counts()
	e.lock.Lock()
	defer e.lock.Unlock()
	return model.Endpoint{
		ID: e.options.ID, DataCentre: e.options.DataCentre, Address: e.options.Listener.Addr().String(),
		Incarnation: uint64(e.started.UnixMilli()), Holds: slices.Clone(e.loaded), Capacity: e.options.Capacity,
		Running: r, Waiting: w, ChecksFence: e.options.ChecksFence, TakesOrders: !e.options.NoOrders, Leaving: e.draining,
	}
}

// Runs returns the attempts that the engine started.
func (e *Engine) Runs() []Run {
	e.lock.Lock()
	defer e.lock.Unlock()
	var r []Run
	for _, x := range e.runs {
		r = append(r, *x)
	}
	return r
}

func (e *Engine) handleRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Runs())
}

// SetFaults switches faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.faults = f
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

func (e *Engine) handleLeave(http.ResponseWriter, *http.Request) { e.Leave() }

// chatRequest is the part of a completion request that the engine reads.
type chatRequest struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	Stream        bool          `json:"stream"`
	MaxTokens     int           `json:"max_tokens"`             // OpenAI's format
	ContinueFinal bool          `json:"continue_final_message"` // vLLM's format
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// answer is what the engine is going to say.
type answer struct {
	request chatRequest
	hash    uint64
	// firstIndex is the number of the first token endIndex be sent, and endIndex that behind the last.
	firstIndex, endIndex int
	quality              int
	faults               EngineFaults
	fail                 bool
	run                  *Run
}

// defaultTokens is the length of an answer where the request names none.
const defaultTokens = 20

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var q chatRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.lock.Lock()
	h := slices.Contains(e.loaded, q.Model)
	e.lock.Unlock()
	if !h {
		w.Header().Set("Hickoryshelf-Not-Run", "true")
		http.Error(w, "version not loaded", http.StatusServiceUnavailable)
		return
	}
	var p model.Priority
	_ = p.UnmarshalText([]byte(r.Header.Get("X-Priority")))
	if e.slots.acquire(r.Context(), p) != nil {
		return
	}
	defer e.slots.release()
	e.respond(w, r, e.newAnswer(q, r))
}

func (e *Engine) newAnswer(q chatRequest, r *http.Request) *answer {
	a := &answer{request: q, endIndex: q.MaxTokens}
	if a.endIndex <= 0 {
		a.endIndex = defaultTokens
	}
	m := q.Messages
	if q.ContinueFinal && len(m) > 0 {
		a.firstIndex = strings.Count(m[len(m)-1].Content, " ")
		m = m[:len(m)-1]
		a.endIndex = max(a.endIndex, a.firstIndex+1)
	}
	h := fnv.New64a()
	n := 0
	for _, x := range m {
		_, _ = h.Write([]byte(x.Content))
		n += len(x.Content)/4 + 1
	}
	a.hash = h.Sum64()
	e.lock.Lock()
	defer e.lock.Unlock()
	a.faults = e.faults
	a.fail = e.random.Float64() < e.faults.ErrorShare
	a.quality = e.drawQuality(q.Model)
	a.run = &Run{Attempt: r.Header.Get("X-Request-Id"), Version: q.Model, Input: int64(n + a.firstIndex), At: time.Now()}
	e.runs = append(e.runs, a.run)
	return a
}

// drawQuality draws the drawQuality of one answer in hundredths.
func (e *Engine) drawQuality(version string) int {
	q, ok := e.options.Quality[version]
	if !ok {
		q = 0.9
	}
	if e.faults.Version == version {
		q -= e.faults.QualityDrop
	}
	return int(100 * min(1, max(0, q+0.1*e.random.NormFloat64())))
}

// Token returns the text of one token of an answer: the first carries the answer's quality in hundredths,
// for the stand-in of the rating service.
func Token(hash uint64, version string, index, quality int) string {
	if index == 0 {
		return fmt.Sprintf("q%d ", quality)
	}
	return fmt.Sprintf("%x-%s-%d ", hash&0xffff, version, index)
}

func (e *Engine) respond(w http.ResponseWriter, r *http.Request, a *answer) {
	defer e.recordCancellation(r, a)
	switch {
	case a.fail:
		http.Error(w, "engine fault", http.StatusInternalServerError)
	case a.faults.Garbage:
		_, _ = w.Write([]byte("\x00\xff{{{ no answer\n\n"))
	case a.request.Stream:
		e.sendStream(w, r, a)
	default:
		e.sendWhole(w, r, a)
	}
}

func (e *Engine) recordCancellation(r *http.Request, a *answer) {
	e.lock.Lock()
	defer e.lock.Unlock()
	a.run.Cancelled = r.Context().Err() != nil && !a.run.Complete
}

func (e *Engine) recordToken(a *answer, whole bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	a.run.Output++
	a.run.Complete = whole
}

func (e *Engine) tokenDelay(a *answer, index int) time.Duration {
	d := e.options.Interval
	if index == a.firstIndex {
		d = e.options.FirstToken
	}
	if a.faults.Slow > 0 {
		d = time.Duration(float64(d) * a.faults.Slow)
	}
	return d
}

// waitForToken waits for the next token; false means that the caller has gone or the connection is to be cut.
func (e *Engine) waitForToken(r *http.Request, a *answer, index int) bool {
	if d := e.tokenDelay(a, index); d > 0 {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return false
		}
	}
	if a.faults.CutAfter > 0 && index-a.firstIndex >= a.faults.CutAfter {
		panic(http.ErrAbortHandler)
	}
	return r.Context().Err() == nil
}

func (e *Engine) sendStream(w http.ResponseWriter, r *http.Request, a *answer) {
	w.Header().Set("Content-Type", "text/event-stream")
	f := http.NewResponseController(w)
	for i := a.firstIndex; i < a.endIndex; i++ {
		if !e.waitForToken(r, a, i) {
			return
		}
		if a.faults.Foreign && i == a.firstIndex+2 {
			_, _ = fmt.Fprintf(w, "data: %s\n\n", streamChunk("foreign.0", a.request.Model, "other "))
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\n", streamChunk(a.run.Attempt, a.request.Model, Token(a.hash, a.request.Model, i, a.quality)))
		_ = f.Flush()
		e.recordToken(a, i == a.endIndex-1)
	}
	n := a.endIndex - a.firstIndex
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", a.run.Attempt, a.request.Model)
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\n", a.run.Attempt, a.request.Model, a.run.Input, n, a.run.Input+int64(n))
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func streamChunk(id, version, text string) string {
	return fmt.Sprintf("{\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":%q},\"finish_reason\":null}]}", id, version, text)
}

func (e *Engine) sendWhole(w http.ResponseWriter, r *http.Request, a *answer) {
	var b strings.Builder
	for i := a.firstIndex; i < a.endIndex; i++ {
		if !e.waitForToken(r, a, i) {
			return
		}
		b.WriteString(Token(a.hash, a.request.Model, i, a.quality))
		e.recordToken(a, i == a.endIndex-1)
	}
	n := a.endIndex - a.firstIndex
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"id\":%q,\"object\":\"chat.completion\",\"created\":1,\"model\":%q,\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":%q},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n",
		a.run.Attempt, a.request.Model, b.String(), a.run.Input, n, a.run.Input+int64(n))
}
