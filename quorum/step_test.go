package quorum_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickoryshelf/hickoryshelf/quorum"
)

var timing = quorum.Timing{Heartbeat: 50 * time.Millisecond, Election: 300 * time.Millisecond}

// node is a quorum node with a simulated disk. A crash loses the outputs in unsynced.
type node struct {
	state    quorum.State
	hard     quorum.HardState
	snapshot quorum.Snapshot
	entries  []quorum.Entry
	unsynced []quorum.Output
	applied  []string
	up       bool
}

// network simulates the message exchange between nodes. Tests decide which messages are lost, delayed or duplicated.
type network struct {
	nodes    map[quorum.NodeID]*node
	ids      []quorum.NodeID
	messages []quorum.Message
	now      time.Duration
	leaders  map[uint64]quorum.NodeID
	// committed lists the applied entries in order, which must be the same on all nodes.
	committed []string
	violation string
	// connected reports whether two nodes can reach each other. If it is nil, all nodes can.
	connected func(a, b quorum.NodeID) bool
}

func newNetwork(voters int) *network {
	n := &network{nodes: make(map[quorum.NodeID]*node), leaders: make(map[uint64]quorum.NodeID)}
	for k := range voters {
		n.ids = append(n.ids, quorum.NodeID(fmt.Sprintf("n%d", k)))
	}
	s := quorum.Snapshot{Index: 1, Term: 1, Peers: quorum.Peers{Voters: n.ids}}
	for k, i := range n.ids {
		d := &node{hard: quorum.HardState{Term: 1}, snapshot: s, up: true}
		d.state = quorum.New(i, timing, d.hard, s, nil, uint64(k+1))
		n.nodes[i] = d
	}
	return n
}

// step runs an input on a node that is up, applies the committed entries and checks the result.
func (n *network) step(id quorum.NodeID, input quorum.Input) quorum.Entry {
	d := n.nodes[id]
	if !d.up {
		return quorum.Entry{}
	}
	s, o := quorum.Step(d.state, n.now, input)
	d.state = s
	if o.Restore != nil {
		d.applied = slices.Clone(n.committed[:o.Restore.Index-1])
	}
	for _, e := range o.Committed {
		d.applied = append(d.applied, fmt.Sprintf("%d/%d/%s", e.Index, e.Term, e.Data))
	}
	n.check(id, d)
	d.unsynced = append(d.unsynced, o)
	return o.Proposed
}

// check records a violation if a node has applied different entries than the others, or if a term has two leaders.
func (n *network) check(id quorum.NodeID, d *node) {
	k := min(len(d.applied), len(n.committed))
	if !slices.Equal(d.applied[:k], n.committed[:k]) {
		n.violation = fmt.Sprintf("%s applied %v, other nodes applied %v", id, d.applied, n.committed)
	}
	if len(d.applied) > len(n.committed) {
		n.committed = slices.Clone(d.applied)
	}
	if d.state.Role != quorum.Leader {
		return
	}
	if o, ok := n.leaders[d.state.Hard.Term]; ok && o != id {
		n.violation = fmt.Sprintf("%s and %s are both leader in term %d", id, o, d.state.Hard.Term)
	}
	n.leaders[d.state.Hard.Term] = id
}

// sync writes the oldest unsynced output of a node to its disk and sends the output's messages.
func (n *network) sync(id quorum.NodeID) {
	d := n.nodes[id]
	if len(d.unsynced) == 0 || !d.up {
		return
	}
	o := d.unsynced[0]
	d.unsynced = d.unsynced[1:]
	if o.Persist.Snapshot != nil {
		d.snapshot = *o.Persist.Snapshot
		d.entries = slices.DeleteFunc(d.entries, func(e quorum.Entry) bool { return e.Index <= d.snapshot.Index })
	}
	if o.Persist.Hard != nil {
		d.hard = *o.Persist.Hard
	}
	for _, e := range o.Persist.Entries {
		d.entries = append(d.entries[:min(len(d.entries), int(e.Index-d.snapshot.Index-1))], e)
	}
	n.messages = append(n.messages, o.Messages...)
	if k := len(o.Persist.Entries); k > 0 {
		e := o.Persist.Entries[k-1]
		n.step(id, quorum.Persisted{Index: e.Index, Term: e.Term})
	}
}

func (n *network) crash(id quorum.NodeID) {
	d := n.nodes[id]
	d.up, d.unsynced = false, nil
}

func (n *network) restart(id quorum.NodeID, seed uint64) {
	d := n.nodes[id]
	if d.up {
		return
	}
	d.up = true
	d.state = quorum.New(id, timing, d.hard, d.snapshot, d.entries, seed)
	d.applied = slices.Clone(n.committed[:max(1, d.snapshot.Index)-1])
}

// runWithoutFaults runs all nodes for the duration d, in steps of 10 ms, without losing or reordering messages
// between connected nodes.
func (n *network) runWithoutFaults(d time.Duration) {
	for e := n.now + d; n.now < e; n.now += 10 * time.Millisecond {
		for _, i := range n.ids {
			n.step(i, quorum.Tick{})
		}
		for range 4 {
			for _, i := range n.ids {
				for len(n.nodes[i].unsynced) > 0 && n.nodes[i].up {
					n.sync(i)
				}
			}
			m := n.messages
			n.messages = nil
			for _, x := range m {
				if n.connected != nil && !n.connected(x.From, x.To) {
					continue
				}
				n.step(x.To, quorum.Receive{Message: x})
			}
		}
	}
}

// TestSafety loses, duplicates and reorders messages, partitions the network, changes the membership, and crashes nodes
// between steps. It
// checks that no term has two leaders, that all nodes apply the same entries in the same order, and that after the
// faults all nodes agree and entries are committed.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.SampledFrom([]int{3, 5}).Draw(t, "voters"))
		for k := range rapid.IntRange(20, 120).Draw(t, "steps") {
			i := rapid.SampledFrom(n.ids).Draw(t, "node")
			switch rapid.IntRange(0, 27).Draw(t, "act") {
			case 20, 21, 22:
				n.partition(t, k)
			case 24, 25, 26, 27:
				n.changePeers(t, i)
			case 0:
				n.crash(i)
			case 1:
				n.restart(i, uint64(k))
			case 2, 3:
				n.step(i, quorum.Propose{Data: fmt.Appendf(nil, "%d", k)})
			case 4:
				if d := n.nodes[i]; d.up {
					n.step(i, quorum.Compact{Index: uint64(len(d.applied)) + 1})
				}
			case 5, 6, 7, 8:
				n.now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond
				n.step(i, quorum.Tick{})
			case 9, 10, 11, 12, 13:
				n.sync(i)
			default:
				n.deliver(t)
			}
			if n.violation != "" {
				t.Fatal(n.violation)
			}
		}
		n.checkRecovery(t)
	})
}

// partition splits the nodes into two random groups, runs both without contact for a while, proposes an entry on
// every node, and runs them further before it ends the partition.
func (n *network) partition(t *rapid.T, k int) {
	g := rapid.SliceOfN(rapid.Bool(), len(n.ids), len(n.ids)).Draw(t, "group")
	o := func(id quorum.NodeID) bool { return g[slices.Index(n.ids, id)] }
	n.connected = func(a, b quorum.NodeID) bool { return o(a) == o(b) }
	d := time.Duration(rapid.IntRange(1, 80).Draw(t, "burst")) * 10 * time.Millisecond
	n.runWithoutFaults(d / 2)
	for _, i := range n.ids {
		n.step(i, quorum.Propose{Data: fmt.Appendf(nil, "%d-%s", k, i)})
	}
	n.runWithoutFaults(d / 2)
	n.connected = nil
}

// deliver picks a pending message at random and delivers it, delivers it and keeps a duplicate, or drops it.
func (n *network) deliver(t *rapid.T) {
	if len(n.messages) == 0 {
		return
	}
	k := rapid.IntRange(0, len(n.messages)-1).Draw(t, "message")
	m := n.messages[k]
	f := rapid.IntRange(0, 9).Draw(t, "fate")
	if f != 0 {
		n.messages = slices.Delete(n.messages, k, k+1)
	}
	if f != 1 {
		n.step(m.To, quorum.Receive{Message: m})
	}
}

// checkRecovery restarts all nodes, runs them without faults and checks that they apply the same entries.
func (n *network) checkRecovery(t *rapid.T) {
	for k, i := range n.ids {
		n.restart(i, uint64(k+1000))
	}
	n.runWithoutFaults(5 * time.Second)
	for _, i := range n.ids {
		if n.nodes[i].state.Role == quorum.Leader {
			n.step(i, quorum.Propose{Data: []byte("last")})
		}
	}
	n.runWithoutFaults(time.Second)
	for _, i := range n.leaderPeers() {
		if !slices.Equal(n.nodes[i].applied, n.committed) {
			t.Fatalf("%s applied %v, other nodes applied %v\n%s", i, n.nodes[i].applied, n.committed, n.describe())
		}
	}
	if n.violation != "" || len(n.committed) == 0 {
		t.Fatalf("violation %q, %d entries committed", n.violation, len(n.committed))
	}
}

// describe returns the state of all nodes, a line each.
func (n *network) describe() string {
	var b strings.Builder
	for _, i := range n.ids {
		s := n.nodes[i].state
		fmt.Fprintf(&b, "%s: %s in term %d, leader %q, voted for %q, commit %d, last %d, peers %v\n", i, s.Role, s.Hard.Term, s.Leader, s.Hard.Vote, s.Commit, s.LastIndex(), s.Peers)
	}
	return b.String()
}

// leaderPeers returns the members of the log by the newest leader, which needn't be all nodes.
func (n *network) leaderPeers() []quorum.NodeID {
	l := n.leaders[slices.Max(terms(n))]
	return n.nodes[l].state.Peers.All()
}

// TestPromoteLearner adds a learner and promotes it. It checks that the removal of an old voter is refused while the
// promotion is pending, because only one membership change may be pending at a time.
func TestPromoteLearner(t *testing.T) {
	i := is.New(t)
	n := newNetwork(3)
	n.runWithoutFaults(3 * time.Second)
	l := n.leaders[slices.Max(terms(n))]
	d := &node{up: true}
	d.state = quorum.New("new", timing, quorum.HardState{}, quorum.Snapshot{}, nil, 9)
	n.nodes["new"] = d
	n.ids = append(n.ids, "new")
	p := n.nodes[l].state.Peers
	i.True(n.step(l, quorum.ProposePeers{Peers: p.WithLearner("new")}).Index > 0)
	n.runWithoutFaults(time.Second)
	i.Equal(n.nodes[l].state.Match("new"), n.nodes[l].state.LastIndex()) // the learner has caught up
	p = n.nodes[l].state.Peers.WithVoter("new")
	i.True(n.step(l, quorum.ProposePeers{Peers: p}).Index > 0)
	i.Equal(n.step(l, quorum.ProposePeers{Peers: p.Without("n0")}).Index, uint64(0)) // the promotion is pending
	n.runWithoutFaults(time.Second)
	i.Equal(len(n.nodes[l].state.Peers.Voters), 4)
	i.Equal(n.violation, "")
}

func terms(n *network) []uint64 {
	var r []uint64
	for k := range n.leaders {
		r = append(r, k)
	}
	return r
}

// TestLeaseEndsBeforeNextElection isolates the leader and checks that its lease ends before another leader is elected.
func TestLeaseEndsBeforeNextElection(t *testing.T) {
	i := is.New(t)
	n := newNetwork(3)
	n.runWithoutFaults(3 * time.Second)
	l := n.leaders[slices.Max(terms(n))]
	i.True(n.nodes[l].state.Ready(n.now))
	n.nodes[l].up = false // the leader gets neither messages nor ticks
	for e := n.now + 3*time.Second; n.now < e; {
		n.runWithoutFaults(10 * time.Millisecond)
		for _, o := range n.ids {
			if o != l && n.nodes[o].state.Role == quorum.Leader {
				i.True(!n.nodes[l].state.HasLease(n.now)) // at most one leader has a lease
			}
		}
	}
	i.True(n.leaders[slices.Max(terms(n))] != l)
}

// Guards against a term in which nothing is committed any more: two followers have acknowledged entries that their disks don't
// hold, and the leader sends each of them the same entries without end.
func TestFollowersThatForgotEntriesGetThemAgain(t *testing.T) {
	i := is.New(t)
	n := newNetwork(3)
	n.runWithoutFaults(3 * time.Second)
	l := n.leaders[slices.Max(terms(n))]
	for _, f := range n.ids {
		if f == l {
			continue
		}
		d := n.nodes[f]
		h, s, e := d.hard, d.snapshot, slices.Clone(d.entries)
		n.connected = func(a, b quorum.NodeID) bool { return (a == l || a == f) && (b == l || b == f) }
		i.True(n.step(l, quorum.Propose{Data: []byte(f)}).Index > 0)
		n.runWithoutFaults(100 * time.Millisecond)
		d.state, d.hard, d.snapshot, d.entries, d.unsynced = d.state.Reopened(h, s, e, n.now), h, s, e, nil
		d.applied = d.applied[:min(len(d.applied), len(e)+int(s.Index)-1)]
		n.connected = nil
		n.runWithoutFaults(time.Second)
	}
	c := len(n.committed)
	i.True(n.step(l, quorum.Propose{Data: []byte("last")}).Index > 0)
	n.runWithoutFaults(time.Second)
	i.True(len(n.committed) > c)
	i.Equal(n.nodes[l].state.Role, quorum.Leader)
	for _, f := range n.ids {
		i.Equal(n.nodes[f].state.LastIndex(), n.nodes[l].state.LastIndex())
	}
}
