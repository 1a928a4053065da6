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

// handleOrder executes an order if this host leads, otherwise forwards it to the leader. A leader that isn't ready
// answers Unavailable.
func (t *transition) handleOrder(a OrderReceived) {
	if t.Log.Role != quorum.Leader {
		t.forwardNoted(a)
		return
	}
	if !t.Log.Ready(t.Now) {
		t.emit(Respond{CallID: a.CallID})
		return
	}
	switch a.Order.Verb {
	case ctlrpc.Put:
		t.putDocument(a)
	case ctlrpc.StartRollout:
		t.startRollout(a)
	case ctlrpc.Join:
		t.addControlHost(a.Order.Node)
		t.emit(Respond{CallID: a.CallID, Reply: ctlrpc.OrderReply{Status: ctlrpc.Accepted}})
	case ctlrpc.Retire:
		t.retireEndpoint(a)
	case ctlrpc.Leave:
		t.releaseVoter(a)
	case ctlrpc.StartDrain, ctlrpc.EndDrain:
		t.orderDrain(a)
	default:
		t.emit(Respond{CallID: a.CallID, Reply: t.orderReply(a.Order)})
	}
}

// forward forwards an order to the leader. It answers Unavailable if no leader is known or the order has been forwarded
// maxForwards times.
func (t *transition) forward(a OrderReceived) {
	if t.Log.Leader == "" || t.Log.Leader == t.Node || a.Order.Hops >= maxForwards {
		t.emit(Respond{CallID: a.CallID})
		return
	}
	o := a.Order
	o.Hops++
	t.emit(Forward{CallID: a.CallID, Order: o, To: t.Log.Leader})
}

// orderReply returns the reply to an accepted order, filled from the committed state. A read of something that doesn't
// exist has the status Missing.
func (t *transition) orderReply(o ctlrpc.Order) ctlrpc.OrderReply {
	r := ctlrpc.OrderReply{Status: ctlrpc.Accepted, Version: t.StateMachine.Document.Version}
	switch o.Verb {
	case ctlrpc.Read:
		r.Document = t.StateMachine.Document.Content
		if r.Version == 0 {
			r.Status = ctlrpc.Missing
		}
	case ctlrpc.ReadRollout:
		v, ok := t.StateMachine.Rollouts[o.Service]
		r.Rollout = v
		if !ok {
			r.Status = ctlrpc.Missing
		}
	case ctlrpc.StartDrain, ctlrpc.EndDrain:
		r.Status, r.Drain = t.drainResult(o)
	}
	return r
}

// putDocument proposes a new configuration. A version that isn't higher than the current one is acknowledged without a
// proposal.
func (t *transition) putDocument(a OrderReceived) {
	if a.Order.Version <= t.StateMachine.Document.Version {
		t.emit(Respond{CallID: a.CallID, Reply: t.orderReply(a.Order)})
		return
	}
	t.propose(a, Command{Put: &Document{Version: a.Order.Version, Content: a.Order.Document}})
}

// startRollout proposes a rollout. An order with the same target as the newest rollout of the service is acknowledged
// without a proposal. One that is late gets no clear answer: sent again it is taken with the newer rollout.
func (t *transition) startRollout(a OrderReceived) {
	r := a.Order.Rollout
	o, ok := t.StateMachine.Rollouts[r.Service]
	switch {
	case ok && o.Target == r.Target:
		t.emit(Respond{CallID: a.CallID, Reply: t.orderReply(a.Order)})
	case t.isLateStart(a.Order):
		t.emit(LateOrder{Order: a.Order, Serial: o.Serial})
		t.emit(Respond{CallID: a.CallID})
	default:
		t.propose(a, Command{Start: &r})
	}
}

// orderPatience is how long an operator waits for an answer before it sends an order to another control host.
const orderPatience = time.Second

// WithSeen returns an order that this host takes from an operator. An order to start a rollout gets the serial of the newest rollout of its
// service, so that it replaces no later one if it is delivered late. A rollout that the host has learned of within orderPatience doesn't
// count: the order may have waited unread since before that, as in a host that was suspended and first catches up with the log.
func (s State) WithSeen(o ctlrpc.Order) ctlrpc.Order {
	if o.Verb == ctlrpc.StartRollout && o.RolloutSeen == 0 {
		o.RolloutSeen = s.rolloutSeen(o.Rollout.Service)
		if b := s.rolloutStarts[o.Rollout.Service]; b.live && s.Now-b.seenAt < orderPatience {
			o.RolloutSeen = b.before
		}
	}
	return o
}

// rolloutSeen returns the serial of the newest rollout of a service, or NoRollout.
func (s State) rolloutSeen(service string) uint64 {
	return max(ctlrpc.NoRollout, s.StateMachine.Rollouts[service].Serial)
}

// isLateStart reports whether an order to start a rollout was taken before the newest rollout of its service was known, or while another
// one isn't committed yet.
func (t *transition) isLateStart(o ctlrpc.Order) bool {
	if o.RolloutSeen == 0 {
		return false
	}
	return o.RolloutSeen != t.rolloutSeen(o.Rollout.Service) || slices.ContainsFunc(t.pending, func(w pendingOrder) bool {
		p := w.order.Rollout
		return w.order.Verb == ctlrpc.StartRollout && p.Service == o.Rollout.Service && p.Target != o.Rollout.Target
	})
}

// propose proposes a command and keeps the order pending until its entry is committed. It answers Unavailable if the log
// doesn't take the proposal.
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

// retireEndpoint proposes to record that an endpoint is leaving or has departed. What is recorded already is acknowledged
// without a proposal. A report without a start time is about the start that this host knows.
func (t *transition) retireEndpoint(a OrderReceived) {
	l := leaverOf(a.Order.Endpoint)
	if e, ok := t.Fleet.Get(l.ID); ok && l.Born == 0 {
		l.Born = e.Born
	}
	if t.StateMachine.HasLeft(l) {
		t.emit(Respond{CallID: a.CallID, Reply: t.orderReply(a.Order)})
		return
	}
	t.propose(a, Command{Retire: &l})
}

// addControlHost adds a control host to the control log as a learner. It replaces a node with the same address and
// another disk, because the former disk is lost, unless that is a voter and there would be fewer than Peers.MinVoters without it:
// adjustVoters removes it once a learner has taken its place.
func (t *transition) addControlHost(n quorum.NodeID) {
	t.leaving = maps.Clone(t.leaving)
	delete(t.leaving, n)
	p := t.Log.Peers
	if p.Has(n) {
		return
	}
	for _, o := range p.All() {
		if Address(o) == Address(n) && (!p.IsVoter(o) || len(p.Voters) > p.MinVoters) {
			p = p.Without(o)
		}
	}
	t.stepLog(quorum.ProposePeers{Peers: p.WithLearner(n)})
}

// releaseVoter notes that a control host is about to stop, so that adjustVoters replaces it while it can still help to commit
// that. It answers Unavailable as long as a change of the voters is due or under way; the host then asks again.
func (t *transition) releaseVoter(a OrderReceived) {
	t.leaving = maps.Clone(t.leaving)
	if t.leaving == nil {
		t.leaving = map[quorum.NodeID]time.Duration{}
	}
	t.leaving[a.Order.Node] = t.Now
	r := ctlrpc.OrderReply{Status: ctlrpc.Accepted}
	if _, ok := t.nextPeers(); ok || t.Log.PeersPending() {
		r.Status = ctlrpc.Unavailable
	}
	t.emit(Respond{CallID: a.CallID, Reply: r})
}

// runLeaderTasks runs the periodic tasks of a ready leader: it adjusts the voters and ends rollouts.
func (t *transition) runLeaderTasks() {
	if t.Log.Role != quorum.Leader || !t.Log.Ready(t.Now) {
		return
	}
	t.adjustVoters()
	for _, k := range slices.Sorted(maps.Keys(t.StateMachine.Rollouts)) {
		t.decideRollout(t.StateMachine.Rollouts[k])
	}
}

// decideRollout proposes the end of a running rollout if canary.Decide ends it because of its evidence or its elapsed
// time. It proposes the same end again only after endProposalRetry.
func (t *transition) decideRollout(r canary.Rollout) {
	if r.Outcome != canary.Running {
		return
	}
	b := t.rolloutStarts[r.Service]
	if b.endProposedAt > 0 && t.Now-b.endProposedAt < endProposalRetry {
		return
	}
	a := t.assessment(r)
	if t.Now-b.loggedAt >= assessLogInterval {
		b.loggedAt = t.Now
		t.setRolloutStart(r.Service, b)
		t.emit(RolloutAssessed{Rollout: r, Elapsed: t.elapsed(r), Assessment: a})
	}
	o, w, ok := canary.Decide(r, t.elapsed(r), t.Exposure, a, t.available(r))
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
	t.setRolloutStart(r.Service, b)
	t.emit(RolloutEndProposed{Rollout: r, Reason: w, Elapsed: t.elapsed(r), Assessment: a})
	t.stepLog(quorum.Propose{Data: c})
}

func (t *transition) setRolloutStart(service string, b rolloutStart) {
	t.rolloutStarts = maps.Clone(t.rolloutStarts)
	t.rolloutStarts[service] = b
}
