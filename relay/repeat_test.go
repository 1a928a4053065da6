package relay_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/relay"
)

// Guards against a request that is sent to an endpoint once more without a sign that its ID doesn't tell the answers apart.
func TestRequestSentToEndpointAgainSaysSo(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		h := newHarness(2, func(n int, _ context.Context, _ relay.Attempt) relay.Reply {
			if n < 3 {
				return failed()
			}
			return ran("mine")
		})
		s := h.serve(context.Background(), "/look/1", "key")
		i.Equal(s.status, 200)
		var l []bool
		for _, a := range h.sender.attempts {
			l = append(l, a.Repeated)
		}
		i.Equal(l, []bool{false, false, true}) // two endpoints, then one of them again
	})
}
