package relay_test

import (
	"bytes"
	"context"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/relay"
)

// endless is a body that repeats a text, a piece at each interval, until the attempt is cancelled.
type endless struct {
	context  context.Context
	text     string
	interval time.Duration
	// read counts the bytes that were read.
	read *int
}

func (e endless) Read(b []byte) (int, error) {
	select {
	case <-e.context.Done():
		return 0, e.context.Err()
	case <-time.After(e.interval):
	}
	n := copy(b, bytes.Repeat([]byte(e.text), max(1, len(b)/len(e.text))))
	*e.read += n
	return n, nil
}

func (e endless) Close() error { return nil }

// stuck is a body that repeats a text up to a number of bytes, and then sends nothing until the attempt is cancelled.
type stuck struct {
	context context.Context
	text    string
	left    int
	// at is the place in the text.
	at int
}

func (s *stuck) Read(b []byte) (int, error) {
	if s.left <= 0 {
		<-s.context.Done()
		return 0, s.context.Err()
	}
	n := 0
	for n < len(b) && s.left > 0 {
		c := copy(b[n:min(len(b), n+s.left)], s.text[s.at:])
		s.at = (s.at + c) % len(s.text)
		s.left -= c
		n += c
	}
	return n, nil
}

func (s *stuck) Close() error { return nil }

// heapBytes returns the bytes of the heap that are in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// endlessReply returns the reply of an endpoint whose body has no end.
func endlessReply(verdict relay.Verdict, status int, body io.ReadCloser) relay.Reply {
	return relay.Reply{Verdict: verdict, Status: status, Confidence: -1, Length: -1, Body: body}
}

// Guards against waiting for the end of a body that never comes before the request goes to another endpoint.
func TestEndlessBodyOfFirstEndpointDelaysLittle(t *testing.T) {
	for n, c := range map[string]struct {
		path    string
		verdict relay.Verdict
		status  int
		text    string
		// interval is the time between pieces of the body.
		interval time.Duration
	}{
		"refusal":     {"/look/x", relay.NotRun, 503, "a", 50 * time.Millisecond},
		"failure":     {"/look/x", relay.Failed, 500, "a", 50 * time.Millisecond},
		"blank lines": {"/write/x", relay.Ran, 200, "\n", 10 * time.Millisecond},
		"comments":    {"/write/x", relay.Ran, 200, ":\n\n", 10 * time.Millisecond},
	} {
		t.Run(n, func(t *testing.T) {
			inSynctest(t, func(t *testing.T, i *is.I) {
				b := 0
				h := newHarness(3, func(n int, ctx context.Context, _ relay.Attempt) relay.Reply {
					if n == 1 {
						return endlessReply(c.verdict, c.status, endless{ctx, c.text, c.interval, &b})
					}
					return ran("id: 1\ndata: x\n\n")
				})
				s := time.Now()
				r := h.serve(t.Context(), c.path, "key")
				i.Equal(h.sender.count(), 2)
				i.Equal(r.status, 200)
				i.True(time.Since(s) < 4*time.Second)
				i.True(b <= 8<<20)
			})
		})
	}
}

// Guards against passing on an answer without end: it has a bound on its size.
func TestEndlessAnswerIsAborted(t *testing.T) {
	for n, c := range map[string]struct{ path, text string }{
		"plain answer": {"/look/x", "a"},
		"events":       {"/write/x", "id: 1\ndata: x\n\n"},
		"one line":     {"/write/x", "a"},
		"one event":    {"/write/x", "data: a\n"},
	} {
		t.Run(n, func(t *testing.T) {
			inSynctest(t, func(t *testing.T, i *is.I) {
				b := 0
				h := newHarness(3, func(_ int, ctx context.Context, _ relay.Attempt) relay.Reply {
					return endlessReply(relay.Ran, 200, endless{ctx, c.text, time.Microsecond, &b})
				})
				r := h.serve(t.Context(), c.path, "key")
				i.True(r.aborted)
				i.True(b <= 3*(64<<20)+(4<<20))
			})
		})
	}
}

// Guards against comments that are held without a bound: the endpoint that is to go on with a stream sends them without end,
// and never an event.
func TestEndlessCommentsOfResumedStreamAreNotKept(t *testing.T) {
	for n, text := range map[string]string{"comments": ": " + strings.Repeat("a", 1000) + "\n\n", "blank lines": strings.Repeat("\r", 1000) + "\n"} {
		t.Run(n, func(t *testing.T) {
			inSynctest(t, func(t *testing.T, i *is.I) {
				h := newHarness(3, func(n int, ctx context.Context, _ relay.Attempt) relay.Reply {
					if n == 1 {
						return cutAfter("id: 1\ndata: x\n\n")
					}
					return endlessReply(relay.Ran, 200, &stuck{context: ctx, text: text, left: 60 << 20})
				})
				x, f := context.WithCancel(t.Context())
				b := heapBytes()
				var w sync.WaitGroup
				w.Go(func() { h.serve(x, "/write/x", "key") })
				synctest.Wait()
				k := heapBytes() - b
				t.Logf("%d bytes kept", k)
				i.Equal(h.sender.count(), 2)
				i.True(k <= 1<<20) // no more than an event may have
				f()
				w.Wait()
			})
		})
	}
}

// call is a request whose answer goes to a sink.
type call struct {
	harness *harness
	context context.Context
	sink    *sink
}

func (c call) run() { c.harness.serveTo(c.context, c.sink, "r", "/write/x", "key") }

// Guards against comments that are held for a stream's next event, which may never come.
func TestCommentsOfResumedStreamAreNotHeld(t *testing.T) {
	inSynctest(t, func(t *testing.T, i *is.I) {
		r, w := io.Pipe()
		defer w.Close() //nolint:errcheck // ends the answer
		h := newHarness(3, func(n int, _ context.Context, _ relay.Attempt) relay.Reply {
			if n == 1 {
				return cutAfter("id: 1\ndata: x\n\n")
			}
			return endlessReply(relay.Ran, 200, r)
		})
		s := &sink{}
		x, f := context.WithCancel(t.Context())
		defer f()
		c := call{h, x, s}
		go c.run()
		write := func(text string) {
			_, err := io.WriteString(w, text)
			i.NoErr(err)
			synctest.Wait()
		}
		write(": before\n\n")
		i.Equal(s.body.String(), "id: 1\ndata: x\n\n") // the endpoint hasn't shown yet that it goes on
		write("id: 2\ndata: y\n\n")
		i.Equal(s.body.String(), "id: 1\ndata: x\n\n: before\n\nid: 2\ndata: y\n\n")
		write(": behind\n\n")
		i.True(bytes.HasSuffix(s.body.Bytes(), []byte("id: 2\ndata: y\n\n: behind\n\n")))
		i.NoErr(w.Close())
		synctest.Wait()
		i.True(!s.aborted)
	})
}
