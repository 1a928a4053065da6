// Package member tracks the hosts of the system: who was heard, which configuration is in force where,
// and whether this host may take new requests. All times are readings of the host's monotonic clock.
package member

import (
	"slices"
	"strings"
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// Lease is how long a host may rely on a configuration after it asked whether a newer one exists.
const Lease = 1500 * time.Millisecond

// Departed is how long a host must be silent before its open requests are settled by others.
const Departed = 30 * time.Second

// never is a time before all others.
const never = -1 << 60 * time.Nanosecond

// Self is what a host says of itself in each heartbeat.
type Self struct {
	Name       string
	DataCentre string
	// Incarnation is drawn at each start of the process and grows from start to start.
	Incarnation uint64
	// Node is the host's identity in the control log; empty without a disk.
	Node quorum.NodeID
	// Revision is the configuration in force at the host.
	Revision model.Revision
	// Leader is the host that the sender takes for the leader; empty when none is known.
	Leader string
	// Leading is true when the sender is a leader that a majority of voters has just answered.
	Leading bool
	// Recovered is true once the process has held a lease: before that it may have forgotten a revision
	// that it had in force before a restart, and must not vouch for an older one.
	Recovered bool
	// Stopping is true once the host takes no new requests for good.
	Stopping bool
}

// Host is what is known of another host.
type Host struct {
	Self
	// Heard is when a message of the host last came in.
	Heard time.Duration
	// Asked is when this host sent the newest heartbeat that the other has answered.
	Asked time.Duration
	// Agreed is the newest Asked at which this host had the other's configuration or a newer one.
	Agreed time.Duration
	// Granted is when this host, as the leader, last told the other the newest revision.
	Granted time.Duration
	// Confirmed is when the other was first known to have its Revision in force.
	Confirmed time.Duration
}

// State is the table of hosts. It is a value; its methods return changed copies.
type State struct {
	// Self is this host.
	Self Self
	// hosts is sorted by name and holds no entry of this host.
	hosts []Host
	// leased is the newest time this host asked a leader whose revision it has.
	leased time.Duration
}

// NewState returns the table of a host that has heard nobody.
func NewState(self Self) State { return State{Self: self, leased: never} }

// WithSelf returns a copy with another description of this host.
func (s State) WithSelf(self Self) State {
	s.Self = self
	return s
}

// Host returns what is known of a host.
func (s State) Host(name string) (Host, bool) {
	i, ok := s.index(name)
	if !ok {
		return Host{Heard: never, Asked: never, Agreed: never, Granted: never, Confirmed: never}, false
	}
	return s.hosts[i], true
}

func (s State) index(name string) (int, bool) {
	return slices.BinarySearchFunc(s.hosts, name, func(h Host, n string) int { return strings.Compare(h.Name, n) })
}

func (s State) withHost(host Host) State {
	i, ok := s.index(host.Name)
	h := slices.Clone(s.hosts)
	if ok {
		h[i] = host
	} else {
		h = slices.Insert(h, i, host)
	}
	s.hosts = h
	return s
}

// heard merges what another host says of itself; older incarnations and older revisions are ignored.
func (s State) heard(self Self, now time.Duration) (Host, bool) {
	h, ok := s.Host(self.Name)
	if ok && self.Incarnation < h.Incarnation {
		return h, false
	}
	if self.Incarnation > h.Incarnation {
		h = Host{Heard: never, Asked: never, Agreed: never, Granted: h.Granted, Confirmed: never}
	}
	if !ok || self.Revision > h.Revision || h.Confirmed == never {
		h.Confirmed = now
	}
	self.Revision = max(self.Revision, h.Revision)
	h.Self = self
	h.Heard = now
	return h, true
}

// WithHeard returns a copy after a heartbeat came in; granted is true when this host answers it as a
// leader that knows the newest revision.
func (s State) WithHeard(self Self, now time.Duration, granted bool) State {
	h, ok := s.heard(self, now)
	if !ok {
		return s
	}
	if granted {
		h.Granted = now
	}
	return s.withHost(h)
}

// WithAnswer returns a copy after another host has answered a heartbeat sent at sent.
func (s State) WithAnswer(self Self, sent, now time.Duration) State {
	h, ok := s.heard(self, now)
	if !ok {
		return s
	}
	h.Asked = max(h.Asked, sent)
	if s.Self.Revision >= self.Revision && self.Recovered {
		h.Agreed = max(h.Agreed, sent)
	}
	if s.Self.Revision >= self.Revision && self.Leading {
		s.leased = max(s.leased, sent)
	}
	return s.withHost(h)
}

// Fresh reports whether the host answered or sent a message within the lease.
func (s State) Fresh(name string, now time.Duration) bool {
	if name == s.Self.Name {
		return true
	}
	h, ok := s.Host(name)
	return ok && now-max(h.Heard, h.Asked) < Lease
}

// Departed reports whether a host's process is known to be gone: another incarnation has been heard, or
// none for long.
func (s State) Departed(name string, incarnation uint64, now time.Duration) bool {
	if name == s.Self.Name {
		return incarnation != s.Self.Incarnation
	}
	h, ok := s.Host(name)
	if !ok {
		return now > Departed
	}
	return h.Incarnation > incarnation || now-h.Heard > Departed
}

// Hosts returns the known hosts by name.
func (s State) Hosts() []Host { return s.hosts }
