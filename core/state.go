// Package core is the one reducer of an entry host. Reduce takes the state and an event and returns the
// next state and effects; it reads no clock, does no input or output and draws random numbers only from a
// seed in the state. The runner in package host turns sockets, timers and disk into events.
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
	// heartbeatInterval is the interval of heartbeats in a data centre and to the leader.
	heartbeatInterval = 400 * time.Millisecond
	// remoteHeartbeatInterval is the interval of heartbeats to other hosts.
	remoteHeartbeatInterval = 2 * time.Second
	// inForceTimeout is how long an operator's change waits to be in force everywhere before it is answered.
	inForceTimeout = 2500 * time.Millisecond
	// expireInterval is the interval at which endpoints are looked through for silent ones.
	expireInterval = 500 * time.Millisecond
	// compactThreshold is how many entries the control log holds before a snapshot replaces them.
	compactThreshold = 2000
)

// State is everything an entry host knows. It is a value that Reduce never changes in place.
type State struct {
	// Now is the time of the last event, on the host's monotonic clock.
	Now time.Duration
	// Seeds are the hosts named in the settings, used until a configuration is known.
	Seeds []model.Member
	// Config is the configuration in force at this host; its revision never falls.
	Config  model.Config
	Quorum  quorum.State
	Control config.State
	Members member.State
	Routes  route.State
	Admit   admit.State[RouteRequest]
	Ledger  ledger.State
	// HasDisk is true where records are synced.
	HasDisk bool

	// applied is the index of the last entry applied to Control.
	applied uint64
	// proposals are commands in the log whose callers wait, by index.
	proposals *immutable.SortedMap[uint64, proposal]
	// pendingChanges are answered changes that wait to be in force.
	pendingChanges []pendingChange
	// peerProgress holds, by host, what was confirmed by it.
	peerProgress *immutable.Map[string, progress]
	// announcedAt holds when endpoints last announced to this host itself.
	announcedAt *immutable.Map[string, time.Duration]
	// ratings are this host's own that some host may lack; the last has the number ratingsTo.
	ratings   *immutable.List[route.Rating]
	ratingsTo uint64
	// observationTokens is how many observations may still be taken now, refilled with time; see maxObservations.
	observationTokens      float64
	observationsRefilledAt time.Duration
	// records are lines that wait for copies.
	records *immutable.Map[string, pendingRecord]
	// running are the requests that this host has sent to endpoints, by id.
	running *immutable.Map[string, Dispatch]
	// settleProposedAt are the orphaned claims that were proposed to be settled, by request id.
	settleProposedAt *immutable.Map[string, time.Duration]
	// retryBudget is how many further attempts may still be made.
	retryBudget float64
	seed        uint64

	// orders are those given lately, by endpoint; placed is when endpoints were last compared with the
	// configuration, and storeLimited when the weight store's limit was last met.
	orders         *immutable.Map[string, order]
	placedAt       time.Duration
	storeLimitedAt time.Duration
	// expiredAt is when endpoints were last looked through, archived when lines were last handed over.
	expiredAt  time.Duration
	archivedAt time.Duration
}

// proposal is a command whose caller waits for its result.
type proposal struct {
	id     string
	term   uint64
	change bool
}

// pendingChange is a committed change that waits to be in force everywhere.
type pendingChange struct {
	id       string
	result   config.Result
	deadline time.Duration
}

// progress is what a host has confirmed to have, and what was last sent to it.
type progress struct {
	// sentAt is when the last heartbeat went out; busy is true while it is unanswered.
	sentAt     time.Duration
	unanswered bool
	// sightings is the time up to which the host has all announcements.
	sightings time.Duration
	// ratings is the number of the last rating that the host has; seen that of its last one here.
	ratings     uint64
	ratingsSeen uint64
}

// Options are what a host knows when it starts.
type Options struct {
	Self    member.Self
	Seeds   []model.Member
	Quorum  quorum.State
	Control config.State
	Ledger  ledger.State
	HasDisk bool
	Seed    uint64
}

// NewState returns the state of a host that starts.
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

// Standing returns which requests the host may take.
func (s State) Standing() member.Standing { return s.Members.Standing(s.Config, s.Now) }

// Running returns the number of requests at endpoints.
func (s State) Running() int { return s.running.Len() }

// members returns the hosts of the configuration, or the seeds while there is none.
func (s State) members() []model.Member {
	if len(s.Config.Members) == 0 {
		return s.Seeds
	}
	return s.Config.Members
}

// Address returns the peer address of a host.
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

// Leader returns the name of the host that leads, as far as this host knows.
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
