package ctrl

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/poison"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// Reduce returns the state after an event, and the effects to perform in order. now is the time since the start of the
// host. Reduce does no I/O and doesn't change s.
func Reduce(s State, now time.Duration, e Event) (State, []Effect) {
	t := &transition{State: s}
	t.Now = now
	switch v := e.(type) {
	case Tick:
		t.stepLog(quorum.Tick{})
		t.assessRollouts()
		t.judgePoison()
		t.runLeaderTasks()
		t.sweepSpeeds()
		t.removeSilent()
	case MessagesReceived:
		for _, m := range v.Messages {
			t.receiveMessage(m)
		}
	case Persisted:
		t.stepLog(v.Persisted)
	case DiskReopened:
		t.reopenLog(v)
	case OrderReceived:
		t.handleOrder(v)
	case EndpointReported:
		t.applyReport(v.Report, true)
	case HostReported:
		t.applyHostReport(v.Report, true)
	case GossipReceived:
		for _, r := range v.Gossip.Reports {
			t.applyReport(r, false)
		}
		for _, r := range v.Gossip.Hosts {
			t.applyHostReport(r, false)
		}
		t.applyPoison(v.Gossip.Poison)
	case PoisonLifted:
		t.liftPoison(v.Key)
	}
	t.finish()
	return t.State, t.effects
}

// removeSilent removes the endpoints that have missed too many heartbeats. A host that was held up for longer than a heartbeat has heard
// nothing meanwhile: for resumeHeartbeats it only takes reports, those that wait in its sockets and at other hosts among them. One that is
// held up again and again removes them once it has run for as long as it waits for an endpoint.
func (t *transition) removeSilent() {
	p := t.Now - t.tickedAt
	t.tickedAt = t.Now
	if p > t.Heartbeat {
		t.heldUpAt = t.Now
		t.removedAt += p
	}
	if t.heldUpAt > 0 && t.Now-t.heldUpAt < resumeHeartbeats*t.Heartbeat && t.Now-t.removedAt < maxMissedHeartbeats*t.Heartbeat {
		return
	}
	t.removedAt = t.Now
	t.Fleet = t.Fleet.WithoutSilent(t.Now - maxMissedHeartbeats*t.Heartbeat)
}

// transition is the state that Reduce changes for one event, with the effects collected so far.
type transition struct {
	State
	effects []Effect
}

func (t *transition) emit(e Effect) { t.effects = append(t.effects, e) }

// stepLog passes an input to the control log, emits its writes and messages, applies the committed entries and compacts
// the log. It returns the entry that the input proposed, if any.
func (t *transition) stepLog(i quorum.Input) quorum.Entry {
	l, o := quorum.Step(t.Log, t.Now, i)
	t.Log = l
	if !o.Persist.Empty() || len(o.Messages) > 0 {
		t.emit(Write{Persist: o.Persist, Messages: o.Messages, Generation: t.diskGeneration})
	}
	for _, f := range o.Forgotten {
		t.emit(EntriesForgotten{f})
	}
	for _, e := range o.Persist.Entries {
		t.bytesSinceSnapshot += len(e.Data)
	}
	if o.Restore != nil {
		t.restoreSnapshot(*o.Restore)
	}
	for _, e := range o.Committed {
		t.applyEntry(e)
	}
	t.compact()
	return o.Proposed
}

// restoreSnapshot replaces the replicated state by that of a newer snapshot.
func (t *transition) restoreSnapshot(s quorum.Snapshot) {
	m, err := t.StateMachine.WithSnapshot(s)
	if err != nil {
		t.emit(EntryFailed{Err: err})
		return
	}
	t.StateMachine = m
	t.trackRollouts()
	t.State = t.withDrainsLearned()
	t.retireLeavers(0)
}

// applyEntry applies a committed entry and answers the pending order that proposed it.
func (t *transition) applyEntry(e quorum.Entry) {
	m, err := t.StateMachine.WithEntry(e)
	if err != nil {
		t.emit(EntryFailed{Err: err})
	}
	t.StateMachine = m
	t.trackRollouts()
	t.State = t.withDrainsLearned()
	t.retireLeavers(e.Index)
	t.pending = slices.DeleteFunc(slices.Clone(t.pending), func(w pendingOrder) bool {
		if w.index != e.Index || w.term != e.Term {
			return false
		}
		t.emit(Respond{CallID: w.callID, Reply: t.orderReply(w.order)})
		return true
	})
}

// trackRollouts records when this host first saw each rollout.
func (t *transition) trackRollouts() {
	for k, r := range t.StateMachine.Rollouts {
		if b, ok := t.rolloutStarts[k]; !ok || b.serial != r.Serial {
			t.rolloutStarts = maps.Clone(t.rolloutStarts)
			t.rolloutStarts[k] = rolloutStart{serial: r.Serial, seenAt: t.Now, before: max(ctlrpc.NoRollout, b.serial), live: t.Synced}
		}
	}
}

// compact replaces the applied entries by a snapshot once the log has compactEntries entries or has grown by compactBytes
// since the last snapshot, and the applied entries are synced.
func (t *transition) compact() {
	if t.Log.EntryCount() < compactEntries && t.bytesSinceSnapshot < compactBytes || t.StateMachine.Applied <= t.Log.Snapshot.Index {
		return
	}
	if t.Log.Stable < t.StateMachine.Applied {
		return
	}
	b, err := json.Marshal(t.StateMachine)
	if err != nil {
		t.emit(EntryFailed{Err: err})
		return
	}
	t.bytesSinceSnapshot = 0
	t.stepLog(quorum.Compact{Index: t.StateMachine.Applied, Data: b})
}

// receiveMessage passes a message to the control log and records what was heard of a leader.
func (t *transition) receiveMessage(m quorum.Message) {
	if m.Kind == quorum.Append && m.Term >= t.Log.Hard.Term {
		t.leaderHeardAt, t.leaderCommit = t.Now, m.Commit
	}
	if t.Log.VoteIsLate(m) {
		t.emit(VoteIgnored{})
	}
	t.stepLog(quorum.Receive{Message: m})
}

// reopenLog restarts the control log from the content of the disk, as after a restart of the process.
func (t *transition) reopenLog(r DiskReopened) {
	t.diskGeneration = r.Generation
	t.Log = t.Log.Reopened(r.State.Hard, r.State.Snapshot, r.State.Entries, t.Now)
	t.restoreSnapshot(r.State.Snapshot)
}

// finish runs after each event. On a host that doesn't lead it answers all pending orders with Unavailable. It sets
// Synced once the host has held all that was committed.
func (t *transition) finish() {
	if t.Log.Role != quorum.Leader {
		for _, w := range t.pending {
			t.emit(Respond{CallID: w.callID})
		}
		t.pending = nil
	}
	if !t.Synced {
		_, t.Synced = t.Log.HeldAt()
	}
}

// applyReport adds an endpoint's report to the fleet. A report that changes the fleet and came directly from the endpoint
// is passed on by gossip.
func (t *transition) applyReport(r fleet.Report, direct bool) {
	r = t.StateMachine.Corrected(r)
	o, known := t.Fleet.Get(r.ID)
	n, ok := t.Fleet.WithReport(r, t.Now)
	t.Fleet = n
	e, _ := n.Get(r.ID)
	c := ok && t.ColdLimits.On() && becameCold(o.Report, e.Report, known)
	if c {
		t.coldRevision = n.Revision
	}
	if ok && direct {
		t.emit(SendGossip{Gossip: ctlrpc.Gossip{Reports: []fleet.Report{e.Report}}, Urgent: c})
	}
}

// becameCold reports whether an endpoint isn't known to be warm by a report, and was by the one before, or has started again.
func becameCold(before, r fleet.Report, known bool) bool {
	return r.Phase == fleet.Ready && r.ColdLeft != 0 && (!known || before.Born != r.Born || before.ColdLeft == 0)
}

// isEarlierStart reports whether a start of an entry host comes before another one that was last heard some time ago. Starts are numbered by
// the host's clock, which may be set back between them: a lower number counts as the newer start once the other one has been silent for
// loadTimeout, from which on its loads are ignored as well.
func isEarlierStart(start, known int64, silence time.Duration) bool {
	return start < known && silence < loadTimeout
}

// applyHostReport stores an entry host's report unless a newer one is known. Its tallies count in any case. A report that
// came directly from the entry host is passed on by gossip.
func (t *transition) applyHostReport(r ctlrpc.HostReport, direct bool) {
	o, ok := t.entryHosts.Get(r.Host)
	o.tallies = t.withTallies(o.tallies, r)
	t.applyPoison(r.Poison)
	if ok && (isEarlierStart(r.Start, o.report.Start, t.Now-o.heardAt) || r.Start == o.report.Start && r.Sequence <= o.report.Sequence) {
		t.entryHosts = t.entryHosts.Set(r.Host, o)
		return
	}
	for _, a := range r.Active {
		t.Fleet = t.Fleet.WithSign(a.ID, a.Born, t.Now-a.Age)
	}
	t.speeds = t.speeds.WithReport(r.Host, r.Start, r.Speeds, t.Now)
	n := entryHost{report: r, tallies: o.tallies, heardAt: t.Now, assistAt: t.Now, demandAt: t.Now}
	if !r.Demand.HasServices() {
		n.report.Demand, n.demandAt = o.report.Demand, o.demandAt
	}
	if r.Assist.Address == "" {
		n.report.Assist, n.assistAt = o.report.Assist, o.assistAt
	}
	if n.report.Reads == nil {
		n.report.Reads = o.report.Reads
	}
	if !ok {
		t.removeExpiredHosts()
	}
	n.report.Tallies, n.report.Active, n.report.Poison, n.report.Speeds = nil, nil, poison.Report{}, nil
	t.entryHosts = t.entryHosts.Set(r.Host, n)
	if direct {
		r.Budget, r.WarmUp = nil, ctlrpc.WarmUp{} // lent by the control host that was asked
		t.emit(SendGossip{Gossip: ctlrpc.Gossip{Hosts: []ctlrpc.HostReport{r}}})
	}
}

// withTallies merges the tallies of a report into those of an entry host. Those of the same start and key replace each
// other if they count more, so that the order of reports doesn't matter. Only the newest rollouts are kept.
func (t *transition) withTallies(m map[tallyKey]canary.Tally, r ctlrpc.HostReport) map[tallyKey]canary.Tally {
	if len(r.Tallies) == 0 {
		return m
	}
	n := maps.Clone(m)
	if n == nil {
		n = map[tallyKey]canary.Tally{}
	}
	for _, c := range r.Tallies {
		k := tallyKey{r.Start, c.Key()}
		if o, ok := n[k]; !ok || c.Supersedes(o) {
			n[k] = c
		}
	}
	maps.DeleteFunc(n, func(_ tallyKey, c canary.Tally) bool { return !t.isNewestRollout(c.Serial) })
	return n
}

// assessRollouts weighs the evidence about the running rollouts again if it is due.
func (t *transition) assessRollouts() {
	if t.Now < t.nextAssessment {
		return
	}
	l := t.Tallies()
	n := map[uint64]canary.Assessment{}
	for _, r := range t.StateMachine.Rollouts {
		if r.Outcome == canary.Running {
			n[r.Serial] = canary.Assess(r, l)
		}
	}
	t.assessments = n
	t.nextAssessment = t.Now + assessInterval*time.Duration(1+len(l)/assessBatch)
}

// removeExpiredHosts removes entry hosts that have not reported for hostExpiry.
func (t *transition) removeExpiredHosts() {
	for i := t.entryHosts.Iterator(); !i.Done(); {
		if n, h, _ := i.Next(); h.heardAt+hostExpiry < t.Now {
			t.entryHosts = t.entryHosts.Delete(n)
		}
	}
}

// isNewestRollout reports whether the rollout with a serial is the newest one of its service.
func (t *transition) isNewestRollout(serial uint64) bool {
	for _, r := range t.StateMachine.Rollouts {
		if r.Serial == serial {
			return true
		}
	}
	return false
}
