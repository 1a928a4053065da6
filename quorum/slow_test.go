package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	// slowTick is the interval of ticks in a slowNetwork.
	slowTick = 5 * time.Millisecond
	// ackBound is the time of calm after which a valid change has to be acknowledged, from the stated target.
	ackBound = 6 * time.Second
)

// deployedTiming holds the timeouts of the product.
var deployedTiming = quorum.Timing{Heartbeat: 120 * time.Millisecond, Election: 600 * time.Millisecond}

// delayed is a message on its way.
type delayed struct {
	at      time.Duration
	message quorum.Message
}

// slowNetwork runs nodes that are all up and connected. Messages, with the sync before them, take a time.
type slowNetwork struct {
	nodes   map[quorum.NodeID]quorum.State
	ids     []quorum.NodeID
	now     time.Duration
	pending []delayed
	// persisted holds what is synced later.
	persisted []delayedSync
	random    *rand.Rand
	// delay returns how long a message takes.
	delay func(m quorum.Message) time.Duration
	// stopped reports whether a node doesn't run. What is sent to it waits.
	stopped func(id quorum.NodeID) bool
	// messages counts those that were sent.
	messages int
	// tickEvery is the interval of ticks, or 0 for slowTick.
	tickEvery time.Duration
	// clock returns what the clock of a node shows.
	clock func(id quorum.NodeID) time.Duration
}

// delayedSync is a write of entries on its way to a node's disk.
type delayedSync struct {
	at time.Duration
	id quorum.NodeID
	quorum.Persisted
}

func newSlowNetwork(voters int, seed uint64) *slowNetwork {
	n := &slowNetwork{nodes: map[quorum.NodeID]quorum.State{}, random: rand.New(rand.NewPCG(seed, 1))}
	n.delay = func(quorum.Message) time.Duration { return time.Millisecond }
	n.stopped = func(quorum.NodeID) bool { return false }
	n.clock = func(quorum.NodeID) time.Duration { return n.now }
	for k := range voters {
		n.ids = append(n.ids, quorum.NodeID(fmt.Sprint("n", k)))
	}
	s := quorum.Snapshot{Index: 1, Term: 1, Peers: quorum.Peers{Voters: n.ids}}
	for k, i := range n.ids {
		n.nodes[i] = quorum.New(i, deployedTiming, quorum.HardState{Term: 1}, s, nil, seed*100+uint64(k))
	}
	return n
}

// between returns a delay of messages that is drawn evenly.
func (n *slowNetwork) between(a, b time.Duration) func(quorum.Message) time.Duration {
	return func(quorum.Message) time.Duration { return a + time.Duration(n.random.Int64N(int64(b-a)+1)) }
}

// step runs an input on a node and sends its messages.
func (n *slowNetwork) step(id quorum.NodeID, i quorum.Input) quorum.Output {
	s, o := quorum.Step(n.nodes[id], n.clock(id), i)
	n.nodes[id] = s
	for _, m := range o.Messages {
		n.messages++
		n.pending = append(n.pending, delayed{n.now + n.delay(m), m})
	}
	if k := len(o.Persist.Entries); k > 0 {
		e := o.Persist.Entries[k-1]
		n.persisted = append(n.persisted, delayedSync{n.now + time.Millisecond, id, quorum.Persisted{Index: e.Index, Term: e.Term}})
	}
	return o
}

// run runs all nodes for some time. each is called after each step.
func (n *slowNetwork) run(d time.Duration, each func()) {
	for e := n.now + d; n.now < e; n.now += slowTick {
		p := n.pending
		n.pending = nil
		for _, m := range p {
			if m.at > n.now || n.stopped(m.message.To) {
				n.pending = append(n.pending, m)
				continue
			}
			n.step(m.message.To, quorum.Receive{Message: m.message})
		}
		q := n.persisted
		n.persisted = nil
		for _, s := range q {
			if s.at > n.now || n.stopped(s.id) {
				n.persisted = append(n.persisted, s)
				continue
			}
			n.step(s.id, s.Persisted)
		}
		for _, i := range n.ids {
			if !n.stopped(i) && n.now%max(n.tickEvery, slowTick) == 0 {
				n.step(i, quorum.Tick{})
			}
		}
		if each != nil {
			each()
		}
	}
}

// leader returns a node that leads and is ready, or nothing.
func (n *slowNetwork) leader() quorum.NodeID {
	for _, i := range n.ids {
		if n.nodes[i].Ready(n.now) {
			return i
		}
	}
	return ""
}

// highestTerm returns the highest term of all nodes.
func (n *slowNetwork) highestTerm() uint64 {
	var r uint64
	for _, s := range n.nodes {
		r = max(r, s.Hard.Term)
	}
	return r
}

// Guards against campaigns that end before the votes come: control hosts short of processor time, all of them up and
// connected, had no leader for 22 s, with another term each 0.7 s.
func TestLeaderIsElectedThoughVotesTakeLong(t *testing.T) {
	for _, d := range []time.Duration{50, 100, 150, 200, 250} {
		t.Run((2 * d * time.Millisecond).String(), func(t *testing.T) {
			i := is.New(t)
			late, worst := 0, time.Duration(0)
			for s := range uint64(40) {
				n := newSlowNetwork(5, s+1)
				n.delay = n.between(d*time.Millisecond*8/10, d*time.Millisecond)
				first := time.Duration(0)
				n.run(ackBound, func() {
					if first == 0 && n.leader() != "" {
						first = n.now
					}
				})
				if first == 0 {
					late++
					continue
				}
				worst = max(worst, first)
			}
			t.Logf("%d of 40 without a leader in %v, the others within %v", late, ackBound, worst)
			i.Equal(late, 0)
		})
	}
}

// Guards against a sound leader that steps down since answers came late once, which made all hosts and callers look for
// another one: it can't be sure of its lead for that time, but is the one who gets it back soonest.
func TestLeaderWhoseAnswersAreLateOnceKeepsLeading(t *testing.T) {
	i := is.New(t)
	for s := range uint64(40) {
		n := newSlowNetwork(5, s+1)
		n.run(3*time.Second, nil)
		l, h := n.leader(), n.highestTerm()
		i.True(l != "")
		b := n.now
		n.delay = func(m quorum.Message) time.Duration {
			if m.Kind == quorum.AppendReply && n.now < b+500*time.Millisecond {
				return b + 900*time.Millisecond - n.now // the answers come together
			}
			return time.Millisecond
		}
		n.run(3*time.Second, func() { i.True(n.leader() == "" || n.leader() == l) })
		i.Equal(n.leader(), l)
		i.Equal(n.highestTerm(), h) // no election
	}
}

// Guards against a leader that answers as one after its lease, while it waits for answers to get it back.
func TestLeaderThatWaitsForAnswersHasNoLease(t *testing.T) {
	i := is.New(t)
	n := newSlowNetwork(5, 1)
	n.run(3*time.Second, nil)
	l := n.leader()
	n.stopped = func(id quorum.NodeID) bool { return id != l }
	n.run(deployedTiming.Election+deployedTiming.Heartbeat, nil)
	i.Equal(n.leader(), quorum.NodeID(""))
	n.run(2*deployedTiming.Election, nil)
	i.True(n.nodes[l].Role != quorum.Leader) // it gives up in the end
}

// Guards against elections that make more messages the longer they fail.
func TestFailedCampaignsMakeFewMessages(t *testing.T) {
	i := is.New(t)
	n := newSlowNetwork(5, 1)
	n.run(3*time.Second, nil)
	n.stopped = func(id quorum.NodeID) bool { return !slices.Contains(n.ids[:2], id) } // no majority
	n.run(5*time.Second, nil)
	b := n.messages
	n.run(10*time.Second, nil)
	t.Logf("%d messages in 10 s", n.messages-b)
	i.True(n.messages-b <= 2*4*10*2) // each of two nodes asks four others, twice a second at most
}

// Guards against nodes that never campaign since all their ticks are late, as if they had only just begun to run again.
func TestLeaderIsElectedThoughTicksAreLate(t *testing.T) {
	i := is.New(t)
	for s := range uint64(40) {
		n := newSlowNetwork(5, s+1)
		n.tickEvery = 3 * deployedTiming.Heartbeat / 2
		n.run(ackBound, nil)
		i.True(n.leader() != "")
	}
}

// Guards against a node that didn't run for a while and campaigns before it has received what its leader sent meanwhile.
func TestNodeThatRunsAgainHearsItsLeaderFirst(t *testing.T) {
	i := is.New(t)
	for s := range uint64(40) {
		n := newSlowNetwork(5, s+1)
		n.run(3*time.Second, nil)
		l, k := n.leader(), n.ids[0]
		if k == l {
			k = n.ids[1]
		}
		n.stopped = func(id quorum.NodeID) bool { return id == k }
		n.run(3*time.Second, nil)
		n.stopped = func(quorum.NodeID) bool { return false }
		n.step(k, quorum.Tick{}) // before the messages that wait
		i.Equal(n.nodes[k].Role, quorum.Follower)
		n.run(time.Second, func() { i.Equal(n.nodes[k].Role, quorum.Follower) })
		i.Equal(n.nodes[k].Leader, l)
	}
}

// Guards against a leader that has stepped down and whose messages, which waited on their way, hold back the next election: control
// hosts that took them for those of a present leader refused pre-votes and put off their own campaigns.
func TestOldMessagesOfFormerLeaderHoldBackNoElection(t *testing.T) {
	const standTime = 3 * time.Second
	for _, v := range []int{3, 5} {
		t.Run(fmt.Sprint(v, " voters"), func(t *testing.T) {
			i := is.New(t)
			w := time.Duration(0)
			for s := range uint64(40) {
				n := newSlowNetwork(v, s+1)
				n.run(3*time.Second, nil)
				e := n.now + standTime
				n.delay = func(quorum.Message) time.Duration { return max(time.Millisecond, e-n.now) } // links stand, then deliver all
				n.run(standTime, nil)
				i.Equal(n.leader(), quorum.NodeID(""))
				n.run(ackBound, func() {
					if n.leader() == "" {
						w = max(w, n.now-e)
					}
				})
				i.True(n.leader() != "")
			}
			t.Log("longest time without a leader once the links deliver again:", w)
			i.True(w < deployedTiming.Election)
		})
	}
}

// Guards against a node that votes for another leader before the lease ends that its answer to a late message extends, and against
// one that refuses its vote for longer.
func TestPromiseToLeaderHoldsFromTheSending(t *testing.T) {
	const (
		first, second = 10 * time.Second, 13 * time.Second // when the leader sends
		origin        = 4 * time.Second                    // of the leader's clock
	)
	p := quorum.Snapshot{Index: 1, Term: 1, Peers: quorum.Peers{Voters: []quorum.NodeID{"a", "b", "c"}}}
	for _, d := range []time.Duration{0, time.Millisecond, 300 * time.Millisecond, 590 * time.Millisecond, 2 * time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			i := is.New(t)
			s := quorum.New("a", deployedTiming, quorum.HardState{Term: 1}, p, nil, 1)
			hear := func(at, delay time.Duration) {
				m := quorum.Message{Kind: quorum.Append, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1, Stamp: at - origin}
				s, _ = quorum.Step(s, at+delay, quorum.Receive{Message: m})
			}
			grants := func(at time.Duration) bool {
				m := quorum.Message{Kind: quorum.Vote, From: "c", To: "a", Term: 3, Index: 1, LogTerm: 1}
				_, o := quorum.Step(s, at, quorum.Receive{Message: m})
				return !o.Messages[0].Reject
			}
			hear(first, time.Millisecond)
			hear(second, d)
			e := max(second+deployedTiming.Election, second+d)
			if d < deployedTiming.Election {
				i.True(!grants(e - time.Millisecond))
			}
			i.True(grants(e + 5*time.Millisecond)) // the first message was late too, and clocks may differ
		})
	}
}

// Guards against a node that takes the messages of a leader for older than they are, and votes for another one within the lease that its
// answers extend: the leader's machine was held up by its hypervisor, which no clock of that machine shows, while it kept its lead.
func TestPromiseToLeaderHoldsThoughItsClockStood(t *testing.T) {
	const (
		first  = 10 * time.Second // when the first message is sent
		pause  = 400 * time.Millisecond
		origin = 4 * time.Second // of the leader's clock
	)
	i := is.New(t)
	p := quorum.Snapshot{Index: 1, Term: 1, Peers: quorum.Peers{Voters: []quorum.NodeID{"a", "b", "c"}}}
	s := quorum.New("a", deployedTiming, quorum.HardState{Term: 1}, p, nil, 1)
	reply := -time.Nanosecond // the leader has none
	hear := func(at, stamp time.Duration) {
		m := quorum.Message{Kind: quorum.Append, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1, Stamp: stamp, ReplyStamp: reply}
		var o quorum.Output
		s, o = quorum.Step(s, at, quorum.Receive{Message: m})
		reply = o.Messages[0].ReplyStamp
	}
	sent, stood := first, time.Duration(0)
	for range 40 { // in 4.8 s the clock stands twice
		hear(sent+time.Millisecond, sent-stood-origin)
		if sent == first+10*deployedTiming.Heartbeat || sent == first+20*deployedTiming.Heartbeat {
			sent, stood = sent+pause, stood+pause
		}
		sent += deployedTiming.Heartbeat
	}
	sent -= deployedTiming.Heartbeat // the last message
	m := quorum.Message{Kind: quorum.Vote, From: "c", To: "a", Term: 3, Index: 1, LogTerm: 1}
	_, o := quorum.Step(s, sent+deployedTiming.Election/2, quorum.Receive{Message: m})
	i.True(o.Messages[0].Reject) // the leader's lease lasts for another half of Timing.Election
}
