package proxy_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/itest"
	"github.com/hickoryshelf/hickoryshelf/relay"
)

// errReset is why the endpoint's answer breaks off.
var errReset = errors.New("reset")

// Guards against answers for other hosts that end early without a line that tells who ended them.
func TestEndOfAnswerForAnotherHostIsLogged(t *testing.T) {
	for by, end := range map[string]func(h *helping, w *io.PipeWriter, leave context.CancelFunc){
		"endpoint": func(_ *helping, w *io.PipeWriter, _ context.CancelFunc) { _ = w.CloseWithError(errReset) },
		"host":     func(h *helping, _ *io.PipeWriter, _ context.CancelFunc) { h.server.Close() },
		"origin":   func(_ *helping, _ *io.PipeWriter, leave context.CancelFunc) { leave() },
	} {
		t.Run(by, func(t *testing.T) {
			i := is.New(t)
			r, w := io.Pipe()
			h := startHelping(t, func(ctx context.Context) relay.Reply {
				context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) }) // as the connection to the endpoint does
				return answering(r)(ctx)
			})
			c, leave := context.WithCancel(t.Context())
			defer leave()
			p, _ := client().Send(c, helper(h.address), attempt())
			_, err := io.WriteString(w, "event")
			i.NoErr(err)
			_, err = io.ReadFull(p.Body, make([]byte, len("event")))
			i.NoErr(err)
			end(h, w, leave)
			d := drain{p.Body}
			go d.run()
			itest.Eventually(t, 5*time.Second, func() error {
				if h.log.LastEntry().Data["ended-by"] != by {
					return errors.New("no line says that the answer was ended by the " + by)
				}
				return nil
			})
			i.Equal(h.log.LastEntry().Data["id"], "r1")
		})
	}
}

// drain reads a body to its end and closes it.
type drain struct{ body io.ReadCloser }

func (d drain) run() {
	_, _ = io.Copy(io.Discard, d.body) // how it ends doesn't matter
	_ = d.body.Close()
}

// Guards against statuses that no answer may have, which hosts of earlier builds pass on.
func TestStatusThatIsNoneIsNotTakenFromOtherHosts(t *testing.T) {
	for _, n := range []int{0, 99, 101, 600, 999} {
		for _, v := range []relay.Verdict{relay.Ran, relay.Failed, relay.NotRun} {
			i := is.New(t)
			h := startHelping(t, func(context.Context) relay.Reply {
				return relay.Reply{Verdict: v, Status: n, Confidence: -1, Length: 2, Body: io.NopCloser(strings.NewReader("no"))}
			})
			r, p := client().Send(t.Context(), helper(h.address), attempt())
			i.Equal(p.Result, relay.Delivered)
			i.Equal(r.Verdict, relay.Unknown)
			i.Equal(r.Status, 0)
			i.True(r.Body == nil)
		}
	}
}
