package ctrl_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// maxModelHosts bounds the addresses of a replacement model.
const maxModelHosts = 9

// cut is a link that loses what is sent, one way. An empty address stands for all others.
type cut struct{ from, to string }

// matches reports whether a message between two hosts is lost.
func (c cut) matches(from, to string) bool {
	return from != to && (c.from == from || c.from == "") && (c.to == to || c.to == "")
}

// fault is a fault that ends at a time.
type fault struct {
	until time.Duration
	end   func()
}

// modelOrder is an order to put a version, or to read if the version is 0, that has no reply yet.
type modelOrder struct {
	call    uint64
	version int64
	sentAt  time.Duration
}

// membership is a committed membership and when it was first seen.
type membership struct {
	at    time.Duration
	peers quorum.Peers
}

// replacements is a model of control hosts that are replaced beside other faults. At most one disk is lost at a time.
type replacements struct {
	ageCheck
	r      *rapid.T
	faults []fault
	cuts   []cut
	orders []modelOrder
	// gone holds the nodes whose disk is lost or that never start again.
	gone map[quorum.NodeID]bool
	// contents holds what was seen of each version, and leaders which node led each term.
	contents map[int64][]byte
	leaders  map[uint64]quorum.NodeID
	// members holds the memberships up to the commit index committed.
	members   []membership
	committed uint64
	seeds     []string
	// rivalsSince is when there was at most one ready leader.
	rivalsSince time.Duration
	draws       uint64
	// lost and reads count the disks that were lost and the reads that were answered.
	lost, reads int
}

func newReplacements(t testing.TB, r *rapid.T, n int) *replacements {
	messageQueue = nil
	c := newCluster(t, n)
	m := &replacements{
		ageCheck: ageCheck{cluster: c}, r: r,
		gone: map[quorum.NodeID]bool{}, contents: map[int64][]byte{}, leaders: map[uint64]quorum.NodeID{}, seeds: addresses(n, 0, n),
	}
	c.seeds = func() []string { return m.seeds }
	c.each = m.eachStep
	c.blocked = func(a, b string) bool {
		return slices.ContainsFunc(m.cuts, func(k cut) bool { return k.matches(a, b) })
	}
	return m
}

// eachStep ends the faults that are due and checks all hosts.
func (m *replacements) eachStep() {
	var l []fault
	f := m.faults
	m.faults = nil
	for _, v := range f {
		if v.until > m.cluster.now {
			l = append(l, v)
			continue
		}
		v.end()
	}
	m.faults = append(m.faults, l...)
	m.collect()
	m.checkAll()
}

// send sends an order to put a version, or to read if it is 0, and doesn't wait for the reply.
func (m *replacements) send(a string, version int64, content string) {
	c := m.cluster
	c.lastCall++
	m.orders = append(m.orders, modelOrder{c.lastCall, version, c.now})
	o := ctlrpc.Order{Verb: ctlrpc.Read}
	if version > 0 {
		o = ctlrpc.Order{Verb: ctlrpc.Put, Version: version, Document: []byte(content)}
	}
	c.reduce(a, ctrl.OrderReceived{CallID: c.lastCall, Order: o})
}

// collect takes the replies of orders. A read has to return what was acknowledged before it was asked; a voter that restarts forgets
// its lease, so that it may be timing.Election older.
func (m *replacements) collect() {
	var l []modelOrder
	for _, o := range m.orders {
		r, ok := m.cluster.replies[o.call]
		switch {
		case !ok && m.cluster.now < o.sentAt+10*time.Second:
			l = append(l, o)
		case r.Status == ctlrpc.Accepted && o.version > 0:
			m.acks = append(m.acks, ack{m.cluster.now, max(o.version, m.ackedBefore(m.cluster.now+1))})
		case r.Status == ctlrpc.Accepted || r.Status == ctlrpc.Missing:
			m.reads++
			if w := m.ackedBefore(o.sentAt - m.forgotten(o.sentAt)); r.Version < w {
				m.r.Fatalf("a read that was asked at %v returns version %d of %d", o.sentAt, r.Version, w)
			}
		}
	}
	m.orders = l
}

// intn draws a number below n evenly, which rapid's own ranges don't: they prefer low ones.
func (m *replacements) intn(label string, n int) int {
	m.draws++
	k := rapid.Uint64().Draw(m.r, label)
	return rand.New(rand.NewPCG(k, m.draws)).IntN(n)
}

// host draws a host.
func (m *replacements) host(label string) string {
	return address(m.intn(label, len(m.cluster.hosts)))
}

// ms draws a duration.
func (m *replacements) ms(label string, from, to int) time.Duration {
	return time.Duration(from+m.intn(label, to-from+1)) * time.Millisecond
}

// order sends what operators send: the next version, the same one twice or with another content at two hosts, one that is overtaken or
// was sent before, and a read at another host.
func (m *replacements) order() {
	a, b := m.host("at"), m.host("other")
	n := func(v int64) string { return fmt.Sprintf("document %d", v) }
	m.send(b, 0, "")
	switch m.intn("order", 5) {
	case 0, 1:
		m.sent++
		m.send(a, m.sent, n(m.sent))
	case 2:
		m.sent++
		m.send(a, m.sent, n(m.sent))
		m.send(b, m.sent, n(m.sent)+" of another operator")
	case 3:
		m.sent += 2
		m.send(a, m.sent, n(m.sent))
		m.send(b, m.sent-1, n(m.sent-1))
	case 4:
		v := max(1, m.sent-int64(m.intn("resent", 3)))
		m.sent = max(m.sent, v)
		m.send(a, v, n(v))
	}
}

// isSound reports whether a leader is ready, all voters run and hold what is committed, and no node that is gone is a member: then a
// disk may be lost.
func (m *replacements) isSound() bool {
	l := m.cluster.leader()
	if l == "" {
		return false
	}
	s := m.cluster.hosts[l].state
	if s.Log.PeersPending() || len(s.Log.Peers.Voters) < 3 {
		return false
	}
	for _, n := range s.Log.Peers.All() {
		if m.gone[n] {
			return false
		}
	}
	for _, n := range s.Log.Peers.Voters {
		b := m.cluster.hosts[ctrl.Address(n)]
		if !b.up || b.suspended || s.Log.Match(n) < s.Log.Commit {
			return false
		}
	}
	return true
}

// kill ends the process of a host. What is on its way to it is lost.
func (m *replacements) kill(a string) {
	b := m.cluster.hosts[a]
	b.up, b.suspended, b.stalled, b.waiting = false, false, false, nil
	m.cluster.held = slices.DeleteFunc(m.cluster.held, func(q queuedMessage) bool { return q.to == a })
}

// start starts a host that was killed, unless it is gone.
func (m *replacements) start(a string) {
	if b := m.cluster.hosts[a]; !b.up && !m.gone[ctrl.Node(a, b.diskID)] {
		m.cluster.start(a)
	}
}

// lose ends a host for good with its disk. With again set, the host starts at once with an empty disk.
func (m *replacements) lose(a string, again bool) {
	m.lost++
	m.gone[ctrl.Node(a, m.cluster.hosts[a].diskID)] = true
	m.kill(a)
	if again {
		m.cluster.wipe(a)
	}
}

// add starts a host with an empty disk at a new address, and reports whether there is one.
func (m *replacements) add() bool {
	n := len(m.cluster.hosts)
	if n >= maxModelHosts {
		return false
	}
	m.cluster.hosts[address(n)] = &testHost{diskID: fmt.Sprint("successor", n)}
	m.cluster.start(address(n))
	return true
}

// endLater ends a fault after some time.
func (m *replacements) endLater(d time.Duration, end func()) {
	m.faults = append(m.faults, fault{m.cluster.now + d, end})
}

// cutOff cuts links until a time.
func (m *replacements) cutOff(d time.Duration, l ...cut) {
	m.cuts = append(m.cuts, l...)
	m.endLater(d, func() {
		m.cuts = slices.DeleteFunc(m.cuts, func(k cut) bool { return slices.Contains(l, k) })
	})
}

// reorder changes the order of messages: each connection, and each call on one, has its own.
func reorder[T any](seed int) func([]T) {
	return func(q []T) {
		switch seed % 3 {
		case 1:
			slices.Reverse(q)
		case 2:
			for i := range q {
				j := (i*7919 + seed) % len(q)
				q[i], q[j] = q[j], q[i]
			}
		}
	}
}

// suspend stops the process of a host for a time.
func (m *replacements) suspend(a string, d time.Duration, seed int) {
	b := m.cluster.hosts[a]
	if !b.up || b.suspended {
		return
	}
	b.suspended = true
	m.endLater(d, func() {
		if !b.suspended || m.cluster.hosts[a] != b {
			return
		}
		reorder[quorum.Message](seed)(b.waiting)
		m.cluster.resume(a, m.checkAll)
	})
}

// disrupt begins a fault, which may overlap with others.
func (m *replacements) disrupt() {
	a, o := m.host("host"), m.host("peer")
	d := m.ms("ms", 50, 5000)
	k := m.intn("reorder", 9)
	switch m.intn("what", 14) {
	case 0:
		m.kill(a)
		m.endLater(d, func() { m.start(a) })
	case 1:
		m.cutOff(d, cut{from: a})
	case 2:
		m.cutOff(d, cut{to: a})
	case 3:
		m.cutOff(d, cut{from: a}, cut{to: a})
	case 4:
		m.cutOff(d, cut{a, o}, cut{o, a})
	case 5:
		m.suspend(a, d, k)
	case 6:
		m.stall(a, d)
	case 7:
		m.delay(a, d, k)
	case 8:
		m.killAll(a, m.intn("disk lost", 2) == 0)
	case 9:
		if m.isSound() {
			m.lose(a, true)
		}
	case 10, 11:
		m.replace(a, d, k)
	case 12, 13:
		m.restartLeader(a, k)
	}
}

// restartLeader restarts the leader while another host is suspended with messages of it.
func (m *replacements) restartLeader(a string, seed int) {
	l := m.cluster.leader()
	if l == "" || l == a {
		return
	}
	m.suspend(a, m.ms("suspended ms", 1000, 4000), seed)
	m.cluster.run(m.ms("before ms", 100, 500))
	m.kill(l)
	m.start(l)
}

func (m *replacements) stall(a string, d time.Duration) {
	b := m.cluster.hosts[a]
	b.stalled = b.up
	m.endLater(d, func() {
		if b.stalled && b.up && m.cluster.hosts[a] == b {
			b.stalled = false
			m.cluster.flush(a)
		}
	})
}

// delay keeps what is sent from or to a host on its way for a time.
func (m *replacements) delay(a string, d time.Duration, seed int) {
	if m.cluster.delayed != nil {
		return
	}
	m.cluster.delayed = func(from, to string) bool { return from == a || to == a }
	m.endLater(d, func() { m.cluster.release(reorder[queuedMessage](seed)) })
}

// killAll ends all processes at once and starts them again, one of them without its disk if the others may lose it.
func (m *replacements) killAll(a string, diskLost bool) {
	diskLost = diskLost && m.isSound()
	l := m.cluster.addresses()
	for _, x := range l {
		m.kill(x)
	}
	if diskLost {
		m.lose(a, true)
	}
	for _, x := range l {
		m.endLater(m.ms("start ms", 0, 300), func() { m.start(x) })
	}
}

// replace adds a host at a new address. After a while the old one ends for good, as planned or not, or is suspended or cut off for as
// long as it takes to remove it, and goes on.
func (m *replacements) replace(a string, d time.Duration, seed int) {
	if !m.cluster.hosts[a].up || !m.add() {
		return
	}
	m.cluster.run(d)
	m.updateSeeds()
	l := m.ms("removed ms", 2000, 12000)
	switch m.intn("end", 4) {
	case 0:
		m.suspend(a, l, seed)
	case 1:
		m.cutOff(l, cut{from: a}, cut{to: a})
	case 2:
		if m.isSound() {
			m.lose(a, false)
		}
	case 3:
		if m.isSound() && !m.cluster.hosts[a].suspended {
			m.cluster.stop(a)
			m.lose(a, false)
		}
	}
	m.updateSeeds()
}

// updateSeeds writes the hosts that run into the settings.
func (m *replacements) updateSeeds() {
	m.seeds = nil
	for _, a := range m.cluster.addresses() {
		if m.cluster.hosts[a].up {
			m.seeds = append(m.seeds, a)
		}
	}
}

// recover ends all faults and checks that all hosts hold what was acknowledged, and that another version comes.
func (m *replacements) recover() {
	c := m.cluster
	f := m.faults
	m.faults = nil
	for _, v := range f {
		v.end()
	}
	m.cuts = nil
	for _, a := range c.addresses() {
		m.start(a)
	}
	m.updateSeeds()
	c.run(15 * time.Second)
	w := m.ackedBefore(c.now)
	m.sent++
	if r := c.put(m.seeds[0], m.sent); r.Status != ctlrpc.Accepted {
		m.fail("version %d is answered with %v", m.sent, r.Status)
	}
	c.run(time.Second)
	for _, a := range m.seeds {
		b := c.hosts[a]
		if !b.state.Current() || b.state.StateMachine.Document.Version < max(w, m.sent) {
			m.fail("%s holds version %d of %d in the end", a, b.state.StateMachine.Document.Version, max(w, m.sent))
		}
	}
}

// fail ends the case with the state of all hosts.
func (m *replacements) fail(format string, args ...any) {
	for _, a := range slices.Sorted(slices.Values(m.cluster.addresses())) {
		s := m.cluster.hosts[a].state
		m.r.Logf("%s: up %t, %s in term %d, leader %q, commit %d, last %d, peers %v", s.Node, m.cluster.hosts[a].up, s.Log.Role, s.Log.Hard.Term, s.Log.Leader, s.Log.Commit, s.Log.LastIndex(), s.Log.Peers)
	}
	m.r.Fatalf(format, args...)
}

// Guards against acknowledged configurations that are lost, hosts that count as current though they aren't or name others than the
// members of the log, reads that are old, and two leaders of a term, while control hosts are replaced at new addresses, wiped, removed
// while they run, suspended, cut off, and killed together, and operators race and resend.
func TestReplacedHostsHoldWhatTheySay(t *testing.T) {
	var lost, reads, acks, current int
	rapid.Check(t, func(r *rapid.T) {
		m := newReplacements(t, r, 3+int(rapid.Uint64().Draw(r, "hosts")%2))
		m.cluster.run(2 * time.Second)
		for range 3 + m.intn("steps", 6) {
			m.disrupt()
			for range m.intn("orders", 4) {
				m.order()
				m.cluster.run(m.ms("pause ms", 5, 400))
			}
			m.cluster.run(m.ms("rest ms", 5, 2500))
		}
		m.recover()
		lost, reads, acks, current = lost+m.lost, reads+m.reads, acks+len(m.acks), current+m.current
	})
	t.Logf("%d lost disks, %d acknowledged orders, %d reads, %d checks of current hosts", lost, acks, reads, current)
}
