package relay_test

import (
	"bytes"
	"context"
	"io"
	"testing"
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
