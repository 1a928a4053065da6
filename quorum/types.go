// Package quorum is the control log: terms, votes and entries agreed by a majority of voters.
// It is a pure reducer: Step takes a state and an input and returns the next state and what has to be
// persisted, sent and applied. It reads no clock and does no input or output.
//
// Messages of an Output may leave the process only after the Persist of the same and of all earlier
// outputs is synced.
package quorum

import (
	"slices"
	"time"
)

//go:generate go tool stringer -type=Role,MessageKind -linecomment -output=enum_string.go

// NodeID identifies a voter by its host name and its disk, so that a wiped disk is another voter.
type NodeID string

// Peers are the nodes that hold the log.
type Peers struct {
	// Voters decide. Learners only receive entries. No node stands in both.
	Voters   []NodeID
	Learners []NodeID
}

// Has reports whether the node is a voter or a learner.
func (p Peers) Has(node NodeID) bool { return p.IsVoter(node) || slices.Contains(p.Learners, node) }

// IsVoter reports whether the node votes.
func (p Peers) IsVoter(node NodeID) bool { return slices.Contains(p.Voters, node) }

// All returns the voters followed by the learners.
func (p Peers) All() []NodeID { return slices.Concat(p.Voters, p.Learners) }

// WithLearner returns peers with the node added as a learner.
func (p Peers) WithLearner(node NodeID) Peers {
	p.Learners = append(slices.Clone(p.Learners), node)
	return p
}

// WithVoter returns peers in which the learner has become a voter.
func (p Peers) WithVoter(node NodeID) Peers {
	p = p.Without(node)
	p.Voters = append(p.Voters, node)
	return p
}

// Without returns peers without the node.
func (p Peers) Without(node NodeID) Peers {
	o := func(n NodeID) bool { return n == node }
	p.Voters = slices.DeleteFunc(slices.Clone(p.Voters), o)
	p.Learners = slices.DeleteFunc(slices.Clone(p.Learners), o)
	return p
}

// Entry is one element of the log.
type Entry struct {
	// Index grows by one from entry to entry; Term never falls.
	Index uint64
	Term  uint64
	// Peers is set on entries that change the peers; they count from the moment they are appended.
	Peers *Peers
	Data  []byte
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	Peers Peers
	Data  []byte
}

// HardState is what a voter must remember besides entries.
type HardState struct {
	Term uint64
	// Vote is the candidate chosen in Term, or empty.
	Vote NodeID
}

// Role is what a node does in its term.
type Role int

// Roles.
const (
	Follower     Role = iota // follower
	PreCandidate             // pre-candidate
	Candidate                // candidate
	Leader                   // leader
)

// MessageKind tells messages apart.
type MessageKind int

// Kinds of messages.
const (
	PreVote         MessageKind = iota // pre-vote
	PreVoteReply                       // pre-vote-reply
	Vote                               // vote
	VoteReply                          // vote-reply
	Append                             // append
	AppendReply                        // append-reply
	InstallSnapshot                    // install
)

// Message goes from one node to another.
type Message struct {
	Kind MessageKind
	From NodeID
	To   NodeID
	Term uint64
	// Index and LogTerm describe the entry before Entries in an Append, the sender's last entry in a
	// vote, and the matching or wanted entry in an AppendReply.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	// Reject is set on replies that refuse.
	Reject bool
	// Stamp is the leader's clock when it sent the Append; the reply returns it unchanged.
	Stamp    time.Duration
	Snapshot *Snapshot
}

// Timing holds the durations of elections.
type Timing struct {
	// Heartbeat is well below Election.
	Heartbeat time.Duration
	// Election is the least time without a leader before a node campaigns.
	Election time.Duration
}

// Persist has to be written and synced in the order of its fields.
type Persist struct {
	Snapshot *Snapshot
	Hard     *HardState
	// Entries replace all stored entries from the first one's index on.
	Entries []Entry
}

// Empty reports whether there is nothing to write.
func (p Persist) Empty() bool { return p.Snapshot == nil && p.Hard == nil && len(p.Entries) == 0 }

// Output is what a step asks of its surroundings.
type Output struct {
	Persist  Persist
	Messages []Message
	// Restore is set when the applied state has to be replaced before Committed is applied.
	Restore *Snapshot
	// Committed are entries newly known to be committed, in order.
	Committed []Entry
	// Proposed is the index and term given to a proposal, or zero when it was refused.
	Proposed Entry
}

// Input is one event of a node.
type Input interface{ input() }

// Tick tells the node the time.
type Tick struct{}

// Receive brings a message.
type Receive struct{ Message Message }

// Propose asks the leader to append data.
type Propose struct{ Data []byte }

// ProposePeers asks the leader to change the peers by one node.
type ProposePeers struct{ Peers Peers }

// Persisted tells that entries up to Index, the last of Term, are synced.
type Persisted struct {
	Index uint64
	Term  uint64
}

// Compact replaces entries up to Index, which must be applied, by a snapshot.
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
