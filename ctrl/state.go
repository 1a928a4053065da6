// Package ctrl is a control host: it agrees with the others on configurations and roll-outs through the
// control log, takes reports of endpoints, and tells entry hosts what is in force.
package ctrl

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	// hostSilence is how long after its last report an entry host still counts.
	hostSilence = 3 * time.Second
	// loadSilence is how long after its last report an entry host's loads still count.
	loadSilence = 1500 * time.Millisecond
	// forgetAfter is how long after its last report an entry host is forgotten.
	forgetAfter = time.Minute
	// silentBeats is how many heartbeats an endpoint may miss before it is forgotten.
	silentBeats = 9
	// compactEntries and compactBytes are the sizes of the log from which it is replaced by a snapshot.
	compactEntries = 192
	compactBytes   = 4 << 20
	// decideAgain is how long the leader waits before it proposes the end of a roll-out again.
	decideAgain = time.Second
	// maxHops bounds how often an order is passed on.
	maxHops = 2
)

// Options are what a state is made of.
type Options struct {
	// Node is this host in the control log; its address is where peers reach it.
	Node quorum.NodeID
	// Start names this start of the process.
	Start string
	// Log is the control log as the disk holds it.
	Log quorum.State
	// Heartbeat is the interval at which endpoints report.
	Heartbeat time.Duration
	// Exposure bounds the part of requests that an unproved version gets.
	Exposure float64
}

// host is what is known of an entry host.
type host struct {
	report  ctlrpc.HostReport
	tallies map[string]canary.Tally
	heard   time.Duration
}

// wait is an order whose entry isn't committed yet.
type wait struct {
	ticket uint64
	index  uint64
	term   uint64
	order  ctlrpc.Order
}

// begun is when this host learned of a roll-out.
type begun struct {
	serial uint64
	at     time.Duration
	// proposed is when the leader last proposed its end.
	proposed time.Duration
}

// State is what a control host knows. It is an immutable value; Reduce returns changed copies.
type State struct {
	Options
	Machine Machine
	Fleet   fleet.State
	// Sure is set once this start has heard from a leader and holds what was committed by then.
	Sure bool
	// Now is the clock of the newest event.
	Now time.Duration

	hosts *immutable.Map[string, host]
	begun map[string]begun
	waits []wait
	// goal is the commit index of the first leader heard, up to which Sure needs the log.
	goal uint64
	// written are the bytes appended since the last snapshot.
	written int
	// heardLeader is when a leader's message last came.
	heardLeader time.Duration
}

// New returns the state of a control host that has just started.
func New(o Options) (State, error) {
	s := State{Options: o, Fleet: fleet.New(), hosts: immutable.NewMap[string, host](nil), begun: map[string]begun{}}
	m, err := Machine{}.Restored(o.Log.Snapshot)
	s.Machine = m
	return s, err
}

// Address returns the peer address of a node.
func Address(n quorum.NodeID) string {
	a, _, _ := strings.Cut(string(n), "#")
	return a
}

// Node returns the id of a node with a peer address and a disk.
func Node(address, disk string) quorum.NodeID { return quorum.NodeID(address + "#" + disk) }

// Controls returns the peer addresses of the control hosts.
func (s State) Controls() []string {
	var r []string
	for _, n := range s.Log.Peers.All() {
		r = append(r, Address(n))
	}
	slices.Sort(r)
	return slices.Compact(r)
}

// tallies returns what all entry hosts counted.
func (s State) tallies() []canary.Tally {
	var r []canary.Tally
	for i := s.hosts.Iterator(); !i.Done(); {
		_, h, _ := i.Next()
		for _, t := range h.tallies {
			r = append(r, t)
		}
	}
	return r
}

// Loads returns the requests that entry hosts have under way, by endpoint.
func (s State) Loads() map[string]ctlrpc.Load {
	r := map[string]ctlrpc.Load{}
	for i := s.hosts.Iterator(); !i.Done(); {
		n, _, _ := i.Next()
		for e, k := range s.OwnLoads(n) {
			r[e] = r[e].Plus(k)
		}
	}
	return r
}

// OwnLoads returns the requests that an entry host has under way, by endpoint, or none where it is silent.
func (s State) OwnLoads(host string) map[string]ctlrpc.Load {
	h, ok := s.hosts.Get(host)
	if !ok || h.heard+loadSilence < s.Now {
		return nil
	}
	return h.report.Loads
}

// Entries returns the number of entry hosts that report.
func (s State) Entries() int {
	n := 0
	for i := s.hosts.Iterator(); !i.Done(); {
		_, h, _ := i.Next()
		if h.heard+hostSilence >= s.Now {
			n++
		}
	}
	return n
}

// Views returns the roll-outs with their plans.
func (s State) Views() []canary.View {
	var r []canary.View
	for _, k := range slices.Sorted(maps.Keys(s.Machine.Rollouts)) {
		o := s.Machine.Rollouts[k]
		v := canary.View{Rollout: o}
		if o.Outcome == canary.Running {
			v.Elapsed = s.elapsed(o)
			v.Plan = canary.Traffic(o, v.Elapsed, s.Exposure, canary.Gather(o, s.tallies()))
		} else {
			v.Plan = canary.Traffic(o, 0, 0, canary.Evidence{})
		}
		r = append(r, v)
	}
	return r
}

// elapsed is the longest time since the order of a roll-out that this host or an entry host knows of.
func (s State) elapsed(r canary.Rollout) time.Duration {
	var d time.Duration
	if b, ok := s.begun[r.Service]; ok && b.serial == r.Serial {
		d = s.Now - b.at
	}
	for i := s.hosts.Iterator(); !i.Done(); {
		_, h, _ := i.Next()
		if a, ok := h.report.Ages[r.Serial]; ok {
			d = max(d, a+s.Now-h.heard)
		}
	}
	return d
}

// available counts the endpoints that a roll-out could use.
func (s State) available(r canary.Rollout) canary.EndpointCounts {
	var f canary.EndpointCounts
	for e := range s.Fleet.All {
		switch {
		case e.Service != r.Service || e.Phase != fleet.Ready:
		case e.Version == r.Target:
			f.Target++
		default:
			f.Others++
		}
	}
	return f
}

// currentSilence is how long no leader may have been heard by a host that still counts as current.
const currentSilence = 500 * time.Millisecond

// Current reports whether this host is in touch with a leader that a majority follows, or is that leader.
func (s State) Current() bool {
	if s.Log.Role == quorum.Leader {
		return s.Log.Ready(s.Now)
	}
	return s.Sure && s.LeaderSilence() < currentSilence
}

// LeaderSilence is how long no leader was heard; it is 0 on a leader.
func (s State) LeaderSilence() time.Duration {
	if s.Log.Role == quorum.Leader {
		return 0
	}
	return s.Now - s.heardLeader
}

// Reads returns the times to read a prompt token that entry hosts have measured: of each model, the one of
// the host that was heard last.
func (s State) Reads() map[string]time.Duration {
	r, t := map[string]time.Duration{}, map[string]time.Duration{}
	for i := s.hosts.Iterator(); !i.Done(); {
		_, h, _ := i.Next()
		for m, v := range h.report.Reads {
			if _, ok := r[m]; !ok || h.heard > t[m] {
				r[m], t[m] = v, h.heard
			}
		}
	}
	return r
}
