package relay_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/relay"
)

// lateReader is an answer whose bytes are read after a time.
type lateReader struct {
	io.Reader
	wait time.Duration
}

func (r *lateReader) Read(b []byte) (int, error) {
	time.Sleep(r.wait)
	r.wait = 0
	return r.Reader.Read(b)
}

// Guards against an answer without a length that ends with its endpoint and counts as complete, because an event that the endpoint
// had sent on another connection before is read after it.
func TestEventReadLateDoesNotMakeOpenEndedAnswerComplete(t *testing.T) {
	inSynctest(t, func(t *testing.T, i *is.I) {
		const late, end = 500 * time.Millisecond, 200 * time.Millisecond
		h := newHarness(1, func(n int, _ context.Context, _ relay.Attempt) relay.Reply {
			r := ran("data: a\n\n")
			r.EndsWithConnection = n == 2
			if n < 3 {
				r.Body = body{Reader: &lateReader{r.Body, []time.Duration{late, end}[n-1]}}
			}
			return r
		})
		var w sync.WaitGroup
		w.Go(func() { h.serve(t.Context(), "/write/1", "key") })
		time.Sleep(time.Millisecond)
		h.serve(t.Context(), "/write/2", "key")
		i.Equal(len(h.relay.Poison.Pending()), 1)
		w.Wait()
		h.relay.ConfirmEnds()
		i.Equal(len(h.relay.Poison.Pending()), 1) // the event of the first stream tells nothing
		h.serve(t.Context(), "/write/3", "key")
		h.relay.ConfirmEnds()
		i.Equal(len(h.relay.Poison.Pending()), 0) // the endpoint has answered a later request
	})
}
