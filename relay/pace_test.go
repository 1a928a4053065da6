package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/relay"
)

// All hosts restart into a full pool: nothing was measured yet and no endpoint is idle, so that nothing can
// be. The smallest model must not look as slow as the largest, else requests go to the largest at once.
func TestRestartIntoAFullPoolStartsWithTheSmallest(t *testing.T) {
	inBubble(t, func(_ *testing.T, i *is.I) {
		w := newWorld(3, func(int, context.Context, relay.Attempt) relay.Reply { return sure(60, event(1)) })
		l := map[string]ctlrpc.Load{}
		for _, e := range []string{"draft0", "draft1", "draft2"} {
			l[e] = ctlrpc.Load{Requests: 60, Backlog: 4000}
		}
		w.set.SetRemoteLoads(l)
		for range 10 {
			s := &sink{}
			w.relay.Serve(context.Background(), &relay.Request{
				ID: "r", Method: "POST", Host: "h", Path: "/write/1", Key: "key", Received: time.Now(), Prompt: relay.Prompt{Tokens: 12000, Output: 400},
			}, s)
		}
		for _, a := range w.sender.attempts {
			i.Equal(a.Model, "small")
		}
	})
}
