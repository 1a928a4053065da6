package ctrl_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/drain"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// startDrainable returns a cluster of three hosts with a leader, whose data centres a, b and c may be drained.
func startDrainable(t *testing.T) *cluster {
	messageQueue = nil
	c := newCluster(t, 0)
	c.centres = []string{"a", "b", "c"}
	for k, v := range newCluster(t, 3).hosts {
		c.hosts[k] = v
		c.start(k)
	}
	c.run(3 * time.Second)
	return c
}

func startOf(centre string) ctlrpc.Order {
	return ctlrpc.Order{Verb: ctlrpc.StartDrain, DataCentre: centre}
}

func endOf(centre string) ctlrpc.Order {
	return ctlrpc.Order{Verb: ctlrpc.EndDrain, DataCentre: centre}
}

// sendAll sends orders to hosts in turn before any of them is committed, and returns the replies.
func (c *cluster) sendAll(orders ...ctlrpc.Order) []ctlrpc.OrderReply {
	b := c.lastCall
	for k, o := range orders {
		c.lastCall++
		c.reduce(address(k%3), ctrl.OrderReceived{CallID: c.lastCall, Order: o})
	}
	c.run(time.Second)
	var r []ctlrpc.OrderReply
	for k := range orders {
		r = append(r, c.replies[b+uint64(k)+1])
	}
	return r
}

// drainsAt returns the state of drains at a host.
func (c *cluster) drainsAt(k int) drain.State { return c.hosts[address(k)].state.StateMachine.Drains }

// lastIndex returns the last index of the leader's log.
func (c *cluster) lastIndex() uint64 { return c.hosts[c.leader()].state.Log.LastIndex() }

// Guards against orders sent at once that drain all data centres, and against an acceptance that doesn't confirm the change.
func TestDrainOrdersSentAtOnceLeaveOneDataCentre(t *testing.T) {
	i := is.New(t)
	c := startDrainable(t)
	r := c.sendAll(startOf("a"), startOf("b"), startOf("c"), startOf("a"), startOf("b"), startOf("c"), endOf("c"), startOf("a"))
	i.Equal(len(c.drainsAt(0).Drained()), 2)
	for k := range r {
		switch s := r[k].Status; s {
		case ctlrpc.Accepted:
			i.True(r[k].Drain.Index > 0)
		default:
			i.Equal(s, ctlrpc.Conflict)
		}
	}
	for k := range 3 {
		i.Equal(c.drainsAt(k), c.drainsAt(0))
	}
}

// Guards against an order that is decided by something else than the log: the last of those sent to one host at once is in force.
func TestLogDecidesBetweenStartAndEnd(t *testing.T) {
	i := is.New(t)
	c := startDrainable(t)
	l := c.leader()
	for k := range 8 {
		c.lastCall++
		c.reduce(l, ctrl.OrderReceived{CallID: c.lastCall, Order: []ctlrpc.Order{startOf("a"), endOf("a")}[k%2]})
	}
	c.run(time.Second)
	for k := range uint64(8) {
		r := c.replies[c.lastCall-k]
		i.Equal(r.Status, ctlrpc.Accepted)
		i.Equal(r.Drain.Drained, k%2 == 1)
	}
	i.Equal(c.drainsAt(0).Drained(), nil)
	i.True(c.drainsAt(0)["a"].Index > 0) // kept for those who ask how long ago that was
}

// Guards against a refusal of an order that was accepted before, and against log entries for orders that change nothing.
func TestRepeatedDrainOrdersAreAcknowledged(t *testing.T) {
	i := is.New(t)
	c := startDrainable(t)
	l := c.lastIndex()
	e := c.submit(address(0), endOf("a")) // without a start
	i.Equal(e.Status, ctlrpc.Accepted)
	i.True(e.Drain.Index > 0)
	i.Equal(c.lastIndex(), l)
	a := c.submit(address(0), startOf("a"))
	b := c.submit(address(1), startOf("b"))
	i.Equal(a.Status, ctlrpc.Accepted)
	i.Equal(b.Status, ctlrpc.Accepted)
	l = c.lastIndex()
	for k := range 3 { // c is the last one now
		i.Equal(c.submit(address(k), startOf("a")).Drain, a.Drain)
		i.Equal(c.submit(address(k), startOf("b")).Drain, b.Drain)
		i.Equal(c.submit(address(k), startOf("c")).Status, ctlrpc.Conflict)
		i.Equal(c.submit(address(k), startOf("d")).Status, ctlrpc.Missing)
		i.Equal(c.submit(address(k), endOf("d")).Status, ctlrpc.Missing)
	}
	i.Equal(c.lastIndex(), l)
	i.Equal(c.submit(address(0), endOf("a")).Status, ctlrpc.Accepted)
	i.Equal(c.submit(address(0), startOf("c")).Status, ctlrpc.Accepted)
	i.Equal(c.submit(address(0), startOf("a")).Status, ctlrpc.Unavailable) // may be the first one, sent again
	c.run(6 * time.Second)
	i.Equal(c.submit(address(0), startOf("a")).Status, ctlrpc.Conflict)
}

// follower returns the address of a host that doesn't lead.
func (c *cluster) follower() string {
	for k := range 3 {
		if address(k) != c.leader() {
			return address(k)
		}
	}
	return ""
}

// Guards against an order that a follower forwards late, and that reverts one that was acknowledged since. The same order sent again is
// accepted, and a host that may lack committed entries takes none.
func TestOrderDeliveredLateDoesNotRevertAcknowledgedOne(t *testing.T) {
	i := is.New(t)
	c := startDrainable(t)
	f := c.follower()
	b := c.hosts[f]
	_, e := ctrl.Reduce(b.state, c.now-b.startedAt, ctrl.OrderReceived{CallID: 999, Order: startOf("a")})
	i.Equal(len(e), 1)
	i.Equal(c.submit(c.leader(), startOf("a")).Status, ctlrpc.Accepted)
	c.run(time.Second)
	i.Equal(c.submit(f, endOf("a")).Status, ctlrpc.Accepted)
	c.perform(f, e[0]) // the follower goes on
	c.run(time.Second)
	i.Equal(c.replies[999].Status, ctlrpc.Unavailable)
	i.Equal(c.drainsAt(0).Drained(), nil)
	i.Equal(c.submit(f, startOf("a")).Status, ctlrpc.Accepted)
	_, e = ctrl.Reduce(b.state, c.now-b.startedAt+time.Minute, ctrl.OrderReceived{CallID: 1000, Order: endOf("a")})
	i.Equal(e, []ctrl.Effect{ctrl.Respond{CallID: 1000}})
}

// Guards against a start at the last data centre that gets no clear answer since the control hosts have restarted: none has seen a drain
// there end.
func TestLastDataCentreIsRefusedAfterRestart(t *testing.T) {
	for _, entries := range []int{0, 220} { // the second one from a snapshot
		i := is.New(t)
		c := startDrainable(t)
		for _, o := range []ctlrpc.Order{startOf("c"), endOf("c"), startOf("a"), startOf("b")} {
			i.Equal(c.submit(address(0), o).Status, ctlrpc.Accepted)
		}
		for v := range entries {
			i.Equal(c.put(address(0), int64(v+1)).Status, ctlrpc.Accepted)
		}
		messageQueue = nil
		for k := range 3 {
			c.kill(address(k))
			c.start(address(k))
		}
		for c.leader() == "" {
			c.run(step)
		}
		i.Equal(c.submit(c.leader(), startOf("c")).Status, ctlrpc.Conflict)
	}
}

// Guards against an acknowledged order that reverts: all control hosts are killed right after it, and one of them loses its disk. The log is
// long, so that some start from a snapshot, in one of the cases.
func TestAcknowledgedDrainSurvivesKillOfAllControlHosts(t *testing.T) {
	for _, entries := range []int{0, 220} {
		for wiped := range 4 {
			t.Run(fmt.Sprintf("%d entries, host %d wiped", entries, wiped), func(t *testing.T) {
				i := is.New(t)
				c := startDrainable(t)
				i.Equal(c.submit(address(0), startOf("a")).Status, ctlrpc.Accepted)
				i.Equal(c.submit(address(0), endOf("a")).Status, ctlrpc.Accepted)
				for v := range entries {
					i.Equal(c.put(address(0), int64(v+1)).Status, ctlrpc.Accepted)
				}
				r := c.submit(address(2), startOf("b"))
				i.Equal(r.Status, ctlrpc.Accepted)
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
				}
				c.run(3 * time.Second)
				for k := range 3 {
					i.Equal(c.drainsAt(k).Drained(), []string{"b"})
					i.Equal(c.drainsAt(k)["b"].Index, r.Drain.Index)
					i.True(c.drainsAt(k)["a"].Index > 0)
				}
			})
		}
	}
}

// Guards against a start that fails, or state that is lost, with what other builds have written, and against snapshots that differ though no
// data centre was ever drained.
func TestDrainsBesideOlderBuilds(t *testing.T) {
	i := is.New(t)
	m, err := ctrl.StateMachine{}.WithSnapshot(quorum.Snapshot{Index: 5, Data: []byte(`{"applied":5,"document":{"version":3,"content":"YQ=="},"rollouts":null}`)})
	i.NoErr(err)
	i.Equal(m.Drains.Index(), uint64(0))
	b, err := json.Marshal(m)
	i.NoErr(err)
	i.True(!bytes.Contains(b, []byte("drain")))
	m, err = m.WithEntry(quorum.Entry{Index: 6, Data: []byte(`{"drain":{"data-centre":"a","drained":true,"known":["a","b"]},"later":1}`)})
	i.NoErr(err)
	m, err = m.WithEntry(quorum.Entry{Index: 7, Data: []byte(`{"put":{"version":4,"content":"YQ=="}}`)})
	i.NoErr(err)
	i.Equal(m.Drains, drain.State{"a": {Drained: true, Index: 6}})
	i.Equal(m.Document.Version, int64(4))
	b, err = json.Marshal(m)
	i.NoErr(err)
	n, err := ctrl.StateMachine{}.WithSnapshot(quorum.Snapshot{Index: 7, Data: b})
	i.NoErr(err)
	i.Equal(n.Drains, m.Drains)
}

// Guards against orders that a host takes without the setting, or refuses for good: others may have it.
func TestDrainOrdersAreOffByDefault(t *testing.T) {
	i := is.New(t)
	messageQueue = nil
	c := newCluster(t, 3)
	c.run(3 * time.Second)
	l := c.lastIndex()
	i.Equal(c.submit(address(0), startOf("a")), ctlrpc.OrderReply{})
	i.Equal(c.lastIndex(), l)
}

// drainsFor returns what a host tells an entry host that holds the drains with an index.
func (c *cluster) drainsFor(k int, index uint64) ctlrpc.Drains {
	a := address(k)
	s := c.hosts[a].state
	q := ctlrpc.ExchangeRequest{Report: ctlrpc.HostReport{Host: "h"}, Known: ctlrpc.EntryState{DrainIndex: index}}
	return ctrl.NewReplyBuilder().Build(s, q, c.sinceStart(a)).Drains
}

// Guards against entry hosts that are told of drains that may be old, or that they hold, or that their build doesn't know; and against an
// age that is above the true one, after which cold endpoints would count as warm.
func TestEntryHostsAreToldOfNewerDrains(t *testing.T) {
	i := is.New(t)
	c := startDrainable(t)
	i.Equal(c.drainsFor(0, ctlrpc.HoldsNoDrains), ctlrpc.Drains{})
	a, at := c.submit(address(0), startOf("a")).Drain, c.now
	c.run(2 * time.Second)
	b := c.submit(address(0), startOf("b")).Drain
	c.run(time.Second)
	d := c.drainsFor(0, ctlrpc.HoldsNoDrains)
	i.Equal(d.State, drain.State{"a": a, "b": b})
	i.Equal(d.Index, b.Index)
	i.True(d.Ages["a"] <= c.now-at && d.Ages["a"] > c.now-at-200*time.Millisecond)
	i.True(d.Ages["b"] < 1100*time.Millisecond)
	i.Equal(c.drainsFor(0, a.Index), d)
	for _, k := range []uint64{b.Index, b.Index + 1, 0} {
		i.Equal(c.drainsFor(0, k), ctlrpc.Drains{})
	}
	c.kill(address(0))
	c.start(address(0))
	i.Equal(c.drainsFor(0, ctlrpc.HoldsNoDrains), ctlrpc.Drains{}) // it may lack entries
	c.run(time.Second)
	d = c.drainsFor(0, ctlrpc.HoldsNoDrains)
	i.Equal(d.Index, b.Index)
	i.True(d.Ages["a"] <= time.Second)
}

// Guards against a control host that starts, and tells of the drains of its last snapshot before it holds all that is committed.
func TestDrainsOfSnapshotAreNotToldBeforeHostIsSynced(t *testing.T) {
	i := is.New(t)
	c := startDrainable(t)
	i.Equal(c.submit(address(0), startOf("a")).Status, ctlrpc.Accepted)
	for v := range int64(220) {
		i.Equal(c.put(address(0), v+1).Status, ctlrpc.Accepted)
	}
	for k := range 3 {
		c.kill(address(k))
	}
	c.start(address(0)) // alone
	c.run(time.Second)
	i.Equal(c.drainsAt(0).Drained(), []string{"a"})
	i.Equal(c.drainsFor(0, ctlrpc.HoldsNoDrains), ctlrpc.Drains{})
	c.start(address(1))
	c.run(3 * time.Second)
	d := c.drainsFor(0, ctlrpc.HoldsNoDrains)
	i.Equal(d.State.Drained(), []string{"a"})
	i.True(d.Ages["a"] >= 3*time.Second) // since the start, not since the next entry
}

// Guards against drains that wait as long as other changes do, and against exchanges without a pause: entry hosts of older builds never say that
// they hold the drains.
func TestDrainsAreToldAtOnceToHostsThatKnowThem(t *testing.T) {
	i := is.New(t)
	h, _, n := startPolling(t, startOptions{DataCentres: map[string]string{"a": "r", "b": "r"}}) // all are of an older build
	q := ctlrpc.ExchangeRequest{Report: ctlrpc.HostReport{Host: "new", Start: 1, Sequence: 1}, Known: ctlrpc.EntryState{DrainIndex: ctlrpc.HoldsNoDrains}}
	r, err := h.Exchange(q)
	i.NoErr(err)
	i.Equal(r.Drains, ctlrpc.Drains{})
	q.Known.Control, q.Known.TableVersion, q.Known.FleetRevision, q.Known.PoisonSum = r.Control, r.TableVersion, r.FleetRevision, r.PoisonSum
	q.Wait, q.Report.Sequence = time.Second, 2
	c := make(chan ctlrpc.ExchangeReply, 1)
	w := waitingExchange{h, q, c}
	go w.run()
	time.Sleep(100 * time.Millisecond)
	calm := exchangeRate(n, func() { time.Sleep(time.Second / 2) })
	b := time.Now()
	i.Equal(h.Do(startOf("a")).Status, ctlrpc.Accepted)
	r = <-c
	i.True(time.Since(b) < 200*time.Millisecond)
	i.Equal(r.Drains.State.Drained(), []string{"a"})
	i.True(exchangeRate(n, func() { time.Sleep(time.Second / 2) }) <= 2*calm)
}

// waitingExchange is an exchange whose reply is passed on.
type waitingExchange struct {
	host    *ctrl.Host
	request ctlrpc.ExchangeRequest
	reply   chan<- ctlrpc.ExchangeReply
}

func (w waitingExchange) run() {
	r, _ := w.host.Exchange(w.request) // an error gives an empty reply
	w.reply <- r
}

// Guards against a rollout that ends by endpoints to which no request may go: all of the target's are in a data centre that may be drained;
// and against one that is promoted since most endpoints of the others are.
func TestRolloutCountsNoEndpointsOfDrainedDataCentre(t *testing.T) {
	for _, v := range []struct {
		name    string
		drained bool
		target  string
		others  int
		done    bool
	}{
		{"not drained", false, "a", 1, true},
		{"target drained", true, "a", 1, false},
		{"few targets", false, "b", 8, false},
		{"others drained", true, "b", 8, false},
	} {
		t.Run(v.name, func(t *testing.T) {
			i := is.New(t)
			c := startDrainable(t)
			l := c.leader()
			if v.drained {
				i.Equal(c.submit(l, startOf("a")).Status, ctlrpc.Accepted)
			}
			i.Equal(c.submit(l, ctlrpc.Order{Verb: ctlrpc.StartRollout, Rollout: canary.Rollout{Service: "s", Target: "v2", Budget: 5 * time.Second}}).Status, ctlrpc.Accepted)
			report := func(id, centre, version string, n int64) {
				c.endpointReports(l, fleet.Report{ID: id, Born: 1, Sequence: n + 1, Service: "s", Address: "10.0.1.1:" + id, DataCentre: centre, Version: version})
			}
			o := map[string]string{"a": "b", "b": "a"}[v.target]
			for n := range int64(24) { // without a request
				report("target", v.target, "v2", n)
				for k := range v.others {
					report(fmt.Sprint("other", k), o, "v1", n)
				}
				c.run(500 * time.Millisecond)
			}
			i.Equal(c.hosts[l].state.StateMachine.Rollouts["s"].Outcome == canary.Done, v.done)
		})
	}
}
