package gate_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/gate"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/route"
	"github.com/hickoryshelf/hickoryshelf/token"
)

const (
	// manyRequests is the number of requests that get faulty answers at once, and endlessBytes what each answer has until
	// the endpoint sends nothing more.
	manyRequests = 40
	endlessBytes = 6 << 20
	// maxKeptBytes is what a host of 256 MB may keep of them: an eighth of its memory, and for each request 256 KiB, for the
	// buffers of two connections and of a line.
	maxKeptBytes = 256<<20/8 + manyRequests*256<<10
	// maxSendSeconds bounds the time in which the endpoint sends them.
	maxSendSeconds = 30
	// outputTokens is a contract's output limit that allows endlessBytes in an answer.
	outputTokens = 100_000
	// soundAnswers is how many sound answers of soundBytes are held at once, and maxSoundBytes what a host may keep of them.
	soundAnswers  = 512
	soundBytes    = 20_000
	maxSoundBytes = 256<<20/8 + soundAnswers*256<<10
)

// router is a fake gate.Router that sends each request to one endpoint, and refuses a second attempt.
type router struct {
	address string
	terms   model.ClassTerms
	count   atomic.Int64
}

func (r *router) Decide(_ context.Context, q core.RouteRequest) (core.Decision, error) {
	if q.Retry {
		return core.Decision{}, context.Canceled
	}
	return core.Decision{Contract: model.Contract{MaxOutputTokens: outputTokens}, Terms: r.terms, Endpoint: model.Endpoint{ID: "e", Address: r.address}, Version: "v"}, nil
}
func (r *router) Finish(core.AttemptFinished)               { /* nothing is counted */ }
func (r *router) Record(context.Context, ledger.Line) error { return nil }
func (r *router) Announce(model.Endpoint)                   { /* there is one endpoint */ }
func (r *router) Rate(route.Rating)                         { /* nothing is rated */ }
func (r *router) State() core.State                         { return core.NewState(core.Options{}) }
func (r *router) NewID() string                             { return "r" + strconv.FormatInt(r.count.Add(1), 10) }
func (r *router) Incarnation() uint64                       { return 1 }
func (r *router) Propose(context.Context, config.Command) (config.Result, error) {
	return config.Result{}, nil
}

// heapBytes returns the bytes of the heap that are in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a host that keeps what a faulty engine sends without end in streams, for many requests at once.
func TestManyEndlessStreamsOfEnginesLeaveMemory(t *testing.T) {
	const text = `"choices":[{"delta":{"content":"`
	a := strings.Repeat("a", 1000)
	for n, piece := range map[string]func(id string) string{
		"text": func(id string) string { return `data: {"id":"` + id + `",` + text + a + "\"}}]}\n\n" },
		"final chunks": func(id string) string {
			return `data: {"id":"` + id + `",` + text + a + "\"},\"finish_reason\":\"stop\"}]}\n\n"
		},
	} {
		t.Run(n, func(t *testing.T) { testKept(t, true, piece) })
	}
}

// Guards against comments without end that are kept.
func TestManyEndlessCommentsOfEnginesLeaveMemory(t *testing.T) {
	testKept(t, true, func(string) string { return ": " + strings.Repeat("a", 1000) + "\n" })
}

// Guards against whole answers of engines that are kept without a bound for all requests together.
func TestManyLongAnswersOfEnginesLeaveMemory(t *testing.T) {
	testKept(t, false, func(string) string { return strings.Repeat("a", 1000) })
}

// Guards against long sound answers that are refused because many are in flight at one engine.
func TestManySoundAnswersOfOneEngineAreServed(t *testing.T) {
	a := strings.Repeat("a ", soundBytes/2)
	testSound(t, false, "}", model.ClassTerms{}, func(w io.Writer, id string, wait func()) {
		_, _ = fmt.Fprintf(w, `{"id":%q,"choices":[{"message":{"content":%q}}],`, id, a)
		wait()
		_, _ = io.WriteString(w, `"usage":{"prompt_tokens":1,"completion_tokens":1}}`)
	})
}

// Guards against long sound streams that are refused, cut or kept without a bound because many are in flight at one engine.
func TestManySoundStreamsOfOneEngineAreServed(t *testing.T) {
	text := strings.Repeat("aaaa ", 4)
	for n, c := range map[string]model.ClassTerms{"passed on": {}, "held back": {Judge: true}} {
		t.Run(n, func(t *testing.T) {
			testSound(t, true, "data: [DONE]\n\n", c, func(w io.Writer, id string, wait func()) {
				d := fmt.Sprintf("data: {\"id\":%q,\"model\":\"v\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", id, text)
				for range soundBytes / len(text) {
					_, _ = io.WriteString(w, d)
				}
				wait()
				_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", id)
				_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}\n\ndata: [DONE]\n\n", id)
			})
		})
	}
}

// testSound sends soundAnswers requests to one engine, which ends its answers once all have been begun, and checks that all are
// served whole, up to an ending, and what is kept of them. answer calls wait before the end.
func testSound(t *testing.T, stream bool, ending string, terms model.ClassTerms, answer func(w io.Writer, id string, wait func())) {
	t.Helper()
	i := is.New(t)
	var asked, begun sync.WaitGroup
	asked.Add(soundAnswers)
	begun.Add(soundAnswers)
	end := make(chan struct{})
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		asked.Done()
		asked.Wait() // connections are opened first
		answer(w, q.Header.Get("X-Request-Id"), func() {
			_ = http.NewResponseController(w).Flush()
			begun.Done()
			<-end
		})
	}))
	defer e.Close()
	g := newMemoryGate(e, terms)
	defer g.Close()
	b := heapBytes()
	var whole atomic.Int64
	var w sync.WaitGroup
	for range soundAnswers {
		w.Go(func() {
			c := &tailWriter{discardWriter: discardWriter{http.Header{}}}
			g.ServeHTTP(c, chatRequest(t.Context(), stream))
			if c.bytes > soundBytes && strings.HasSuffix(c.tail, ending) {
				whole.Add(1)
			}
		})
	}
	begun.Wait()
	time.Sleep(time.Second) // until all that comes was read
	k := heapBytes() - b
	close(end)
	w.Wait()
	t.Logf("%d bytes kept, %d answers whole", k, whole.Load())
	i.True(k <= maxSoundBytes)
	i.Equal(whole.Load(), int64(soundAnswers))
}

// newMemoryGate returns a gate that sends all requests to one engine.
func newMemoryGate(e *httptest.Server, terms model.ClassTerms) *gate.Gate {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return gate.New(gate.Options{Router: &router{address: e.Listener.Addr().String(), terms: terms}, Signer: token.NewSigner([]string{"k"}), Log: l, Metrics: metrics.NewSet()})
}

// chatRequest returns a request for a completion.
func chatRequest(ctx context.Context, stream bool) *http.Request {
	return httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", strings.NewReader(fmt.Sprintf(`{"messages":[{"role":"user","content":"x"}],"stream":%t}`, stream)))
}

// testKept sends manyRequests to an engine that repeats a piece, and checks what is kept of its answers.
func testKept(t *testing.T, stream bool, piece func(id string) string) {
	t.Helper()
	i := is.New(t)
	var sent atomic.Int64
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		p := []byte(piece(q.Header.Get("X-Request-Id")))
		for b := 0; b < endlessBytes; b += len(p) {
			if _, err := w.Write(p); err != nil {
				sent.Add(1)
				return
			}
		}
		_ = http.NewResponseController(w).Flush() // the connection is open or the test ends
		sent.Add(1)
		<-q.Context().Done()
	}))
	defer e.Close()
	g := newMemoryGate(e, model.ClassTerms{})
	defer g.Close()
	x, f := context.WithCancel(t.Context())
	defer f()
	b := heapBytes()
	var w sync.WaitGroup
	for range manyRequests {
		w.Go(func() {
			g.ServeHTTP(discardWriter{http.Header{}}, chatRequest(x, stream))
		})
	}
	for n := 0; sent.Load() < manyRequests && n < maxSendSeconds; n++ {
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second) // until all that comes was read
	k := heapBytes() - b
	t.Logf("%d bytes kept", k)
	i.True(k <= maxKeptBytes)
	f()
	w.Wait()
}

// discardWriter is a http.ResponseWriter that keeps nothing of the body.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header         { return w.header }
func (w discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (w discardWriter) WriteHeader(int)             { /* not looked at */ }
func (w discardWriter) Flush()                      { /* nothing is kept */ }

// tailWriter counts the bytes of the body and keeps what was written last.
type tailWriter struct {
	discardWriter
	bytes int
	tail  string
}

func (w *tailWriter) Write(b []byte) (int, error) {
	w.bytes += len(b)
	w.tail = string(b[max(0, len(b)-100):])
	return len(b), nil
}
