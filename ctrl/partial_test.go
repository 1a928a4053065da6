package ctrl_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
)

// silentHeartbeats is the number of heartbeats after which an endpoint that sends nothing is removed at all control hosts.
const silentHeartbeats = 9

// Guards against a control host that gives its fleet for the whole one though it has just started, and against one that never does.
func TestFleetIsPartialUntilAllEndpointsMustHaveReported(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	s := c.hosts[address(0)].state
	w := silentHeartbeats * s.Heartbeat
	for _, v := range []struct {
		age  time.Duration
		want bool
	}{{0, true}, {w - 1, true}, {w, false}, {time.Hour, false}} {
		i.Equal(ctrl.NewReplyBuilder().Build(s, ctlrpc.ExchangeRequest{}, v.age).FleetPartial, v.want)
	}
}
