package member

import (
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
)

//go:generate go tool stringer -type=Standing -linecomment -output=enum_string.go

// Standing says which requests a host may take.
type Standing int

// Standings of a host.
const (
	// Isolated hosts take no new requests.
	Isolated Standing = iota // isolated
	// CutOff hosts serve with their data centre but without the control quorum.
	CutOff // cut-off
	// Connected hosts have asked the control quorum within the lease.
	Connected // connected
)

// Standing returns what this host may do. A host that leads needs no other to confirm its revision.
func (s State) Standing(config model.Config, now time.Duration) Standing {
	if s.Self.Leading || now < s.leased+Lease {
		return Connected
	}
	m, ok := config.Member(s.Self.Name)
	if !ok {
		return Isolated
	}
	if now < s.majorityAgreed(config.MembersIn(m.DataCentre), now)+Lease {
		return CutOff
	}
	return Isolated
}

// majorityAgreed returns the newest time since which a majority of the members has agreed. A host that
// hasn't recovered doesn't count itself, since it may have forgotten a newer revision.
func (s State) majorityAgreed(members []model.Member, now time.Duration) time.Duration {
	var t []time.Duration
	for _, m := range members {
		h, _ := s.Host(m.Name)
		if m.Name == s.Self.Name && s.Self.Recovered {
			h.Agreed = now
		}
		t = append(t, h.Agreed)
	}
	slices.Sort(t)
	return t[(len(t)-1)/2]
}

// Pending returns the data centres in which a host may still act on a revision older than the given one.
// Only a leader may ask; elected is when it was elected.
func (s State) Pending(config model.Config, revision model.Revision, elected, now time.Duration) []string {
	var r []string
	for _, d := range config.DataCentres() {
		if !s.inForce(config.MembersIn(d), revision, elected, now) {
			r = append(r, d)
		}
	}
	return r
}

// inForce reports whether no member of a data centre can act on an older revision: each has confirmed it,
// or its leases from the leader and from a majority of its data centre have run out. A majority's lease
// can't be renewed without the revision once fewer than a majority of the members lack it.
func (s State) inForce(members []model.Member, revision model.Revision, elected, now time.Duration) bool {
	var u []model.Member
	c := never
	for _, m := range members {
		t, ok := s.confirmed(m.Name, revision)
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
		return now < max(h.Granted, elected)+Lease
	})
}

// confirmed returns when a host confirmed the revision.
func (s State) confirmed(name string, revision model.Revision) (time.Duration, bool) {
	if name == s.Self.Name {
		return never, s.Self.Revision >= revision
	}
	h, ok := s.Host(name)
	return h.Confirmed, ok && h.Revision >= revision
}
