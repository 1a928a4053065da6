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
	// hostTimeout is how long after its last report an entry host still counts.
	hostTimeout = 3 * time.Second
	// loadTimeout is how long after its last report an entry host's loads still count.
	loadTimeout = 1500 * time.Millisecond
	// hostExpiry is how long after its last report an entry host is forgotten.
	hostExpiry = time.Minute
	// maxMissedHeartbeats is how many heartbeats an endpoint may miss before it is forgotten.
	maxMissedHeartbeats = 9
	// compactEntries and compactBytes are the sizes of the log from which it is replaced by a snapshot.
	compactEntries = 192
	compactBytes   = 4 << 20
	// endProposalRetry is how long the leader waits before it proposes the end of a roll-out again.
	endProposalRetry = time.Second
	// maxForwards bounds how often an order is passed on.
	maxForwards = 2
)

// Options are what a state is made of.
type Options struct {
	// Node is this host in the control log; its address is where peers reach it.
	Node quorum.NodeID
	// StartID names this start of the process.
	StartID string
	// Log is the control log as the disk holds it.
	Log quorum.State
	// Heartbeat is the interval at which endpoints report.
	Heartbeat time.Duration
	// ExposureBound bounds the part of requests that an unproved version gets.
	ExposureBound float64
}

// entryHost is what is known of an entry entryHost.
type entryHost struct {
	report  ctlrpc.HostReport
	tallies map[string]canary.Tally
	heardAt time.Duration
}

// pendingOrder is an order whose entry isn't committed yet.
type pendingOrder struct {
	callID uint64
	index  uint64
	term   uint64
	order  ctlrpc.Order
}

// rolloutStart is when this host learned of a roll-out.
type rolloutStart struct {
	serial uint64
	seenAt time.Duration
	// endProposedAt is when the leader last endProposedAt its end.
	endProposedAt time.Duration
}

// State is what a control host knows. It is an immutable value; Reduce returns changed copies.
type State struct {
	Options
	Machine StateMachine
	Fleet   fleet.State
	// Synced is set once this start has heard from a leader and holds what was committed by then.
	Synced bool
	// Now is the clock of the newest event.
	Now time.Duration

	entryHosts    *immutable.Map[string, entryHost]
	rolloutStarts map[string]rolloutStart
	pending       []pendingOrder
	// catchUpIndex is the commit index of the first leader heard, up to which Sure needs the log.
	catchUpIndex uint64
	// bytesSinceSnapshot are the bytes appended since the last snapshot.
	bytesSinceSnapshot int
	// leaderHeardAt is when a leader's message last came.
	leaderHeardAt time.Duration
}

// New returns the state of a control host that has just started.
func New(o Options) (State, error) {
	s := State{Options: o, Fleet: fleet.New(), entryHosts: immutable.NewMap[string, entryHost](nil), rolloutStarts: map[string]rolloutStart{}}
	m, err := StateMachine{}.WithSnapshot(o.Log.Snapshot)
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

// ControlAddresses returns the peer addresses of the control hosts.
func (s State) ControlAddresses() []string {
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
	for i := s.entryHosts.Iterator(); !i.Done(); {
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
	for i := s.entryHosts.Iterator(); !i.Done(); {
		n, _, _ := i.Next()
		for e, k := range s.HostLoads(n) {
			r[e] = r[e].Plus(k)
		}
	}
	return r
}

// HostLoads returns the requests that an entry host has under way, by endpoint, or none where it is silent.
func (s State) HostLoads(host string) map[string]ctlrpc.Load {
	h, ok := s.entryHosts.Get(host)
	if !ok || h.heardAt+loadTimeout < s.Now {
		return nil
	}
	return h.report.Loads
}

// EntryHosts returns the number of entry hosts that report.
func (s State) EntryHosts() int {
	n := 0
	for i := s.entryHosts.Iterator(); !i.Done(); {
		_, h, _ := i.Next()
		if h.heardAt+hostTimeout >= s.Now {
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
			v.Plan = canary.Traffic(o, v.Elapsed, s.ExposureBound, canary.Gather(o, s.tallies()))
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
	if b, ok := s.rolloutStarts[r.Service]; ok && b.serial == r.Serial {
		d = s.Now - b.seenAt
	}
	for i := s.entryHosts.Iterator(); !i.Done(); {
		_, h, _ := i.Next()
		if a, ok := h.report.Ages[r.Serial]; ok {
			d = max(d, a+s.Now-h.heardAt)
		}
	}
	return d
}

// available counts the endpoints that a roll-out could use.
func (s State) available(r canary.Rollout) canary.Fleet {
	var f canary.Fleet
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

// currentLeaderTimeout is how long no leader may have been heard by a host that still counts as current.
const currentLeaderTimeout = 500 * time.Millisecond

// Current reports whether this host is in touch with a leader that a majority follows, or is that leader.
func (s State) Current() bool {
	if s.Log.Role == quorum.Leader {
		return s.Log.Ready(s.Now)
	}
	return s.Synced && s.LeaderSilence() < currentLeaderTimeout
}

// LeaderSilence is how long no leader was heard; it is 0 on a leader.
func (s State) LeaderSilence() time.Duration {
	if s.Log.Role == quorum.Leader {
		return 0
	}
	return s.Now - s.leaderHeardAt
}

// PrefillTimes returns the times to read a prompt token that entry hosts have measured: of each model, the one of
// the host that was heard last.
func (s State) PrefillTimes() map[string]time.Duration {
	r, t := map[string]time.Duration{}, map[string]time.Duration{}
	for i := s.entryHosts.Iterator(); !i.Done(); {
		_, h, _ := i.Next()
		for m, v := range h.report.Reads {
			if _, ok := r[m]; !ok || h.heardAt > t[m] {
				r[m], t[m] = v, h.heardAt
			}
		}
	}
	return r
}
