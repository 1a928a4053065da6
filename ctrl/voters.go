package ctrl

import (
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	// voterTimeout is how long a voter may be silent before it counts as lost. A lost voter is replaced by a learner, and
	// removed if at least minVoters others are live.
	voterTimeout = 6 * time.Second
	// learnerTimeout is the longest silence of a learner that may become a voter.
	learnerTimeout = time.Second
	// minVoters is the number of live voters from which a silent voter is removed.
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

// adjustVoters proposes at most one change of peers to reach an odd number of live voters. It promotes a learner that has
// caught up if there are too few live voters, removes a silent voter once at least minVoters are live, or demotes a
// voter if all are live and one is too many. Voters count as silent only voterTimeout after the election, so that a new
// leader can hear from them first.
func (t *transition) adjustVoters() {
	p := t.Log.Peers
	var g, r []quorum.NodeID // silent voters and learners that have caught up
	for _, n := range p.Voters {
		if t.silentFor(n, voterTimeout) && t.Now-t.Log.ElectedAt() > voterTimeout {
			g = append(g, n)
		}
	}
	for _, n := range p.Learners {
		if m := t.Log.Match(n); m >= t.Log.Commit && m > 0 && !t.silentFor(n, learnerTimeout) {
			r = append(r, n)
		}
	}
	l := len(p.Voters) - len(g)
	w := voterCount(l + len(r))
	switch {
	case l < w:
		t.stepLog(quorum.ProposePeers{Peers: p.WithVoter(r[0])})
	case len(g) > 0 && l >= minVoters:
		t.stepLog(quorum.ProposePeers{Peers: p.Without(g[0])})
	case len(g) == 0 && l > w:
		t.stepLog(quorum.ProposePeers{Peers: t.withVoterDemoted(p)})
	}
}

// silentFor reports whether a node other than this one has answered no message for longer than d.
func (t *transition) silentFor(n quorum.NodeID, d time.Duration) bool {
	return n != t.Node && t.Now-t.Log.LastAcked(n) > d
}

// withVoterDemoted returns the peers with one voter made a learner: the last in the order of ids that isn't this host.
func (t *transition) withVoterDemoted(p quorum.Peers) quorum.Peers {
	for _, n := range slices.Backward(slices.Sorted(slices.Values(p.Voters))) {
		if n != t.Node {
			return p.Without(n).WithLearner(n)
		}
	}
	return p
}
