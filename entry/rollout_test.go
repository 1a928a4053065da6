package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/table"
)

// rollingControl is a control host that tells of a rollout with its first reply, which has a configuration too.
type rollingControl struct{}

func (rollingControl) Exchange(q ctlrpc.ExchangeRequest, n *ctlrpc.ExchangeReply) error {
	n.Current, n.Sure = true, true
	n.Rollouts = []canary.View{{Rollout: canary.Rollout{Service: "s", Target: "v2", Outcome: canary.RolledBack, Serial: 1}}}
	if q.Known.TableVersion == 0 {
		n.TableVersion, n.Document = 1, []byte("1")
		return nil
	}
	time.Sleep(waitingReply)
	return nil
}

// Guards against a host that starts, and sends requests to a version that was rolled back since it takes the configuration before it takes
// the rollouts of the same reply.
func TestRolloutsAreInForceBeforeConfiguration(t *testing.T) {
	i := is.New(t)
	s := make(chan *pick.Set, 1)
	var early bool
	decode := func([]byte) (table.Table, error) {
		_, early = (<-s).Rollout("s")
		return table.Table{Version: 1}, nil
	}
	e, r := newEntry(hostOptions{port: listenService(t, rollingControl{}, 0, 0), seeds: []string{slowAddress(0) + ":1"}, decode: decode})
	t.Cleanup(e.Stop)
	s <- r.Endpoints
	i.True(getsReady(e))
	i.True(early) // the rollout was known when the configuration was decoded
}
