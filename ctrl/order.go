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

// handleOrder carries out an order on the leader, or passes it on to the leader.
func (t *transition) handleOrder(a OrderReceived) {
	if t.Log.Role != quorum.Leader {
		t.forward(a)
		return
	}
	if !t.Log.Ready(t.Now) {
		t.emit(Respond{CallID: a.CallID})
		return
	}
	switch a.Order.Verb {
	case ctlrpc.Put:
		t.putDocument(a)
	case ctlrpc.Start:
		t.startRollout(a)
	case ctlrpc.Join:
		t.addControlHost(a.Order.Node)
		t.emit(Respond{CallID: a.CallID, Receipt: ctlrpc.Receipt{Status: ctlrpc.Accepted}})
	default:
		t.emit(Respond{CallID: a.CallID, Receipt: t.receipt(a.Order)})
	}
}

func (t *transition) forward(a OrderReceived) {
	if t.Log.Leader == "" || t.Log.Leader == t.Node || a.Order.Hops >= maxForwards {
		t.emit(Respond{CallID: a.CallID})
		return
	}
	o := a.Order
	o.Hops++
	t.emit(Forward{CallID: a.CallID, Order: o, To: t.Log.Leader})
}

// receipt answers an order from the committed state.
func (t *transition) receipt(o ctlrpc.Order) ctlrpc.Receipt {
	r := ctlrpc.Receipt{Status: ctlrpc.Accepted, Version: t.Machine.Document.Version}
	switch o.Verb {
	case ctlrpc.Read:
		r.Document = t.Machine.Document.Content
		if r.Version == 0 {
			r.Status = ctlrpc.Missing
		}
	case ctlrpc.Look:
		v, ok := t.Machine.Rollouts[o.Service]
		r.Rollout = v
		if !ok {
			r.Status = ctlrpc.Missing
		}
	}
	return r
}

func (t *transition) putDocument(a OrderReceived) {
	if a.Order.Version <= t.Machine.Document.Version {
		t.emit(Respond{CallID: a.CallID, Receipt: t.receipt(a.Order)})
		return
	}
	t.propose(a, Command{Put: &Document{Version: a.Order.Version, Content: a.Order.Document}})
}

func (t *transition) startRollout(a OrderReceived) {
	r := a.Order.Rollout
	if o, ok := t.Machine.Rollouts[r.Service]; ok && o.Target == r.Target {
		t.emit(Respond{CallID: a.CallID, Receipt: t.receipt(a.Order)})
		return
	}
	t.propose(a, Command{Start: &r})
}

func (t *transition) propose(a OrderReceived, c Command) {
	b, err := json.Marshal(c)
	if err != nil {
		t.emit(EntryFailed{Err: err})
		t.emit(Respond{CallID: a.CallID})
		return
	}
	n := len(t.pending)
	t.pending = append(slices.Clone(t.pending), pendingOrder{callID: a.CallID, index: t.Log.LastIndex() + 1, term: t.Log.Hard.Term, order: a.Order})
	if e := t.stepLog(quorum.Propose{Data: b}); e.Index == 0 {
		t.pending = t.pending[:n]
		t.emit(Respond{CallID: a.CallID})
	}
}

// addControlHost adds a control host to the log. A host whose disk was lost replaces its former self.
func (t *transition) addControlHost(n quorum.NodeID) {
	p := t.Log.Peers
	if p.Has(n) {
		return
	}
	for _, o := range p.All() {
		if Address(o) == Address(n) {
			p = p.Without(o)
		}
	}
	t.stepLog(quorum.ProposePeers{Peers: p.WithLearner(n)})
}

// runLeaderTasks does what falls to the leader as time passes.
func (t *transition) runLeaderTasks() {
	if t.Log.Role != quorum.Leader || !t.Log.Ready(t.Now) {
		return
	}
	t.adjustVoters()
	for _, k := range slices.Sorted(maps.Keys(t.Machine.Rollouts)) {
		t.decideRollout(t.Machine.Rollouts[k])
	}
}

// decideRollout ends a roll-out where the evidence or its time says so.
func (t *transition) decideRollout(r canary.Rollout) {
	if r.Outcome != canary.Running {
		return
	}
	b := t.rolloutStarts[r.Service]
	if b.endProposedAt > 0 && t.Now-b.endProposedAt < endProposalRetry {
		return
	}
	o, w, ok := canary.Decide(r, t.elapsed(r), t.ExposureBound, canary.Gather(r, t.tallies()), t.available(r))
	if !ok {
		return
	}
	r.Outcome = o
	c, err := json.Marshal(Command{End: &r})
	if err != nil {
		t.emit(EntryFailed{Err: err})
		return
	}
	b.endProposedAt = max(t.Now, time.Nanosecond)
	t.rolloutStarts = maps.Clone(t.rolloutStarts)
	t.rolloutStarts[r.Service] = b
	t.emit(RolloutEndProposed{Rollout: r, Reason: w})
	t.stepLog(quorum.Propose{Data: c})
}
