package ctrl_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
)

// operation is an order in a history: a put of a version, or a read if put is 0.
type operation struct{ put int64 }

// register is the sequential model: it holds the highest version put, and a read returns that version.
var register = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		s, p := state.(int64), input.(operation).put
		if p > 0 {
			return true, max(s, p)
		}
		return output.(int64) == s, s
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%v -> %v", input, output) },
}

// sentOrder is an order without a reply yet.
type sentOrder struct {
	callID uint64
	client int
	input  operation
	sentAt time.Duration
}

// history sends orders without waiting for replies, and records the completed operations.
type history struct {
	cluster *cluster
	pending []sentOrder
	done    []porcupine.Operation
}

// send sends an order to a host and keeps it pending.
func (h *history) send(client int, address string, in operation) {
	c := h.cluster
	c.lastCall++
	h.pending = append(h.pending, sentOrder{callID: c.lastCall, client: client, input: in, sentAt: c.now})
	o := ctlrpc.Order{Verb: ctlrpc.Read}
	if in.put > 0 {
		o = ctlrpc.Order{Verb: ctlrpc.Put, Version: in.put, Document: fmt.Appendf(nil, "document %d", in.put)}
	}
	c.reduce(address, ctrl.OrderReceived{CallID: c.lastCall, Order: o})
}

// collect records the pending orders that have a reply. A read with an unknown outcome is dropped. A put with an
// unknown outcome may still take effect at any later time, so its operation never returns. With end set, orders without
// a reply are handled as orders with an unknown outcome.
func (h *history) collect(end bool) {
	var p []sentOrder
	for _, o := range h.pending {
		r, ok := h.cluster.replies[o.callID]
		u := !ok || r.Status == ctlrpc.Unavailable // unknown outcome
		v := porcupine.Operation{ClientId: o.client, Input: o.input, Call: int64(o.sentAt), Output: r.Version, Return: int64(h.cluster.now)}
		switch {
		case !u:
			h.done = append(h.done, v)
		case (ok || end) && o.input.put > 0:
			v.Return = math.MaxInt64
			h.done = append(h.done, v)
		case !ok && !end:
			p = append(p, o)
		}
	}
	h.pending = p
}

// withoutUnseenPuts returns the completed operations without the puts of unknown outcome whose version no read returned.
// Such a put can stand after all other operations, so that the history is linearizable with it exactly if it is without
// it. The time of the check grows exponentially with their number.
func (h *history) withoutUnseenPuts() []porcupine.Operation {
	r := map[int64]bool{}
	for _, o := range h.done {
		if o.Input.(operation).put == 0 {
			r[o.Output.(int64)] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(h.done), func(o porcupine.Operation) bool {
		p := o.Input.(operation).put
		return p > 0 && o.Return == math.MaxInt64 && !r[p]
	})
}

// Orders of several clients at several hosts are linearizable while hosts are killed, wiped, isolated, stalled, stopped as
// planned or all restarted at the same time, while successors are added, and while disks are full.
func TestOrdersAreLinearizable(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		messageQueue = nil
		n := rapid.IntRange(3, 5).Draw(r, "hosts")
		c := newCluster(t, n)
		c.run(time.Second)
		h := &history{cluster: c}
		var v int64
		for range rapid.IntRange(5, 14).Draw(r, "steps") {
			injectFault(r, c, n)
			for k := range rapid.IntRange(1, 4).Draw(r, "orders") {
				o := operation{}
				if rapid.Bool().Draw(r, "put") {
					v++
					o.put = v - int64(rapid.IntRange(0, 2).Draw(r, "overtaken"))
				}
				if o.put < 0 {
					o.put = 0
				}
				h.send(k, address(rapid.IntRange(0, n-1).Draw(r, "at")), o)
			}
			for range rapid.IntRange(1, 40).Draw(r, "rounds") {
				c.run(5 * step)
				h.collect(false)
			}
		}
		clearFaults(c)
		c.run(5 * time.Second)
		for k := range n {
			h.send(0, address(k), operation{})
			c.run(100 * time.Millisecond)
			h.collect(false)
		}
		h.collect(true)
		if !porcupine.CheckOperations(register, h.withoutUnseenPuts()) {
			r.Fatalf("history is not linearizable: %v", h.done)
		}
	})
}

// injectFault injects one random fault or ends one.
func injectFault(r *rapid.T, c *cluster, n int) {
	a := address(rapid.IntRange(0, n-1).Draw(r, "host"))
	switch rapid.IntRange(0, 9).Draw(r, "what") {
	case 0:
		c.kill(a)
	case 1:
		for b, x := range c.hosts {
			if !x.up {
				c.start(b)
			}
		}
	case 2:
		c.blocked = func(x, y string) bool { return x == a || y == a }
	case 3:
		c.blocked = func(string, string) bool { return false }
	case 4:
		clearFaults(c)
		c.run(4 * time.Second)
		c.wipe(a)
	case 5:
		for b := range c.hosts {
			c.kill(b)
		}
		for b := range c.hosts {
			c.start(b)
		}
	case 7:
		if c.hosts[a].up {
			c.stop(a)
		}
	case 8:
		if s := address(n); c.hosts[s] == nil {
			c.hosts[s] = &testHost{diskID: "successor"}
			c.start(s)
		}
	case 9:
		if c.hosts[a].full = !c.hosts[a].full; !c.hosts[a].full {
			c.reopen(a)
		}
	case 6:
		c.hosts[a].stalled = !c.hosts[a].stalled
		if !c.hosts[a].stalled {
			c.flush(a)
		}
	}
}

// clearFaults ends all faults: it reconnects and starts all hosts and flushes stalled disks.
func clearFaults(c *cluster) {
	c.blocked = func(string, string) bool { return false }
	for b, x := range c.hosts {
		if !x.up {
			c.start(b)
		}
		x.full = false
		c.reopen(b)
		if x.stalled {
			x.stalled = false
			c.flush(b)
		}
	}
}
