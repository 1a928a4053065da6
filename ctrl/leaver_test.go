package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// report returns a report of one start of an endpoint.
func report(id string, born, sequence int64, p fleet.Phase) fleet.Report {
	return fleet.Report{ID: id, Born: born, Sequence: sequence, Service: "s", Address: "10.0.1.1:" + id, Phase: p}
}

// endpointReports passes a report of an endpoint to a host, which passes it on.
func (c *cluster) endpointReports(a string, r fleet.Report) {
	c.reduce(a, ctrl.EndpointReported{Report: r})
}

// phaseAt returns the phase of an endpoint by one host. An unknown one counts as departed.
func (c *cluster) phaseAt(a, id string) fleet.Phase {
	if e, ok := c.hosts[a].state.Fleet.Get(id); ok {
		return e.Phase
	}
	return fleet.Departed
}

// Guards against requests at endpoints that have left: all control hosts are killed right after the acknowledgement, and start
// with what they remembered from before it. One of them may have lost its disk.
func TestAcknowledgedLeaveSurvivesKillOfAllControlHosts(t *testing.T) {
	for _, p := range []fleet.Phase{fleet.Leaving, fleet.Departed} {
		for wiped := range 4 {
			t.Run(fmt.Sprintf("%s, host %d wiped", p, wiped), func(t *testing.T) {
				i := is.New(t)
				messageQueue = nil
				c := newCluster(t, 3)
				c.run(3 * time.Second)
				c.endpointReports(address(0), report("1", 7, 1, fleet.Ready))
				c.endpointReports(address(0), report("2", 7, 1, fleet.Ready))
				c.run(time.Second)
				m := c.hosts[address(1)].state.Memory()
				i.Equal(c.submit(address(2), ctlrpc.Order{Verb: ctlrpc.Retire, Endpoint: report("1", 7, 2, p)}).Status, ctlrpc.Accepted)
				messageQueue = nil
				for k := range 3 {
					c.kill(address(k))
				}
				for k := range 3 {
					if k == wiped {
						c.wipe(address(k))
						continue
					}
					c.start(address(k))
					c.hosts[address(k)].state = c.hosts[address(k)].state.WithMemory(m)
				}
				c.run(2500 * time.Millisecond)
				c.endpointReports(address(0), report("1", 7, 1, fleet.Ready)) // late
				c.endpointReports(address(0), report("2", 7, 2, fleet.Ready))
				c.run(500 * time.Millisecond)
				for k := range 3 {
					i.True(c.phaseAt(address(k), "1") >= p)
					i.True(c.phaseAt(address(k), "2") == fleet.Ready)
				}
				c.endpointReports(address(0), report("1", 8, 1, fleet.Ready)) // another start
				i.True(c.phaseAt(address(1), "1") == fleet.Ready)
			})
		}
	}
}

// Guards against leaves that a snapshot of the control log forgets, and against a log that holds all of them for good.
func TestLeaversAreKeptInSnapshots(t *testing.T) {
	i := is.New(t)
	messageQueue = nil
	c := newCluster(t, 3)
	c.run(3 * time.Second)
	const count = 1100
	for n := range count {
		i.Equal(c.submit(address(0), ctlrpc.Order{Verb: ctlrpc.Retire, Endpoint: report(fmt.Sprint(n), 7, 2, fleet.Departed)}).Status, ctlrpc.Accepted)
	}
	l := c.hosts[c.leader()].state.Log.LastIndex()
	i.Equal(c.submit(address(0), ctlrpc.Order{Verb: ctlrpc.Retire, Endpoint: report(fmt.Sprint(count-1), 7, 3, fleet.Leaving)}).Status, ctlrpc.Accepted) // repeated
	i.Equal(c.hosts[c.leader()].state.Log.LastIndex(), l)
	s := c.hosts[address(0)].stored.Snapshot
	i.True(s.Index > 900)
	m, err := ctrl.StateMachine{}.WithSnapshot(quorum.Snapshot{Index: s.Index, Data: s.Data})
	i.NoErr(err)
	i.True(m.Corrected(report(fmt.Sprint(s.Index-100), 7, 1, fleet.Ready)).Phase == fleet.Departed)
	i.Equal(len(c.hosts[address(0)].state.StateMachine.Leavers), 1024)
	i.True(c.hosts[address(0)].state.StateMachine.Corrected(report("0", 7, 1, fleet.Ready)).Phase == fleet.Ready) // dropped as the oldest
}

// Guards against an acknowledged departure that holds nowhere: it names no start, and was sent to a host that doesn't know the
// endpoint.
func TestDepartureWithoutStartIsThatOfTheKnownStart(t *testing.T) {
	i := is.New(t)
	messageQueue = nil
	c := newCluster(t, 3)
	c.run(3 * time.Second)
	l := c.leader()
	c.endpointReports(l, report("1", 7, 1, fleet.Ready))
	i.Equal(c.submit(l, ctlrpc.Order{Verb: ctlrpc.Retire, Endpoint: fleet.Report{ID: "1", Phase: fleet.Departed}}).Status, ctlrpc.Accepted)
	c.run(time.Second)
	for k := range 3 {
		i.Equal(c.phaseAt(address(k), "1"), fleet.Departed)
	}
}
