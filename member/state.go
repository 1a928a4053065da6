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

// DepartedAfter is how long a host must be silent before its open requests are settled by others.
const DepartedAfter = 30 * time.Second

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
	// LastHeard is when a message of the host last came in.
	LastHeard time.Duration
	// LastAckedSend is when this host sent the newest heartbeat that the other has answered.
	LastAckedSend time.Duration
	// LastAgreedSend is the newest Asked at which this host had the other's configuration or a newer one.
	LastAgreedSend time.Duration
	// LastGranted is when this host, as the leader, last told the other the newest revision.
	LastGranted time.Duration
	// ConfirmedAt is when the other was first known to have its Revision in force.
	ConfirmedAt time.Duration
}

// State is the table of hosts. It is a value; its methods return changed copies.
type State struct {
	// Self is this host.
	Self Self
	// hosts is sorted by name and holds no entry of this host.
	hosts []Host
	// leaseStart is the newest time this host asked a leader whose revision it has.
	leaseStart time.Duration
}

// NewState returns the table of a host that has heard nobody.
func NewState(self Self) State { return State{Self: self, leaseStart: never} }

// WithSelf returns a copy with another description of this host.
func (s State) WithSelf(self Self) State {
	s.Self = self
	return s
}

// Host returns what is known of a host.
func (s State) Host(name string) (Host, bool) {
	i, ok := s.index(name)
	if !ok {
		return Host{LastHeard: never, LastAckedSend: never, LastAgreedSend: never, LastGranted: never, ConfirmedAt: never}, false
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

// mergeSelf merges what another host says of itself; older incarnations and older revisions are ignored.
func (s State) mergeSelf(self Self, now time.Duration) (Host, bool) {
	h, ok := s.Host(self.Name)
	if ok && self.Incarnation < h.Incarnation {
		return h, false
	}
	if self.Incarnation > h.Incarnation {
		h = Host{LastHeard: never, LastAckedSend: never, LastAgreedSend: never, LastGranted: h.LastGranted, ConfirmedAt: never}
	}
	if !ok || self.Revision > h.Revision || h.ConfirmedAt == never {
		h.ConfirmedAt = now
	}
	self.Revision = max(self.Revision, h.Revision)
	h.Self = self
	h.LastHeard = now
	return h, true
}

// WithHeartbeat returns a copy after a heartbeat came in; granted is true when this host answers it as a
// leader that knows the newest revision.
func (s State) WithHeartbeat(self Self, now time.Duration, granted bool) State {
	h, ok := s.mergeSelf(self, now)
	if !ok {
		return s
	}
	if granted {
		h.LastGranted = now
	}
	return s.withHost(h)
}

// WithHeartbeatAnswer returns a copy after another host has answered a heartbeat sent at sent.
func (s State) WithHeartbeatAnswer(self Self, sent, now time.Duration) State {
	h, ok := s.mergeSelf(self, now)
	if !ok {
		return s
	}
	h.LastAckedSend = max(h.LastAckedSend, sent)
	if s.Self.Revision >= self.Revision && self.Recovered {
		h.LastAgreedSend = max(h.LastAgreedSend, sent)
	}
	if s.Self.Revision >= self.Revision && self.Leading {
		s.leaseStart = max(s.leaseStart, sent)
	}
	return s.withHost(h)
}

// Alive reports whether the host answered or sent a message within the lease.
func (s State) Alive(name string, now time.Duration) bool {
	if name == s.Self.Name {
		return true
	}
	h, ok := s.Host(name)
	return ok && now-max(h.LastHeard, h.LastAckedSend) < Lease
}

// Departed reports whether a host's process is known to be gone: another incarnation has been heard, or
// none for long.
func (s State) Departed(name string, incarnation uint64, now time.Duration) bool {
	if name == s.Self.Name {
		return incarnation != s.Self.Incarnation
	}
	h, ok := s.Host(name)
	if !ok {
		return now > DepartedAfter
	}
	return h.Incarnation > incarnation || now-h.LastHeard > DepartedAfter
}

// Hosts returns the known hosts by name.
func (s State) Hosts() []Host { return s.hosts }
