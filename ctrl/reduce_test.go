package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

func TestSeedsFoundTheLogAndOthersJoin(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.boxes[address(3)] = &box{disk: "late"}
	c.start(address(3))
	c.run(4 * time.Second)
	i.True(c.leader() != "")
	n := ctrl.Node(address(3), "late")
	i.Equal(c.boxes[c.leader()].state.Log.Peers.Learners, []quorum.NodeID{n}) // an even number of voters bears no more losses
	i.Equal(c.put(address(3), 1).Status, ctlrpc.Accepted)
	for k := range 4 {
		r := c.ask(address(k), ctlrpc.Order{Verb: ctlrpc.Read})
		i.Equal(r.Status, ctlrpc.Accepted)
		i.Equal(string(r.Document), "document 1")
	}
	c.kill(address(0))
	c.run(12 * time.Second)
	p := c.boxes[c.leader()].state.Log.Peers
	i.True(p.IsVoter(n)) // in the place of the one that was lost
	i.Equal(len(p.Voters), 3)
}

// Where four hosts are split in halves, one half has two of three voters and goes on.
func TestHalfOfFourHostsDecides(t *testing.T) {
	for _, h := range [][2]int{{0, 1}, {0, 2}, {0, 3}} {
		i := is.New(t)
		queue = nil
		c := newCluster(t, 4)
		c.run(2 * time.Second)
		i.Equal(c.put(address(0), 1).Status, ctlrpc.Accepted)
		g := func(a string) bool { return a == address(h[0]) || a == address(h[1]) }
		c.cut = func(a, b string) bool { return g(a) != g(b) }
		c.run(3 * time.Second)
		n := 0
		for k := range 4 {
			if c.put(address(k), 2).Status == ctlrpc.Accepted {
				n++
			}
		}
		i.Equal(n, 2) // hosts of one half
		c.cut = func(string, string) bool { return false }
		c.run(2 * time.Second)
		for k := range 4 {
			i.Equal(string(c.ask(address(k), ctlrpc.Order{Verb: ctlrpc.Read}).Document), "document 2")
		}
		i.Equal(len(c.boxes[c.leader()].state.Log.Peers.Voters), 3)
	}
}

func TestHighestVersionWins(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	i.Equal(c.put(address(0), 7).Status, ctlrpc.Accepted)
	i.Equal(c.put(address(1), 7).Status, ctlrpc.Accepted) // sent again
	r := c.ask(address(2), ctlrpc.Order{Verb: ctlrpc.Put, Version: 7, Document: []byte("other content")})
	i.Equal(r.Status, ctlrpc.Accepted)
	i.Equal(c.put(address(1), 3).Status, ctlrpc.Accepted) // overtaken
	i.Equal(string(c.ask(address(0), ctlrpc.Order{Verb: ctlrpc.Read}).Document), "document 7")
}

// A leader that is cut off from the other control hosts neither answers reads nor counts as current.
func TestCutLeaderAnswersNothing(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	i.Equal(c.put(address(0), 1).Status, ctlrpc.Accepted)
	o := c.leader()
	c.cut = func(a, b string) bool { return a == o || b == o }
	c.run(2500 * time.Millisecond)
	i.True(c.leader() != o)
	i.True(c.leader() != "")
	i.Equal(c.put(c.leader(), 2).Status, ctlrpc.Accepted)
	i.Equal(c.ask(o, ctlrpc.Order{Verb: ctlrpc.Read}).Status, ctlrpc.Unavailable)
	i.True(!c.boxes[o].state.Current())
	i.True(c.boxes[c.leader()].state.Current())
	c.cut = func(string, string) bool { return false }
	c.run(2 * time.Second)
	i.Equal(c.ask(o, ctlrpc.Order{Verb: ctlrpc.Read}).Version, int64(2))
	i.True(c.boxes[o].state.Current())
}

// A host that lost its disk is replaced by its new self within the time to catch up, so that another loss
// at the end of it loses nothing.
func TestWipedVoterIsReplacedBeforeTheNextLoss(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	i.Equal(c.put(address(0), 5).Status, ctlrpc.Accepted)
	w := c.leader() // the worst: the host that has just acknowledged
	c.wipe(w)
	c.run(4 * time.Second)
	l := c.leader()
	i.True(l != "")
	p := c.boxes[l].state.Log.Peers
	i.Equal(len(p.Voters), 3)
	i.True(!p.Has(ctrl.Node(w, "founder")))
	for a := range c.boxes {
		if a != w {
			c.wipe(a)
			break
		}
	}
	c.run(4 * time.Second)
	i.Equal(string(c.ask(w, ctlrpc.Order{Verb: ctlrpc.Read}).Document), "document 5")
}

// The two that are left while a lost host catches up both go on voting.
func TestTwoVotersAreNotReduced(t *testing.T) {
	i := is.New(t)
	queue = nil
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.wipe(address(2))
	for range 100 {
		c.run(20 * time.Millisecond)
		for _, b := range c.boxes {
			i.True(len(b.state.Log.Peers.Voters) >= 2 || b.disk != "founder")
		}
	}
	i.Equal(len(c.boxes[c.leader()].state.Log.Peers.Voters), 3)
}

func TestHostAtAnotherAddressReplacesTheLostOne(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.kill(address(1))
	c.boxes[address(8)] = &box{disk: "new"}
	c.start(address(8))
	c.run(12 * time.Second)
	i.True(c.leader() != "")
	p := c.boxes[c.leader()].state.Log.Peers
	i.Equal(len(p.Voters), 3)
	i.True(!p.Has(ctrl.Node(address(1), "founder")))
}

func TestAllKilledAtOnceForgetNothing(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	i.Equal(c.put(address(0), 5).Status, ctlrpc.Accepted)
	i.Equal(c.ask(address(0), ctlrpc.Order{Verb: ctlrpc.StartRollout, Rollout: canary.Rollout{Service: "s", Target: "v2", Budget: time.Minute}}).Status, ctlrpc.Accepted)
	for a := range c.boxes {
		c.kill(a)
	}
	c.run(time.Second)
	for a := range c.boxes {
		c.start(a)
		i.True(!c.boxes[a].state.Sure) // nothing is told before a leader was heard
	}
	b := c.now
	for c.leader() == "" && c.now < b+3*time.Second {
		c.run(step)
	}
	i.True(c.now-b < timing.Election) // the first election doesn't wait for the silence of a leader
	i.Equal(c.ask(address(1), ctlrpc.Order{Verb: ctlrpc.Read}).Version, int64(5))
	i.Equal(c.ask(address(2), ctlrpc.Order{Verb: ctlrpc.ReadRollout, Service: "s"}).Rollout.Target, "v2")
}

// A stalled disk of the leader holds back its heartbeats too, so that another host leads.
func TestStalledDiskLosesTheLead(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	o := c.leader()
	c.boxes[o].stalled = true
	c.run(3 * time.Second)
	i.True(c.leader() != "")
	i.True(c.leader() != o)
	i.Equal(c.put(c.leader(), 2).Status, ctlrpc.Accepted)
	c.boxes[o].stalled = false
	c.flush(o)
	c.run(time.Second)
	i.Equal(c.boxes[o].state.Machine.Document.Version, int64(2))
}

func TestLogIsCompacted(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	for v := range int64(400) {
		i.Equal(c.put(address(int(v%3)), v+1).Status, ctlrpc.Accepted)
	}
	c.run(time.Second)
	for a, b := range c.boxes {
		i.True(b.state.Log.Entries() < 250)
		c.wipe(a)
		c.run(3 * time.Second)
		i.Equal(c.boxes[a].state.Machine.Document.Version, int64(400)) // from a snapshot
		break
	}
}

func TestLeavingEndpointIsKnownEverywhere(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	for _, p := range []fleet.Phase{fleet.Ready, fleet.Leaving} {
		c.post(address(0), ctrl.Reported{Report: fleet.Report{ID: "e", Sequence: int64(p) + 1, Address: "10.1.1.1:1", Phase: p}})
		for _, b := range c.boxes {
			e, ok := b.state.Fleet.Get("e")
			i.True(ok)
			i.Equal(e.Phase, p)
		}
	}
}

func TestBadVersionIsRolledBackThroughAChangeOfLeader(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	i.Equal(c.ask(address(0), ctlrpc.Order{Verb: ctlrpc.StartRollout, Rollout: canary.Rollout{Service: "s", Target: "v2", Budget: time.Minute}}).Status, ctlrpc.Accepted)
	c.kill(c.leader())
	c.run(2 * time.Second)
	l := c.leader()
	k := c.boxes[l].state.Machine.Rollouts["s"].Serial
	for h := range 4 { // evidence of several hosts, too thin on each
		var m []canary.Tally
		for e := range 6 {
			m = append(m, canary.Tally{Serial: k, Version: "v2", Endpoint: fmt.Sprint(e), Kind: "r", Answers: 2, Failures: 1})
		}
		c.post(l, ctrl.HostReported{Report: ctlrpc.HostReport{Host: fmt.Sprint(h), Start: 1, Sequence: 1, Tallies: m}})
	}
	c.run(time.Second)
	i.Equal(c.ask(l, ctlrpc.Order{Verb: ctlrpc.ReadRollout, Service: "s"}).Rollout.Outcome, canary.RolledBack)
}

func TestRolloutEndsInItsTimeThoughAllControlHostsRestart(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	i.Equal(c.ask(address(0), ctlrpc.Order{Verb: ctlrpc.StartRollout, Rollout: canary.Rollout{Service: "s", Target: "v2", Budget: 10 * time.Second}}).Status, ctlrpc.Accepted)
	c.run(4 * time.Second)
	var v []canary.View
	for _, b := range c.boxes {
		v = b.state.Views()
	}
	i.Equal(v[0].Elapsed.Round(time.Second), 4*time.Second)
	for k := range 3 {
		c.kill(address(k))
	}
	for k := range 3 {
		c.start(address(k))
	}
	c.post(address(1), ctrl.HostReported{Report: ctlrpc.HostReport{Host: "entry", Start: 1, Sequence: 1, Ages: map[uint64]time.Duration{v[0].Serial: v[0].Elapsed}}})
	c.run(7 * time.Second)
	i.Equal(c.ask(address(0), ctlrpc.Order{Verb: ctlrpc.ReadRollout, Service: "s"}).Rollout.Outcome, canary.RolledBack) // without endpoints
}

// Hosts that start at the same moment often campaign at the same moment; callers wait for the leader.
func TestLeaderComesSoonAfterAllRestart(t *testing.T) {
	i := is.New(t)
	queue = nil
	c := newCluster(t, 3)
	for range 200 {
		c.run(2 * time.Second)
		for a := range c.boxes {
			c.kill(a)
		}
		for a := range c.boxes {
			c.start(a)
		}
		c.kill(address(1)) // one comes later
		c.run(700 * time.Millisecond)
		i.True(c.leader() != "")
		c.start(address(1))
	}
}

// What was acknowledged is never lost or read back older, whatever single hosts do.
func TestAcknowledgedStaysUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		queue = nil
		c := newCluster(t, 3)
		c.run(2 * time.Second)
		var acked, sent int64
		for range rapid.IntRange(3, 10).Draw(r, "steps") {
			a := address(rapid.IntRange(0, 2).Draw(r, "host"))
			switch rapid.IntRange(0, 5).Draw(r, "what") {
			case 0:
				c.kill(a)
				c.run(time.Duration(rapid.IntRange(10, 2000).Draw(r, "down ms")) * time.Millisecond)
				c.start(a)
			case 1:
				c.cut = func(x, y string) bool { return x == a || y == a }
				c.run(time.Duration(rapid.IntRange(100, 3000).Draw(r, "cut ms")) * time.Millisecond)
				c.cut = func(string, string) bool { return false }
			case 2:
				c.wipe(a)
				c.run(4 * time.Second)
			case 3:
				for b := range c.boxes {
					c.kill(b)
				}
				for b := range c.boxes {
					c.start(b)
				}
			case 4:
				c.boxes[a].stalled = true
				c.run(time.Duration(rapid.IntRange(100, 3000).Draw(r, "stall ms")) * time.Millisecond)
				c.boxes[a].stalled = false
				c.flush(a)
			}
			sent++
			if c.put(a, sent).Status == ctlrpc.Accepted {
				acked = sent
			}
			for k := range 3 {
				if v := c.ask(address(k), ctlrpc.Order{Verb: ctlrpc.Read}); v.Status == ctlrpc.Accepted && v.Version < acked {
					r.Fatalf("host %d reads version %d after %d was acknowledged", k, v.Version, acked)
				}
			}
		}
		c.run(5 * time.Second)
		v := c.ask(address(0), ctlrpc.Order{Verb: ctlrpc.Read})
		if acked > 0 && (v.Status != ctlrpc.Accepted || v.Version < acked || string(v.Document) != fmt.Sprintf("document %d", v.Version)) {
			r.Fatalf("version %d (%v) after %d was acknowledged", v.Version, v.Status, acked)
		}
	})
}
