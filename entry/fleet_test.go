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
	// partial is the number of replies for which the control host hasn't heard of all endpoints.
	partial int64
	// gone are the endpoints that it remembered at its start, and no longer names from its second reply on.
	gone []string
}

func (c fleetControl) Exchange(q ctlrpc.ExchangeRequest, n *ctlrpc.ExchangeReply) error {
	if c.once && c.replies.Load() > 0 {
		return fmt.Errorf("stops")
	}
	time.Sleep(waitingReply)
	n.Control, n.Current, n.Sure, n.FleetRevision = c.name, c.current, c.current, uint64(len(c.fleet))
	n.FleetPartial = c.replies.Load() < c.partial
	if q.Known.Control != c.name || q.Known.FleetRevision != n.FleetRevision {
		n.FleetNew, n.Reports = true, c.fleet
	}
	if len(c.gone) > 0 && q.Known.Control == c.name {
		n.FleetRevision++
		n.FleetNew, n.Reports, n.Gone = false, nil, c.gone
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
	awaitReplies(a, 1)
	listenService(t, b, 1, p)
	awaitReplies(b, 3)
	i.True(b.replies.Load() >= 3)
	i.Equal(r.Endpoints.ReadyCounts()["s"], 1)
}

// Guards against an entry host that forgets endpoints, and refuses requests, since a control host that was restarted remembers them and
// hasn't heard of them since: they report to another one.
func TestEndpointsThatPartialFleetNoLongerNamesAreKept(t *testing.T) {
	i := is.New(t)
	l := []fleet.Report{{ID: "e", Born: 5, Service: "s", Sequence: 1}}
	a := fleetControl{name: "a", current: true, fleet: l, once: true, replies: &atomic.Int64{}}
	b := fleetControl{name: "b", current: true, fleet: l, gone: []string{"e"}, replies: &atomic.Int64{}, partial: 100}
	p := listenService(t, a, 0, 0)
	e, r := newEntry(hostOptions{port: p, seeds: []string{slowAddress(0) + ":1", slowAddress(1) + ":1"}, decode: decodeVersion})
	t.Cleanup(e.Stop)
	awaitReplies(a, 1)
	listenService(t, b, 1, p)
	awaitReplies(b, 4)
	i.True(b.replies.Load() >= 4)
	i.Equal(r.Endpoints.ReadyCounts()["s"], 1)
}

// Guards against an endpoint that an entry host keeps for good, since it is gone and the control host that answers has never heard of it.
func TestWholeFleetReplacesEndpointsOnceControlHostHasHeardOfAll(t *testing.T) {
	for _, v := range []struct {
		name string
		// partial is the number of replies with a partial fleet, and want the number of endpoints after them and at the end.
		partial           int64
		between, wantLast int
	}{{"after a partial one", 3, 2, 1}, {"at once", 0, 1, 1}} {
		t.Run(v.name, func(t *testing.T) {
			i := is.New(t)
			a := fleetControl{name: "a", current: true, fleet: []fleet.Report{{ID: "gone", Born: 5, Service: "s", Sequence: 1}}, once: true, replies: &atomic.Int64{}}
			b := fleetControl{name: "b", current: true, fleet: []fleet.Report{{ID: "e", Born: 5, Service: "s", Sequence: 1}}, replies: &atomic.Int64{}, partial: v.partial}
			p := listenService(t, a, 0, 0)
			e, r := newEntry(hostOptions{port: p, seeds: []string{slowAddress(0) + ":1", slowAddress(1) + ":1"}, decode: decodeVersion})
			t.Cleanup(e.Stop)
			awaitReplies(a, 1)
			listenService(t, b, 1, p)
			awaitReplies(b, 2)
			if v.partial > 0 {
				i.Equal(r.Endpoints.ReadyCounts()["s"], v.between)
			}
			awaitReplies(b, v.partial+3)
			i.Equal(r.Endpoints.ReadyCounts()["s"], v.wantLast)
		})
	}
}

// awaitReplies waits until a control host has replied a number of times.
func awaitReplies(c fleetControl, n int64) {
	for x := time.Now(); c.replies.Load() < n && time.Since(x) < 2*applyTime; {
		time.Sleep(time.Millisecond)
	}
}
