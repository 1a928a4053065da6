// Package member tracks the hosts of the system: which hosts are alive, which configuration revision is in force at
// each of them, and whether this host may accept new requests. All times are readings of this host's monotonic clock.
package member

import (
	"slices"
	"strings"
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// Lease is how long a host may act on its configuration after it sent the heartbeat whose answer showed that no newer
// revision existed. A host counts as alive for the same time after its last message.
const Lease = 1500 * time.Millisecond

// DepartedAfter is how long a host must be silent before it counts as departed and other hosts settle its open
// requests.
const DepartedAfter = 30 * time.Second

// never is a time earlier than any reading of the clock.
const never = -1 << 60 * time.Nanosecond

// Self is a host's description of itself, sent in each heartbeat.
type Self struct {
	Name       string
	DataCentre string
	// Incarnation is the process start number. It is chosen at each start and is higher than all earlier ones.
	Incarnation uint64
	// Node is the ID of the host's node in the control log; empty for a host without a disk.
	Node quorum.NodeID
	// Revision is the revision of the configuration in force at the host.
	Revision model.Revision
	// Leader is the name of the host that the sender believes to be the leader; empty when it knows of none.
	Leader string
	// Leading is true when the sender is the leader and a majority of voters has just answered it.
	Leading bool
	// Recovered is true once the process has held a lease. Until then, the process may have forgotten a revision
	// that it had in force before a restart, so its agreement with an older revision must not be counted.
	Recovered bool
	// Stopping is true once a planned stop has begun and the host accepts no new requests.
	Stopping bool
}

// Host is what this host knows about another host.
type Host struct {
	Self
	// LastHeard is when the last heartbeat or answer of the other host arrived.
	LastHeard time.Duration
	// LastAckedSend is the send time of the latest heartbeat that the other host has answered.
	LastAckedSend time.Duration
	// LastAgreedSend is the send time of the latest heartbeat whose answer came from a recovered host with this
	// host's revision or an older one.
	LastAgreedSend time.Duration
	// LastGranted is when this host, as the leader, last granted the other host a lease by answering its heartbeat.
	LastGranted time.Duration
	// ConfirmedAt is when the other host was first known to have its Revision in force.
	ConfirmedAt time.Duration
}

// State is the table of hosts. It is immutable; its methods return changed copies.
type State struct {
	// Self describes this host.
	Self Self
	// hosts holds the other hosts that have been heard, sorted by name.
	hosts []Host
	// leaseStart is the send time of the latest heartbeat that a leader has answered with this host's revision or an
	// older one. The lease from the leader runs from this time.
	leaseStart time.Duration
}

// NewState returns the table of a host that has heard no other host.
func NewState(self Self) State { return State{Self: self, leaseStart: never} }

// WithSelf returns a copy with self as the description of this host.
func (s State) WithSelf(self Self) State {
	s.Self = self
	return s
}

// Host returns the entry of another host. If the host hasn't been heard, the result is false and all times of the entry
// are never.
func (s State) Host(name string) (Host, bool) {
	i, ok := s.index(name)
	if !ok {
		return Host{LastHeard: never, LastAckedSend: never, LastAgreedSend: never, LastGranted: never, ConfirmedAt: never}, false
	}
	return s.hosts[i], true
}

// index returns the position of a host in hosts, or where to insert it, and whether it is there.
func (s State) index(name string) (int, bool) {
	return slices.BinarySearchFunc(s.hosts, name, func(h Host, n string) int { return strings.Compare(h.Name, n) })
}

// withHost returns a copy in which host replaces the entry of the same name or is added.
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

// mergeSelf returns the entry of another host after its description of itself arrived. The result is false for a
// message of an older incarnation, which is ignored. The known revision never decreases within an incarnation.
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

// WithHeartbeat returns a copy after a heartbeat from another host arrived at now. granted is true when this host is
// the leader and therefore knows the newest revision, so that its answer grants the other host a lease.
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

// WithHeartbeatAnswer returns a copy after the answer to a heartbeat of this host arrived at now. sent is when the
// heartbeat was sent; leases run from this time, since the answer may have been made at any time after it.
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

// Alive reports whether a message of the host arrived, or a heartbeat that it has answered was sent, within the last
// Lease. This host itself is always alive.
func (s State) Alive(name string, now time.Duration) bool {
	if name == s.Self.Name {
		return true
	}
	h, ok := s.Host(name)
	return ok && now-max(h.LastHeard, h.LastAckedSend) < Lease
}

// Departed reports whether a host's process is taken to be gone: a later incarnation of the host has been heard, or
// the host has been silent for longer than DepartedAfter. For a host that was never heard, the silence is counted from
// the zero of this host's clock.
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

// Hosts returns the entries of the other hosts, sorted by name. The caller must not change the slice.
func (s State) Hosts() []Host { return s.hosts }
