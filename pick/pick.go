// Package pick chooses the endpoint of a request. The choice depends on the endpoints' own reports, on the load
// that all hosts put on them, and on the results that this host has seen.
package pick

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/limit"
	"github.com/hickoryshelf/hickoryshelf/reach"
	"github.com/hickoryshelf/hickoryshelf/speed"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

const (
	// ejectionBase is how long an endpoint is ejected after ejectThreshold faults in a row. The time doubles with
	// each further fault, up to maxEjection.
	ejectionBase = 300 * time.Millisecond
	maxEjection  = 5 * time.Second
	// unreachableEjectionBase replaces ejectionBase for an endpoint to which a connection failed.
	unreachableEjectionBase = 500 * time.Millisecond
	// ejectThreshold is the number of faults in a row after which an endpoint is ejected.
	ejectThreshold = 2
	// faultWeight is the weight of the newest answer in the moving average of an endpoint's fault rate. The average fades
	// within faultMemory after the last fault, since an endpoint that is avoided gives no new answers.
	faultWeight = 0.12
	faultMemory = 2 * time.Second
	// faultCost is the expected loss of time through a fault. It counts for the faults beyond what chance gives at the mean
	// rate of the service's endpoints, since some kinds of requests fail often wherever they run. chanceDeviations is how
	// many standard deviations chance may give.
	faultCost        = 2500 * time.Millisecond
	chanceDeviations = 2
	// slowdownWeight is the weight of the newest answer in the moving average of an endpoint's slowdown.
	slowdownWeight = 0.15
	// crossCentreCost is added to the cost of an endpoint in another data centre. crossCentreStreamCost replaces it for
	// streams, because a long answer is exposed to packet loss and network cuts for longer.
	crossCentreCost       = 40 * time.Millisecond
	crossCentreStreamCost = 150 * time.Millisecond
	// warmUpCost is added to the cost of an endpoint that reports that it is still slow after its start.
	warmUpCost = 60 * time.Millisecond
	// An endpoint with unanswered requests may be silent for silenceGrace longer than estimated. Silence beyond
	// that adds silenceFactor times its length to the cost of the endpoint.
	silenceGrace  = 150 * time.Millisecond
	silenceFactor = 4
	// perRequestCost is the wait that each request in flight at an endpoint adds to the next request.
	perRequestCost = 2 * time.Millisecond
)

// Request describes a request that needs an endpoint.
type Request struct {
	Service string
	// Slots is the number of requests that an endpoint of the service runs at once; 0 means no limit.
	Slots int
	// Work is the estimated time from sending the request to the start of the answer on an idle endpoint.
	Work time.Duration
	// SlotTime is the estimated time that the request occupies a slot.
	SlotTime time.Duration
	// Stream is set if the answer is a stream of events.
	Stream bool
	// Affinity is a hash of what the request shares with other requests, such as a prompt prefix. CacheSaving is
	// the time that is saved on the endpoint that has this part cached; 0 turns cache affinity off.
	Affinity    uint64
	CacheSaving time.Duration
	// Kind is the route and the model, by which the answers are counted during a rollout.
	Kind string
	// Draw is a random number from 0 to 1, and InSession is set for requests of a session. Both decide whether the
	// request goes to the target version of a rollout.
	Draw      float64
	InSession bool
	// Way is the way by which the request is to be sent. Centres holds the data centres that may be chosen, or is nil for
	// all.
	Way     Way
	Centres map[string]bool
	// Avoided holds the data centres that another host says are drained, which this host may not have heard yet.
	Avoided map[string]bool
	// LinkDraw is a random number from 0 to 1, by which the request uses a link that returns after a cut.
	LinkDraw float64
	// MaxLoadAge is the age up to which the loads of other hosts count, or 0 if they always do.
	MaxLoadAge time.Duration
	// Tried holds the IDs of the endpoints that earlier attempts of the request went to.
	Tried map[string]bool
}

// Choice is the endpoint chosen for a request.
type Choice struct {
	fleet.Endpoint
	// Wait is the estimated time to the start of the answer. Expected is the estimate for an endpoint that is
	// exactly as fast as its model should be.
	Wait     time.Duration
	Expected time.Duration
	// Factor is the endpoint's shared factor of speed at the band of its load, which Wait includes and Expected doesn't. It is 1
	// where hosts don't share speeds.
	Factor float64
	Band   int
	// Load is the known load of the endpoint before the request, and Candidates the number of endpoints compared.
	Load       ctlrpc.Load
	Candidates int
	// Cached is set if the endpoint is expected to have what the request shares with others in its cache.
	Cached bool
	// Cold is set if the request may be sent only under a permit, which was used for it.
	Cold   bool
	permit warmup.Use
}

// endpoint holds the state of an endpoint as this host knows it.
type endpoint struct {
	report fleet.Report
	// local is the load that this host puts on the endpoint.
	local ctlrpc.Load
	// remote is the load of other hosts, as last received from a control host.
	remote ctlrpc.Load
	// faultRate is the moving average of faults per answer at lastFault, the time of the last fault.
	faultRate float64
	lastFault time.Time
	// paths holds what speaks against the endpoint on each way to it.
	paths [wayCount]pathHealth
	// openFailingSince is when the first opening of a connection failed since the last one that succeeded, and openFailedAt
	// when the last one failed. Both are zero if the last one succeeded.
	openFailingSince, openFailedAt time.Time
	// probedAt is when the endpoint last answered on a new connection, to a request or a probe.
	probedAt time.Time
	// slowdown is the moving average of the measured wait divided by the expected wait. With a shared factor of speed, it is
	// what this host has seen beyond that.
	slowdown float64
	factor   speed.Factor
	// slots is Request.Slots of the last choice of the endpoint.
	slots int
	// preference is by how much this host prefers the endpoint to other hosts, below 1 if it does, or 0 where hosts don't share
	// speeds.
	preference float64
	// lastActive is the time of the endpoint's last sign of activity. unanswered counts the requests whose answer
	// hasn't begun. silentSince is the time since which the endpoint has been silent while it had unanswered
	// requests.
	lastActive  time.Time
	unanswered  int
	silentSince time.Time
	// answeredSentAt is when the newest request was sent that the endpoint has begun to answer.
	answeredSentAt time.Time
	// turnedAway holds when the endpoint turned requests of this host away within turnedAwayTime, while its service is brittle.
	turnedAway []time.Time
	// limit is what the endpoint's answers say about its limit, and bucket counts what this host may send within it.
	limit  limit.Named
	bucket limit.Bucket
	// rests holds the rest that the endpoint has asked for on each way, and relayed counts the requests in flight that this
	// host sends for others.
	rests   [wayCount]limit.Rest
	relayed int
	// leaving is set once an answer has said that the endpoint leaves. It is for good.
	leaving bool
	// replaced is set once a different process has answered at the endpoint's address.
	replaced bool
	// removed is set once the control hosts no longer know the endpoint.
	removed bool
	// drained is set while the endpoint's data centre is drained.
	drained bool
	// cold is set if the endpoint counted as cold when that was last asked, and warmAt is when it last ceased to.
	cold   bool
	warmAt time.Time
	// coldAsked is the number of the call in which that was last asked.
	coldAsked uint64
	// chosenAt is the number of the last choice of the endpoint among those of its service.
	chosenAt uint64
}

// Set holds the endpoints that a host knows. It is safe for concurrent use.
type Set struct {
	dataCentre string
	lock       sync.Mutex
	endpoints  map[string]*endpoint
	// loadsAt is when the loads of other hosts were last received.
	loadsAt  time.Time
	rollouts map[string]canary.View
	// startTimes holds the time at which each running rollout was ordered, by serial.
	startTimes map[uint64]time.Time
	// links holds this host's links to the endpoints of each service in each data centre.
	links map[ctlrpc.Pool]reach.Link
	// linkChanges holds the changes of links since the last call of TakeLinkChanges.
	linkChanges []LinkChange
	// answeredAt holds when this host last got an answer or opened a connection directly.
	answeredAt map[ctlrpc.Pool]time.Time
	hosts      hostList
	// slowdownsFadedAt is when the slowdowns last faded, or the zero time where hosts don't share speeds.
	slowdownsFadedAt time.Time
	// factors holds what the control hosts last sent of factors of speed other than 1, by endpoint ID.
	factors map[string]speed.Factor
	// speedsHeardAt is when a control host that shares speeds was last heard, or the zero time if none was. factorWeight is the
	// exponent with which factors count since then, from 1 to 0.
	speedsHeardAt time.Time
	factorWeight  float64
	// departed holds the endpoints that are leaving or have departed, by ID, so that a control host with stale
	// state can't restore them.
	departed map[string]departure
	// leavers holds the endpoints whose answers have said that they leave, by ID: that isn't in their reports, which may come from a control
	// host after this host has dropped the endpoint.
	leavers map[string]leaver
	drains  drainState
	cold    coldState
	// brittle holds what the endpoints of a service say about how many requests they may turn away.
	brittle map[string]*brittleness
}

// NewSet returns an empty set for a host in a data centre.
func NewSet(dataCentre string) *Set {
	return &Set{dataCentre: dataCentre, factorWeight: 1, endpoints: map[string]*endpoint{}, rollouts: map[string]canary.View{}, startTimes: map[uint64]time.Time{}, links: map[ctlrpc.Pool]reach.Link{}, answeredAt: map[ctlrpc.Pool]time.Time{}, departed: map[string]departure{}, leavers: map[string]leaver{}, brittle: map[string]*brittleness{}}
}

// Choose returns the endpoint with the lowest cost, and counts the request as in flight there until RequestEnded.
// ok is false if no endpoint may take the request.
func (s *Set) Choose(q Request, now time.Time) (c Choice, ok bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.cold.begin()
	b, l := s.best(q, now)
	s.wish(q, b, now)
	if b == nil {
		return c, false
	}
	s.usePermit(b, now, &c)
	s.countChoice(b)
	c.Wait, c.Expected = s.estimate(b, q), s.expected(b, q)
	c.Factor, c.Band = s.speedFactor(b, q)
	c.Endpoint.Report, c.Load, c.Candidates = b.report, b.local.Plus(b.remote), len(l)
	c.Cached = q.CacheSaving > 0 && s.hasAffinity(b, q)
	b.slots = q.Slots
	b.local.Requests++
	if b.limit.Rate > 0 {
		b.bucket = b.bucket.WithRequest()
	}
	if b.unanswered++; b.unanswered == 1 {
		b.silentSince = now
	}
	b.local.Backlog += int(q.Work.Milliseconds())
	return c, true
}

// best returns the endpoint with the lowest cost, or nil, and the endpoints compared. This host's preference decides only if the
// endpoint with the lowest cost isn't the one that has what the request shares with others in its cache.
func (s *Set) best(q Request, now time.Time) (*endpoint, []*endpoint) {
	s.ageFactors(now)
	l := s.candidates(q, now)
	f := usualFaultRate(l, now)
	var b, p *endpoint
	var m, o time.Duration
	for _, n := range l {
		e := s.estimate(n, q)
		k := s.cost(n, q, n.currentFaultRate(now)-f) + n.silencePenalty(now, e)
		if b == nil || k < m {
			b, m = n, k
		}
		if k += n.preferencePenalty(e); p == nil || k < o {
			p, o = n, k
		}
	}
	if p != b && q.CacheSaving > 0 && s.hasAffinity(b, q) {
		return b, l
	}
	return p, l
}

// Wait returns the estimated time to the start of the answer at the endpoint that Choose would return. ok is false if there
// is none, or only ones that are ejected.
func (s *Set) Wait(q Request, now time.Time) (wait time.Duration, ok bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.cold.begin()
	b, _ := s.best(q, now)
	if b == nil {
		s.wish(q, nil, now) // no choice follows
	}
	if b == nil || s.ejected(b, q, now) {
		return 0, false
	}
	return s.estimate(b, q), true
}

// candidates returns the endpoints that may take the request. Ejected endpoints are returned only if all are
// ejected; endpoints that were tried before, or whose limit is used up, never.
func (s *Set) candidates(q Request, now time.Time) []*endpoint {
	v, ok := s.rollouts[q.Service]
	if !ok {
		return s.preferUsable(s.untried(q, nil), q, now)
	}
	t := s.goesToTarget(v, q)
	l := s.untried(q, ofVersion(v, t))
	if c := s.preferUsable(l, q, now); len(c) > 0 {
		return c
	}
	// A limit may send requests back to the proven version, but not to the target beyond its share.
	if len(l) > 0 && !t || !s.mayUseOtherVersion(v, t) {
		return nil
	}
	return s.preferUsable(s.untried(q, ofVersion(v, !t)), q, now)
}

// ofVersion returns the condition that an endpoint runs the target version of a rollout, or another one that may run.
func ofVersion(v canary.View, target bool) func(*endpoint) bool {
	return func(n *endpoint) bool { return (n.report.Version == v.Target) == target && v.MayRun(n.report.Version) }
}

// untried returns the endpoints that serve the request, weren't tried before and meet the condition, if it isn't nil.
func (s *Set) untried(q Request, condition func(*endpoint) bool) []*endpoint {
	l := make([]*endpoint, 0, len(s.endpoints))
	for _, n := range s.endpoints {
		if n.serves(q.Service) && !q.Tried[n.report.ID] && !q.Avoided[n.report.DataCentre] && (q.Centres == nil || q.Centres[n.report.DataCentre]) && (condition == nil || condition(n)) {
			l = append(l, n)
		}
	}
	return l
}

// preferUsable returns the endpoints that aren't ejected, or else those whose links aren't cut, or else all. Endpoints that
// rest, whose limit leaves no request, or that are cold without a permit, are never returned.
func (s *Set) preferUsable(endpoints []*endpoint, q Request, now time.Time) []*endpoint {
	var usable, linked, all []*endpoint
	for _, n := range endpoints {
		if s.lacksPermit(n, q.Way, now) || s.limited(n, now) || s.lacksPlace(n, now) || n.mustRest(q.Way, now) {
			continue
		}
		all = append(all, n)
		if q.Way == Direct && s.avoidsLink(n, q, now) {
			continue
		}
		if linked = append(linked, n); !s.ejected(n, q, now) {
			usable = append(usable, n)
		}
	}
	switch {
	case len(usable) > 0:
		return s.spread(preferRamped(usable, q, now), q)
	case len(linked) > 0:
		return linked
	}
	return all
}

// serves reports whether the endpoint takes requests of a service. All that choose or count endpoints, or select them for probes of links, ask
// here, so that those of a drained data centre get nothing. What sends to an endpoint that was chosen before asks InDrainedCentre: helpers,
// and probes of endpoints where runs broke off.
func (n *endpoint) serves(service string) bool { return !n.drained && n.runs(service) }

// runs reports whether the endpoint would take requests of a service if its data centre weren't drained.
func (n *endpoint) runs(service string) bool {
	return !n.replaced && !n.removed && !n.leaving && n.report.Service == service && n.report.Phase == fleet.Ready
}

// ejected reports whether the endpoint is ejected on the way of the request, or its link is to be avoided.
func (s *Set) ejected(n *endpoint, q Request, now time.Time) bool {
	return !now.After(n.paths[q.Way].ejectedUntil) || q.Way == Direct && s.avoidsLink(n, q, now)
}

// goesToTarget reports whether a request goes to the target version of a rollout.
func (s *Set) goesToTarget(v canary.View, q Request) bool {
	return q.Draw < v.Plan.Share(q.Kind, q.InSession)
}

// mayUseOtherVersion reports whether a request may go to the other version if its own version has no endpoint.
// target is set if its own version is the target of the rollout. Requests for the old version may not go to a
// target that was rolled back, or that sessions may not use yet. Where drains withhold the endpoints of the old version, they may go to the
// target only once its evidence is good: a drain isn't to send more requests to it than the bound of its trial.
func (s *Set) mayUseOtherVersion(v canary.View, target bool) bool {
	switch {
	case target:
		return true
	case v.Outcome == canary.RolledBack || v.Plan.Bound == 0:
		return false
	}
	return v.Outcome != canary.Running || v.Proven || s.drainedCount(v.Service, ofVersion(v, false)) == 0
}

// estimate returns the estimated time to the start of the answer.
func (s *Set) estimate(n *endpoint, q Request) time.Duration {
	f, _ := s.speedFactor(n, q)
	return time.Duration(float64(s.expected(n, q)) * f * n.slowdown)
}

// load returns the load of an endpoint that counts for a request.
func (s *Set) load(n *endpoint, q Request) ctlrpc.Load {
	if q.MaxLoadAge > 0 && time.Since(s.loadsAt) > q.MaxLoadAge {
		return n.local
	}
	return n.local.Plus(n.remote)
}

// expected returns the same estimate for an endpoint that is exactly as fast as its model should be.
func (s *Set) expected(n *endpoint, q Request) time.Duration {
	l := s.load(n, q)
	w := q.Work + time.Duration(l.Backlog)*time.Millisecond + time.Duration(l.Requests)*perRequestCost
	if q.CacheSaving > 0 && s.hasAffinity(n, q) {
		w -= q.CacheSaving
	}
	if k := l.Requests + 1 - q.Slots; q.Slots > 0 && k > 0 {
		w += time.Duration(float64(q.SlotTime) * float64(k) / float64(q.Slots))
	}
	return w
}

// currentFaultRate returns the fault rate, faded by the time since the last fault.
func (n *endpoint) currentFaultRate(now time.Time) float64 {
	return n.faultRate * math.Exp(-now.Sub(n.lastFault).Seconds()/faultMemory.Seconds())
}

// usualFaultRate returns the fault rate that an endpoint may have by chance if all have the same, or 0 if there are none.
func usualFaultRate(l []*endpoint, now time.Time) float64 {
	var t float64
	for _, n := range l {
		t += n.currentFaultRate(now)
	}
	m := t / float64(max(1, len(l)))
	return m + chanceDeviations*math.Sqrt(m*(1-m)*faultWeight/(2-faultWeight))
}

// cost returns the estimate plus the penalties for faults beyond the usual rate (unusualFaults a run), for another data
// centre and for warming up.
func (s *Set) cost(n *endpoint, q Request, unusualFaults float64) time.Duration {
	w := s.estimate(n, q) + time.Duration(max(0, unusualFaults)*float64(faultCost))
	if n.report.DataCentre != s.dataCentre {
		w += s.crossCentrePenalty(q)
	}
	if n.report.ColdLeft > 0 && !s.ignoresWarmUpCost(n, q) {
		w += warmUpCost
	}
	return w
}

// crossCentrePenalty returns the cost of sending a request to another data centre.
func (s *Set) crossCentrePenalty(q Request) time.Duration {
	if q.Stream {
		return crossCentreStreamCost
	}
	return crossCentreCost
}

// hasAffinity reports whether the endpoint is the preferred one for the request's affinity (rendezvous hashing).
func (s *Set) hasAffinity(n *endpoint, q Request) bool {
	w := rendezvousWeight(n.report.ID, q.Affinity)
	for _, o := range s.endpoints {
		if o != n && o.report.Service == q.Service && o.report.Phase == fleet.Ready && !o.drained && rendezvousWeight(o.report.ID, q.Affinity) > w {
			return false
		}
	}
	return true
}

// rendezvousWeight returns the weight of an endpoint for an affinity; the endpoint with the highest weight is
// preferred.
func rendezvousWeight(id string, affinity uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id) // Digest never returns an error
	return mix64(d.Sum64() ^ affinity)
}

// mix64 is the 64-bit finalizer of MurmurHash3, which spreads changes of any bit over all bits.
func mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// AnswerStarted records that an endpoint began to answer a request. work is the Work that was passed to Choose.
func (s *Set) AnswerStarted(id string, work time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if n, ok := s.endpoints[id]; ok {
		n.unanswered = max(0, n.unanswered-1)
		n.local.Backlog = max(0, n.local.Backlog-int(work.Milliseconds()))
	}
}

// RequestEnded records that a request is no longer in flight.
func (s *Set) RequestEnded(id string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if n, ok := s.endpoints[id]; ok {
		n.local.Requests = max(0, n.local.Requests-1)
		s.freePlace(n.report.Service)
		s.deleteIfIdle(id, n)
	}
}
