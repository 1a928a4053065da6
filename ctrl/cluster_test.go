package ctrl_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/store"
)

const (
	step  = 5 * time.Millisecond
	delay = time.Millisecond
)

var timing = quorum.Timing{Heartbeat: 120 * time.Millisecond, Election: 600 * time.Millisecond}

// testHost is a control host with a simulated disk.
type testHost struct {
	state  ctrl.State
	stored store.QuorumState
	diskID string
	up     bool
	// startedAt is the cluster time at which the host's own clock was 0.
	startedAt time.Duration
	// writes are those that wait for the disk. stalled is set while it writes nothing.
	writes  *ctrl.WriteQueue
	stalled bool
	// full is set while each write fails. generation is that of the writes after the newest failure, if failed is set.
	full, failed bool
	generation   uint64
	// suspended is set while the process doesn't run. The messages in waiting come after that.
	suspended bool
	waiting   []quorum.Message
}

// cluster runs control hosts on a simulated clock and without a network. Messages arrive at once unless blocked returns
// true for their sender and receiver.
type cluster struct {
	t          testing.TB
	now        time.Duration
	hosts      map[string]*testHost
	blocked    func(from, to string) bool
	replies    map[uint64]ctlrpc.OrderReply
	lastCall   uint64
	startCount int
	// each is called after each step of run.
	each func()
	// old holds the hosts of an older build, whose messages lack what that doesn't know.
	old map[string]bool
	// centres holds the data centres that may be drained, at hosts that start from then on.
	centres []string
	// seeds returns the seeds in the settings of hosts that look for the control log. If it is nil, they know all hosts.
	seeds func() []string
	// delayed reports whether a message stays on its way until release, in held.
	delayed func(from, to string) bool
	held    []queuedMessage
}

// newCluster starts a cluster whose first hosts are the seeds of the control log.
func newCluster(t testing.TB, seeds int) *cluster {
	c := &cluster{t: t, each: func() {}, hosts: map[string]*testHost{}, blocked: func(string, string) bool { return false }, replies: map[uint64]ctlrpc.OrderReply{}}
	var l []quorum.NodeID
	for k := range seeds {
		l = append(l, ctrl.Node(address(k), "founder"))
	}
	p := ctrl.BootstrapPeers(l)
	for k := range seeds {
		c.hosts[address(k)] = &testHost{diskID: "founder", stored: store.QuorumState{
			Hard: quorum.HardState{Term: 1}, Snapshot: quorum.Snapshot{Index: 1, Term: 1, Peers: p},
		}}
		c.start(address(k))
	}
	return c
}

func address(k int) string { return fmt.Sprintf("10.0.0.%d:7", k+1) }

// start starts a host from the content of its disk.
func (c *cluster) start(a string) {
	c.t.Helper()
	c.startCount++
	b := c.hosts[a]
	n := ctrl.Node(a, b.diskID)
	s, err := ctrl.New(ctrl.Options{
		Node: n, StartID: fmt.Sprint(c.startCount), Heartbeat: time.Second, Exposure: canary.Exposure{Share: 0.15, Slack: 30}, DataCentres: c.centres,
		Log: quorum.New(n, timing, b.stored.Hard, b.stored.Snapshot, b.stored.Entries, uint64(c.startCount)),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	b.state, b.up, b.writes, b.startedAt, b.failed = s, true, ctrl.NewWriteQueue(), c.now, false
}

// kill stops a host and loses the writes that are not on its disk.
func (c *cluster) kill(a string) { c.hosts[a].up = false }

// wipe stops a host, empties its disk and starts it again with another disk identity.
func (c *cluster) wipe(a string) {
	c.startCount++
	c.hosts[a] = &testHost{diskID: fmt.Sprint("disk", c.startCount)}
	c.start(a)
}

// reduce passes an event to a running host and performs the effects.
func (c *cluster) reduce(a string, e ctrl.Event) {
	b := c.hosts[a]
	if b == nil || !b.up {
		return
	}
	if b.suspended {
		if m, ok := e.(ctrl.MessagesReceived); ok {
			b.waiting = append(b.waiting, m.Messages...)
		}
		return
	}
	s, f := ctrl.Reduce(b.state, c.now-b.startedAt, e)
	b.state = s
	for _, x := range f {
		c.perform(a, x)
	}
}

// perform performs an effect of the host at address a.
func (c *cluster) perform(a string, e ctrl.Effect) {
	switch v := e.(type) {
	case ctrl.Write:
		b := c.hosts[a]
		b.writes.Add(v)
		if !b.stalled {
			c.flush(a)
		}
	case ctrl.Respond:
		c.replies[v.CallID] = v.Reply
	case ctrl.Forward:
		if to := ctrl.Address(v.To); !c.blocked(a, to) {
			c.reduce(to, ctrl.OrderReceived{CallID: v.CallID, Order: v.Order})
		}
	case ctrl.SendGossip:
		for _, o := range c.hosts[a].state.ControlAddresses() {
			if o != a && !c.blocked(a, o) {
				c.reduce(o, ctrl.GossipReceived{Gossip: v.Gossip})
			}
		}
	case ctrl.EntryFailed:
		c.t.Fatal(v.Err)
	}
}

// flush performs the pending writes of a host and queues their messages.
func (c *cluster) flush(a string) {
	b := c.hosts[a]
	for _, v := range b.writes.Take() {
		if b.full && !v.Persist.Empty() {
			b.failed, b.generation = true, b.writes.Advance()
			return
		}
		b.stored = withPersisted(b.stored, v.Persist)
		for _, m := range v.Messages {
			if c.old[a] {
				m.Unready, m.ReplyStamp = false, 0
			}
			c.send(a, m)
		}
		if k := len(v.Persist.Entries); k > 0 {
			e := v.Persist.Entries[k-1]
			c.reduce(a, ctrl.Persisted{Persisted: quorum.Persisted{Index: e.Index, Term: e.Term}})
		}
	}
}

// send puts a message on its way, unless its receiver is gone or cut off.
func (c *cluster) send(from string, m quorum.Message) {
	to := ctrl.Address(m.To)
	switch {
	case c.blocked(from, to) || c.hosts[to] == nil:
	case c.delayed != nil && c.delayed(from, to):
		c.held = append(c.held, queuedMessage{to, m})
	default:
		c.enqueue(to, m)
	}
}

// release delivers the messages that were delayed, after a change of their order.
func (c *cluster) release(reorder func([]queuedMessage)) {
	q := c.held
	c.delayed, c.held = nil, nil
	reorder(q)
	messageQueue = append(messageQueue, q...)
}

// withPersisted returns the content of a disk after a write, by the rules of package store.
func withPersisted(h store.QuorumState, p quorum.Persist) store.QuorumState {
	if p.Snapshot != nil {
		h.Snapshot = *p.Snapshot
		k := slices.IndexFunc(h.Entries, func(e quorum.Entry) bool { return e.Index == p.Snapshot.Index && e.Term == p.Snapshot.Term })
		if k < 0 {
			k = len(h.Entries) - 1 // they don't follow the snapshot
		}
		h.Entries = slices.Clone(h.Entries[k+1:])
	}
	if p.Hard != nil {
		h.Hard = *p.Hard
	}
	for _, e := range p.Entries {
		h.Entries = slices.DeleteFunc(slices.Clone(h.Entries), func(o quorum.Entry) bool { return o.Index >= e.Index })
		h.Entries = append(h.Entries, e)
	}
	return h
}

// queuedMessage is a control log message that run delivers in its next round.
type queuedMessage struct {
	to string
	m  quorum.Message
}

var messageQueue []queuedMessage

func (c *cluster) enqueue(to string, m quorum.Message) {
	messageQueue = append(messageQueue, queuedMessage{to, m})
}

// resume lets a suspended host go on. It processes the messages that wait, and each is called after every one of them.
func (c *cluster) resume(a string, each func()) {
	b := c.hosts[a]
	m := b.waiting
	b.suspended, b.waiting = false, nil
	for _, v := range m {
		c.reduce(a, ctrl.MessagesReceived{Messages: []quorum.Message{v}})
		each()
	}
}

// addresses returns the addresses of all hosts in an order that changes from step to step.
func (c *cluster) addresses() []string {
	l := slices.Sorted(maps.Keys(c.hosts))
	k := int(c.now/step) % len(l)
	return slices.Concat(l[k:], l[:k])
}

// run advances the clock in steps and delivers messages. Hosts that aren't in the control log or hear no leader send join
// orders.
func (c *cluster) run(d time.Duration) {
	for e := c.now + d; c.now < e; {
		c.now += step
		for _, a := range c.addresses() {
			b := c.hosts[a]
			c.reduce(a, ctrl.Tick{})
			if b.up && c.now%(50*step) == 0 && (!b.state.Log.Peers.Has(b.state.Node) || b.state.LeaderSilence() > 1500*time.Millisecond) {
				c.join(a)
			}
		}
		for k := 0; k < 50 && len(messageQueue) > 0; k++ {
			q := messageQueue
			messageQueue = nil
			for _, v := range q {
				c.reduce(v.to, ctrl.MessagesReceived{Messages: []quorum.Message{v.m}})
			}
		}
		c.each()
	}
}

// join sends a join order of a host to all hosts that it knows and can reach.
func (c *cluster) join(a string) {
	l := c.addresses()
	if c.seeds != nil {
		l = slices.Concat(c.hosts[a].state.ControlAddresses(), c.seeds())
	}
	for _, o := range l {
		if b := c.hosts[o]; o != a && b != nil && b.up && !c.blocked(a, o) {
			c.lastCall++
			c.reduce(o, ctrl.OrderReceived{CallID: c.lastCall, Order: ctlrpc.Order{Verb: ctlrpc.Join, Node: c.hosts[a].state.Node}})
		}
	}
}

// submit sends an order to a host and runs the cluster until the reply comes, at most 200 steps.
func (c *cluster) submit(a string, o ctlrpc.Order) ctlrpc.OrderReply {
	c.lastCall++
	t := c.lastCall
	c.reduce(a, ctrl.OrderReceived{CallID: t, Order: o})
	for range 200 {
		if r, ok := c.replies[t]; ok {
			return r
		}
		c.run(step)
	}
	return ctlrpc.OrderReply{}
}

// put submits a configuration with version v.
func (c *cluster) put(a string, v int64) ctlrpc.OrderReply {
	return c.submit(a, ctlrpc.Order{Verb: ctlrpc.Put, Version: v, Document: fmt.Appendf(nil, "document %d", v)})
}

// leader returns the address of a running host that leads and is ready, or an empty string.
func (c *cluster) leader() string {
	for _, a := range c.addresses() {
		if b := c.hosts[a]; b.up && b.state.Log.Ready(c.now-b.startedAt) {
			return a
		}
	}
	return ""
}
