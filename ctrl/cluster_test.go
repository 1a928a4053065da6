package ctrl_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

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

// box is a control host with a disk that holds what was written.
type box struct {
	state ctrl.State
	held  store.Held
	disk  string
	up    bool
	// started is when the host's own clock was 0.
	started time.Duration
	// stalled disks write nothing; the writes wait.
	stalled bool
	waiting []ctrl.Write
}

// cluster runs the reducers of control hosts without a network: messages pass at once unless cut holds.
type cluster struct {
	t        testing.TB
	now      time.Duration
	boxes    map[string]*box
	cut      func(from, to string) bool
	receipts map[uint64]ctlrpc.OrderReply
	tickets  uint64
	starts   int
}

func newCluster(t testing.TB, founders int) *cluster {
	c := &cluster{t: t, boxes: map[string]*box{}, cut: func(string, string) bool { return false }, receipts: map[uint64]ctlrpc.OrderReply{}}
	var l []quorum.NodeID
	for k := range founders {
		l = append(l, ctrl.Node(address(k), "founder"))
	}
	p := ctrl.Founding(l)
	for k := range founders {
		c.boxes[address(k)] = &box{disk: "founder", held: store.Held{
			Hard: quorum.HardState{Term: 1}, Snapshot: quorum.Snapshot{Index: 1, Term: 1, Peers: p},
		}}
		c.start(address(k))
	}
	return c
}

func address(k int) string { return fmt.Sprintf("10.0.0.%d:7", k+1) }

// start starts a host from its disk.
func (c *cluster) start(a string) {
	c.t.Helper()
	c.starts++
	b := c.boxes[a]
	n := ctrl.Node(a, b.disk)
	s, err := ctrl.New(ctrl.Options{
		Node: n, Start: fmt.Sprint(c.starts), Heartbeat: time.Second, Exposure: 0.15,
		Log: quorum.New(n, timing, b.held.Hard, b.held.Snapshot, b.held.Entries, uint64(c.starts)),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	b.state, b.up, b.waiting, b.started = s, true, nil, c.now
}

// kill ends a host; what was not written is lost.
func (c *cluster) kill(a string) { c.boxes[a].up = false }

// wipe ends a host and loses its disk; it starts again with another identity.
func (c *cluster) wipe(a string) {
	c.starts++
	c.boxes[a] = &box{disk: fmt.Sprint("disk", c.starts)}
	c.start(a)
}

func (c *cluster) post(a string, e ctrl.Event) {
	b := c.boxes[a]
	if b == nil || !b.up {
		return
	}
	s, f := ctrl.Reduce(b.state, c.now-b.started, e)
	b.state = s
	for _, x := range f {
		c.do(a, x)
	}
}

func (c *cluster) do(a string, e ctrl.Effect) {
	switch v := e.(type) {
	case ctrl.Write:
		b := c.boxes[a]
		b.waiting = append(b.waiting, v)
		if !b.stalled {
			c.flush(a)
		}
	case ctrl.Answer:
		c.receipts[v.Ticket] = v.Receipt
	case ctrl.PassOn:
		if to := ctrl.Address(v.To); !c.cut(a, to) {
			c.post(to, ctrl.Asked{Ticket: v.Ticket, Order: v.Order})
		}
	case ctrl.Spread:
		for _, o := range c.boxes[a].state.Controls() {
			if o != a && !c.cut(a, o) {
				c.post(o, ctrl.Noted{Note: v.Note})
			}
		}
	case ctrl.Faulted:
		c.t.Fatal(v.Err)
	}
}

// flush writes what waits for a disk and sends the messages behind it.
func (c *cluster) flush(a string) {
	b := c.boxes[a]
	w := b.waiting
	b.waiting = nil
	for _, v := range w {
		b.held = persisted(b.held, v.Persist)
		for _, m := range v.Messages {
			if to := ctrl.Address(m.To); !c.cut(a, to) && c.boxes[to] != nil {
				c.later(to, m)
			}
		}
		if k := len(v.Persist.Entries); k > 0 {
			e := v.Persist.Entries[k-1]
			c.post(a, ctrl.Persisted{Persisted: quorum.Persisted{Index: e.Index, Term: e.Term}})
		}
	}
}

func persisted(h store.Held, p quorum.Persist) store.Held {
	if p.Snapshot != nil {
		h.Snapshot = *p.Snapshot
		h.Entries = slices.DeleteFunc(slices.Clone(h.Entries), func(e quorum.Entry) bool { return e.Index <= p.Snapshot.Index })
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

// mail is a message on its way.
type mail struct {
	to string
	m  quorum.Message
}

var queue []mail

func (c *cluster) later(to string, m quorum.Message) { queue = append(queue, mail{to, m}) }

// run lets time pass; hosts that aren't part of the log ask to join.
func (c *cluster) run(d time.Duration) {
	for e := c.now + d; c.now < e; {
		c.now += step
		for a, b := range c.boxes {
			c.post(a, ctrl.Tick{})
			if b.up && c.now%(50*step) == 0 && (!b.state.Log.Peers.Has(b.state.Node) || b.state.LeaderSilence() > 1500*time.Millisecond) {
				c.join(a)
			}
		}
		for k := 0; k < 50 && len(queue) > 0; k++ {
			q := queue
			queue = nil
			for _, v := range q {
				c.post(v.to, ctrl.Messages{Messages: []quorum.Message{v.m}})
			}
		}
	}
}

func (c *cluster) join(a string) {
	for o, b := range c.boxes {
		if o != a && b.up && !c.cut(a, o) {
			c.tickets++
			c.post(o, ctrl.Asked{Ticket: c.tickets, Order: ctlrpc.Order{Verb: ctlrpc.Join, Node: c.boxes[a].state.Node}})
		}
	}
}

// ask sends an order to a host and waits for its receipt.
func (c *cluster) ask(a string, o ctlrpc.Order) ctlrpc.OrderReply {
	c.tickets++
	t := c.tickets
	c.post(a, ctrl.Asked{Ticket: t, Order: o})
	for range 200 {
		if r, ok := c.receipts[t]; ok {
			return r
		}
		c.run(step)
	}
	return ctlrpc.OrderReply{}
}

func (c *cluster) put(a string, v int64) ctlrpc.OrderReply {
	return c.ask(a, ctlrpc.Order{Verb: ctlrpc.Put, Version: v, Document: fmt.Appendf(nil, "document %d", v)})
}

// leader returns the address of the host that leads.
func (c *cluster) leader() string {
	for a, b := range c.boxes {
		if b.up && b.state.Log.Ready(c.now-b.started) {
			return a
		}
	}
	return ""
}
