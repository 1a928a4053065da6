// Package ctlrpc holds the messages of the Control RPC service, which entry hosts and control hosts send to control
// hosts.
package ctlrpc

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryshelf/hickoryshelf/budget"
	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/drain"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/limit"
	"github.com/hickoryshelf/hickoryshelf/poison"
	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/speed"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

//go:generate go tool stringer -type=Verb,Status -linecomment -output=enum_string.go

// ServiceName is the name under which control hosts register the service with net/rpc.
const ServiceName = "Control"

// Load is the load that entry hosts put on an endpoint.
type Load struct {
	// Requests is the number of requests in flight.
	Requests int
	// Backlog is the estimated work of the requests whose answer hasn't begun, in milliseconds.
	Backlog int
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load { return Load{l.Requests + o.Requests, l.Backlog + o.Backlog} }

// Limit is a limit that an endpoint has named, or the end of one if Rate is 0.
type Limit struct {
	Rate limit.Rate
	// Age is the time since the endpoint's answer.
	Age time.Duration
}

// HostReport is what an entry host reports about itself.
type HostReport struct {
	Host string
	// Start identifies the process of the host; it is higher for later starts, unless the host's clock was set back between them.
	Start    int64
	Sequence uint64
	// Loads holds the load that the host puts on endpoints, by endpoint ID.
	Loads map[string]Load
	// Limits holds the limits that the host knows, by endpoint ID.
	Limits map[string]Limit
	// Tallies are the tallies that have changed since the last exchange that got a reply.
	Tallies []canary.Tally
	// Reads holds the prefill time per prompt token that the host has measured, by model.
	Reads map[string]time.Duration
	// Ages holds the time since the order of each running rollout, by serial. Entry hosts report it so that the
	// time isn't lost when control hosts restart.
	Ages map[uint64]time.Duration
	// Assist says how the host may send requests for others. Some reports leave it out: without an Address the last one stays.
	Assist Assist
	// Active holds how long ago endpoints last showed a sign of life, among those that a control host has named as overdue.
	Active []ActiveEndpoint
	// Poison is what the host has observed of requests that end endpoints since the last exchange that got a reply.
	Poison poison.Report
	// Budget is what the host says of its retry budget, by service.
	Budget map[string]budget.Statement
	// Holding is the host's share of the slack of all retry budgets. Older builds leave it empty.
	Holding budget.Holding
	// WarmUp says which cold endpoints the host would use. Older builds leave it empty.
	WarmUp WarmUp
	// Speeds is what the host has measured of the speed of endpoints. Only some reports hold any.
	Speeds SpeedReport
	// Demand is the demand that the host has seen. Most reports leave it out: without services the last one stays.
	Demand Demand
}

// WithAge returns the report as it reads some time later.
func (r HostReport) WithAge(d time.Duration) HostReport {
	if d == 0 {
		return r
	}
	r.Poison = r.Poison.WithAge(d)
	r.Speeds = speed.Faded(r.Speeds, d)
	r.Demand.Age += d
	r.Limits, r.Ages, r.Active = maps.Clone(r.Limits), maps.Clone(r.Ages), slices.Clone(r.Active)
	for e, l := range r.Limits {
		l.Age += d
		r.Limits[e] = l
	}
	for s := range r.Ages {
		r.Ages[s] += d
	}
	for n := range r.Active {
		r.Active[n].Age += d
	}
	r.Assist.Answered = maps.Clone(r.Assist.Answered)
	for p := range r.Assist.Answered {
		r.Assist.Answered[p] += d
	}
	return r
}

// Pool names the endpoints of a service in a data centre.
type Pool struct {
	Service    string
	DataCentre string
}

// Assist is what an entry host reports for hosts that reach no endpoint.
type Assist struct {
	// DataCentre is that of the host, and Address where it takes requests of other hosts.
	DataCentre string
	Address    string
	// Token is what requests of other hosts have to hold. It differs between starts.
	Token string
	// Answered holds how long ago the host last got an answer or opened a connection. Only endpoints that it reaches directly
	// count.
	Answered map[Pool]time.Duration
	// Taken is the number of requests that the host has in flight for others.
	Taken int
	// Stopping is set if the host takes no requests of others because it stops.
	Stopping bool
}

// ActiveEndpoint is a sign of life of a start of an endpoint.
type ActiveEndpoint struct {
	ID   string
	Born int64
	Age  time.Duration
}

// HelperRequest asks for hosts through which the asking one may send requests.
type HelperRequest struct {
	Host       string
	DataCentre string
}

// HelperReply names such hosts. What they report is given with the ages at the time of the reply.
type HelperReply struct {
	Helpers []NamedHelper
}

// NamedHelper is a host through which others may send requests.
type NamedHelper struct {
	Host string
	Assist
}

// EntryState says what an entry host already holds, so that the reply contains only changes.
type EntryState struct {
	TableVersion int64
	// Control and FleetRevision identify the fleet state held. Control names the process of the
	// control host that sent it, as in ExchangeReply.
	Control       string
	FleetRevision uint64
	// HostsSum is the hash of the entry hosts held.
	HostsSum uint64
	// FleetSum is the sum of the fingerprints of the endpoints held, for control hosts that didn't send them.
	FleetSum uint64
	// PoisonSum is the hash of the evidence about requests that end endpoints that the host got last.
	PoisonSum uint64
	// DrainIndex is that of the state of drains held, or HoldsNoDrains. It is 0 for a host that takes none, as older builds do.
	DrainIndex uint64
	// SharesSpeeds is set if the host uses ExchangeReply.Speeds.
	SharesSpeeds bool
	// WantsNeighbours is set if the host asks for ExchangeReply.Neighbours.
	WantsNeighbours bool
}

// ExchangeRequest is sent by an entry host.
type ExchangeRequest struct {
	Report HostReport
	Known  EntryState
	// Leaving holds reports of endpoints that the host knows to be leaving, for control hosts that have lost them.
	Leaving []fleet.Report
	// Wait is how long the reply may be delayed while there is nothing new (long poll).
	Wait time.Duration
}

// LogPosition is what a control host holds of the control log, and what it knows of its leader.
type LogPosition struct {
	// Applied is the index of the last entry that the host has applied.
	Applied uint64
	// LeaderCommit is the commit index that the newest message of a leader named. On a leader it is its own one.
	LeaderCommit uint64
	// LeaderSilence is the time since that message; it is 0 on a leader.
	LeaderSilence time.Duration
	// Age is the time since the host last knew that it held all that was committed: what it holds was the newest state so long
	// ago. It is 0 on a leader that is sure to lead, and the time since the start of a host that hasn't known it yet. On a host
	// that counts as current it is below the timeout for that.
	Age time.Duration
}

// ExchangeReply is a control host's reply to an ExchangeRequest.
type ExchangeReply struct {
	// Control identifies the control host's process.
	Control string
	// Sure is true once the control host has caught up with the log after its start.
	Sure bool
	// Current is false while the control host has no contact with a leader, so that another control host may know
	// newer data.
	Current bool
	// Position is the control host's own. Older builds leave it empty.
	Position LogPosition
	// TableVersion and Document are the newest configuration, set if the entry host's is older.
	TableVersion int64
	Document     []byte
	// If FleetNew is set, Reports replace the whole fleet (full sync). Otherwise Reports are the changes since the
	// revision that the entry host holds, and Gone holds the IDs of removed endpoints (delta).
	FleetNew      bool
	FleetRevision uint64
	Reports       []fleet.Report
	Gone          []string
	// FleetPartial is set while the control host may not have heard of all endpoints since its start: Reports then only add to the fleet.
	// Older builds never set it.
	FleetPartial bool
	Rollouts     []canary.View
	// Loads holds the load that other entry hosts put on endpoints, by endpoint ID. If LoadsNew is set it is
	// complete, otherwise it holds some of the loads that have changed.
	LoadsNew bool
	Loads    map[string]Load
	// Reads holds the prefill time per prompt token that entry hosts have measured, by model.
	Reads map[string]time.Duration
	// Limits holds the limits that entry hosts know, by endpoint ID.
	Limits map[string]Limit
	// Hosts holds the sorted names of the entry hosts if the entry host holds others.
	Hosts []string
	// Entries is the number of entry hosts heard of lately. Controls holds the peer addresses of the control hosts.
	Entries  int
	Controls []string
	// Overdue holds the IDs of endpoints that have sent no report for a while. Entry hosts say which of them they hear.
	Overdue []string
	// Poison says which requests to hold back, if PoisonSum differs from that of the entry host.
	Poison    poison.Report
	PoisonSum uint64
	// Grants holds what was lent to the host's retry budget, by service.
	Grants map[string]budget.Grant
	// Loan is the share of the slack that is lent to the host. Older builds leave it empty.
	Loan budget.Loan
	// Demand is that of the fleet. Most replies leave it out.
	Demand Demand
	// Watch holds changes of the keys that the host watches.
	Watch poison.WatchUpdate
	// Drains is set if it is newer than what the entry host holds.
	Drains Drains
	// Permits holds those for cold endpoints that are lent to the host. Older builds leave it empty.
	Permits []warmup.Permit
	// Speeds holds the speeds of endpoints, for a host that uses them.
	Speeds SpeedUpdate
	// Neighbours holds the peer addresses of some other entry hosts, for a host that asks for them. Older builds leave it empty.
	Neighbours []string
}

// Directory is what an entry host knows of control hosts. It tells that to other entry hosts that find none.
type Directory struct {
	// Controls holds the peer addresses of the control hosts that it knows, the members of the control log first.
	Controls []string `json:"controls"`
	// Table is the version of the configuration in force.
	Table int64 `json:"table"`
	// CurrentAgeMS is the time since a control host that was current replied to it, in milliseconds.
	CurrentAgeMS int64 `json:"current-age-ms"`
}

// HostsSum returns the hash of the names of entry hosts.
func HostsSum(hosts []string) uint64 { return xxhash.Sum64String(strings.Join(hosts, "\x00")) }

// Gossip carries reports that a control host received to the other control hosts.
type Gossip struct {
	From    string
	Reports []fleet.Report
	Hosts   []HostReport
	// Poison is evidence about requests that end endpoints.
	Poison poison.Report
}

// Verb is the kind of an order.
type Verb int

// Verbs of orders. Put stores a configuration document and Read returns the one in force. StartRollout starts a
// rollout and ReadRollout returns the one of a service. Join adds a control host to the replicated log as a learner. Leave
// says that a control host is about to stop; it is accepted once the host has no vote, or no other one can take it. Retire
// records that an endpoint is leaving or has departed. StartDrain and EndDrain start and end the drain of a data centre.
const (
	Put          Verb = iota // put
	Read                     // read
	StartRollout             // start-rollout
	ReadRollout              // read-rollout
	Join                     // join
	Leave                    // leave
	Retire                   // retire
	StartDrain               // start-drain
	EndDrain                 // end-drain
)

// Order is a request to the leader. Any control host accepts it and forwards it.
type Order struct {
	Verb Verb
	// Version and Document are set for Put.
	Version  int64
	Document []byte
	// Rollout is set for StartRollout, and Service for ReadRollout. RolloutSeen is the serial of the newest rollout of the service that the
	// control host held which took the order, or NoRollout. It is 0 in orders of older builds, which may follow any rollout.
	Rollout     canary.Rollout
	RolloutSeen uint64
	Service     string
	// Node is set for Join and Leave.
	Node quorum.NodeID
	// Endpoint is set for Retire.
	Endpoint fleet.Report
	// DataCentre is set for StartDrain and EndDrain. DrainSeen is drain.Order.Seen for them, set by the control host that took the order
	// and forwards it, and 0 from hosts of older builds.
	DataCentre string
	DrainSeen  uint64
	// Hops counts how often the order was forwarded, which control hosts bound.
	Hops int
}

// NoRollout is Order.RolloutSeen if the service had no rollout. No rollout has this serial, since the control log begins with a snapshot at
// this index.
const NoRollout uint64 = 1

// Status is the result of an order.
type Status int

// Statuses of orders.
const (
	// Unavailable means that no leader replied. The order may be sent again.
	Unavailable Status = iota // unavailable
	Accepted                  // accepted
	// Missing means that the document, rollout or data centre asked for doesn't exist.
	Missing // missing
	// Conflict means that the order isn't allowed in the state that is in force, and has changed nothing.
	Conflict // conflict
)

// OrderReply is the reply to an order.
type OrderReply struct {
	Status   Status
	Version  int64
	Document []byte
	Rollout  canary.Rollout
	// Drain confirms an accepted StartDrain or EndDrain: its index is above 0. Leaders of older builds answer Accepted to orders that they
	// don't know, and leave it empty.
	Drain drain.Change
}

// QuarantineList is the reply to an operator's question which requests are held back.
type QuarantineList struct{ Rules []poison.Rule }

// Ack is the reply of methods that return no data.
type Ack struct {
	OK bool
	// Control identifies the control host's process, as in ExchangeReply. Older builds leave it empty.
	Control string
}

// LeaderReply tells whether a control host has contact with a leader, as ExchangeReply.Current does.
type LeaderReply struct{ Current bool }

// Messages carries messages of the replicated control log to one host.
type Messages struct{ Messages []quorum.Message }
