package ctrl_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
)

// ack is an acknowledged put of a version.
type ack struct {
	at      time.Duration
	version int64
}

// ageCheck checks what control hosts say about the age of what they hold against the puts that were acknowledged.
type ageCheck struct {
	cluster *cluster
	acks    []ack
	sent    int64
	// current counts the checks in which a host was current.
	current int
}

// put submits the next version to a host.
func (a *ageCheck) put(address string) {
	a.sent++
	if a.cluster.put(address, a.sent).Status == ctlrpc.Accepted {
		a.acks = append(a.acks, ack{a.cluster.now, a.sent})
	}
}

// ackedBefore returns the newest version that was acknowledged before a time.
func (a *ageCheck) ackedBefore(t time.Duration) int64 {
	for _, k := range slices.Backward(a.acks) {
		if k.at < t {
			return k.version
		}
	}
	return 0
}

// check fails if a synced host lacks a version that was acknowledged earlier than the age that it states, and if a current one
// lacks what was acknowledged configApply ago. A voter that restarts forgets the lease that it has granted, so that the age may be
// timing.Election too low.
func (a *ageCheck) check(t rapid.TB) {
	for n, b := range a.cluster.hosts {
		if !b.up || b.suspended || !b.state.Synced {
			continue
		}
		s := b.state.At(a.cluster.now - b.startedAt)
		v, d := s.StateMachine.Document.Version, s.Position().Age
		if w := a.ackedBefore(a.cluster.now - d - timing.Election); v < w {
			t.Fatalf("%s holds version %d of %d and states an age of %v (%v, leader %q)", n, v, w, d, b.state.Log.Role, b.state.Log.Leader)
		}
		if !s.Current() {
			continue
		}
		a.current++
		if w := a.ackedBefore(a.cluster.now - configApply); v < w {
			t.Fatalf("%s is current with version %d of %d", n, v, w)
		}
	}
}

// disrupt harms a host for a while and puts versions at others meanwhile.
func (a *ageCheck) disrupt(r *rapid.T, n int) {
	c := a.cluster
	h := address(rapid.IntRange(0, n-1).Draw(r, "host"))
	o := address(rapid.IntRange(0, n-1).Draw(r, "other"))
	b := c.hosts[h]
	d := time.Duration(rapid.IntRange(50, 4000).Draw(r, "ms")) * time.Millisecond
	w := func() {
		a.put(o)
		c.run(d)
		a.put(o)
	}
	switch rapid.IntRange(0, 6).Draw(r, "what") {
	case 0:
		c.kill(h)
		w()
		c.start(h)
	case 1:
		c.blocked = func(x, _ string) bool { return x == h }
		w()
	case 2:
		c.blocked = func(_, x string) bool { return x == h }
		w()
	case 3:
		c.blocked = func(x, y string) bool { return (x == h) != (y == h) }
		w()
	case 4:
		b.suspended = true
		w()
		c.resume(h, func() { a.check(r) })
	case 5:
		b.stalled = true
		w()
		b.stalled = false
		c.flush(h)
	case 6:
		for x := range c.hosts {
			c.kill(x)
		}
		for x := range c.hosts {
			c.start(x)
		}
	}
	if rapid.Bool().Draw(r, "mended") {
		c.blocked = func(string, string) bool { return false }
	}
}

// Guards against control hosts that state a lower age than that of what they hold, or count as current though they lack what was
// acknowledged long ago, while hosts are killed, suspended, cut off one way or both, or have disks that stand.
func TestHostsHoldWhatTheirAgeSays(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		messageQueue = nil
		n := rapid.IntRange(3, 5).Draw(r, "hosts")
		c := newCluster(t, n)
		a := &ageCheck{cluster: c}
		c.each = func() { a.check(r) }
		c.run(2 * time.Second)
		for range rapid.IntRange(2, 8).Draw(r, "steps") {
			a.disrupt(r, n)
			a.put(address(rapid.IntRange(0, n-1).Draw(r, "at")))
			c.run(time.Duration(rapid.IntRange(5, 1500).Draw(r, "pause ms")) * time.Millisecond)
		}
		c.blocked = func(string, string) bool { return false }
		c.run(10 * time.Second)
		a.put(address(0))
		c.run(time.Second)
		for x, b := range c.hosts {
			if !b.state.Current() || b.state.StateMachine.Document.Version != a.sent {
				r.Fatalf("%s holds version %d of %d in the end", x, b.state.StateMachine.Document.Version, a.sent)
			}
		}
	})
}
