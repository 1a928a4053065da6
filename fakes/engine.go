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

// EngineOptions configure a stand-in for a model engine.
type EngineOptions struct {
	ID         string
	DataCentre string
	Listener   net.Listener
	// Hosts are the caller addresses of entry hosts.
	Hosts []string
	// Versions are the versions loaded at the start.
	Versions []string
	// Capacity is the number of requests that run at the same time; more are queued.
	Capacity int
	// FirstToken is the time to the first token after a request starts to run; Interval is the time between tokens.
	FirstToken time.Duration
	Interval   time.Duration
	// Quality is the true mean quality of answers by version, from 0 to 1. The quality of a version that isn't listed
	// is 0.9.
	Quality map[string]float64
	// ChecksFence lets the engine refuse orders with a stale fencing number.
	ChecksFence bool
	// NoOrders announces that the engine takes no orders to load versions, because another system places them.
	NoOrders bool
	// Seed is the seed of the answers' quality and of random failures.
	Seed uint64
}

// EngineFaults are the injected faults of an engine. POST /fake/faults sets them. The zero value injects none.
type EngineFaults struct {
	// Version is the version whose answers QualityDrop affects.
	Version string `json:"version"`
	// QualityDrop lowers the mean quality of answers.
	QualityDrop float64 `json:"quality-drop"`
	// ErrorShare is the share of requests that are answered with status 500.
	ErrorShare float64 `json:"error-share"`
	// CutAfter is the number of tokens of each answer after which the connection is closed; 0 never closes it.
	CutAfter int `json:"cut-after"`
	// Garbage answers each request with bytes that aren't valid JSON.
	Garbage bool `json:"garbage"`
	// Foreign sends a chunk with the id of another request after the second token of a streamed answer.
	Foreign bool `json:"foreign"`
	// Slow multiplies the time to the first token and the time between tokens; 0 leaves them as they are.
	Slow float64 `json:"slow"`
}

// Run is an attempt that an engine, or a call that a service, has started.
type Run struct {
	// Attempt is the attempt's id, from the X-Request-Id header that the router sets.
	Attempt string `json:"attempt"`
	// Version is the model version, or the name of the service.
	Version string `json:"version"`
	// Input and Output are the numbers of prompt tokens and of output tokens sent.
	Input  int64 `json:"input"`
	Output int64 `json:"output"`
	// Complete is true once the answer was sent to its end.
	Complete bool `json:"whole"`
	// Cancelled is true if the caller cancelled the request before the answer was complete.
	Cancelled bool      `json:"cancelled"`
	At        time.Time `json:"at"`
	// Key is the idempotency key of a service call.
	Key string `json:"key"`
}

// Engine is a stand-in for a model engine with continuous batching.
type Engine struct {
	options   EngineOptions
	server    *http.Server
	slots     *slots
	announcer *announcer
	cancel    context.CancelFunc
	lock      sync.Mutex
	faults    EngineFaults
	runs      []*Run
	loaded    []string
	draining  bool
	random    *rand.Rand
	started   time.Time
	// fence is the highest fencing number of the applied orders.
	fence       uint64
	staleOrders int
}

// NewEngine starts an engine, which serves and announces itself until Close or Shutdown.
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

// Close stops the engine at once, without draining, and closes its connections.
func (e *Engine) Close() {
	e.cancel()
	_ = e.server.Close()
}

// Leave starts draining: the engine announces that it is leaving and wants no new requests. It still serves those that
// arrive.
func (e *Engine) Leave() {
	e.lock.Lock()
	e.draining = true
	e.lock.Unlock()
	e.announcer.trigger()
}

// Shutdown drains the engine and stops it once no request is running or queued and none has arrived for drainQuietTime.
// It returns the context's error if the context ends first.
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

// drainQuietTime is the time without a new request after which a draining engine stops.
const drainQuietTime = 3 * time.Second

// lastRun returns the start of the latest run, or the zero time.
func (e *Engine) lastRun() time.Time {
	e.lock.Lock()
	defer e.lock.Unlock()
	if len(e.runs) == 0 {
		return time.Time{}
	}
	return e.runs[len(e.runs)-1].At
}

// describe returns the announcement of the engine's current state, without a sequence number.
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

// Runs returns copies of all attempts that the engine has started, in order.
func (e *Engine) Runs() []Run {
	e.lock.Lock()
	defer e.lock.Unlock()
	var r []Run
	for _, x := range e.runs {
		r = append(r, *x)
	}
	return r
}

// handleRuns returns all runs as a JSON array.
func (e *Engine) handleRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Runs())
}

// SetFaults replaces the injected faults. An answer keeps the faults that it started with.
func (e *Engine) SetFaults(f EngineFaults) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.faults = f
}

// handleFaults sets the injected faults from a JSON object.
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
	MaxTokens     int           `json:"max_tokens"`             // as in OpenAI's API
	ContinueFinal bool          `json:"continue_final_message"` // as in vLLM's API
}

// chatMessage is a message of a conversation.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// answer is the answer to one request, fixed before its first token is sent.
type answer struct {
	request chatRequest
	// hash is the hash of the prompt, which determines the text of the answer.
	hash uint64
	// firstIndex is the index of the first token to send and endIndex the index after the last. firstIndex is above 0
	// if the request continues a partial answer.
	firstIndex, endIndex int
	// quality is the quality of the answer in hundredths.
	quality int
	// faults are the injected faults at the start of the answer.
	faults EngineFaults
	// fail answers the request with status 500.
	fail bool
	run  *Run
}

// defaultTokens is the number of tokens of an answer if the request sets no max_tokens.
const defaultTokens = 20

// handleCompletion answers a chat completion request once it gets a slot. A request for a version that isn't loaded is
// refused as not run.
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

// newAnswer draws the answer to a request and adds its run. If the request continues a partial answer, the last message
// holds that answer, whose tokens are counted by their spaces and skipped.
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

// drawQuality draws the quality of one answer in hundredths, from a normal distribution with a standard deviation of
// 0.1 around the true mean quality of the version. The caller holds the lock.
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

// Token returns the text of the token at an index of an answer. The first token holds the quality of the answer in
// hundredths, which the stand-in for the rating service reads; the others hold the hash of the prompt and the version.
func Token(hash uint64, version string, index, quality int) string {
	if index == 0 {
		return fmt.Sprintf("q%d ", quality)
	}
	return fmt.Sprintf("%x-%s-%d ", hash&0xffff, version, index)
}

// respond sends the answer, or the response of an injected fault.
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

// recordCancellation marks the run of an answer as cancelled if its request was cancelled before it was complete.
func (e *Engine) recordCancellation(r *http.Request, a *answer) {
	e.lock.Lock()
	defer e.lock.Unlock()
	a.run.Cancelled = r.Context().Err() != nil && !a.run.Complete
}

// recordToken counts a sent token of an answer, which is complete if the token is its last.
func (e *Engine) recordToken(a *answer, whole bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	a.run.Output++
	a.run.Complete = whole
}

// tokenDelay returns the time that the engine takes for the token at an index.
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

// waitForToken waits until the token at an index is generated. It returns false if the caller has gone. With the fault
// CutAfter it panics with http.ErrAbortHandler at the set token, so that the server closes the connection.
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

// sendStream sends the answer as server-sent events: one chunk for each token, then the finish reason, the usage and
// the end marker.
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

// streamChunk returns the JSON object of a chunk with one token.
func streamChunk(id, version, text string) string {
	return fmt.Sprintf("{\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":%q},\"finish_reason\":null}]}", id, version, text)
}

// sendWhole sends the answer as one JSON object after all its tokens are generated.
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
