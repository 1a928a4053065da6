package quorum_test

import (
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
