// Package core implements an entry host as a pure state machine. An entry host accepts callers' requests and routes
// them to endpoints. Reduce takes the state and an event and returns the next state and the effects to carry out. It
// reads no clock, does no I/O and takes random numbers only from a seed in the state. Package host is the runner: it
// turns network messages, timers and disk writes into events and carries out the effects.
package core

import (
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/hickoryshelf/hickoryshelf/admit"
	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/route"
)

const (
	// heartbeatInterval is the time between heartbeats to the leader and to hosts of the same data centre.
	heartbeatInterval = 400 * time.Millisecond
	// remoteHeartbeatInterval is the time between heartbeats to the hosts of other data centres.
	remoteHeartbeatInterval = 2 * time.Second
	// inForceTimeout bounds how long the answer to an operator's committed change waits for the change to be
	// in force in every data centre.
	inForceTimeout = 2500 * time.Millisecond
	// expireInterval is the time between scans for endpoints that have become unusable or silent.
	expireInterval = 500 * time.Millisecond
	// compactThreshold is the number of control log entries at which a snapshot replaces the applied ones.
	compactThreshold = 2000
)

// State holds everything that a host knows. Reduce returns a changed copy and never writes to its argument.
type State struct {
	// Now is the time of the last event, on the host's monotonic clock.
	Now time.Duration
	// Seeds are the hosts named in the settings. They stand in for the members while the configuration has
	// none, and supply the addresses of hosts that the configuration doesn't list.
	Seeds []model.Member
	// Config is the configuration in force at this host. Its revision never decreases.
	Config  model.Config
	Quorum  quorum.State
	Control config.State
	Members member.State
	Routes  route.State
	Admit   admit.State[RouteRequest]
	Ledger  ledger.State
	// HasDisk is true when this host syncs ledger lines to its own disk.
	HasDisk bool

	// applied is the index of the last log entry applied to Control.
	applied uint64
	// proposals holds the proposed commands whose callers wait for a result, by log index.
	proposals *immutable.SortedMap[uint64, proposal]
	// pendingChanges are committed changes whose answer waits until they are in force everywhere.
	pendingChanges []pendingChange
	// peerProgress holds, by host name, which announcements and ratings the host has confirmed.
	peerProgress *immutable.Map[string, progress]
	// announcedAt holds, by endpoint ID, when the endpoint last announced itself directly to this host.
	announcedAt *immutable.Map[string, time.Duration]
	// ratings are the ratings made at this host that another host may lack. They are numbered consecutively;
	// the last one has the number ratingsTo.
	ratings   *immutable.List[route.Rating]
	ratingsTo uint64
	// observationTokens is the level of the token bucket that limits observations to maxObservations per
	// second, observationsRefilledAt the time of its last refill.
	observationTokens      float64
	observationsRefilledAt time.Duration
	// records holds the ledger lines that wait for copies or for a sync, by record key.
	records *immutable.Map[string, pendingRecord]
	// running holds the attempts in flight that this host has sent to endpoints, by attempt ID.
	running *immutable.Map[string, Dispatch]
	// settleProposedAt holds, by request ID, when this host last proposed to settle an orphaned claim.
	settleProposedAt *immutable.Map[string, time.Duration]
	// retryBudget is the number of retries that this host may still make; see retryRatio.
	retryBudget float64
	// seed is the state of the random number generator.
	seed uint64

	// orders holds the last order to each endpoint, by endpoint ID.
	orders *immutable.Map[string, order]
	// placedAt is when endpoints were last compared with the configuration.
	placedAt time.Duration
	// storeLimitedAt is when the weight store last rejected a load because of its rate limit; 0 means never.
	storeLimitedAt time.Duration
	// expiredAt is the time of the last scan for endpoints that have become unusable or silent.
	expiredAt time.Duration
	// archivedAt is when settled ledger lines were last archived.
	archivedAt time.Duration
}

// proposal is a proposed command whose caller waits for the result.
type proposal struct {
	// id identifies the waiting caller, term is the leader's term at the proposal.
	id   string
	term uint64
	// change is true for an operator's change, false for a command on a claim.
	change bool
}

// pendingChange is a committed change whose answer waits until the change is in force in every data centre.
type pendingChange struct {
	// id identifies the waiting caller.
	id     string
	result config.Result
	// deadline is when the change is answered even if it isn't in force everywhere.
	deadline time.Duration
}

// progress records what one other host has confirmed, so that heartbeats carry only what that host lacks.
type progress struct {
	// sentAt is when the last heartbeat was sent to the host.
	sentAt time.Duration
	// unanswered is unused: the next heartbeat is sent after the interval, whether or not the last one was answered.
	unanswered bool
	// announcementsUntil is the time up to which the other host has confirmed all announcements made to this host.
	announcementsUntil time.Duration
	// ratingsConfirmed is the number of this host's last rating that the other host has confirmed.
	ratingsConfirmed uint64
	// ratingsSeen is the number of the other host's last rating that this host has applied.
	ratingsSeen uint64
}

// Options holds what a host has read from its settings and its disk when it starts.
type Options struct {
	Self    member.Self
	Seeds   []model.Member
	Quorum  quorum.State
	Control config.State
	Ledger  ledger.State
	HasDisk bool
	Seed    uint64
}

// NewState returns the initial state of a host. The retry budget starts half full.
func NewState(o Options) State {
	return State{
		Seeds:            o.Seeds,
		Quorum:           o.Quorum,
		Control:          o.Control,
		Members:          member.NewState(o.Self),
		Routes:           route.NewState(),
		Admit:            admit.NewState[RouteRequest](),
		Ledger:           o.Ledger,
		HasDisk:          o.HasDisk,
		applied:          o.Quorum.Snapshot.Index,
		proposals:        immutable.NewSortedMap[uint64, proposal](nil),
		peerProgress:     immutable.NewMap[string, progress](nil),
		announcedAt:      immutable.NewMap[string, time.Duration](nil),
		ratings:          immutable.NewList[route.Rating](),
		orders:           immutable.NewMap[string, order](nil),
		records:          immutable.NewMap[string, pendingRecord](nil),
		running:          immutable.NewMap[string, Dispatch](nil),
		settleProposedAt: immutable.NewMap[string, time.Duration](nil),
		seed:             o.Seed,
		retryBudget:      retryBurst / 2,
	}
}

// Standing returns which new requests the host may accept.
func (s State) Standing() member.Standing { return s.Members.Standing(s.Config, s.Now) }

// Running returns the number of attempts that this host has in flight at endpoints.
func (s State) Running() int { return s.running.Len() }

// members returns the hosts of the configuration, or Seeds when the configuration lists none.
func (s State) members() []model.Member {
	if len(s.Config.Members) == 0 {
		return s.Seeds
	}
	return s.Config.Members
}

// Address returns the peer address of a host from the configuration or, failing that, from Seeds. The result
// is false when neither lists the host.
func (s State) Address(name string) (string, bool) {
	for _, m := range s.members() {
		if m.Name == name {
			return m.Address, true
		}
	}
	for _, m := range s.Seeds {
		if m.Name == name {
			return m.Address, true
		}
	}
	return "", false
}

// Leader returns the name of the control log's leader as far as this host knows, or an empty string. The
// control log's own view comes first, then an alive host that claims to lead, then the leader that another
// alive host names.
func (s State) Leader() string {
	if n := hostOf(s.Quorum.Leader); n != "" {
		return n
	}
	for _, h := range s.Members.Hosts() {
		if h.Leading && s.Members.Alive(h.Name, s.Now) {
			return h.Name
		}
	}
	for _, h := range s.Members.Hosts() {
		if h.Leader != "" && h.Leader != s.Members.Self.Name && s.Members.Alive(h.Name, s.Now) {
			return h.Leader
		}
	}
	return ""
}
