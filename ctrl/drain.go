package ctrl

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/drain"
)

// resendTime is the longest time for which operators resend an order that got no clear answer.
const resendTime = 5 * time.Second

// drainLearned records when this host learned of a change of a data centre.
type drainLearned struct {
	index  uint64
	seenAt time.Duration
	// live is set if the host was synced already, so that it learned of the change when that was committed.
	live bool
}

// withDrainsLearned records that this host learns of the changes now that it didn't hold before. What a host holds at its start it learns then.
func (s State) withDrainsLearned() State {
	for k, c := range s.StateMachine.Drains {
		if s.drainsLearned[k].index == c.Index {
			continue
		}
		s.drainsLearned = maps.Clone(s.drainsLearned)
		if s.drainsLearned == nil {
			s.drainsLearned = map[string]drainLearned{}
		}
		s.drainsLearned[k] = drainLearned{index: c.Index, seenAt: s.Now, live: s.Synced}
	}
	return s
}

// drainAge returns the least time since the last change of a data centre.
func (s State) drainAge(dataCentre string) time.Duration {
	return s.Now - s.drainsLearned[dataCentre].seenAt
}

// hasNewerDrains reports whether this host may tell an entry host of drains that it doesn't hold. A host that may lack committed entries
// tells nothing.
func (s State) hasNewerDrains(k ctlrpc.EntryState) bool {
	return s.Synced && k.DrainIndex > 0 && s.StateMachine.Drains.Index() > k.DrainIndex
}

// drains returns what entry hosts have to know of drains.
func (s State) drains() ctlrpc.Drains {
	d := s.StateMachine.Drains
	a := map[string]time.Duration{}
	for k := range d {
		a[k] = s.drainAge(k)
	}
	return ctlrpc.Drains{State: d, Index: d.Index(), Ages: a}
}

// isDrainOrder reports whether an order is about a drain.
func isDrainOrder(o ctlrpc.Order) bool {
	return o.Verb == ctlrpc.StartDrain || o.Verb == ctlrpc.EndDrain
}

// forwardNoted forwards an order to the leader. To an order about a drain that comes from an operator it adds which change of the data centre
// this host holds, so that the order reverts no later one if it is delivered late. A host that may hold an old change answers Unavailable.
// A leader proposes at once what it takes itself: its place in the log decides.
func (t *transition) forwardNoted(a OrderReceived) {
	if isDrainOrder(a.Order) && a.Order.Hops == 0 {
		if !t.Current() {
			t.emit(Respond{CallID: a.CallID})
			return
		}
		a.Order.DrainSeen = t.StateMachine.Drains.Seen(a.Order.DataCentre)
	}
	t.forward(a)
}

// drainOrder returns the change that an order asks for.
func (t *transition) drainOrder(o ctlrpc.Order) drain.Order {
	return drain.Order{DataCentre: o.DataCentre, Drained: o.Verb == ctlrpc.StartDrain, Known: t.DataCentres, Seen: o.DrainSeen}
}

// orderDrain proposes to start or end the drain of a data centre. An order that changes nothing is answered without a proposal, unless
// another one is pending: its place in the log decides then.
func (t *transition) orderDrain(a OrderReceived) {
	o, d := t.drainOrder(a.Order), t.StateMachine.Drains
	_, changed := d[o.DataCentre]
	switch {
	case len(t.DataCentres) == 0:
		t.emit(Respond{CallID: a.CallID}) // other hosts may take such orders
	case !changed && !slices.Contains(t.DataCentres, o.DataCentre):
		t.emit(Respond{CallID: a.CallID, Reply: ctlrpc.OrderReply{Status: ctlrpc.Missing}})
	case !t.drainPending() && d.WithOrder(o, t.Log.LastIndex()+1).Index() == d.Index():
		t.emit(Respond{CallID: a.CallID, Reply: t.orderReply(a.Order)})
	default:
		t.propose(a, Command{Drain: &o})
	}
}

// drainPending reports whether an order about a drain isn't committed yet.
func (t *transition) drainPending() bool {
	return slices.ContainsFunc(t.pending, func(w pendingOrder) bool {
		return isDrainOrder(w.order)
	})
}

// drainResult returns the result of an order about a drain by the committed state. An order that isn't in force was late, or was refused since
// the data centre is the last one. It gets no clear answer if it was late, or if this host has seen a drain there end lately: it may be a
// resend of the order that had started it, which was accepted.
func (t *transition) drainResult(o ctlrpc.Order) (ctlrpc.Status, drain.Change) {
	d := t.drainOrder(o)
	c, changed := t.StateMachine.Drains[d.DataCentre]
	switch {
	case c.Drained == d.Drained && !changed:
		return ctlrpc.Accepted, drain.Change{Index: t.StateMachine.Applied}
	case c.Drained == d.Drained:
		return ctlrpc.Accepted, c
	case t.StateMachine.Drains.IsLate(d):
		return ctlrpc.Unavailable, drain.Change{} // sent again it is taken with the newer change
	case t.drainsLearned[d.DataCentre].live && t.drainAge(d.DataCentre) < resendTime:
		return ctlrpc.Unavailable, drain.Change{}
	}
	return ctlrpc.Conflict, drain.Change{}
}

// logOrder logs an order about a drain or a rollout.
func (h *Host) logOrder(o ctlrpc.Order) {
	switch {
	case isDrainOrder(o):
		h.log.WithFields(logrus.Fields{"order": o.Verb.String(), "data-centre": o.DataCentre, "hops": o.Hops}).Warn("control: an operator's order about a data centre")
	case o.Verb == ctlrpc.StartRollout:
		h.log.WithFields(logrus.Fields{"service": o.Rollout.Service, "target": o.Rollout.Target, "seen": o.RolloutSeen, "hops": o.Hops}).Info("control: an operator's order to start a roll-out")
	}
}

// logOrderReply logs the reply to an order about a drain, and how long it took.
func (h *Host) logOrderReply(o ctlrpc.Order, r ctlrpc.OrderReply, took time.Duration) {
	if !isDrainOrder(o) {
		return
	}
	h.log.WithFields(logrus.Fields{
		"order": o.Verb.String(), "data-centre": o.DataCentre, "hops": o.Hops, "status": r.Status.String(), "index": r.Drain.Index, "took": took.Milliseconds(),
	}).Info("control: answers an order about a data centre")
}

// logDrains logs the changes of drains between two states. age is the least time since the change in ms.
func (h *Host) logDrains(o, s State) {
	for k, c := range s.StateMachine.Drains {
		if o.StateMachine.Drains[k] != c {
			h.log.WithFields(logrus.Fields{
				"data-centre": k, "drained": c.Drained, "index": c.Index, "age": s.drainAge(k).Milliseconds(), "all-drained": s.StateMachine.Drains.Drained(),
			}).Warn("control: drain changed")
		}
	}
	for k, c := range o.StateMachine.Drains {
		if _, ok := s.StateMachine.Drains[k]; !ok {
			h.log.WithFields(logrus.Fields{"data-centre": k, "drained": c.Drained, "index": c.Index}).
				Error("control: the snapshot of an older build holds no drains; upgrade all control hosts and send the order again")
		}
	}
}
