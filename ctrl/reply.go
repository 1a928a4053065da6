package ctrl

import (
	"maps"
	"sync"
	"time"

	"github.com/hickoryshelf/hickoryshelf/budget"
	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/poison"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

const (
	// maxAggregateAge is how long loads and rollout views over all entry hosts are reused.
	maxAggregateAge = 30 * time.Millisecond
	// maxLoadChanges bounds the number of changed loads in one exchange reply.
	maxLoadChanges = 40
	// sentCleanupSize is the number of entry hosts above which records of expired hosts are removed.
	sentCleanupSize = 64
)

// ReplyBuilder builds exchange replies that hold only what an entry host lacks. It is safe for concurrent use.
type ReplyBuilder struct {
	lock      sync.Mutex
	sent      map[string]sentState
	aggregate aggregate
	// budgets lends shares of the slack to entry hosts, and retries among them.
	budgets *budget.Pool
	// permits lends permits for cold endpoints.
	permits *warmup.Lender
	speeds  speedCache
	demand  demandSum
}

// sentState records what an entry host has received of loads and watched keys, to send only changes.
type sentState struct {
	// start is the incarnation of the entry host.
	start int64
	// sequence is the sequence number of the newest report that was answered.
	sequence uint64
	loads    map[string]ctlrpc.Load
	// watch holds the keys that the host watches.
	watch poison.Watch
	// speeds holds the factors of speed that the host has got.
	speeds sentSpeeds
	sentAt time.Duration
	// urgentAt is when the host was last told at once that an endpoint has become cold.
	urgentAt time.Duration
	// demandAt is when the demand of the fleet was sent, or 0.
	demandAt time.Duration
}

// aggregate caches loads and rollout views that are computed from the reports of all entry hosts.
type aggregate struct {
	computedAt time.Duration
	valid      bool
	loads      map[string]ctlrpc.Load
	views      []canary.View
	limits     map[string]ctlrpc.Limit
	hosts      []string
	// hostsSum is the hash of hosts.
	hostsSum uint64
	overdue  []string
}

// NewReplyBuilder returns a builder that has sent nothing yet.
func NewReplyBuilder() *ReplyBuilder {
	return &ReplyBuilder{sent: map[string]sentState{}, budgets: budget.NewPool(0), permits: warmup.NewLender(0)}
}

// Build returns the reply to an exchange request: a newer configuration, newer drains, rollouts, and changes of the fleet and of
// loads. Configuration, drains and rollouts are left out until this control host has caught up. now is the time since the start of the
// host, which the time of the state may be behind.
func (t *ReplyBuilder) Build(s State, q ctlrpc.ExchangeRequest, now time.Duration) ctlrpc.ExchangeReply {
	t.lock.Lock()
	defer t.lock.Unlock()
	if !t.aggregate.valid || s.Now-t.aggregate.computedAt > maxAggregateAge {
		t.aggregate = aggregate{computedAt: s.Now, valid: true, loads: s.Loads(), views: s.Views(), limits: s.Limits(), hosts: s.HostNames(), overdue: s.Fleet.Overdue(s.Now-overdueHeartbeats*s.Heartbeat, maxOverdue)}
		t.aggregate.hostsSum = ctlrpc.HostsSum(t.aggregate.hosts)
	}
	n := ctlrpc.ExchangeReply{
		Control: s.StartID, Sure: s.Synced, Current: s.Current(), Position: s.Position(), FleetRevision: s.Fleet.Revision, FleetPartial: s.isFleetPartial(now), Entries: len(t.aggregate.hosts), Controls: s.ControlAddresses(),
	}
	if d := s.StateMachine.Document; s.Synced && d.Version > q.Known.TableVersion {
		n.TableVersion, n.Document = d.Version, d.Content
	}
	if s.Synced {
		n.Rollouts = t.aggregate.views
	}
	if s.hasNewerDrains(q.Known) {
		n.Drains = s.At(now).drains()
	}
	n.Limits = t.aggregate.limits
	n.Overdue = t.aggregate.overdue
	if n.PoisonSum = s.sharedPoisonSum; n.PoisonSum != q.Known.PoisonSum {
		n.Poison = s.sharedPoison
	}
	if q.Known.HostsSum != t.aggregate.hostsSum {
		n.Hosts = t.aggregate.hosts
	}
	if q.Known.WantsNeighbours {
		n.Neighbours = s.neighbours(q.Report.Host)
	}
	addFleetChanges(&n, s, q)
	t.addHostChanges(&n, s, q, now)
	return n
}

// isFleetPartial reports whether there may be endpoints that this host hasn't heard of since it has started, because they report to another
// one. Those that have sent nothing for longer are removed at all hosts.
func (s State) isFleetPartial(now time.Duration) bool { return now < maxMissedHeartbeats*s.Heartbeat }

// SentAt returns when the last reply to an entry host was built, or 0 if there was none.
func (t *ReplyBuilder) SentAt(host string) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.sent[host].sentAt
}

// urgentAt returns when the last reply to an entry host was built that told at once that an endpoint has become cold, or 0.
func (t *ReplyBuilder) urgentAt(host string) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.sent[host].urgentAt
}

// noteUrgent records that such a reply was built.
func (t *ReplyBuilder) noteUrgent(host string, now time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if v, ok := t.sent[host]; ok {
		v.urgentAt = now
		t.sent[host] = v
	}
}

// addFleetChanges adds the fleet changes since the revision that the entry host holds. It adds the full fleet when the
// changes since that revision aren't known any more, or when the entry host's fleet comes from another start of a
// control host and has another checksum.
func addFleetChanges(n *ctlrpc.ExchangeReply, s State, q ctlrpc.ExchangeRequest) {
	if q.Known.Control == s.StartID && q.Known.FleetRevision == s.Fleet.Revision {
		return
	}
	n.Reads = s.PrefillTimes()
	if q.Known.Control == s.StartID {
		c, g, ok := s.Fleet.ChangesSince(q.Known.FleetRevision)
		if ok {
			n.Reports, n.Gone = c, g
			return
		}
	}
	if q.Known.Control != s.StartID && q.Known.FleetSum != 0 && q.Known.FleetSum == s.Fleet.FingerprintSum {
		return
	}
	n.FleetNew, n.Reports = true, s.Fleet.Reports()
}

// addHostChanges adds what differs between entry hosts: grants, permits, changes of watched keys, and changes of the loads of other
// entry hosts. A host that holds nothing from this start of the control host gets all loads. A request that is older than the
// last answered one gets none of it and changes no record, because its reply may never arrive.
func (t *ReplyBuilder) addHostChanges(n *ctlrpc.ExchangeReply, s State, q ctlrpc.ExchangeRequest, now time.Duration) {
	r := q.Report
	o, ok := t.sent[r.Host]
	if ok && (isEarlierStart(r.Start, o.start, s.Now-o.sentAt) || r.Start == o.start && r.Sequence < o.sequence) {
		return
	}
	first := !ok || o.start != r.Start || q.Known.Control != s.StartID
	if first {
		o = sentState{}
	}
	n.Loan, n.Grants = t.budgets.Exchange(s.budgetRequest(r, first), now)
	n.Permits = t.permits.Lend(s.permitRequest(r.Host, r.Start, r.WarmUp, now), now)
	n.Watch = s.watch.ChangesFrom(o.watch)
	n.Watch.New = first
	var v sentSpeeds
	n.Speeds, v = t.speeds.speedUpdate(s, q, first, o.speeds)
	l := t.otherLoads(s, r.Host)
	if first {
		n.LoadsNew, n.Loads = true, l
	} else {
		n.Loads = ctlrpc.LoadChanges(o.loads, l, maxLoadChanges)
		l = withLoads(o.loads, n.Loads)
	}
	if d, ok := t.demandFor(s, r.Host, o.demandAt); ok {
		n.Demand, o.demandAt = d, s.Now
	}
	t.recordSent(r.Host, sentState{start: r.Start, sequence: r.Sequence, loads: l, watch: o.watch.With(n.Watch), speeds: v, sentAt: s.Now, urgentAt: o.urgentAt, demandAt: o.demandAt}, s)
}

// budgetRequest returns what the pool of retry budgets has to know of an entry host's report. Nothing is lent by a control host that
// isn't in the control log, or whose disk holds none of its entries: after a start it couldn't be told from one that has lent nothing.
func (s State) budgetRequest(r ctlrpc.HostReport, first bool) budget.Request {
	q := budget.Request{
		Host: r.Host, Start: r.Start, Begin: first, Statements: r.Budget, Holding: r.Holding, New: s.FirstStart, Window: s.RetryWindow,
	}
	q.Controls = s.lenders()
	return q
}

// lenders returns the number of control hosts in the control log, or 0 if this one lends nothing.
func (s State) lenders() int {
	if !s.Log.Peers.Has(s.Node) || s.Log.Stable <= bootstrapIndex {
		return 0
	}
	return len(s.ControlAddresses())
}

// withLoads returns loads after changes. Those that are empty then are left out.
func withLoads(loads, changes map[string]ctlrpc.Load) map[string]ctlrpc.Load {
	r := maps.Clone(loads)
	maps.Copy(r, changes)
	maps.DeleteFunc(r, func(_ string, v ctlrpc.Load) bool { return v == ctlrpc.Load{} })
	return r
}

// otherLoads returns the sum of the loads of all entry hosts except the named one, by endpoint.
func (t *ReplyBuilder) otherLoads(s State, host string) map[string]ctlrpc.Load {
	r := maps.Clone(t.aggregate.loads)
	for e, k := range s.HostLoads(host) {
		if l := r[e].Minus(k); l != (ctlrpc.Load{}) {
			r[e] = l
		} else {
			delete(r, e)
		}
	}
	return r
}

// recordSent stores what was sent to an entry host, and removes the records of hosts that had no exchange
// for hostExpiry.
func (t *ReplyBuilder) recordSent(host string, v sentState, s State) {
	t.sent[host] = v
	if len(t.sent) > sentCleanupSize {
		maps.DeleteFunc(t.sent, func(_ string, o sentState) bool { return o.sentAt+hostExpiry < s.Now })
	}
}
