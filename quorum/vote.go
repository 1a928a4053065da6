package quorum

import "slices"

// campaign asks the other voters for votes. A pre-candidate asks for the next term without changing its own term.
func (t *step) campaign(role Role) {
	t.Role = role
	t.Leader = ""
	t.State = t.withCampaignDeadline(t.now)
	k, e := PreVote, t.Hard.Term+1
	if role == Candidate {
		t.Hard = HardState{Term: t.Hard.Term + 1, Vote: t.ID}
		k, e = Vote, t.Hard.Term
		t.votes = []NodeID{t.ID}
	} else {
		t.preVotes = []NodeID{t.ID}
		t.campaigns++
	}
	if t.advanceCampaign() {
		return
	}
	l, _ := t.termAt(t.LastIndex())
	for _, n := range t.Peers.Voters {
		if n != t.ID {
			t.send(Message{Kind: k, To: n, Term: e, Index: t.LastIndex(), LogTerm: l})
		}
	}
}

// isMajority reports whether more than half of the voters are among votes.
func (t *step) isMajority(votes []NodeID) bool {
	n := 0
	for _, v := range t.Peers.Voters {
		if slices.Contains(votes, v) {
			n++
		}
	}
	return 2*n > len(t.Peers.Voters)
}

// advanceCampaign turns a node with the votes of a majority into the leader, and a pre-candidate with their pre-votes into a
// candidate. It reports whether the node has advanced. A node that campaigns again still wins with the votes for its term.
func (t *step) advanceCampaign() bool {
	switch {
	case t.Hard.Vote == t.ID && t.isMajority(t.votes):
		t.becomeLeader()
	case t.Role == PreCandidate && t.isMajority(t.preVotes):
		t.campaign(Candidate)
	default:
		return false
	}
	return true
}

// expectsLeader reports whether this node has lately granted another node than the given one its vote. A pre-vote for a
// third node would only disturb that campaign.
func (t *step) expectsLeader(other NodeID) bool {
	v := t.Hard.Vote
	return v != "" && v != t.ID && v != other && t.now < t.votedAt+t.timing.Election
}

// hasCurrentLeader reports whether this node is a leader with a lease or has heard from a leader within the last
// Timing.Election, by whichever of the two clocks is slower. Such a node doesn't vote for another leader, which keeps leases valid.
func (t *step) hasCurrentLeader() bool {
	if t.Role == Leader {
		return t.HasLease(t.now)
	}
	return t.Leader != "" && t.now < t.lastContact+t.timing.Election+t.timing.Election/driftDivisor
}

// receiveVote answers a Vote or PreVote. It grants the vote only if the sender's log is at least as up to date as the
// log of this node, and grants at most one Vote in a term. A PreVote changes no state.
func (t *step) receiveVote(m Message) {
	if t.hasCurrentLeader() || m.Term < t.Hard.Term {
		t.rejectVote(m)
		return
	}
	l, _ := t.termAt(t.LastIndex())
	u := m.LogTerm > l || (m.LogTerm == l && m.Index >= t.LastIndex())
	if m.Kind == PreVote && u && m.Term > t.Hard.Term && !t.expectsLeader(m.From) {
		t.send(Message{Kind: PreVoteReply, To: m.From, Term: m.Term})
		return
	}
	if m.Kind == PreVote {
		t.rejectVote(m)
		return
	}
	if m.Term > t.Hard.Term {
		t.becomeFollower(m.Term, "")
	}
	if !u || (t.Hard.Vote != "" && t.Hard.Vote != m.From) {
		t.rejectVote(m)
		return
	}
	t.Hard.Vote = m.From
	t.votedAt = t.now
	t.State = t.withDeadline(t.now)
	t.send(Message{Kind: VoteReply, To: m.From})
}

func (t *step) rejectVote(m Message) {
	k := VoteReply
	if m.Kind == PreVote {
		k = PreVoteReply
	}
	t.send(Message{Kind: k, To: m.From, Reject: true})
}

func (t *step) receiveVoteReply(m Message) {
	if m.Reject {
		if m.Term > t.Hard.Term {
			t.becomeFollower(m.Term, "")
		}
		return
	}
	if t.Role != PreCandidate && t.Role != Candidate || !t.Peers.IsVoter(m.From) {
		return
	}
	switch {
	case m.Kind == VoteReply && m.Term == t.Hard.Term && len(t.votes) > 0:
		t.votes = withVote(t.votes, m.From)
	case m.Kind == PreVoteReply && m.Term == t.Hard.Term+1 && t.Role == PreCandidate:
		t.preVotes = withVote(t.preVotes, m.From)
	default:
		return
	}
	t.advanceCampaign()
}

// withVote returns votes with that of a voter, which counts once.
func withVote(votes []NodeID, voter NodeID) []NodeID {
	if slices.Contains(votes, voter) {
		return votes
	}
	return append(slices.Clone(votes), voter)
}
