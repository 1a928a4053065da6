package ctrl_test

import (
	"bytes"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// checkAll fails if what a host states isn't so, if a term has two leaders, or if a version has two contents.
func (m *replacements) checkAll() {
	m.check(m.r)
	m.recordMembers()
	m.checkRivals()
	for _, a := range m.cluster.addresses() {
		b := m.cluster.hosts[a]
		if !b.up || b.suspended {
			continue
		}
		m.checkLeader(a, b)
		m.checkContent(a, b.state.StateMachine.Document)
		m.checkControls(a, b)
	}
}

// checkLeader fails if a leader's lease rests on contact in the future, or if its term has another leader.
func (m *replacements) checkLeader(a string, b *testHost) {
	s, n := b.state, m.cluster.now-b.startedAt
	if s.Log.Role != quorum.Leader {
		return
	}
	if o, ok := m.leaders[s.Log.Hard.Term]; ok && o != s.Node {
		m.r.Fatalf("%s and %s lead term %d", o, s.Node, s.Log.Hard.Term)
	}
	m.leaders[s.Log.Hard.Term] = s.Node
	for _, p := range s.Log.Peers.All() {
		if e := s.Log.LastAcked(p); e > n {
			m.r.Fatalf("%s has contact with %s that is %v ahead of its clock", a, p, e-n)
		}
	}
}

// checkRivals fails if two leaders are ready, but for the time of a lease after the start of a host: a voter that restarts forgets the one
// that it has granted.
func (m *replacements) checkRivals() {
	var l []string
	for _, a := range m.cluster.addresses() {
		if b := m.cluster.hosts[a]; b.up && !b.suspended && b.state.Log.Ready(m.cluster.now-b.startedAt) {
			l = append(l, a)
		}
	}
	if len(l) < 2 {
		m.rivalsSince = m.cluster.now
	}
	if d := m.cluster.now - m.rivalsSince; d > m.forgotten(m.rivalsSince) {
		m.r.Fatalf("%v are ready leaders for %v", l, d)
	}
}

// forgotten returns for how long a lease may hold at a time that a voter has forgotten: that of a lease if a host started shortly before.
func (m *replacements) forgotten(at time.Duration) time.Duration {
	for _, b := range m.cluster.hosts {
		if b.startedAt > at-2*timing.Election {
			return timing.Election
		}
	}
	return 0
}

func (m *replacements) checkContent(a string, d ctrl.Document) {
	if o, ok := m.contents[d.Version]; ok && !bytes.Equal(o, d.Content) {
		m.r.Fatalf("%s holds %q as version %d, others %q", a, d.Content, d.Version, o)
	}
	m.contents[d.Version] = d.Content
}

// recordMembers records the membership at the newest commit index that a host knows.
func (m *replacements) recordMembers() {
	for _, a := range m.cluster.addresses() {
		b := m.cluster.hosts[a]
		l := b.state.Log
		if !b.up || l.PeersPending() || l.Commit <= m.committed {
			continue
		}
		m.committed = l.Commit
		if k := len(m.members); k == 0 || !slices.Equal(m.members[k-1].peers.All(), l.Peers.All()) {
			m.members = append(m.members, membership{m.cluster.now, l.Peers})
		}
	}
}

// checkControls fails if the addresses that a current host names lack the leader, or a voter that was one longer ago than the age that
// the host states. A membership that isn't known to be committed may lack the voter that it removes.
func (m *replacements) checkControls(a string, b *testHost) {
	s := b.state.At(m.cluster.now - b.startedAt)
	if !s.Current() || s.Log.PeersPending() {
		return
	}
	l := s.ControlAddresses()
	for _, v := range m.votersSince(m.cluster.now - s.Position().Age - timing.Election) {
		if !slices.Contains(l, v) {
			m.r.Fatalf("%s is current and names %v without the voter %s", a, l, v)
		}
	}
	if n := s.Log.Leader; len(m.members) > 0 && m.members[len(m.members)-1].peers.Has(n) && !slices.Contains(l, ctrl.Address(n)) {
		m.r.Fatalf("%s is current and names %v without the leader %q", a, l, n)
	}
}

// votersSince returns the addresses of the voters at a time that have been members ever since.
func (m *replacements) votersSince(t time.Duration) []string {
	k := 0
	for i, v := range m.members {
		if v.at <= t {
			k = i
		}
	}
	if len(m.members) == 0 || m.members[k].at > t {
		return nil
	}
	var r []string
	for _, v := range m.members[k].peers.Voters {
		if !slices.ContainsFunc(m.members[k:], func(w membership) bool { return !w.peers.Has(v) }) {
			r = append(r, ctrl.Address(v))
		}
	}
	return r
}
