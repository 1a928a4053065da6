package ctrl

import (
	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/store"
)

// Event is something that happened to a control host.
type Event interface{ event() }

// Tick tells the time.
type Tick struct{}

// MessagesReceived bring messages of the control log.
type MessagesReceived struct{ Messages []quorum.Message }

// Persisted tells that entries are synced.
type Persisted struct{ quorum.Persisted }

// DiskReopened tells that the disk is usable again after a failed write, and what it holds.
type DiskReopened struct{ Held store.Held }

// OrderReceived brings an order; its receipt goes to the ticket.
type OrderReceived struct {
	CallID uint64
	Order  ctlrpc.Order
}

// EndpointReported brings what an endpoint says of itself.
type EndpointReported struct{ Report fleet.Report }

// HostReported brings what an entry host says of itself.
type HostReported struct{ Report ctlrpc.HostReport }

// NoteReceived brings what another control host was told.
type NoteReceived struct{ Note ctlrpc.Note }

func (Tick) event()             {}
func (MessagesReceived) event() {}
func (Persisted) event()        {}
func (DiskReopened) event()     {}
func (OrderReceived) event()    {}
func (EndpointReported) event() {}
func (HostReported) event()     {}
func (NoteReceived) event()     {}

// Effect is something to be done outside the reducer.
type Effect interface{ effect() }

// Write syncs what the log asks for and sends the messages after that.
type Write struct {
	Persist  quorum.Persist
	Messages []quorum.Message
}

// Respond gives a receipt to a ticket.
type Respond struct {
	CallID  uint64
	Receipt ctlrpc.Receipt
}

// Forward sends an order to the leader and gives its receipt to the ticket.
type Forward struct {
	CallID uint64
	Order  ctlrpc.Order
	To     quorum.NodeID
}

// Gossip tells the other control hosts what this one was told.
type Gossip struct{ Note ctlrpc.Note }

// RolloutEndProposed tells of a roll-out that should end, for the log line.
type RolloutEndProposed struct {
	Rollout canary.Rollout
	Reason  string
}

// EntryFailed tells of an entry that can't be applied.
type EntryFailed struct{ Err error }

func (Write) effect()              {}
func (Respond) effect()            {}
func (Forward) effect()            {}
func (Gossip) effect()             {}
func (RolloutEndProposed) effect() {}
func (EntryFailed) effect()        {}
