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

// Messages bring messages of the control log.
type Messages struct{ Messages []quorum.Message }

// Persisted tells that entries are synced.
type Persisted struct{ quorum.Persisted }

// Reopened tells that the disk is usable again after a failed write, and what it holds.
type Reopened struct{ Held store.Held }

// Asked brings an order; its receipt goes to the ticket.
type Asked struct {
	Ticket uint64
	Order  ctlrpc.Order
}

// Reported brings what an endpoint says of itself.
type Reported struct{ Report fleet.Report }

// HostReported brings what an entry host says of itself.
type HostReported struct{ Report ctlrpc.HostReport }

// Noted brings what another control host was told.
type Noted struct{ Note ctlrpc.Gossip }

func (Tick) event()         {}
func (Messages) event()     {}
func (Persisted) event()    {}
func (Reopened) event()     {}
func (Asked) event()        {}
func (Reported) event()     {}
func (HostReported) event() {}
func (Noted) event()        {}

// Effect is something to be done outside the reducer.
type Effect interface{ effect() }

// Write syncs what the log asks for and sends the messages after that.
type Write struct {
	Persist  quorum.Persist
	Messages []quorum.Message
}

// Answer gives a receipt to a ticket.
type Answer struct {
	Ticket  uint64
	Receipt ctlrpc.OrderReply
}

// PassOn sends an order to the leader and gives its receipt to the ticket.
type PassOn struct {
	Ticket uint64
	Order  ctlrpc.Order
	To     quorum.NodeID
}

// Spread tells the other control hosts what this one was told.
type Spread struct{ Note ctlrpc.Gossip }

// Decided tells of a roll-out that should end, for the log line.
type Decided struct {
	Rollout canary.Rollout
	Why     string
}

// Faulted tells of an entry that can't be applied.
type Faulted struct{ Err error }

func (Write) effect()   {}
func (Answer) effect()  {}
func (PassOn) effect()  {}
func (Spread) effect()  {}
func (Decided) effect() {}
func (Faulted) effect() {}
