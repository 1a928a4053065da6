// Package quorum implements the consensus protocol of the control log, a variant of Raft with pre-votes, learners
// and leader leases. It is a pure state machine: Step takes a state and an input and returns the next state and what
// has to be persisted, sent and applied. It reads no clock and does no I/O.
//
// The messages of an Output may be sent only after the Persist of that Output and of all earlier outputs has been
// synced to disk.
package quorum

import (
	"slices"
	"time"
)

//go:generate go tool stringer -type=Role,MessageKind -linecomment -output=enum_string.go

// NodeID identifies a node by its host name and its disk. A host with a wiped disk is a different node, because it
// no longer remembers its votes and entries.
type NodeID string

// Peers is the membership of the log: the nodes that hold it.
type Peers struct {
	// Voters elect leaders and commit entries. Learners only receive entries. No node is in both lists.
	Voters   []NodeID
	Learners []NodeID
	// MinVoters is the number of voters below which no change of the membership goes. It never falls, and is 0 in logs that older
	// builds began. What is committed is on a majority of the voters, and so, with 2f+1 as MinVoters, on more than f disks whatever
	// the voters are at the time.
	MinVoters int `json:",omitempty"`
}

// WithMinVoters returns a copy with another MinVoters, which is never lowered.
func (p Peers) WithMinVoters(n int) Peers {
	p.MinVoters = max(p.MinVoters, n)
	return p
}

// Has reports whether the node is a voter or a learner.
func (p Peers) Has(node NodeID) bool { return p.IsVoter(node) || slices.Contains(p.Learners, node) }

// IsVoter reports whether the node is a voter.
func (p Peers) IsVoter(node NodeID) bool { return slices.Contains(p.Voters, node) }

// votersNotIn returns the number of voters that aren't voters among other peers.
func (p Peers) votersNotIn(other Peers) int {
	n := 0
	for _, v := range p.Voters {
		if !other.IsVoter(v) {
			n++
		}
	}
	return n
}

// All returns the voters followed by the learners.
func (p Peers) All() []NodeID { return slices.Concat(p.Voters, p.Learners) }

// WithLearner returns a copy with the node added as a learner.
func (p Peers) WithLearner(node NodeID) Peers {
	p.Learners = append(slices.Clone(p.Learners), node)
	return p
}

// WithVoter returns a copy in which the node is a voter and no longer a learner.
func (p Peers) WithVoter(node NodeID) Peers {
	p = p.Without(node)
	p.Voters = append(p.Voters, node)
	return p
}

// Without returns a copy without the node.
func (p Peers) Without(node NodeID) Peers {
	o := func(n NodeID) bool { return n == node }
	p.Voters = slices.DeleteFunc(slices.Clone(p.Voters), o)
	p.Learners = slices.DeleteFunc(slices.Clone(p.Learners), o)
	return p
}

// Entry is one entry of the log.
type Entry struct {
	// Index increases by one from entry to entry. Term never decreases.
	Index uint64
	Term  uint64
	// Peers is set on entries that change the membership. The new membership is used as soon as the entry is
	// appended, before it is committed.
	Peers *Peers
	Data  []byte
}

// Snapshot replaces all entries up to and including Index. Term is the term of the entry at Index, Peers the
// membership at that index.
type Snapshot struct {
	Index uint64
	Term  uint64
	Peers Peers
	Data  []byte
}

// HardState is what a node must persist in addition to entries and snapshot.
type HardState struct {
	Term uint64
	// Vote is the candidate that got this node's vote in Term. It is empty if the node hasn't voted.
	Vote NodeID
}

// Role is the role of a node in its current term.
type Role int

// Values of Role.
const (
	Follower     Role = iota // follower
	PreCandidate             // pre-candidate
	Candidate                // candidate
	Leader                   // leader
)

// MessageKind is the type of a message.
type MessageKind int

// Values of MessageKind. InstallSnapshot is answered by AppendReply.
const (
	PreVote         MessageKind = iota // pre-vote
	PreVoteReply                       // pre-vote-reply
	Vote                               // vote
	VoteReply                          // vote-reply
	Append                             // append
	AppendReply                        // append-reply
	InstallSnapshot                    // install
)

// Message is a message from one node to another.
type Message struct {
	Kind MessageKind
	From NodeID
	To   NodeID
	Term uint64
	// Index and LogTerm are the index and term of the entry before Entries in an Append, and of the sender's last
	// entry in a Vote or PreVote. In an AppendReply, Index is the last matching index, or, if Reject is set, the
	// last index at which the logs may match.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	// Unready is set on an Append of a leader that has no lease or hasn't committed an entry of its term yet: Commit may not
	// cover all that is committed. Leaders of older builds never set it.
	Unready bool
	// Reject is set on a reply that refuses the vote or the entries.
	Reject bool
	// Stamp is the leader's clock when it sent the Append or InstallSnapshot. The reply returns it unchanged, or noStamp if the
	// message is of an earlier term.
	Stamp time.Duration
	// ReplyStamp is, in an AppendReply, the sender's clock when it sent the reply, counted from a secret origin. Later messages
	// of the leader return the newest one unchanged, or noReply if there is none. Older builds leave it out.
	ReplyStamp time.Duration
	Snapshot   *Snapshot
}

// Timing holds the timeouts of the protocol.
type Timing struct {
	// Heartbeat is the interval between heartbeats of a leader. It must be well below Election.
	Heartbeat time.Duration
	// Election is the minimum election timeout, and the duration of a leader's lease. The election timeout is
	// drawn at random between Election and twice Election.
	Election time.Duration
}

// Persist is what has to be written to disk, in the order of its fields, and synced.
type Persist struct {
	Snapshot *Snapshot
	Hard     *HardState
	// Entries replace all stored entries from the index of the first of them on.
	Entries []Entry
}

// Empty reports whether there is nothing to write.
func (p Persist) Empty() bool { return p.Snapshot == nil && p.Hard == nil && len(p.Entries) == 0 }

// Output lists the actions that the caller of Step has to carry out.
type Output struct {
	Persist  Persist
	Messages []Message
	// Restore is set if the application state has to be replaced by this snapshot before Committed is applied.
	Restore *Snapshot
	// Committed lists the newly committed entries in order.
	Committed []Entry
	// Forgotten lists the nodes that hold less than they had acknowledged to this leader. They get the entries again.
	Forgotten []Forgotten
	// Proposed is the entry appended for a proposal. It is the zero Entry if the proposal was refused.
	Proposed Entry
}

// Forgotten says that a node holds the log only up to the index Held, though it has acknowledged it up to Acknowledged and was
// asked again later: its disk has lost entries.
type Forgotten struct {
	Node               NodeID
	Acknowledged, Held uint64
}

// Input is an event that Step processes.
type Input interface{ input() }

// Tick lets the node check its timeouts.
type Tick struct{}

// Receive delivers a message from another node.
type Receive struct{ Message Message }

// Propose asks the leader to append an entry with data. Other nodes refuse it.
type Propose struct{ Data []byte }

// ProposePeers asks the leader to change the membership. At most one voter may be added or removed, none below MinVoters, no other
// change may be pending, and the leader must have committed an entry of its term, so that no change of an earlier leader is
// pending either.
type ProposePeers struct{ Peers Peers }

// Persisted reports that the entries up to Index are synced to disk. Term is the term of the entry at Index.
type Persisted struct {
	Index uint64
	Term  uint64
}

// Compact replaces the entries up to Index, which must have been applied, by a snapshot with the given data.
type Compact struct {
	Index uint64
	Data  []byte
}

func (Tick) input()         {}
func (Receive) input()      {}
func (Propose) input()      {}
func (ProposePeers) input() {}
func (Persisted) input()    {}
func (Compact) input()      {}
