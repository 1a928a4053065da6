package quorum_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// Guards against a second leader in a term: a candidate that lost keeps the votes of the term, and two voters that its leader
// removes later make a majority of them without any message.
func TestLostCandidateDoesNotLeadItsTermAfterRemovals(t *testing.T) {
	i := is.New(t)
	p := quorum.Peers{Voters: []quorum.NodeID{"x", "y", "a", "b", "l"}}
	s := quorum.New("x", timing, quorum.HardState{Term: 1}, quorum.Snapshot{Index: 1, Term: 1, Peers: p}, nil, 1)
	now := time.Second
	step := func(v quorum.Input) { s, _ = quorum.Step(s, now, v) }
	receive := func(m quorum.Message) {
		m.To = "x"
		step(quorum.Receive{Message: m})
	}
	step(quorum.Tick{}) // after a late tick the campaign is put off once
	now += timing.Heartbeat
	step(quorum.Tick{})
	receive(quorum.Message{Kind: quorum.PreVoteReply, From: "y", Term: 2})
	receive(quorum.Message{Kind: quorum.PreVoteReply, From: "a", Term: 2})
	i.Equal(s.Role, quorum.Candidate)
	receive(quorum.Message{Kind: quorum.VoteReply, From: "y", Term: 2})
	w, v := p.Without("a"), p.Without("a").Without("b")
	receive(quorum.Message{Kind: quorum.Append, From: "l", Term: 2, Index: 1, LogTerm: 1, Commit: 3, Entries: []quorum.Entry{
		{Index: 2, Term: 2}, {Index: 3, Term: 2, Peers: &w}, {Index: 4, Term: 2, Peers: &v},
	}})
	i.Equal(s.Role, quorum.Follower)
	i.Equal(len(s.Peers.Voters), 3)
	for range 100 {
		now += timing.Heartbeat / 2
		step(quorum.Tick{})
		receive(quorum.Message{Kind: quorum.VoteReply, From: "y", Term: 2}) // late
		i.True(s.Role != quorum.Leader)
	}
}

// Guards against a change that replaces a voter at once, or that is proposed before the leader knows that no change of an
// earlier leader is pending: the majorities before and after it needn't share a node.
func TestUnsafeMembershipChangesAreRefused(t *testing.T) {
	i := is.New(t)
	n := newNetwork(3)
	n.runWithoutFaults(3 * time.Second)
	l := n.leaders[slices.Max(terms(n))]
	p := n.nodes[l].state.Peers
	o := p.Voters[0]
	if o == l {
		o = p.Voters[1]
	}
	i.Equal(n.step(l, quorum.ProposePeers{Peers: p.Without(o).WithVoter("new")}).Index, uint64(0))
	i.True(n.step(l, quorum.ProposePeers{Peers: p.Without(o).WithLearner("new")}).Index > 0)
	s := quorum.New("x", timing, quorum.HardState{Term: 1}, quorum.Snapshot{Index: 1, Term: 1, Peers: quorum.Peers{Voters: []quorum.NodeID{"x"}}}, nil, 1)
	for now := time.Second; s.Role != quorum.Leader; now += timing.Heartbeat {
		s, _ = quorum.Step(s, now, quorum.Tick{})
	}
	s, r := quorum.Step(s, 2*time.Second, quorum.ProposePeers{Peers: s.Peers.WithLearner("new")})
	i.Equal(r.Proposed.Index, uint64(0)) // its first entry isn't synced
	s, _ = quorum.Step(s, 2*time.Second, quorum.Persisted{Index: 2, Term: 2})
	_, r = quorum.Step(s, 2*time.Second, quorum.ProposePeers{Peers: s.Peers.WithLearner("new")})
	i.True(r.Proposed.Index > 0)
}
