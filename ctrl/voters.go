package ctrl

import (
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	// voterSilence is how long a voter may be silent before it is replaced, where others suffice.
	voterSilence = 6 * time.Second
	// learnerSilence is how long a learner that becomes a voter may have been silent.
	learnerSilence = time.Second
	// fewestVoters is the number of live voters from which a silent one is replaced.
	fewestVoters = 3
)

// Founding returns the peers of a new log: an odd number of voters, and a learner that stands by where the
// number of nodes is even. An even number of voters bears no more losses than one voter less, and a split in
// halves leaves it without a majority.
func Founding(nodes []quorum.NodeID) quorum.Peers {
	v := slices.Sorted(slices.Values(nodes))
	n := votersOf(len(v))
	return quorum.Peers{Voters: v[:n:n], Learners: v[n:]}
}

// votersOf is how many of n nodes vote: an odd number of them, but both of two, so that what was acknowledged is
// on both disks.
func votersOf(n int) int {
	if n < fewestVoters {
		return n
	}
	return n - 1 + n%2
}

// changeVoters keeps an odd number of live voters: learners that have caught up come in for voters that are
// gone, which are dropped once others suffice.
func (t *turn) changeVoters() {
	p := t.Log.Peers
	var g, r []quorum.NodeID // gone voters and ready learners
	for _, n := range p.Voters {
		if t.silent(n, voterSilence) && t.Now-t.Log.ElectedAt() > voterSilence {
			g = append(g, n)
		}
	}
	for _, n := range p.Learners {
		if m := t.Log.Match(n); m >= t.Log.Commit && m > 0 && !t.silent(n, learnerSilence) {
			r = append(r, n)
		}
	}
	l := len(p.Voters) - len(g)
	w := votersOf(l + len(r))
	switch {
	case l < w:
		t.step(quorum.ProposePeers{Peers: p.WithVoter(r[0])})
	case len(g) > 0 && l >= fewestVoters:
		t.step(quorum.ProposePeers{Peers: p.Without(g[0])})
	case len(g) == 0 && l > w:
		t.step(quorum.ProposePeers{Peers: t.standBy(p)})
	}
}

// silent reports whether another node has not answered for a time.
func (t *turn) silent(n quorum.NodeID, d time.Duration) bool {
	return n != t.Node && t.Now-t.Log.LastAcked(n) > d
}

// standBy makes a voter other than this host a learner.
func (t *turn) standBy(p quorum.Peers) quorum.Peers {
	for _, n := range slices.Backward(slices.Sorted(slices.Values(p.Voters))) {
		if n != t.Node {
			return p.Without(n).WithLearner(n)
		}
	}
	return p
}
