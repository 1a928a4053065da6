package ctrl

import (
	"slices"
	"strings"
	"time"

	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	// voterTimeout is how long a voter may be silent before it counts as lost. It is then removed even without a replacement,
	// if at least minSoundVoters others are sound.
	voterTimeout = 6 * time.Second
	// replaceTimeout is the silence of a voter after which a learner that has caught up takes its place. Until then a second
	// loss may cost the majority, so that it has to be well below the time that a host has to catch up.
	replaceTimeout = 1500 * time.Millisecond
	// learnerTimeout is the longest silence of a learner that may become a voter.
	learnerTimeout = time.Second
	// leaveTimeout is how long a host that has said that it stops counts as stopping. It says so again and again until then.
	leaveTimeout = 2 * time.Second
	// minSoundVoters is the number of sound voters from which a lost voter is removed.
	minSoundVoters = 3
)

// BootstrapPeers returns the peers of a new log. If the number of nodes is even and at least 4, the last node is a
// learner, so that the number of voters is odd: an even number of voters tolerates no more failures than one voter
// less, and a network partition into halves leaves it without a majority.
func BootstrapPeers(nodes []quorum.NodeID) quorum.Peers {
	v := slices.Sorted(slices.Values(nodes))
	n := voterCount(len(v))
	return quorum.Peers{Voters: v[:n:n], Learners: v[n:]}.WithMinVoters(largestOdd(n))
}

// voterCount returns how many of n nodes vote: the largest odd number, except that both of two nodes vote, so that
// acknowledged entries are on both disks.
func voterCount(n int) int {
	if n < minSoundVoters {
		return n
	}
	return largestOdd(n)
}

// largestOdd returns the largest odd number up to n, which is at least 1.
func largestOdd(n int) int { return n - 1 + n%2 }

// adjustVoters proposes the next change of peers on the way to an odd number of live voters, if one is due.
func (t *transition) adjustVoters() {
	if p, ok := t.nextPeers(); ok {
		t.stepLog(quorum.ProposePeers{Peers: p})
	}
}

// nextPeers returns the peers after the next change of the voters, and false if none is due.
//
// What is acknowledged has to outlast the loss of as many disks as the control hosts tolerate with which the deployment began, f
// of 2f+1, also if other hosts were away a moment before. So Peers.MinVoters is their number, and a voter that isn't sound stays
// one until a learner has caught up, if there are no more voters than that. The price: once f are away, a further loss suspends
// the log until one of them is back.
//
// A voter isn't sound if it stops, was silent for replaceTimeout or has lost its disk. It is removed if the others tolerate more
// losses without it, or without it and another one: if the number of voters is even, or at least minSoundVoters are sound and two
// aren't. A learner that has caught up is promoted if there are too few sound voters. A single voter that can't be replaced stays
// for voterTimeout, as it may be back before that, and is removed then if at least minSoundVoters are sound. A sound voter is
// demoted if one is too many.
func (s State) nextPeers() (quorum.Peers, bool) {
	p := s.Log.Peers
	g := s.unsoundVoters()
	r := s.promotableLearners()
	l := len(p.Voters) - len(g)
	w := voterCount(l + len(r))
	m := len(p.Voters) > p.MinVoters // one may be removed
	switch {
	case m && len(g) > 0 && (len(p.Voters)%2 == 0 || len(g) > 1 && l >= minSoundVoters):
		return p.Without(g[0]), true
	case len(r) > 0 && l < max(w, p.MinVoters):
		return withPromoted(p, r[0]), true
	case m && l >= minSoundVoters && slices.ContainsFunc(g, s.isLost):
		return p.Without(g[slices.IndexFunc(g, s.isLost)]), true
	case m && len(g) == 0 && l > w:
		return s.withVoterDemoted(p), true
	case p.MinVoters == 0 && len(g) == 0:
		return p.WithMinVoters(largestOdd(l)), true // an older build began the log
	}
	return p, false
}

// unsoundVoters returns the voters that stop, were silent for replaceTimeout or have lost their disk.
func (s State) unsoundVoters() []quorum.NodeID {
	var r []quorum.NodeID
	for _, n := range s.Log.Peers.Voters {
		if s.isLeaving(n) || s.isSilent(n, replaceTimeout) || s.isSuperseded(n) {
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

// withPromoted returns the peers with a learner made a voter. With the founders among the voters MinVoters grows: the seeds, from
// which the log starts, may be fewer than the control hosts that the deployment begins with. In a log of an older build the disks
// of the others don't tell that they are founders.
func withPromoted(p quorum.Peers, n quorum.NodeID) quorum.Peers {
	p = p.WithVoter(n)
	if p.MinVoters == 0 {
		return p
	}
	f := 0
	for _, v := range p.Voters {
		if isFounder(v) {
			f++
		}
	}
	return p.WithMinVoters(largestOdd(f))
}

// isFounder reports whether a node is of the first start of the deployment, by its disk identity.
func isFounder(n quorum.NodeID) bool {
	return strings.HasPrefix(diskOf(n), bootstrapDisk)
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

// isSuperseded reports whether another node at the address of a node has answered this leader later: the host has lost the disk
// of the former one.
func (s State) isSuperseded(n quorum.NodeID) bool {
	a := s.Log.LastAcked(n)
	return slices.ContainsFunc(s.Log.Peers.All(), func(o quorum.NodeID) bool {
		return o != n && Address(o) == Address(n) && s.Log.LastAcked(o) > max(a, s.Log.ElectedAt())
	})
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
