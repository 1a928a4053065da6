package quorum_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// sentAppends returns the Appends that a node has sent last.
func (n *network) sentAppends(id quorum.NodeID) []quorum.Message {
	var r []quorum.Message
	for _, o := range n.nodes[id].unsynced {
		for _, m := range o.Messages {
			if m.Kind == quorum.Append {
				r = append(r, m)
			}
		}
	}
	return r
}

// Guards against followers that take a leader's commit index for all that is committed while the leader has no lease.
func TestLeaderWithoutLeaseSaysSo(t *testing.T) {
	i := is.New(t)
	n := newNetwork(3)
	n.runWithoutFaults(3 * time.Second)
	l := n.leaders[slices.Max(terms(n))]
	n.step(l, quorum.Propose{Data: []byte("a")})
	a := n.sentAppends(l)
	i.Equal(len(a), 2)
	for _, m := range a {
		i.True(!m.Unready)
	}
	n.nodes[l].unsynced = nil
	n.now += timing.Election + timing.Heartbeat // no answer comes
	n.step(l, quorum.Tick{})
	a = n.sentAppends(l)
	i.Equal(len(a), 2)
	for _, m := range a {
		i.True(m.Unready)
	}
}

// ageOf returns the time since a node last knew that it held all committed entries.
func (n *slowNetwork) ageOf(id quorum.NodeID) time.Duration {
	a, ok := n.nodes[id].HeldAt()
	if !ok {
		return n.clock(id)
	}
	return n.clock(id) - a
}

// follower returns a node that doesn't lead.
func (n *slowNetwork) follower() quorum.NodeID {
	for _, i := range n.ids {
		if i != n.leader() {
			return i
		}
	}
	return ""
}

// Guards against sound followers that call what they hold old, which sends hundreds of hosts to other control hosts: while a
// leader's lease holds without a break, the age stays below Timing.Election and a heartbeat.
func TestFollowersAgeIsLowWhileTheLeaseHolds(t *testing.T) {
	for _, d := range []time.Duration{1, 50, 100, 150, 200, 230} {
		t.Run((2 * d * time.Millisecond).String(), func(t *testing.T) {
			i := is.New(t)
			n := newSlowNetwork(5, 1)
			n.delay = n.between(d*time.Millisecond*8/10, d*time.Millisecond)
			n.run(2*ackBound, nil)
			w := time.Duration(0)
			n.run(10*time.Second, func() {
				l := n.leader()
				i.True(l != "")
				for _, f := range n.ids {
					if f != l {
						w = max(w, n.ageOf(f))
					}
				}
			})
			t.Log("highest age", w)
			i.True(w < deployedTiming.Election+deployedTiming.Heartbeat)
		})
	}
}

// Guards against a follower that calls what it holds old since its answers, which wait for its disk, are slow.
func TestFollowersAgeIsLowWhileItsAnswersAreSlow(t *testing.T) {
	i := is.New(t)
	n := newSlowNetwork(3, 1)
	n.run(3*time.Second, nil)
	f := n.follower()
	n.delay = func(m quorum.Message) time.Duration {
		if m.Kind == quorum.AppendReply && m.From == f {
			return 2 * time.Second
		}
		return time.Millisecond
	}
	n.run(10*time.Second, func() { i.True(n.ageOf(f) < deployedTiming.Election+deployedTiming.Heartbeat) })
}

// Guards against messages that are old and are taken for new ones, as the clocks of leader and follower don't run alike.
func TestOldMessagesAreOldThoughClocksDiffer(t *testing.T) {
	for _, d := range []time.Duration{-2000, 2000} { // the largest difference of two clocks that are adjusted by 500 ppm is 1 in 1,000
		t.Run(fmt.Sprint("1 in ", int(d)), func(t *testing.T) {
			i := is.New(t)
			n := newSlowNetwork(3, 1)
			n.run(3*time.Second, nil)
			f, b := n.follower(), n.now
			n.clock = func(id quorum.NodeID) time.Duration {
				if id == f {
					return n.now + (n.now-b)/d
				}
				return n.now
			}
			n.run(2*time.Minute, nil)
			n.stopped = func(id quorum.NodeID) bool { return id == f }
			n.run(2*time.Second, nil)
			k := 0
			for _, m := range n.pending {
				if m.message.To == f && m.message.Kind == quorum.Append {
					n.step(f, quorum.Receive{Message: m.message})
					i.True(n.ageOf(f) > n.now-m.at-20*time.Millisecond) // clocks differ by 1 ms in 2 s
					k++
				}
			}
			i.True(k >= 10) // heartbeats of 2 s
			n.stopped = func(quorum.NodeID) bool { return false }
			n.run(time.Second, nil)
			i.True(n.ageOf(f) < deployedTiming.Election)
		})
	}
}

// Guards against a follower that returns the stamp of an earlier term in its current one, where the leader takes it for contact.
func TestAnswerToEarlierTermBearsNoStamp(t *testing.T) {
	i := is.New(t)
	n := newNetwork(3)
	n.runWithoutFaults(3 * time.Second)
	l := n.leaders[slices.Max(terms(n))]
	f := n.otherThan(l)
	n.nodes[f].unsynced = nil
	m := quorum.Message{Kind: quorum.Append, From: l, To: f, Term: n.nodes[f].state.Hard.Term - 1, Stamp: time.Second}
	n.step(f, quorum.Receive{Message: m})
	i.Equal(len(n.nodes[f].unsynced), 1)
	r := n.nodes[f].unsynced[0].Messages
	i.Equal(len(r), 1)
	i.True(r[0].Reject)
	i.True(r[0].Stamp < 0)
}

// Guards against a leader without contact that has a lease by the answer of an older build to a message of an earlier start, whose
// stamp is in the future of this start.
func TestLeaderHasNoLeaseByStampsItHasntSent(t *testing.T) {
	i := is.New(t)
	n := newNetwork(3)
	n.runWithoutFaults(3 * time.Second)
	l := n.leaders[slices.Max(terms(n))]
	m := quorum.Message{Kind: quorum.AppendReply, From: n.otherThan(l), To: l, Term: n.nodes[l].state.Hard.Term, Reject: true, Index: 1, Stamp: time.Hour}
	n.step(l, quorum.Receive{Message: m})
	n.now += timing.Election
	i.True(!n.nodes[l].state.HasLease(n.now))
}

// otherThan returns a node other than the given one.
func (n *network) otherThan(id quorum.NodeID) quorum.NodeID {
	for _, i := range n.ids {
		if i != id {
			return i
		}
	}
	return ""
}
