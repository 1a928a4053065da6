// Package ctlrpc holds the messages of the Control RPC service: between entry hosts and control hosts, and among
// control hosts.
package ctlrpc

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

//go:generate go tool stringer -type=Verb,Status -linecomment -output=enum_string.go

// ServiceName is the name under which control hosts register with net/rpc.
const ServiceName = "Control"

// Load is what entry hosts have under way at an endpoint.
type Load struct {
	Requests int
	// Backlog is the estimated work, in milliseconds, of requests that haven't begun to answer.
	Backlog int
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load { return Load{l.Requests + o.Requests, l.Backlog + o.Backlog} }

// HostReport is what an entry host says of itself.
type HostReport struct {
	Host string
	// Start tells the starts of a host apart; a later one is higher.
	Start    int64
	Sequence uint64
	// Loads are the requests that the host has under way, by endpoint.
	Loads map[string]Load
	// Tallies are those that have changed since the last exchange that was answered.
	Tallies []canary.Tally
	// Reads are the times to read a prompt token that the host has measured, by model.
	Reads map[string]time.Duration
	// Ages are the times since the orders of running roll-outs, by serial. They outlast control hosts.
	Ages map[uint64]time.Duration
}

// EntryState is what an entry host holds, so that the answer brings only news.
type EntryState struct {
	TableVersion int64
	// Control and FleetRevision name the state of the fleet that a control host's start has sent.
	Control       string
	FleetRevision uint64
	// FleetSum is that of the fingerprints of the endpoints held, for a control host that hasn't sent them.
	FleetSum uint64
}

// ExchangeRequest is an entry host's side of an exchange.
type ExchangeRequest struct {
	Report HostReport
	Known  EntryState
	// Leaving are endpoints that the host knows to leave, for control hosts that have forgotten.
	Leaving []fleet.Report
	// Wait is how long the answer may be held back while there is no news.
	Wait time.Duration
}

// ExchangeReply is a control host's side of an exchange.
type ExchangeReply struct {
	// Control names the control host's start.
	Control string
	// Sure is false while the control host hasn't caught up since its start.
	Sure bool
	// Current is false while the control host hears no leader; another one may know of newer things.
	Current bool
	// Document is the newest configuration where the entry host's is older.
	TableVersion int64
	Document     []byte
	// Reports replace the fleet where FleetNew is set; else they, and the ids of endpoints that are gone, are
	// what has changed since the revision that the entry host holds.
	FleetNew      bool
	FleetRevision uint64
	Reports       []fleet.Report
	Gone          []string
	Rollouts      []canary.View
	// Loads are the requests that other entry hosts have under way, by endpoint: all where LoadsNew is set, else
	// some that have changed.
	LoadsNew bool
	Loads    map[string]Load
	// Reads are the times to read a prompt token that entry hosts have measured, by model.
	Reads map[string]time.Duration
	// Entries is the number of entry hosts; Controls are the peer addresses of control hosts.
	Entries  int
	Controls []string
}

// Gossip is what control hosts tell each other: reports that came to the sender.
type Gossip struct {
	From    string
	Reports []fleet.Report
	Hosts   []HostReport
}

// Verb is what an order asks of the leader.
type Verb int

// Verbs of orders.
const (
	Put          Verb = iota // put
	Read                     // read
	StartRollout             // start-rollout
	ReadRollout              // read-rollout
	Join                     // join
)

// Order is carried out by the leader, whichever control host took it.
type Order struct {
	Verb Verb
	// Version and Document are for Put.
	Version  int64
	Document []byte
	// Rollout is for Start; Service is for Look.
	Rollout canary.Rollout
	Service string
	// Node is for Join.
	Node quorum.NodeID
	// Hops counts how often the order was passed on.
	Hops int
}

// Status is what became of an order.
type Status int

// Results of orders.
const (
	// Unavailable means that no leader could answer; the order may be sent again.
	Unavailable Status = iota // unavailable
	Accepted                  // accepted
	// Missing means that there is nothing of that name.
	Missing // missing
)

// OrderReply answers an order.
type OrderReply struct {
	Status   Status
	Version  int64
	Document []byte
	Rollout  canary.Rollout
}

// Ack is the answer of a method that returns nothing.
type Ack struct{ OK bool }

// Messages are messages of the control log to one host.
type Messages struct{ Messages []quorum.Message }
