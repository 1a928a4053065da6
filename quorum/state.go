package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// campaignDivisor divides the election timeout of a node that campaigns. After shortCampaigns campaigns in a row
	// each further one lasts twice as long as the one before, up to maxDoublings times.
	campaignDivisor = 4
	shortCampaigns  = 2
	maxDoublings    = 3
	// stepDownElections is the number of election timeouts without answers of a majority after which a leader gives up.
	stepDownElections = 2
	// startDivisor divides the election timeout that bounds the wait of a node that has just started.
	startDivisor = 6
)

// progress is a leader's replication state for another node.
type progress struct {
	node NodeID
	// match is the last index known to be synced on the node. next is the next index to send.
	match uint64
	next  uint64
	// matchedAt is the time at which the leader sent the newest message that the node accepted.
	matchedAt time.Duration
	// acked is the time, on the leader's clock, at which the leader sent the newest message that the node answered.
	acked time.Duration
	// replied is the ReplyStamp of the newest reply of the node to this leader, or noReply.
	replied time.Duration
	// snapshotSent is the time at which a snapshot was last sent. It prevents another one with each heartbeat.
	snapshotSent time.Duration
}

// State is the state of one node. It is immutable; Step returns a changed copy.
type State struct {
	// ID identifies this node. It is empty on hosts without a disk, which don't take part in the protocol.
	ID     NodeID
	Hard   HardState
	Role   Role
	Leader NodeID
	// Commit is the commit index. It is at least the snapshot's index and at most the last index.
	Commit uint64
	// Stable is the last index that is synced to this node's disk.
	Stable   uint64
	Peers    Peers
	Snapshot Snapshot

	timing   Timing
	entries  *immutable.List[Entry]
	progress []progress
	// votes holds the voters that have granted this node their vote in the current term, with this node, and preVotes those
	// that would do so in the next one. Both count however late they come, but both are empty once this node has followed or
	// was the leader in the term: the voters don't change during a candidacy.
	votes    []NodeID
	preVotes []NodeID
	// campaigns counts the campaigns since a leader was last heard of.
	campaigns int
	// votedAt is when this node last granted another node its vote.
	votedAt time.Duration
	// tickedAt is the time of the last tick. resumed is set once a campaign was put off since the tick before was
	// long ago, until the campaign or the next message of a leader.
	tickedAt time.Duration
	resumed  bool
	// lastContact is no earlier than the leader sent the newest message that was received, and no later than that was. deadline
	// is the time at which a leader sends the next heartbeats and any other voter starts a campaign.
	lastContact time.Duration
	deadline    time.Duration
	electedAt   time.Duration
	// heldAt is the newest time at which this node is known to have held all that was committed, if held is set.
	heldAt time.Duration
	held   bool
	// origin is added to this node's clock in ReplyStamp. It is random, so that stamps of other starts of the node are told apart.
	origin time.Duration
	// anchor and received relate the clock of the leader to that of this node: it showed a stamp at a time or later, and at a time
	// or earlier, which is when the message with it was received.
	anchor   anchor
	received anchor
	seed     uint64
}

// New returns the state of a node from the contents of its disk, at time 0 of its clock. seed seeds the random
// election timeouts.
func New(node NodeID, timing Timing, hard HardState, snapshot Snapshot, entries []Entry, seed uint64) State {
	l := immutable.NewList(entries...)
	s := State{ID: node, Hard: hard, Snapshot: snapshot, Commit: snapshot.Index, timing: timing, entries: l, seed: seed}
	s.Stable = s.LastIndex()
	s.Peers = s.latestPeers()
	s.origin = time.Duration(rand.New(rand.NewPCG(seed, uint64(s.LastIndex()))).Int64N(maxOrigin)) + maxOrigin
	return s.withStartDeadline()
}

// withStartDeadline draws the time of the first campaign after a start. It is early, since callers wait if all nodes
// have started, and spread widely, since they may have started together. An early campaign doesn't disturb a leader:
// nodes with a current leader refuse pre-votes.
func (s State) withStartDeadline() State {
	s = s.withDeadline(0)
	s.deadline = (s.deadline - s.timing.Election) / startDivisor
	return s
}

// withCampaignDeadline draws the time at which a campaign that begins now has failed. The first ones are short, since other
// nodes may have campaigned at the same time. Later ones last longer and differ more: votes may take long, and each campaign
// is work for all nodes.
func (s State) withCampaignDeadline(now time.Duration) State {
	s = s.withDeadline(now)
	s.deadline = now + (s.deadline-now)/campaignDivisor<<min(max(0, s.campaigns-shortCampaigns), maxDoublings)
	return s
}

// LastIndex returns the index of the last entry, or the snapshot's index if there are no entries after it.
func (s State) LastIndex() uint64 { return s.Snapshot.Index + uint64(s.entries.Len()) }

// EntryCount returns the number of entries after the snapshot.
func (s State) EntryCount() int { return s.entries.Len() }

// termAt returns the term of the entry at index. ok is false if the log doesn't contain the entry.
func (s State) termAt(index uint64) (term uint64, ok bool) {
	switch {
	case index == s.Snapshot.Index:
		return s.Snapshot.Term, true
	case index < s.Snapshot.Index || index > s.LastIndex():
		return 0, false
	}
	return s.entries.Get(int(index - s.Snapshot.Index - 1)).Term, true
}

// entriesFrom returns up to limit entries, starting at index.
func (s State) entriesFrom(index uint64, limit int) []Entry {
	var r []Entry
	for i := index; i <= s.LastIndex() && len(r) < limit; i++ {
		r = append(r, s.entries.Get(int(i-s.Snapshot.Index-1)))
	}
	return r
}

// latestPeers returns the membership of the newest entry that changes it, or that of the snapshot.
func (s State) latestPeers() Peers {
	for i := s.entries.Len() - 1; i >= 0; i-- {
		if e := s.entries.Get(i); e.Peers != nil {
			return *e.Peers
		}
	}
	return s.Snapshot.Peers
}

// PeersPending reports whether the log contains a membership change that isn't committed yet.
func (s State) PeersPending() bool {
	for i := s.Commit + 1; i <= s.LastIndex(); i++ {
		if s.entries.Get(int(i-s.Snapshot.Index-1)).Peers != nil {
			return true
		}
	}
	return false
}

// mayCampaign reports whether this node is a voter, or was one before a membership change that isn't known to be committed. If
// only this node holds that change, no other one can win its vote.
func (s State) mayCampaign() bool {
	return s.Peers.IsVoter(s.ID) || s.PeersPending() && s.peersAt(s.Commit).IsVoter(s.ID)
}

// withDeadline draws a random election timeout from the seed.
func (s State) withDeadline(now time.Duration) State {
	r := rand.New(rand.NewPCG(s.seed, uint64(now)))
	s.seed = r.Uint64()
	s.deadline = now + s.timing.Election + time.Duration(r.Int64N(int64(s.timing.Election)))
	return s
}

// withEntries appends entries, after removing all log entries from the index of the first one on.
func (s State) withEntries(entries []Entry) State {
	if len(entries) == 0 {
		return s
	}
	k := int(entries[0].Index - s.Snapshot.Index - 1)
	if k < s.entries.Len() {
		s.entries = s.entries.Slice(0, k)
	}
	s.Stable = min(s.Stable, entries[0].Index-1)
	for _, e := range entries {
		s.entries = s.entries.Append(e)
	}
	s.Peers = s.latestPeers()
	return s
}

// withProgress returns a copy in which change has been applied to the node's progress.
func (s State) withProgress(node NodeID, change func(progress) progress) State {
	s.progress = slices.Clone(s.progress)
	i := slices.IndexFunc(s.progress, func(p progress) bool { return p.node == node })
	if i < 0 {
		s.progress = append(s.progress, s.newProgress(node))
		i = len(s.progress) - 1
	}
	s.progress[i] = change(s.progress[i])
	return s
}

// progressOf returns the node's progress, or the initial one if nothing is known yet.
func (s State) progressOf(node NodeID) progress {
	i := slices.IndexFunc(s.progress, func(p progress) bool { return p.node == node })
	if i < 0 {
		return s.newProgress(node)
	}
	return s.progress[i]
}

// newProgress returns the initial progress of a node that hasn't answered this leader yet. acked is so far in the
// past that it can't contribute to a lease.
func (s State) newProgress(node NodeID) progress {
	return progress{node: node, next: s.LastIndex() + 1, acked: -2 * s.timing.Election, replied: noReply}
}

// Match returns the last index that this leader knows to be synced on a node.
func (s State) Match(node NodeID) uint64 {
	if node == s.ID {
		return s.Stable
	}
	return s.progressOf(node).match
}

// majorityReached returns the highest value that more than half of the voters have reached, or 0 without voters.
func majorityReached[T uint64 | time.Duration](voters []NodeID, of func(NodeID) T) T {
	var v []T
	for _, n := range voters {
		v = append(v, of(n))
	}
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}

// HasLease reports whether this node is a leader with a valid lease: a majority of the voters has answered messages
// that were sent within the last Timing.Election. A voter doesn't vote for another leader during that time.
func (s State) HasLease(now time.Duration) bool {
	if s.Role != Leader {
		return false
	}
	return now < s.quorumContact(now)+s.timing.Election
}

// LeaseEnd returns the time at which this leader's lease ends unless it is renewed.
func (s State) LeaseEnd(now time.Duration) time.Duration {
	return s.quorumContact(now) + s.timing.Election
}

// Ready reports whether this leader has a lease and has committed an entry of its own term. Only then is its commit
// index known to cover all entries that earlier leaders committed.
func (s State) Ready(now time.Duration) bool {
	return s.HasLease(now) && s.hasCommittedInTerm()
}

// hasCommittedInTerm reports whether the entry at the commit index is of the current term.
func (s State) hasCommittedInTerm() bool {
	t, ok := s.termAt(s.Commit)
	return ok && t == s.Hard.Term
}

// quorumContact returns the latest time such that a majority of the voters has answered messages sent at or after it.
func (s State) quorumContact(now time.Duration) time.Duration {
	return majorityReached(s.Peers.Voters, func(n NodeID) time.Duration {
		if n == s.ID {
			return now
		}
		return s.progressOf(n).acked
	})
}

// GivesUpAt returns the time at which this leader steps down unless a majority answers. It is later than the end of its
// lease: a leader whose answers are late is sooner back by waiting for them than by an election.
func (s State) GivesUpAt(now time.Duration) time.Duration {
	return max(s.electedAt, s.quorumContact(now)) + stepDownElections*s.timing.Election
}

// ElectedAt returns the time at which this leader was elected, on its own clock.
func (s State) ElectedAt() time.Duration { return s.electedAt }

// LastAcked returns the time, on the leader's clock, at which the leader sent the newest message that the node
// answered.
func (s State) LastAcked(node NodeID) time.Duration { return s.progressOf(node).acked }

// VoteIsLate reports whether a message grants a vote for a campaign of this node that is over and wasn't won.
func (s State) VoteIsLate(m Message) bool {
	switch {
	case m.Reject:
		return false
	case m.Kind == VoteReply:
		return m.Term < s.Hard.Term || s.Role == Follower
	case m.Kind == PreVoteReply:
		return m.Term <= s.Hard.Term && s.Role == PreCandidate || s.Role == Follower
	}
	return false
}

// Reopened returns the state of a node whose disk was opened again at time now. As after a restart, everything that
// isn't on disk is lost, but the election timeout has its normal length, and the lease holds that this node has granted to a
// leader: it votes for no other one until then.
func (s State) Reopened(hard HardState, snapshot Snapshot, entries []Entry, now time.Duration) State {
	n := New(s.ID, s.timing, hard, snapshot, entries, s.seed).withDeadline(now)
	if s.Role != Leader && hard.Term == s.Hard.Term {
		n.Leader, n.lastContact = s.Leader, s.lastContact
	}
	return n
}
