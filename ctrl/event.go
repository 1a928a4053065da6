package ctrl

import (
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

// DiskReopened reports that the disk accepts writes again after a failed one. Held is the content of the disk.
type DiskReopened struct{ Held store.QuorumState }

// OrderReceived carries an order. Its receipt is returned in a Respond effect with the same CallID.
type OrderReceived struct {
	CallID uint64
	Order  ctlrpc.Order
}

// EndpointReported carries a heartbeat report that an endpoint sent to this control host.
type EndpointReported struct{ Report fleet.Report }

// HostReported carries the report of an entry host's exchange request.
type HostReported struct{ Report ctlrpc.HostReport }

// NoteReceived carries reports that another control host received and passed on by gossip.
type NoteReceived struct{ Note ctlrpc.Gossip }

func (Tick) event()             {}
func (MessagesReceived) event() {}
func (Persisted) event()        {}
func (DiskReopened) event()     {}
func (OrderReceived) event()    {}
func (EndpointReported) event() {}
func (HostReported) event()     {}
func (NoteReceived) event()     {}

// Effect is an output of Reduce: I/O that Host performs.
type Effect interface{ effect() }

// Write syncs Persist to disk and sends Messages only after the sync.
type Write struct {
	Persist  quorum.Persist
	Messages []quorum.Message
}

// Respond completes the pending call CallID with a receipt.
type Respond struct {
	CallID  uint64
	Receipt ctlrpc.OrderReply
}

// Forward sends an order to the leader and completes the pending call CallID with the leader's receipt.
type Forward struct {
	CallID uint64
	Order  ctlrpc.Order
	To     quorum.NodeID
}

// Gossip queues a note for all other control hosts. The note holds reports that this host received.
type Gossip struct{ Note ctlrpc.Gossip }

// RolloutEndProposed logs that the leader proposes to end a rollout, and why.
type RolloutEndProposed struct {
	Rollout canary.Rollout
	Reason  string
}

// EntryFailed logs that a log entry or a snapshot could not be encoded or applied.
type EntryFailed struct{ Err error }

func (Write) effect()              {}
func (Respond) effect()            {}
func (Forward) effect()            {}
func (Gossip) effect()             {}
func (RolloutEndProposed) effect() {}
func (EntryFailed) effect()        {}
