package core

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// maxLearnerLag is the maximum number of log entries that a learner may lack when it becomes a voter.
const maxLearnerLag = 16

// stepQuorum passes an input to the control log, emits its output and applies the entries that it committed. It
// returns the proposed entry, which is zero if the input proposed none.
func (r *reducer) stepQuorum(input quorum.Input) quorum.Entry {
	o := r.Quorum.Role
	n, u := quorum.Step(r.Quorum, r.Now, input)
	r.Quorum = n
	if !u.Persist.Empty() || len(u.Messages) > 0 {
		r.emit(QuorumOutput{Persist: u.Persist, Messages: u.Messages})
	}
	if o != n.Role {
		r.log("quorum", "the host's role changed", Field{"role", n.Role}, Field{"term", n.Hard.Term})
	}
	if o == quorum.Leader && n.Role != quorum.Leader {
		r.dropProposals()
	}
	if u.Restore != nil {
		r.restore(*u.Restore)
	}
	for _, e := range u.Committed {
		r.apply(e)
	}
	return u.Proposed
}

// dropProposals answers all waiting callers with an unknown verdict when this host loses the leadership: the next
// leader may or may not have their commands.
func (r *reducer) dropProposals() {
	for i := r.proposals.Iterator(); !i.Done(); {
		k, p, _ := i.Next()
		r.emit(AnswerProposal{ID: p.id, Result: config.Result{Message: "the leader changed; resend with the same id"}})
		r.proposals = r.proposals.Delete(k)
	}
	for _, p := range r.pendingChanges {
		p.result.Verdict = config.VerdictUnknown
		p.result.Message = "the leader changed; resend with the same id"
		r.emit(AnswerProposal{ID: p.id, Result: p.result})
	}
	r.pendingChanges = nil
}

// restore replaces the control state by a snapshot. A snapshot that can't be decoded is ignored and logged.
func (r *reducer) restore(s quorum.Snapshot) {
	c, err := config.Decode(s.Data)
	if err != nil {
		r.log("quorum", "cannot decode a snapshot, upgrade this host", Field{"error", err})
		return
	}
	r.Control = c
	r.applied = s.Index
	r.adoptConfig(c.Config)
}

// apply applies a committed log entry to the control state and answers its caller. An entry without data, such as a
// membership change, has no effect on the control state.
func (r *reducer) apply(e quorum.Entry) {
	r.applied = e.Index
	p, w := r.proposals.Get(e.Index)
	r.proposals = r.proposals.Delete(e.Index)
	if len(e.Data) == 0 {
		return
	}
	var c config.Command
	if err := json.Unmarshal(e.Data, &c); err != nil {
		r.log("quorum", "cannot decode a command, upgrade this host", Field{"index", e.Index}, Field{"error", err})
		return
	}
	n, u := config.Apply(r.Control, c)
	r.Control = n
	r.adoptConfig(n.Config)
	if w {
		r.answerApplied(p, u)
	}
}

// answerApplied answers the caller of an applied command. The answer to a committed change waits until the change is
// in force in every data centre, at most inForceTimeout.
func (r *reducer) answerApplied(p proposal, u config.Result) {
	if !p.change || u.Verdict != config.VerdictCommitted {
		r.emit(AnswerProposal{ID: p.id, Result: u})
		return
	}
	r.pendingChanges = append(slices.Clone(r.pendingChanges), pendingChange{id: p.id, result: u, deadline: r.Now + inForceTimeout})
	r.answerPendingChanges()
}

// answerPendingChanges answers the changes that are in force in every data centre or whose deadline has passed.
func (r *reducer) answerPendingChanges() {
	var k []pendingChange
	for _, p := range r.pendingChanges {
		p.result.Pending = r.Pending(p.result.Revision)
		if len(p.result.Pending) > 0 && r.Now < p.deadline {
			k = append(k, p)
			continue
		}
		r.emit(AnswerProposal{ID: p.id, Result: p.result})
		r.log("control", "answered a configuration change", Field{"revision", p.result.Revision}, Field{"pending", p.result.Pending})
	}
	r.pendingChanges = k
}

// Pending returns the data centres in which a revision isn't known to be in force. The result is meaningful only on
// the leader.
func (s State) Pending(revision model.Revision) []string {
	return s.Members.Pending(s.Config, revision, s.Quorum.ElectedAt(), s.Now)
}

// adoptConfig puts a configuration in force at this host unless the one in force has the same or a newer revision.
func (r *reducer) adoptConfig(c model.Config) {
	if c.Revision <= r.Config.Revision {
		return
	}
	r.Config = c
	r.refreshSelf()
	r.log("control", "a configuration is in force", Field{"revision", c.Revision})
	r.refuseWithdrawn()
	r.broadcastHeartbeat()
}

// commandProposed proposes a caller's command to the control log, or refuses it if this host isn't the leader.
func (r *reducer) commandProposed(e CommandProposed) {
	if !r.Quorum.Ready(r.Now) {
		m := "this host doesn't lead; ask the leader"
		r.emit(AnswerProposal{ID: e.ID, Result: config.Result{Verdict: config.VerdictNotLeader, Leader: r.Leader(), Message: m}})
		return
	}
	b, err := json.Marshal(e.Command)
	if err != nil {
		m := "the command can't be encoded; report this as a fault"
		r.emit(AnswerProposal{ID: e.ID, Result: config.Result{Verdict: config.VerdictRejected, Message: m}})
		return
	}
	x := r.stepQuorum(quorum.Propose{Data: b})
	r.proposals = r.proposals.Set(x.Index, proposal{id: e.ID, term: x.Term, change: e.Command.Change != nil})
}

// settleOrphans settles open ledger lines and open claims whose host has departed, with an unknown outcome. Every host
// settles the lines; only the leader proposes to settle the claims, again after 5 s if a claim is still open.
func (r *reducer) settleOrphans() {
	for _, l := range r.Ledger.Orphans(r.departed) {
		r.log("ledger", "settled an orphaned request with an unknown outcome", Field{"request", l.RequestID}, Field{"host", l.Host})
		r.storeLines(RecordKey(l), l)
		r.copyToPeers(l)
	}
	if !r.Quorum.Ready(r.Now) {
		return
	}
	for _, c := range r.Control.OpenClaims() {
		b := c.Begin
		if t, ok := r.settleProposedAt.Get(b.RequestID); (ok && r.Now < t+5*time.Second) || !r.departed(b.Host, b.Incarnation) {
			continue
		}
		r.settleProposedAt = r.settleProposedAt.Set(b.RequestID, r.Now)
		e := config.EndClaim{Customer: b.Customer, Key: b.Key, RequestID: b.RequestID}
		r.emit(ProposeCommand{Command: config.Command{End: &e}})
		r.log("claim", "settles an orphaned claim with an unknown outcome", Field{"request", b.RequestID}, Field{"host", b.Host})
	}
}

// departed reports whether the given process of a host is known to be gone.
func (r *reducer) departed(host string, incarnation uint64) bool {
	return r.Members.Departed(host, incarnation, r.Now)
}

// reconcileVoters changes the control log's nodes toward the configured voters, one step at a time. A host with a new
// disk has a new node: the new node joins as a learner, then the host's old node is removed, then the new node
// becomes a voter.
func (r *reducer) reconcileVoters() {
	if !r.Quorum.Ready(r.Now) {
		return
	}
	p, ok := r.nextPeers(r.Quorum.Peers)
	if !ok {
		return
	}
	if x := r.stepQuorum(quorum.ProposePeers{Peers: p}); x.Index != 0 {
		r.log("quorum", "proposes a change of the voters", Field{"voters", p.Voters}, Field{"learners", p.Learners})
	}
}

// nextPeers returns the nodes after the next step of reconcileVoters, and whether there is a step to take.
func (r *reducer) nextPeers(p quorum.Peers) (quorum.Peers, bool) {
	for _, n := range p.All() {
		if m, ok := r.Config.Member(hostOf(n)); !ok || !m.Voter {
			return p.Without(n), true
		}
	}
	for _, m := range r.Config.Members {
		n := r.nodeOf(m)
		if n == "" || p.IsVoter(n) {
			continue
		}
		return r.advanceNode(p, n)
	}
	return p, false
}

// nodeOf returns the node that a voting member runs now, or an empty ID when the member isn't a voter or isn't alive.
func (r *reducer) nodeOf(m model.Member) quorum.NodeID {
	if h, ok := r.Members.Host(m.Name); ok && m.Voter && r.Members.Alive(m.Name, r.Now) {
		return h.Node
	}
	return ""
}

// advanceNode returns the nodes after the next step for a node that isn't a voter yet. The result is false while the
// node is a learner that lacks more than maxLearnerLag entries.
func (r *reducer) advanceNode(p quorum.Peers, n quorum.NodeID) (quorum.Peers, bool) {
	if !slices.Contains(p.Learners, n) {
		return p.WithLearner(n), true
	}
	if r.Quorum.Match(n)+maxLearnerLag < r.Quorum.LastIndex() {
		return p, false
	}
	for _, o := range p.All() {
		if o != n && hostOf(o) == hostOf(n) {
			return p.Without(o), true
		}
	}
	return p.WithVoter(n), true
}

// compact replaces the applied log entries by a snapshot once the log holds compactThreshold entries.
func (r *reducer) compact() {
	if r.Quorum.EntryCount() < compactThreshold || r.applied <= r.Quorum.Snapshot.Index {
		return
	}
	b, err := r.Control.Encode()
	if err != nil {
		r.log("quorum", "cannot encode a snapshot, report this as a bug", Field{"error", err})
		return
	}
	r.stepQuorum(quorum.Compact{Index: r.applied, Data: b})
}
