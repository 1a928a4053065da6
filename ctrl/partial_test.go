package ctrl_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/fleet"
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

// Guards against entry hosts that forget endpoints, since a control host that was suspended removes those whose reports wait in its sockets or
// went to others meanwhile, and says that its fleet is whole.
func TestFleetIsPartialAfterSuspension(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.reduce(address(0), ctrl.EndpointReported{Report: fleet.Report{ID: "e", Born: 5, Service: "s", Address: "10.0.1.1:1", DataCentre: "a", Sequence: 1}})
	s := c.hosts[address(0)].state
	k := ctlrpc.EntryState{Control: s.StartID, FleetRevision: s.Fleet.Revision}
	n := s.Now + 2*silentHeartbeats*s.Heartbeat
	s, _ = ctrl.Reduce(s, n, ctrl.Tick{})
	r := ctrl.NewReplyBuilder().Build(s, ctlrpc.ExchangeRequest{Known: k}, n)
	i.True(r.FleetPartial || len(r.Gone) == 0)
	r = ctrl.NewReplyBuilder().Build(s, ctlrpc.ExchangeRequest{}, n) // to an entry host that another control host answered before
	i.True(r.FleetPartial || len(r.Reports) > 0)
}

// Guards against endpoints that a control host which was suspended never removes, though they have sent nothing since it went on.
func TestSilentEndpointIsRemovedAfterSuspension(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.reduce(address(0), ctrl.EndpointReported{Report: fleet.Report{ID: "e", Born: 5, Service: "s", Address: "10.0.1.1:1", DataCentre: "a", Sequence: 1}})
	s := c.hosts[address(0)].state
	n := s.Now + 2*silentHeartbeats*s.Heartbeat
	w := 2 * s.Heartbeat // each endpoint that runs reports in that time
	for at := n; at <= n+w; at += s.Heartbeat / 10 {
		s, _ = ctrl.Reduce(s, at, ctrl.Tick{})
		i.Equal(len(s.Fleet.Reports()) == 0, at == n+w)
	}
}

// Guards against silent endpoints that a control host short of processor time never removes: its ticks are late again and again.
func TestSilentEndpointIsRemovedByHostThatIsHeldUpOften(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.reduce(address(0), ctrl.EndpointReported{Report: fleet.Report{ID: "e", Born: 5, Service: "s", Address: "10.0.1.1:1", DataCentre: "a", Sequence: 1}})
	s := c.hosts[address(0)].state
	ran := time.Duration(0) // the time for which the host wasn't held up
	for at := s.Now; len(s.Fleet.Reports()) > 0 && ran < time.Minute; {
		for range 10 {
			at += s.Heartbeat / 10
			ran += s.Heartbeat / 10
			s, _ = ctrl.Reduce(s, at, ctrl.Tick{})
		}
		at += 2 * s.Heartbeat
		s, _ = ctrl.Reduce(s, at, ctrl.Tick{})
	}
	i.True(ran <= (silentHeartbeats+1)*s.Heartbeat)
}
