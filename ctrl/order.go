package ctrl

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// ask carries out an order on the leader, or passes it on to the leader.
func (t *turn) ask(a Asked) {
	if t.Log.Role != quorum.Leader {
		t.passOn(a)
		return
	}
	if !t.Log.Ready(t.Now) {
		t.do(Answer{Ticket: a.Ticket})
		return
	}
	switch a.Order.Verb {
	case ctlrpc.Put:
		t.put(a)
	case ctlrpc.StartRollout:
		t.start(a)
	case ctlrpc.Join:
		t.join(a.Order.Node)
		t.do(Answer{Ticket: a.Ticket, Receipt: ctlrpc.OrderReply{Status: ctlrpc.Accepted}})
	default:
		t.do(Answer{Ticket: a.Ticket, Receipt: t.receipt(a.Order)})
	}
}

func (t *turn) passOn(a Asked) {
	if t.Log.Leader == "" || t.Log.Leader == t.Node || a.Order.Hops >= maxHops {
		t.do(Answer{Ticket: a.Ticket})
		return
	}
	o := a.Order
	o.Hops++
	t.do(PassOn{Ticket: a.Ticket, Order: o, To: t.Log.Leader})
}

// receipt answers an order from the committed state.
func (t *turn) receipt(o ctlrpc.Order) ctlrpc.OrderReply {
	r := ctlrpc.OrderReply{Status: ctlrpc.Accepted, Version: t.Machine.Document.Version}
	switch o.Verb {
	case ctlrpc.Read:
		r.Document = t.Machine.Document.Content
		if r.Version == 0 {
			r.Status = ctlrpc.Missing
		}
	case ctlrpc.ReadRollout:
		v, ok := t.Machine.Rollouts[o.Service]
		r.Rollout = v
		if !ok {
			r.Status = ctlrpc.Missing
		}
	}
	return r
}

func (t *turn) put(a Asked) {
	if a.Order.Version <= t.Machine.Document.Version {
		t.do(Answer{Ticket: a.Ticket, Receipt: t.receipt(a.Order)})
		return
	}
	t.propose(a, Command{Put: &Document{Version: a.Order.Version, Content: a.Order.Document}})
}

func (t *turn) start(a Asked) {
	r := a.Order.Rollout
	if o, ok := t.Machine.Rollouts[r.Service]; ok && o.Target == r.Target {
		t.do(Answer{Ticket: a.Ticket, Receipt: t.receipt(a.Order)})
		return
	}
	t.propose(a, Command{Start: &r})
}

func (t *turn) propose(a Asked, c Command) {
	b, err := json.Marshal(c)
	if err != nil {
		t.do(Faulted{Err: err})
		t.do(Answer{Ticket: a.Ticket})
		return
	}
	n := len(t.waits)
	t.waits = append(slices.Clone(t.waits), wait{ticket: a.Ticket, index: t.Log.LastIndex() + 1, term: t.Log.Hard.Term, order: a.Order})
	if e := t.step(quorum.Propose{Data: b}); e.Index == 0 {
		t.waits = t.waits[:n]
		t.do(Answer{Ticket: a.Ticket})
	}
}

// join adds a control host to the log. A host whose disk was lost replaces its former self.
func (t *turn) join(n quorum.NodeID) {
	p := t.Log.Peers
	if p.Has(n) {
		return
	}
	for _, o := range p.All() {
		if Address(o) == Address(n) {
			p = p.Without(o)
		}
	}
	t.step(quorum.ProposePeers{Peers: p.WithLearner(n)})
}

// lead does what falls to the leader as time passes.
func (t *turn) lead() {
	if t.Log.Role != quorum.Leader || !t.Log.Ready(t.Now) {
		return
	}
	t.changeVoters()
	for _, k := range slices.Sorted(maps.Keys(t.Machine.Rollouts)) {
		t.decide(t.Machine.Rollouts[k])
	}
}

// decide ends a roll-out where the evidence or its time says so.
func (t *turn) decide(r canary.Rollout) {
	if r.Outcome != canary.Running {
		return
	}
	b := t.begun[r.Service]
	if b.proposed > 0 && t.Now-b.proposed < decideAgain {
		return
	}
	o, w, ok := canary.Decide(r, t.elapsed(r), t.Exposure, canary.Gather(r, t.tallies()), t.available(r))
	if !ok {
		return
	}
	r.Outcome = o
	c, err := json.Marshal(Command{End: &r})
	if err != nil {
		t.do(Faulted{Err: err})
		return
	}
	b.proposed = max(t.Now, time.Nanosecond)
	t.begun = maps.Clone(t.begun)
	t.begun[r.Service] = b
	t.do(Decided{Rollout: r, Why: w})
	t.step(quorum.Propose{Data: c})
}
