package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// shortElectionDivisor divides the election time of a node that has just started or that campaigns.
const shortElectionDivisor = 4

// progress is what a leader knows of another node.
type progress struct {
	node NodeID
	// match is the last index known to be synced there; next is the next index to send.
	match uint64
	next  uint64
	// acked is the leader's clock when it sent the newest message that the node has answered.
	acked time.Duration
	// snapshotSent is when a snapshot was last sent, to avoid sending it again at each heartbeat.
	snapshotSent time.Duration
}

// State is one node's view of the log. It is a value: Step returns a changed copy.
type State struct {
	// ID is this node; it is empty on hosts without a disk, which take no part.
	ID     NodeID
	Hard   HardState
	Role   Role
	Leader NodeID
	// Commit is at least the snapshot's index and at most the last index.
	Commit uint64
	// Stable is the last index that is synced on this node.
	Stable   uint64
	Peers    Peers
	Snapshot Snapshot

	timing   Timing
	entries  *immutable.List[Entry]
	progress []progress
	votes    []NodeID
	// lastContact is when the leader was last lastContact; deadline is when to campaign or to send heartbeats.
	lastContact time.Duration
	deadline    time.Duration
	electedAt   time.Duration
	seed        uint64
}

// New returns the state of a node from what its disk holds.
func New(node NodeID, timing Timing, hard HardState, snapshot Snapshot, entries []Entry, seed uint64) State {
	l := immutable.NewList(entries...)
	s := State{ID: node, Hard: hard, Snapshot: snapshot, Commit: snapshot.Index, timing: timing, entries: l, seed: seed}
	s.Stable = s.LastIndex()
	s.Peers = s.latestPeers()
	return s.withShortDeadline(0)
}

// withShortDeadline draws the election time after a start or a campaign that others may have made at the same
// moment. It may be short, since a node that hears a leader refuses pre-votes, so that an early campaign disturbs
// nobody.
func (s State) withShortDeadline(now time.Duration) State {
	s = s.withDeadline(now)
	s.deadline = now + (s.deadline-now)/shortElectionDivisor
	return s
}

// LastIndex returns the index of the last entry.
func (s State) LastIndex() uint64 { return s.Snapshot.Index + uint64(s.entries.Len()) }

// EntryCount returns how many entries stand after the snapshot.
func (s State) EntryCount() int { return s.entries.Len() }

// termAt returns the term of an entry; ok is false where the entry isn't held.
func (s State) termAt(index uint64) (term uint64, ok bool) {
	switch {
	case index == s.Snapshot.Index:
		return s.Snapshot.Term, true
	case index < s.Snapshot.Index || index > s.LastIndex():
		return 0, false
	}
	return s.entries.Get(int(index - s.Snapshot.Index - 1)).Term, true
}

// entriesFrom returns up to limit entries entriesFrom index on.
func (s State) entriesFrom(index uint64, limit int) []Entry {
	var r []Entry
	for i := index; i <= s.LastIndex() && len(r) < limit; i++ {
		r = append(r, s.entries.Get(int(i-s.Snapshot.Index-1)))
	}
	return r
}

// latestPeers returns the peers of the newest entry that names them.
func (s State) latestPeers() Peers {
	for i := s.entries.Len() - 1; i >= 0; i-- {
		if e := s.entries.Get(i); e.Peers != nil {
			return *e.Peers
		}
	}
	return s.Snapshot.Peers
}

// peersPending reports whether a change of the peers isn't committed yet.
func (s State) peersPending() bool {
	for i := s.Commit + 1; i <= s.LastIndex(); i++ {
		if s.entries.Get(int(i-s.Snapshot.Index-1)).Peers != nil {
			return true
		}
	}
	return false
}

// withDeadline draws the next election time from the seed.
func (s State) withDeadline(now time.Duration) State {
	r := rand.New(rand.NewPCG(s.seed, uint64(now)))
	s.seed = r.Uint64()
	s.deadline = now + s.timing.Election + time.Duration(r.Int64N(int64(s.timing.Election)))
	return s
}

// withEntries cuts the log after the entry before the first one and appends the entries.
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

// withProgress returns a copy in which the node's progress is changed.
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

func (s State) progressOf(node NodeID) progress {
	i := slices.IndexFunc(s.progress, func(p progress) bool { return p.node == node })
	if i < 0 {
		return s.newProgress(node)
	}
	return s.progress[i]
}

// newProgress returns what a leader assumes of a node that has answered nothing yet.
func (s State) newProgress(node NodeID) progress {
	return progress{node: node, next: s.LastIndex() + 1, acked: -2 * s.timing.Election}
}

// Match returns the last index known to be synced on a node, as the leader sees it.
func (s State) Match(node NodeID) uint64 {
	if node == s.ID {
		return s.Stable
	}
	return s.progressOf(node).match
}

// majorityReached returns the value that more than half of the voters have reached.
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

// HasLease reports whether this leader can still rely on its leadership: a majority has answered messages
// sent within the last Election, during which no voter helps to elect another.
func (s State) HasLease(now time.Duration) bool {
	if s.Role != Leader {
		return false
	}
	return now < s.quorumContact(now)+s.timing.Election
}

// LeaseEnd returns when this leader's lease ends unless it is renewed.
func (s State) LeaseEnd(now time.Duration) time.Duration {
	return s.quorumContact(now) + s.timing.Election
}

// Ready reports whether this leader is leased and has committed an entry of its own term, so that it knows
// of all committed entries.
func (s State) Ready(now time.Duration) bool {
	t, ok := s.termAt(s.Commit)
	return s.HasLease(now) && ok && t == s.Hard.Term
}

func (s State) quorumContact(now time.Duration) time.Duration {
	return majorityReached(s.Peers.Voters, func(n NodeID) time.Duration {
		if n == s.ID {
			return now
		}
		return s.progressOf(n).acked
	})
}

// ElectedAt returns when this leader was elected, on its own clock.
func (s State) ElectedAt() time.Duration { return s.electedAt }

// LastAcked returns the leader's clock when it sent the newest message that a node has answered.
func (s State) LastAcked(node NodeID) time.Duration { return s.progressOf(node).acked }

// Reopened returns the state of a node whose disk was opened again at now, as after a restart.
func (s State) Reopened(hard HardState, snapshot Snapshot, entries []Entry, now time.Duration) State {
	return New(s.ID, s.timing, hard, snapshot, entries, s.seed).withDeadline(now)
}
