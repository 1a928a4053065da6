package entry_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
)

// fleetControl is a control host that replies with a fleet, once or again and again.
type fleetControl struct {
	name    string
	current bool
	fleet   []fleet.Report
	once    bool
	replies *atomic.Int64
}

func (c fleetControl) Exchange(q ctlrpc.ExchangeRequest, n *ctlrpc.ExchangeReply) error {
	if c.once && c.replies.Load() > 0 {
		return fmt.Errorf("stops")
	}
	time.Sleep(waitingReply)
	n.Control, n.Current, n.Sure, n.FleetRevision = c.name, c.current, c.current, uint64(len(c.fleet))
	if q.Known.Control != c.name {
		n.FleetNew, n.Reports = true, c.fleet
	}
	c.replies.Add(1)
	return nil
}

func (c fleetControl) Leader(_ ctlrpc.Ack, r *ctlrpc.LeaderReply) error {
	r.Current = c.current
	return nil
}

// Guards against an entry host that forgets all endpoints, and refuses all requests, since a control host that has just joined with an empty
// disk, and hasn't heard of any yet, answers it first after another one was lost.
func TestFleetOfControlHostThatHasJustJoinedForgetsNoEndpoints(t *testing.T) {
	i := is.New(t)
	a := fleetControl{name: "a", current: true, fleet: []fleet.Report{{ID: "e", Born: 5, Service: "s", Sequence: 1}}, once: true, replies: &atomic.Int64{}}
	b := fleetControl{name: "b", replies: &atomic.Int64{}}
	p := listenService(t, a, 0, 0)
	e, r := newEntry(hostOptions{port: p, seeds: []string{slowAddress(0) + ":1", slowAddress(1) + ":1"}, decode: decodeVersion})
	t.Cleanup(e.Stop)
	for x := time.Now(); a.replies.Load() == 0 && time.Since(x) < applyTime; {
		time.Sleep(time.Millisecond)
	}
	listenService(t, b, 1, p)
	for x := time.Now(); b.replies.Load() < 3 && time.Since(x) < 2*applyTime; {
		time.Sleep(time.Millisecond)
	}
	i.True(b.replies.Load() >= 3)
	i.Equal(r.Endpoints.ReadyCounts()["s"], 1)
}
