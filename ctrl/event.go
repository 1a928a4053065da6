package ctrl

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/store"
)

// Event is an input of Reduce: something that happened to a control host.
type Event interface{ event() }

// Tick reports that time has passed. It drives elections, leader tasks and the expiry of silent endpoints.
type Tick struct{}

// MessagesReceived carries control log messages from another control host.
type MessagesReceived struct{ Messages []quorum.Message }

// Persisted reports that the disk has synced log entries up to an index.
type Persisted struct{ quorum.Persisted }

// DiskReopened reports that the disk accepts writes again after a failed one. State is the content of the disk. Generation is
// that of the writes which follow from it.
type DiskReopened struct {
	State      store.QuorumState
	Generation uint64
}

// OrderReceived carries an order. Its reply is returned in a Respond effect with the same CallID.
type OrderReceived struct {
	CallID uint64
	Order  ctlrpc.Order
}

// EndpointReported carries a heartbeat report that an endpoint sent to this control host.
type EndpointReported struct{ Report fleet.Report }

// HostReported carries the report of an entry host's exchange request.
type HostReported struct{ Report ctlrpc.HostReport }

// GossipReceived carries reports that another control host received and sent to this one.
type GossipReceived struct{ Gossip ctlrpc.Gossip }

func (Tick) event()             {}
func (MessagesReceived) event() {}
func (Persisted) event()        {}
func (DiskReopened) event()     {}
func (OrderReceived) event()    {}
func (EndpointReported) event() {}
func (HostReported) event()     {}
func (GossipReceived) event()   {}

// Effect is an output of Reduce: I/O that Host performs.
type Effect interface{ effect() }

// Write syncs Persist to disk and sends Messages only after the sync. Generation is that of the log; see WriteQueue.
type Write struct {
	Persist    quorum.Persist
	Messages   []quorum.Message
	Generation uint64
}

// Respond completes the pending call CallID with a reply.
type Respond struct {
	CallID uint64
	Reply  ctlrpc.OrderReply
}

// Forward sends an order to the leader and completes the pending call CallID with the leader's reply.
type Forward struct {
	CallID uint64
	Order  ctlrpc.Order
	To     quorum.NodeID
}

// SendGossip queues reports that this host received for all other control hosts. If it is urgent, it is sent at once.
type SendGossip struct {
	Gossip ctlrpc.Gossip
	Urgent bool
}

// RolloutEndProposed logs that the leader proposes to end a rollout, and why.
type RolloutEndProposed struct {
	Rollout canary.Rollout
	// Elapsed and Assessment are what the decision is based on.
	Elapsed    time.Duration
	Assessment canary.Assessment
	Reason     string
}

// RolloutAssessed logs what the leader knows about a running rollout.
type RolloutAssessed struct {
	Rollout    canary.Rollout
	Elapsed    time.Duration
	Assessment canary.Assessment
}

// LateOrder logs that an order to start a rollout isn't taken, since it came before the newest rollout of its service was known where it was
// taken. Serial is that of the newest rollout.
type LateOrder struct {
	Order  ctlrpc.Order
	Serial uint64
}

// EntryFailed logs that a log entry or a snapshot could not be encoded or applied.
type EntryFailed struct{ Err error }

// EntriesForgotten logs that a control host holds less of the log than it had acknowledged to this leader.
type EntriesForgotten struct{ quorum.Forgotten }

// VoteIgnored records that a vote came after the campaign that it was for.
type VoteIgnored struct{}

func (VoteIgnored) effect()        {}
func (EntriesForgotten) effect()   {}
func (Write) effect()              {}
func (Respond) effect()            {}
func (Forward) effect()            {}
func (SendGossip) effect()         {}
func (RolloutEndProposed) effect() {}
func (RolloutAssessed) effect()    {}
func (LateOrder) effect()          {}
func (EntryFailed) effect()        {}
