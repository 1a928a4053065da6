package ctrl

import (
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	// voterTimeout is how long a voter may be silent before it counts as lost. It is then removed even without a replacement,
	// if at least minVoters others are sound.
	voterTimeout = 6 * time.Second
	// replaceTimeout is the silence of a voter after which a learner that has caught up takes its place. Until then a second
	// loss may cost the majority, so that it has to be well below the time that a host has to catch up.
	replaceTimeout = 1500 * time.Millisecond
	// learnerTimeout is the longest silence of a learner that may become a voter.
	learnerTimeout = time.Second
	// leaveTimeout is how long a host that has said that it stops counts as stopping. It says so again and again until then.
	leaveTimeout = 2 * time.Second
	// minVoters is the number of sound voters from which a lost voter is removed.
	minVoters = 3
)

// BootstrapPeers returns the peers of a new log. If the number of nodes is even and at least 4, the last node is a
// learner, so that the number of voters is odd: an even number of voters tolerates no more failures than one voter
// less, and a network partition into halves leaves it without a majority.
func BootstrapPeers(nodes []quorum.NodeID) quorum.Peers {
	v := slices.Sorted(slices.Values(nodes))
	n := voterCount(len(v))
	return quorum.Peers{Voters: v[:n:n], Learners: v[n:]}
}

// voterCount returns how many of n nodes vote: the largest odd number, except that both of two nodes vote, so that
// acknowledged entries are on both disks.
func voterCount(n int) int {
	if n < minVoters {
		return n
	}
	return n - 1 + n%2
}

// adjustVoters proposes the next change of peers on the way to an odd number of live voters, if one is due.
func (t *transition) adjustVoters() {
	if p, ok := t.nextPeers(); ok {
		t.stepLog(quorum.ProposePeers{Peers: p})
	}
}

// nextPeers returns the peers after the next change of the voters, and false if none is due. A voter that isn't sound, because it
// stops or was silent for replaceTimeout, is removed if the others tolerate more losses without it, or without it and another one:
// if the number of voters is even, or at least minVoters are sound and two aren't. A learner that has caught up is promoted if
// there are too few sound voters. A single voter that can't be replaced stays for voterTimeout, as it may be back before that,
// and is removed then if at least minVoters are sound. A sound voter is demoted if one is too many.
func (s State) nextPeers() (quorum.Peers, bool) {
	p := s.Log.Peers
	g := s.unsoundVoters()
	r := s.promotableLearners()
	l := len(p.Voters) - len(g)
	w := voterCount(l + len(r))
	switch {
	case len(g) > 0 && len(p.Voters)%2 == 0, len(g) > 1 && l >= minVoters:
		return p.Without(g[0]), true
	case l < w:
		return p.WithVoter(r[0]), true
	case l >= minVoters && slices.ContainsFunc(g, s.isLost):
		return p.Without(g[slices.IndexFunc(g, s.isLost)]), true
	case len(g) == 0 && l > w:
		return s.withVoterDemoted(p), true
	}
	return p, false
}

// unsoundVoters returns the voters that stop or were silent for replaceTimeout.
func (s State) unsoundVoters() []quorum.NodeID {
	var r []quorum.NodeID
	for _, n := range s.Log.Peers.Voters {
		if s.isLeaving(n) || s.isSilent(n, replaceTimeout) {
			r = append(r, n)
		}
	}
	return r
}

// promotableLearners returns the learners that hold all committed entries and neither stop nor are silent.
func (s State) promotableLearners() []quorum.NodeID {
	var r []quorum.NodeID
	for _, n := range s.Log.Peers.Learners {
		if m := s.Log.Match(n); m >= s.Log.Commit && m > 0 && !s.isLeaving(n) && !s.isSilent(n, learnerTimeout) {
			r = append(r, n)
		}
	}
	return r
}

// isLost reports whether a voter was silent for so long that it is removed without a replacement.
func (s State) isLost(n quorum.NodeID) bool { return s.isSilent(n, voterTimeout) }

// isLeaving reports whether a control host has lately said that it is about to stop.
func (s State) isLeaving(n quorum.NodeID) bool {
	a, ok := s.leaving[n]
	return ok && s.Now-a < leaveTimeout
}

// isSilent reports whether a node other than this one has answered no message for longer than d, all of it since this host
// was elected.
func (s State) isSilent(n quorum.NodeID, d time.Duration) bool {
	return n != s.Node && s.Now-max(s.Log.LastAcked(n), s.Log.ElectedAt()) > d
}

// withVoterDemoted returns the peers with one voter made a learner: the last in the order of ids that isn't this host.
func (s State) withVoterDemoted(p quorum.Peers) quorum.Peers {
	for _, n := range slices.Backward(slices.Sorted(slices.Values(p.Voters))) {
		if n != s.Node {
			return p.Without(n).WithLearner(n)
		}
	}
	return p
}
