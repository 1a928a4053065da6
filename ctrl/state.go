// Package ctrl implements a control host. Control hosts agree on the configuration and on rollouts through the control
// log, a replicated log of package quorum. They collect reports of endpoints and entry hosts, pass them on to each other
// by gossip, and answer the exchange requests of entry hosts with the configuration, the fleet and the loads.
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
	"github.com/hickoryshelf/hickoryshelf/poison"
	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/speed"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

const (
	// hostTimeout is the age of the last report from which an entry host isn't counted as running. A control host that isn't
	// current may be cut off from those that entry hosts report to: it counts them until hostExpiry.
	hostTimeout = 3 * time.Second
	// loadTimeout is the age of the last report from which an entry host's loads are ignored.
	loadTimeout = 1500 * time.Millisecond
	// hostExpiry is the age of the last report from which an entry host is removed from the state.
	hostExpiry = time.Minute
	// maxMissedHeartbeats is the number of heartbeats that an endpoint may miss before it is removed from the fleet.
	maxMissedHeartbeats = 9
	// resumeHeartbeats is the number of heartbeats for which none is removed once this host was held up: each that runs reports in that time.
	resumeHeartbeats = 2
	// overdueHeartbeats is the number of heartbeats that an endpoint may miss before entry hosts are asked whether they hear
	// it, and maxOverdue bounds the endpoints that are asked about at once.
	overdueHeartbeats = 3
	maxOverdue        = 64
	// compactEntries and compactBytes are the sizes of the log from which a snapshot replaces its applied entries.
	compactEntries = 192
	compactBytes   = 4 << 20
	// assessInterval is the interval at which the evidence about running rollouts is weighed. It is prolonged by itself for
	// every assessBatch tallies, to bound what the weighing costs.
	assessInterval = 250 * time.Millisecond
	assessBatch    = 4000
	// assessLogInterval is the interval at which the leader logs the evidence about a running rollout.
	assessLogInterval = time.Second
	// endProposalRetry is the pause before the leader proposes the end of the same rollout again.
	endProposalRetry = time.Second
	// maxForwards bounds the number of times that an order is forwarded to a leader.
	maxForwards = 2
)

// Options are the fixed settings of a State and its control log.
type Options struct {
	// Node is the id of this host in the control log. It contains the peer address of the host.
	Node quorum.NodeID
	// StartID is a random id of this start of the process.
	StartID string
	// Log is the control log. It starts with the content of the disk; Reduce advances it.
	Log quorum.State
	// Heartbeat is the interval of endpoint reports.
	Heartbeat time.Duration
	// Exposure bounds the requests that an unproved version gets.
	Exposure canary.Exposure
	// RetryWindow is the window of the retry budgets. Without one no starting balances are granted.
	RetryWindow time.Duration
	// DataCentres holds the data centres that may be drained. Without any this host takes no orders about drains.
	DataCentres []string
	// ColdLimits are those of endpoints that are cold after their start. Without them no permits are lent.
	ColdLimits warmup.Limits
}

// entryHost holds the newest report of an entry host, without its tallies, and the merged tallies of all its starts.
type entryHost struct {
	report  ctlrpc.HostReport
	tallies map[tallyKey]canary.Tally
	// heardAt is when the newest report came.
	heardAt time.Duration
	// assistAt is when the newest report came that holds report.Assist.
	assistAt time.Duration
	// demandAt is when the newest report came that holds report.Demand.
	demandAt time.Duration
}

// tallyKey identifies a tally of one start of an entry host.
type tallyKey struct {
	start int64
	key   string
}

// pendingOrder is an order whose log entry isn't committed yet.
type pendingOrder struct {
	callID uint64
	index  uint64
	term   uint64
	order  ctlrpc.Order
}

// rolloutStart records when this host first saw a rollout.
type rolloutStart struct {
	serial uint64
	seenAt time.Duration
	// before is the serial of the rollout of the service that this host knew until then, or ctlrpc.NoRollout.
	before uint64
	// live is set if the host was synced already, so that orders from before may wait in its sockets.
	live bool
	// endProposedAt is when this host, as leader, last proposed the end of the rollout; 0 means never.
	endProposedAt time.Duration
	// loggedAt is when this host, as leader, last logged its assessment of the rollout.
	loggedAt time.Duration
}

// State is the state of a control host. It is an immutable value; Reduce returns changed copies. Times are durations
// since the start of the host.
type State struct {
	Options
	StateMachine StateMachine
	Fleet        fleet.State
	// Poison is the evidence about requests that end endpoints. poisonRevision grows with each report of it, and
	// judgedRevision is the one that was judged last.
	Poison poison.State
	// speeds is what entry hosts have measured of the speed of endpoints.
	speeds speed.State
	// speedsSweptAt is when a sweep of faded samples last began.
	speedsSweptAt  time.Duration
	poisonRevision uint64
	// poisonInbox holds the reports of it that aren't merged yet.
	poisonInbox []poison.Arrival
	// poisonChangedAt is when the last report of it came.
	poisonChangedAt time.Duration
	judgedRevision  uint64
	// nextJudgement is the earliest time of the next judgement.
	nextJudgement time.Duration
	// sharedPoison is what entry hosts have to know of the evidence that was judged last, and sharedPoisonSum its hash.
	sharedPoison    poison.Report
	sharedPoisonSum uint64
	// watch holds the keys that entry hosts watch, and watchRevision grows with each change of it.
	watch         poison.Watch
	watchRevision uint64
	// Synced is set once this host has held all that was committed, as a ready leader or by the word of one. It stays set until
	// the process ends.
	Synced bool
	// FirstStart is set if the control log was new when the process started.
	FirstStart bool
	// Now is the time of the newest event.
	Now time.Duration

	// coldRevision is the revision of the fleet at which an endpoint last became cold.
	coldRevision uint64

	entryHosts *immutable.Map[string, entryHost]
	// tickedAt is the time of the last tick. heldUpAt is when this host last went on after it was held up, or 0. removedAt is when silent
	// endpoints were last removed, moved on by the time for which it was held up since.
	tickedAt, heldUpAt, removedAt time.Duration
	rolloutStarts                 map[string]rolloutStart
	// drainsLearned records when this host learned of the last change of each data centre.
	drainsLearned map[string]drainLearned
	// assessments holds the newest assessment of each running rollout by serial. nextAssessment is when they are due again.
	assessments    map[uint64]canary.Assessment
	nextAssessment time.Duration
	pending        []pendingOrder
	// bytesSinceSnapshot is the size of the entry data that was appended since the last snapshot.
	bytesSinceSnapshot int
	// rememberedPrefill holds the prefill times that the process before has saved.
	rememberedPrefill map[string]time.Duration
	// diskGeneration is the generation of the log; see WriteQueue.
	diskGeneration uint64
	// leaving holds the control hosts that are about to stop, with the times at which they last said so to this host as leader.
	leaving map[quorum.NodeID]time.Duration
	// leaderHeardAt is when the last message of a leader came, and leaderCommit the commit index in it. They tell nothing about
	// what this host holds.
	leaderHeardAt time.Duration
	leaderCommit  uint64
}

// New returns the state of a control host that has just started. It fails if the snapshot of the log can't be decoded.
func New(o Options) (State, error) {
	s := State{Options: o, FirstStart: o.Log.LastIndex() == bootstrapIndex, Fleet: fleet.New(), entryHosts: immutable.NewMap[string, entryHost](nil), rolloutStarts: map[string]rolloutStart{}, speeds: speed.NewState()}
	m, err := StateMachine{}.WithSnapshot(o.Log.Snapshot)
	s.StateMachine = m
	return s.withDrainsLearned(), err
}

// Address returns the peer address of a node.
func Address(n quorum.NodeID) string {
	a, _, _ := strings.Cut(string(n), "#")
	return a
}

// diskOf returns the disk identity of a node.
func diskOf(n quorum.NodeID) string {
	_, d, _ := strings.Cut(string(n), "#")
	return d
}

// Node returns the id of the node with a peer address and a disk identity.
func Node(address, disk string) quorum.NodeID { return quorum.NodeID(address + "#" + disk) }

// ControlAddresses returns the sorted peer addresses of all control hosts in the control log, with this one.
func (s State) ControlAddresses() []string {
	var r []string
	for _, n := range s.Log.Peers.All() {
		r = append(r, Address(n))
	}
	slices.Sort(r)
	return slices.Compact(r)
}

// Tallies returns the rollout tallies of all entry hosts.
func (s State) Tallies() []canary.Tally {
	var r []canary.Tally
	for i := s.entryHosts.Iterator(); !i.Done(); {
		_, h, _ := i.Next()
		for _, t := range h.tallies {
			r = append(r, t)
		}
	}
	return r
}

// Loads returns the load in flight of all entry hosts, summed by endpoint.
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

// HostLoads returns the load in flight of one entry host by endpoint, or nil if its last report is older than
// loadTimeout.
func (s State) HostLoads(host string) map[string]ctlrpc.Load {
	h, ok := s.entryHosts.Get(host)
	if !ok || h.heardAt+loadTimeout < s.Now {
		return nil
	}
	return h.report.Loads
}

// Limits returns the newest limit of each endpoint that entry hosts know.
func (s State) Limits() map[string]ctlrpc.Limit {
	r := map[string]ctlrpc.Limit{}
	for i := s.entryHosts.Iterator(); !i.Done(); {
		_, h, _ := i.Next()
		for e, l := range h.report.Limits {
			l.Age += s.Now - h.heardAt
			if o, ok := r[e]; !ok || l.Age < o.Age {
				r[e] = l
			}
		}
	}
	return r
}

// hostsSince returns the time since which an entry host has to have reported to count as running.
func (s State) hostsSince() time.Duration {
	if s.Current() {
		return s.Now - hostTimeout
	}
	return s.Now - hostExpiry
}

// HostNames returns the sorted names of the entry hosts that count as running.
func (s State) HostNames() []string {
	var r []string
	b := s.hostsSince()
	for i := s.entryHosts.Iterator(); !i.Done(); {
		if n, h, _ := i.Next(); h.heardAt >= b {
			r = append(r, n)
		}
	}
	slices.Sort(r)
	return r
}

// EntryHosts returns the number of entry hosts that count as running.
func (s State) EntryHosts() int {
	n, b := 0, s.hostsSince()
	for i := s.entryHosts.Iterator(); !i.Done(); {
		_, h, _ := i.Next()
		if h.heardAt >= b {
			n++
		}
	}
	return n
}

// Views returns the newest rollout of each service with its traffic plan, sorted by service.
func (s State) Views() []canary.View {
	var r []canary.View
	for _, k := range slices.Sorted(maps.Keys(s.StateMachine.Rollouts)) {
		o := s.StateMachine.Rollouts[k]
		v := canary.View{Rollout: o}
		if o.Outcome == canary.Running {
			v.Elapsed = s.elapsed(o)
			a := s.assessment(o)
			v.Plan, v.Proven = canary.Traffic(o, v.Elapsed, s.Exposure, a), a.IsProven()
		} else {
			v.Plan = canary.Traffic(o, 0, s.Exposure, canary.Assessment{})
		}
		r = append(r, v)
	}
	return r
}

// assessment returns the newest assessment of a rollout, or makes one if there is none.
func (s State) assessment(r canary.Rollout) canary.Assessment {
	if a, ok := s.assessments[r.Serial]; ok {
		return a
	}
	return canary.Assess(r, s.Tallies())
}

// elapsed returns the time since the start order of a rollout: the longest that this host has measured or an entry host
// has reported. Entry hosts keep the time when all control hosts restart.
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

// available counts the ready endpoints of a rollout's service, with the target version and with other versions. Those of the target in
// drained data centres are left out: they couldn't serve what a promotion would send them. The others there count, as they do once the
// drain ends: a drain is no reason to promote the target.
func (s State) available(r canary.Rollout) canary.EndpointCounts {
	var f canary.EndpointCounts
	for e := range s.Fleet.All {
		switch {
		case e.Service != r.Service || e.Phase != fleet.Ready:
		case e.Version != r.Target:
			f.Others++
		case !s.StateMachine.Drains.IsDrained(e.DataCentre):
			f.Target++
		}
	}
	return f
}

// currentTimeout is the age from which what a follower holds no longer counts as current. A follower whose answers come in time
// for a lease of its leader stays below it: the age is at most the time of a round trip and two heartbeats.
var currentTimeout = timing.Election + timing.Heartbeat

// Current reports whether this host is a ready leader, or held all that was committed less than currentTimeout ago. If this
// host isn't current, another control host may hold newer state.
func (s State) Current() bool {
	if s.Log.Role == quorum.Leader {
		return s.Log.Ready(s.Now)
	}
	_, ok := s.Log.HeldAt()
	return ok && s.Age() < currentTimeout
}

// At returns the state at a time with no event since, or the state itself if the time is earlier than its newest event.
func (s State) At(now time.Duration) State {
	s.Now = max(s.Now, now)
	return s
}

// Age returns the time since this host last knew that it held all that was committed; it is 0 on a ready leader. A host that
// hasn't known it yet returns the time since its start.
func (s State) Age() time.Duration {
	if s.Log.Ready(s.Now) {
		return 0
	}
	a, _ := s.Log.HeldAt()
	return s.Now - a
}

// LeaderSilence returns the time since the last message of a leader; it is 0 on a leader.
func (s State) LeaderSilence() time.Duration {
	if s.Log.Role == quorum.Leader {
		return 0
	}
	return s.Now - s.leaderHeardAt
}

// Position returns what this host holds of the control log, and what it knows of its leader.
func (s State) Position() ctlrpc.LogPosition {
	c := s.leaderCommit
	if s.Log.Role == quorum.Leader {
		c = s.Log.Commit
	}
	return ctlrpc.LogPosition{Applied: s.StateMachine.Applied, LeaderCommit: c, LeaderSilence: s.LeaderSilence(), Age: s.Age()}
}

// PrefillTimes returns the measured prefill time per prompt token by model. If several entry hosts have measured a
// model, the one that reported last counts; if none has since the start of this host, the remembered time.
func (s State) PrefillTimes() map[string]time.Duration {
	r, t := map[string]time.Duration{}, map[string]time.Duration{}
	maps.Copy(r, s.rememberedPrefill)
	for i := s.entryHosts.Iterator(); !i.Done(); {
		_, h, _ := i.Next()
		for m, v := range h.report.Reads {
			if _, ok := t[m]; !ok || h.heardAt > t[m] {
				r[m], t[m] = v, h.heardAt
			}
		}
	}
	return r
}
