package ctrl_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// restartedEntries is the number of entries in the log of a restarted host, each with another version of the configuration.
const restartedEntries = 25

// restartedHost returns a control host that has just started with restartedEntries in its log after a snapshot at 1.
func restartedHost(t *testing.T) ctrl.State {
	t.Helper()
	i := is.New(t)
	var l []quorum.NodeID
	for k := range 3 {
		l = append(l, ctrl.Node(address(k), "founder"))
	}
	var e []quorum.Entry
	for k := range uint64(restartedEntries) {
		b, err := json.Marshal(ctrl.Command{Put: &ctrl.Document{Version: int64(k) + 1, Content: fmt.Appendf(nil, "document %d", k+1)}})
		i.NoErr(err)
		e = append(e, quorum.Entry{Index: k + 2, Term: 1, Data: b})
	}
	p := quorum.Snapshot{Index: 1, Term: 1, Peers: ctrl.BootstrapPeers(l)}
	s, err := ctrl.New(ctrl.Options{Node: l[0], StartID: "1", Heartbeat: time.Second, Log: quorum.New(l[0], timing, quorum.HardState{Term: 1}, p, e, 1)})
	i.NoErr(err)
	return s
}

// heartbeat returns an Append without entries of a leader in term 2, to the host of restartedHost.
func heartbeat(commit uint64) quorum.Message {
	return quorum.Message{
		Kind: quorum.Append, From: ctrl.Node(address(1), "founder"), To: ctrl.Node(address(0), "founder"), Term: 2,
		Index: restartedEntries + 1, LogTerm: 1, Commit: commit,
	}
}

// hear passes messages of a leader to a control host, one each heartbeat interval for a time.
func hear(s ctrl.State, d time.Duration, m quorum.Message, each func(ctrl.State)) ctrl.State {
	for e := s.Now + d; s.Now < e; {
		n := s.Now + timing.Heartbeat
		m.Stamp = n
		s, _ = ctrl.Reduce(s, n, ctrl.MessagesReceived{Messages: []quorum.Message{m}})
		each(s)
	}
	return s
}

// Guards against a restarted control host that counts as current, with the configuration of an old snapshot, since it hears a
// new leader that has committed nothing in its term yet.
func TestRestartedHostIsCurrentOnceItHoldsWhatIsCommitted(t *testing.T) {
	i := is.New(t)
	s := restartedHost(t)
	m := heartbeat(1)
	m.Entries = []quorum.Entry{{Index: restartedEntries + 2, Term: 2}}
	s = hear(s, 5*time.Second, m, func(s ctrl.State) {
		i.True(!s.Synced)
		i.True(!s.Current())
	})
	m.Commit, m.Unready = restartedEntries+2, true
	s = hear(s, time.Second, m, func(s ctrl.State) { i.True(!s.Synced) })
	m.Unready = false
	s = hear(s, timing.Heartbeat, m, func(ctrl.State) {})
	i.True(s.Synced)
	i.True(s.Current())
	i.Equal(s.StateMachine.Document.Version, int64(restartedEntries))
}

// startThree returns a cluster of three hosts with the addresses of its leader and of a follower.
func startThree(t *testing.T) (c *cluster, leader, follower string) {
	messageQueue = nil
	c = newCluster(t, 3)
	c.run(2 * time.Second)
	leader, follower = c.leader(), address(0)
	if follower == leader {
		follower = address(1)
	}
	return c, leader, follower
}

// Guards against a control host that counts as current though it lacks committed entries, since it hears a leader: its refusals
// of the entries that come wait for its disk.
func TestHostThatLacksCommittedEntriesIsntCurrent(t *testing.T) {
	i := is.New(t)
	c, l, f := startThree(t)
	i.True(c.hosts[f].state.Current())
	c.hosts[f].stalled = true
	c.blocked = func(_, b string) bool { return b == f }
	for v := range int64(15) {
		i.Equal(c.put(l, v+1).Status, ctlrpc.Accepted)
	}
	c.blocked = func(string, string) bool { return false }
	c.run(time.Second)
	for range 100 {
		c.run(50 * time.Millisecond)
		i.True(c.hosts[f].state.LeaderSilence() < timing.Election) // it hears the leader
		i.True(!c.hosts[f].state.Current())
	}
	c.hosts[f].stalled = false
	c.flush(f)
	c.run(time.Second)
	i.Equal(c.hosts[f].state.StateMachine.Document.Version, int64(15))
	i.True(c.hosts[f].state.Current())
}

// configApply is the time within which an acknowledged configuration has to be in force: the shortest that a deployment sets.
const configApply = 2 * time.Second

// Guards against a host that was suspended and counts as current by messages that are as old as the suspension.
func TestSuspendedHostIsntCurrentByOldMessages(t *testing.T) {
	i := is.New(t)
	c, l, f := startThree(t)
	for _, v := range []int64{1, 2, 3} {
		c.hosts[f].suspended = true
		c.run(500 * time.Millisecond) // heartbeats before the change
		i.Equal(c.put(l, v).Status, ctlrpc.Accepted)
		c.run(configApply)
		c.resume(f, func() {
			s := c.hosts[f].state
			i.True(!s.Current() || s.StateMachine.Document.Version == v)
		})
		c.run(timing.Election)
		i.True(c.hosts[f].state.Current())
	}
}

// Guards against a host that was suspended and goes on as current by the messages of a former leader, as the new one can't
// reach it.
func TestSuspendedHostIsntCurrentByFormerLeader(t *testing.T) {
	i := is.New(t)
	c, o, f := startThree(t)
	c.hosts[f].suspended = true
	c.run(500 * time.Millisecond)
	c.kill(o)
	c.start(o)
	c.blocked = func(a, b string) bool { return a == f || b == f }
	c.run(3 * time.Second)
	i.Equal(c.put(c.leader(), 1).Status, ctlrpc.Accepted)
	c.run(configApply)
	c.resume(f, func() { i.True(!c.hosts[f].state.Current()) })
	c.run(step)
	i.True(!c.hosts[f].state.Current())
}

// Guards against hosts that are never current beside leaders or followers of an older build.
func TestHostsAreCurrentBesideOlderBuilds(t *testing.T) {
	for _, o := range [][]int{{0}, {1}, {0, 1}, {1, 2}} {
		t.Run(fmt.Sprint(o), func(t *testing.T) {
			i := is.New(t)
			messageQueue = nil
			c := newCluster(t, 3)
			c.old = map[string]bool{}
			for _, k := range o {
				c.old[address(k)] = true
			}
			for v := range int64(20) {
				c.run(2 * time.Second)
				l := c.leader()
				i.Equal(c.put(l, v+1).Status, ctlrpc.Accepted)
				c.run(timing.Heartbeat)
				for a, b := range c.hosts {
					i.True(c.old[a] || b.state.Current()) // what older builds count as current isn't modelled
					i.Equal(b.state.StateMachine.Document.Version, v+1)
				}
				c.kill(l)
				c.run(2 * time.Second)
				c.start(l)
			}
		})
	}
}

// Guards against a leader that was suspended and takes its lease for valid by answers that are as old as that.
func TestSuspendedLeaderHasNoLeaseByOldAnswers(t *testing.T) {
	i := is.New(t)
	messageQueue = nil
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	o := c.leader()
	for len(messageQueue) == 0 {
		c.now += step
		c.reduce(o, ctrl.Tick{})
	}
	c.hosts[o].suspended = true // its heartbeats are under way
	c.run(3 * time.Second)
	l := c.leader()
	i.True(l != o)
	i.Equal(c.put(l, 1).Status, ctlrpc.Accepted)
	c.blocked = func(_, b string) bool { return b == o } // nothing new comes
	c.hosts[o].waiting = slices.DeleteFunc(c.hosts[o].waiting, func(m quorum.Message) bool { return m.Kind != quorum.AppendReply })
	i.Equal(len(c.hosts[o].waiting), 2)
	c.run(configApply)
	k := func() {
		i.True(!c.hosts[o].state.Current())
		i.Equal(c.submit(o, ctlrpc.Order{Verb: ctlrpc.Read}).Status, ctlrpc.Unavailable)
	}
	c.resume(o, k)
	c.run(step)
	k()
}

// restartUntilItLeads restarts the leader until it leads the next term, while a follower is suspended.
func restartUntilItLeads(t *testing.T) (c *cluster, leader, suspended string) {
	t.Helper()
	for range 50 {
		c, l, f := startThree(t)
		c.run(10 * time.Second)
		c.hosts[f].suspended = true
		c.run(500 * time.Millisecond) // heartbeats wait
		c.kill(l)
		c.start(l)
		c.run(3 * time.Second)
		if c.leader() == l {
			return c, l, f
		}
	}
	t.Fatal("the restarted host leads no term")
	return nil, "", ""
}

// Guards against a leader that keeps a lease for good, and serves an old configuration as current while cut off: a follower's answer
// to a message of an earlier start names the clock of that start.
func TestRestartedLeaderHasNoLeaseByAnswersToItsEarlierStart(t *testing.T) {
	i := is.New(t)
	c, l, f := restartUntilItLeads(t)
	slices.Reverse(c.hosts[f].waiting) // each start has its own connection, and the newer one is read first
	c.resume(f, func() {})
	c.run(time.Second)
	i.Equal(c.leader(), l)
	c.blocked = func(a, b string) bool { return a == l || b == l }
	c.run(3 * time.Second)
	i.Equal(c.put(f, 1).Status, ctlrpc.Accepted)
	c.run(configApply)
	i.True(!c.hosts[l].state.Current())
	i.Equal(c.submit(l, ctlrpc.Order{Verb: ctlrpc.Read}).Status, ctlrpc.Unavailable)
}
