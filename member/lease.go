package member

import (
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
)

//go:generate go tool stringer -type=Standing -linecomment -output=enum_string.go

// Standing is the extent to which a host may accept new requests, given the leases that it holds.
type Standing int

// Standings of a host.
const (
	// Isolated means that the host holds no lease and must refuse new requests.
	Isolated Standing = iota // isolated
	// CutOff means that the host holds a lease from a majority of its data centre but none from the leader.
	// Whether it may accept a request depends on the contract.
	CutOff // cut-off
	// Connected means that the host leads or holds a lease from the leader: within the last Lease it sent a
	// heartbeat that the leader answered, and it has the leader's revision.
	Connected // connected
)

// Standing returns this host's standing under the configuration. A leader needs no lease from another host, since a
// majority of voters has just answered it.
func (s State) Standing(config model.Config, now time.Duration) Standing {
	if s.Self.Leading || now < s.leaseStart+Lease {
		return Connected
	}
	m, ok := config.Member(s.Self.Name)
	if !ok {
		return Isolated
	}
	if now < s.majorityAgreedSince(config.MembersIn(m.DataCentre), now)+Lease {
		return CutOff
	}
	return Isolated
}

// majorityAgreedSince returns the latest time since which a majority of the members is known to have no newer revision
// than this host. This host counts itself as agreed now, except before it has recovered from a restart: it may have
// forgotten a newer revision until then. members must not be empty.
func (s State) majorityAgreedSince(members []model.Member, now time.Duration) time.Duration {
	var t []time.Duration
	for _, m := range members {
		h, _ := s.Host(m.Name)
		if m.Name == s.Self.Name && s.Self.Recovered {
			h.LastAgreedSend = now
		}
		t = append(t, h.LastAgreedSend)
	}
	slices.Sort(t)
	return t[(len(t)-1)/2]
}

// Pending returns the data centres in which a host may still act on a revision older than the given one. The result is
// valid only on the leader; elected is the time of its election.
func (s State) Pending(config model.Config, revision model.Revision, elected, now time.Duration) []string {
	var r []string
	for _, d := range config.DataCentres() {
		if !s.inForce(config.MembersIn(d), revision, elected, now) {
			r = append(r, d)
		}
	}
	return r
}

// inForce reports whether no member of a data centre can act on a revision older than the given one. Each member must
// either have confirmed the revision, or its leases from the leader and from a majority of its data centre must have
// expired. Once fewer than a majority of the members lack the revision, a member can't renew its lease from a majority
// without getting the revision, so the last such lease expires one Lease after the latest confirmation.
func (s State) inForce(members []model.Member, revision model.Revision, elected, now time.Duration) bool {
	var u []model.Member
	c := never
	for _, m := range members {
		t, ok := s.confirmedAt(m.Name, revision)
		if !ok {
			u = append(u, m)
			continue
		}
		c = max(c, t)
	}
	if len(u) == 0 {
		return true
	}
	if len(u) >= len(members)/2+1 || now < c+Lease {
		return false
	}
	return !slices.ContainsFunc(u, func(m model.Member) bool {
		h, _ := s.Host(m.Name)
		return now < max(h.LastGranted, elected)+Lease
	})
}

// confirmedAt returns when a host was first known to have its latest revision in force, and whether that revision is
// at least the given one. For this host the time is never, since it needs no confirmation.
func (s State) confirmedAt(name string, revision model.Revision) (time.Duration, bool) {
	if name == s.Self.Name {
		return never, s.Self.Revision >= revision
	}
	h, ok := s.Host(name)
	return h.ConfirmedAt, ok && h.Revision >= revision
}
