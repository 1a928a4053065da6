package core

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// caughtUpWithin is how many entries a learner may lack when it becomes a voter.
const caughtUpWithin = 16

// stepQuorum feeds the control log and carries out what it asks.
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

// dropProposals answers the callers whose commands the next leader may or may not have.
func (r *reducer) dropProposals() {
	for i := r.proposals.Iterator(); !i.Done(); {
		k, p, _ := i.Next()
		r.emit(AnswerProposal{ID: p.id, Result: config.Result{Message: "the leader changed; resend with the same id"}})
		r.proposals = r.proposals.Delete(k)
	}
	for _, p := range r.inForce {
		p.result.Verdict = config.VerdictUnknown
		p.result.Message = "the leader changed; resend with the same id"
		r.emit(AnswerProposal{ID: p.id, Result: p.result})
	}
	r.inForce = nil
}

func (r *reducer) restore(s quorum.Snapshot) {
	c, err := config.Decode(s.Data)
	if err != nil {
		r.log("quorum", "a snapshot can't be read, upgrade this host", Field{"error", err})
		return
	}
	r.Control = c
	r.applied = s.Index
	r.adopt(c.Config)
}

func (r *reducer) apply(e quorum.Entry) {
	r.applied = e.Index
	p, w := r.proposals.Get(e.Index)
	r.proposals = r.proposals.Delete(e.Index)
	if len(e.Data) == 0 {
		return
	}
	var c config.Command
	if err := json.Unmarshal(e.Data, &c); err != nil {
		r.log("quorum", "a command can't be read, upgrade this host", Field{"index", e.Index}, Field{"error", err})
		return
	}
	n, u := config.Apply(r.Control, c)
	r.Control = n
	r.adopt(n.Config)
	if w {
		r.answerApplied(p, u)
	}
}

func (r *reducer) answerApplied(p proposal, u config.Result) {
	if !p.change || u.Verdict != config.VerdictCommitted {
		r.emit(AnswerProposal{ID: p.id, Result: u})
		return
	}
	r.inForce = append(slices.Clone(r.inForce), pendingChange{id: p.id, result: u, deadline: r.Now + inForceWait})
	r.answerInForce()
}

// answerInForce answers the changes that are in force everywhere, and those that have waited too long.
func (r *reducer) answerInForce() {
	var k []pendingChange
	for _, p := range r.inForce {
		p.result.Pending = r.Pending(p.result.Revision)
		if len(p.result.Pending) > 0 && r.Now < p.deadline {
			k = append(k, p)
			continue
		}
		r.emit(AnswerProposal{ID: p.id, Result: p.result})
		r.log("control", "answered a change", Field{"revision", p.result.Revision}, Field{"pending", p.result.Pending})
	}
	r.inForce = k
}

// Pending returns the data centres where a revision isn't known to be in force; only a leader knows.
func (s State) Pending(revision model.Revision) []string {
	return s.Members.Pending(s.Config, revision, s.Quorum.ElectedAt(), s.Now)
}

// adopt puts a configuration in force unless a newer one is.
func (r *reducer) adopt(c model.Config) {
	if c.Revision <= r.Config.Revision {
		return
	}
	r.Config = c
	r.refreshSelf()
	r.log("control", "a configuration is in force", Field{"revision", c.Revision})
	r.refuseWithdrawn()
	r.beatAll()
}

func (r *reducer) proposed(e Proposed) {
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

// settleOrphans settles claims and lines whose host has departed.
func (r *reducer) settleOrphans() {
	for _, l := range r.Ledger.Orphans(r.departed) {
		r.log("ledger", "settled an orphaned request as unknown", Field{"request", l.RequestID}, Field{"host", l.Host})
		r.keep(RecordKey(l), l)
		r.copyToPeers(l)
	}
	if !r.Quorum.Ready(r.Now) {
		return
	}
	for _, c := range r.Control.OpenClaims() {
		b := c.Begin
		if t, ok := r.settling.Get(b.RequestID); (ok && r.Now < t+5*time.Second) || !r.departed(b.Host, b.Incarnation) {
			continue
		}
		r.settling = r.settling.Set(b.RequestID, r.Now)
		e := config.End{Customer: b.Customer, Key: b.Key, RequestID: b.RequestID}
		r.emit(Propose{Command: config.Command{End: &e}})
		r.log("claim", "settles an orphaned claim as unknown", Field{"request", b.RequestID}, Field{"host", b.Host})
	}
}

func (r *reducer) departed(host string, incarnation uint64) bool {
	return r.Members.Departed(host, incarnation, r.Now)
}

// mendVoters brings the nodes of the control log in line with the members that are to vote, one step at
// a time: a new disk first learns, an old one leaves, then the new one votes.
func (r *reducer) mendVoters() {
	if !r.Quorum.Ready(r.Now) {
		return
	}
	p, ok := r.nextPeers(r.Quorum.Peers)
	if !ok {
		return
	}
	if x := r.stepQuorum(quorum.ProposePeers{Peers: p}); x.Index != 0 {
		r.log("quorum", "changes the voters", Field{"voters", p.Voters}, Field{"learners", p.Learners})
	}
}

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
		return r.withNode(p, n)
	}
	return p, false
}

// nodeOf returns the node that a member runs now, or empty when it isn't known.
func (r *reducer) nodeOf(m model.Member) quorum.NodeID {
	if h, ok := r.Members.Host(m.Name); ok && m.Voter && r.Members.Fresh(m.Name, r.Now) {
		return h.Node
	}
	return ""
}

func (r *reducer) withNode(p quorum.Peers, n quorum.NodeID) (quorum.Peers, bool) {
	if !slices.Contains(p.Learners, n) {
		return p.WithLearner(n), true
	}
	if r.Quorum.Match(n)+caughtUpWithin < r.Quorum.LastIndex() {
		return p, false
	}
	for _, o := range p.All() {
		if o != n && hostOf(o) == hostOf(n) {
			return p.Without(o), true
		}
	}
	return p.WithVoter(n), true
}

// compact replaces a long log by a snapshot.
func (r *reducer) compact() {
	if r.Quorum.EntryCount() < compactAfter || r.applied <= r.Quorum.Snapshot.Index {
		return
	}
	b, err := r.Control.Encode()
	if err != nil {
		r.log("quorum", "the state can't be encoded, report this as a fault", Field{"error", err})
		return
	}
	r.stepQuorum(quorum.Compact{Index: r.applied, Data: b})
}
