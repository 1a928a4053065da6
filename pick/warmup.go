package pick

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

const (
	// coldWishTime is how long this host goes on asking for a permit after a request would have used it.
	coldWishTime = 500 * time.Millisecond
	// rampTime is how long after its warm-up an endpoint gets a growing share of the requests for which it would be chosen.
	rampTime = 2 * time.Second
	// coldWait is when a request may come back if all endpoints that could take it are cold and this host has no permit.
	coldWait = 250 * time.Millisecond
	// coldTrialShare is the share of requests that may go to a cold endpoint though warm ones are faster.
	coldTrialShare = 0.1
	// maxControlSilence is how long after the last reply of a control host this host counts as out of touch. Replies come some times a second.
	maxControlSilence = time.Second
	// reuseAfterShare is the part of a service's endpoints that a host which is out of touch uses before it uses one of them again.
	reuseAfterShare = 0.75
	// restartTime is how long after a refused connection an endpoint may have started again without this host's notice.
	restartTime = 2 * time.Second
	// restartRefusals is the number of connections, each tried after the refusal of the one before, whose refusal makes an endpoint count as
	// ended. One that refuses connections beyond its limit answers on others in between.
	restartRefusals = 2
	// staleTime is how long, beyond cold-s, a host waits for a later report after the time that the newest one named as left, before it
	// believes its control host that the endpoint is warm. Endpoints report about each second.
	staleTime = 3 * time.Second
	// maxColdChanges bounds the changes that are kept until they are taken.
	maxColdChanges = 64
)

// ColdLimit is the limit of the cold endpoints of a service.
type ColdLimit struct {
	// Rate is the number of requests a second that a cold endpoint takes, above 0.
	Rate float64
	// Time is how long an endpoint is cold after its start if its reports don't say.
	Time time.Duration
}

// ColdChange is a change of an endpoint to cold or to warm, as this host sees it.
type ColdChange struct {
	fleet.Report
	Cold bool
}

// ColdCounts counts what cold endpoints got and didn't get.
type ColdCounts struct {
	// Held is the number of permits held, Used that of requests under one, and PassedOver that of choices of another endpoint, or of
	// none, for lack of a permit.
	Held             int
	Used, PassedOver uint64
}

// coldState is what a Set knows of cold endpoints. Without a clock the limits are off.
type coldState struct {
	// now is the clock of leases, which goes on while the machine is suspended.
	now func() time.Duration
	// at is the time of that clock, and asked the number, of the call that asks now which endpoints are cold. anyCold is set if it has
	// found one.
	at      time.Duration
	asked   uint64
	anyCold bool
	limits  map[string]ColdLimit
	holder  *warmup.Holder
	// starts holds the newest start of each endpoint, by ID.
	starts map[string]*start
	// centres holds until when the endpoints of a data centre count as cold.
	centres map[string]time.Time
	// wishes holds when a request would last have gone to a cold endpoint, by ID.
	wishes  map[string]time.Duration
	changes []ColdChange
	counts  ColdCounts
	// controlRepliedAt is when a control host replied last that could tell the newest state.
	controlRepliedAt time.Duration
	// choices counts the choices of endpoints by service.
	choices map[string]uint64
}

// LimitCold makes cold endpoints take requests only under permits. now is the clock of their leases. It has to be called before
// endpoints are known.
func (s *Set) LimitCold(now func() time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.cold = coldState{
		now: now, holder: warmup.NewHolder(), starts: map[string]*start{}, centres: map[string]time.Time{}, wishes: map[string]time.Duration{}, choices: map[string]uint64{},
	}
}

// SetColdLimits sets the limits of cold endpoints by service. Services without one have none.
func (s *Set) SetColdLimits(limits map[string]ColdLimit) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.cold.limits = maps.Clone(limits)
}

// begin begins a call that asks which endpoints are cold. All that it asks holds for one time: the clock costs a system call.
func (c *coldState) begin() {
	if c.now != nil {
		c.at = c.now()
		c.asked++
		c.anyCold = false
	}
}

// TreatAsCold makes the endpoints of a data centre count as cold until a time, whatever they report.
func (s *Set) TreatAsCold(dataCentre string, until time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.cold.now != nil && until.After(s.cold.centres[dataCentre]) {
		s.cold.centres[dataCentre] = until
	}
}

// forget deletes what is known of the starts of endpoints that are gone for longer than reports can be delayed.
func (c *coldState) forget(endpoints map[string]*endpoint) {
	if c.now == nil {
		return
	}
	n := c.at
	for i, o := range c.starts {
		if endpoints[i] != nil {
			o.knownAt = n
		}
		if n-o.knownAt > departureRetention {
			delete(c.starts, i)
		}
	}
	maps.DeleteFunc(c.wishes, func(_ string, t time.Duration) bool { return n-t > coldWishTime })
}

// isCold reports whether an endpoint counts as cold, so that requests to it need a permit. It records changes. Within a call that begin
// has begun, it decides once for each endpoint.
func (s *Set) isCold(n *endpoint, now time.Time) bool {
	c := &s.cold
	if c.now == nil {
		return false
	}
	if n.coldAsked == c.asked {
		return n.cold
	}
	l, ok := c.limits[n.report.Service]
	if !ok {
		return false
	}
	v := now.Before(c.centres[n.report.DataCentre]) || s.startIsCold(n, l)
	n.coldAsked = c.asked
	c.anyCold = c.anyCold || v
	if v != n.cold {
		n.cold = v
		if !v {
			n.warmAt = now
		}
		if len(c.changes) < maxColdChanges {
			c.changes = append(c.changes, ColdChange{n.report, v})
		}
	}
	return v
}

// lacksPermit reports whether an endpoint is cold and this host may not send to it now. Requests that go through other hosts never
// use a permit: the time between the choice and the sending isn't bounded for them.
func (s *Set) lacksPermit(n *endpoint, way Way, now time.Time) bool {
	return s.isCold(n, now) && (way != Direct || !s.cold.holder.Ready(n.report.ID, s.cold.at))
}

// usePermit uses a permit if the endpoint is cold. It is called right after lacksPermit was false.
func (s *Set) usePermit(n *endpoint, now time.Time, c *Choice) {
	if !s.isCold(n, now) {
		return
	}
	c.permit, c.Cold = s.cold.holder.Use(n.report.ID, s.cold.at)
	s.cold.counts.Used++
}

// wish records the cold endpoints that a request would have gone to by their cost, or has gone to.
func (s *Set) wish(q Request, chosen *endpoint, now time.Time) {
	if !s.cold.anyCold || q.Way != Direct {
		return
	}
	t, missed := s.cold.at, false
	var most time.Duration // the cost of the chosen one
	if chosen != nil {
		most = s.cost(chosen, q, 0)
	}
	for _, n := range s.eligibleNow(q) {
		if !s.isCold(n, now) || s.limited(n, now) || n.mustRest(q.Way, now) || s.ejected(n, q, now) {
			continue
		}
		if n == chosen || chosen == nil || s.cost(n, q, 0) <= most {
			s.cold.wishes[n.report.ID] = t
			missed = missed || n != chosen
		}
	}
	if missed {
		s.cold.counts.PassedOver++
	}
}

// ignoresWarmUpCost reports whether a request may go to a cold endpoint though warm ones are faster, so that cold ones get few requests but not
// none.
func (s *Set) ignoresWarmUpCost(n *endpoint, q Request) bool {
	_, ok := s.cold.limits[n.report.Service]
	return ok && s.cold.now != nil && q.LinkDraw < coldTrialShare
}

// eligibleNow returns the endpoints of the request's version that weren't tried.
func (s *Set) eligibleNow(q Request) []*endpoint {
	v, ok := s.rollouts[q.Service]
	if !ok {
		return s.untried(q, nil)
	}
	return s.untried(q, ofVersion(v, s.goesToTarget(v, q)))
}

// RecordControlReply records that a control host has replied that can tell the newest state.
func (s *Set) RecordControlReply() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.cold.now != nil {
		s.cold.controlRepliedAt = s.cold.now()
	}
}

// countChoice counts the choice of an endpoint.
func (s *Set) countChoice(n *endpoint) {
	if s.cold.now != nil {
		s.cold.choices[n.report.Service]++
		n.chosenAt = s.cold.choices[n.report.Service]
	}
}

// spread returns the endpoints that were not chosen lately if this host is out of touch, unless there are none. It then doesn't hear that an
// endpoint became cold, and finds that one idle by the loads that it knows: it must not send all there.
func (s *Set) spread(endpoints []*endpoint, q Request) []*endpoint {
	c := &s.cold
	if _, ok := c.limits[q.Service]; !ok || c.now == nil || c.at < c.controlRepliedAt+maxControlSilence {
		return endpoints
	}
	least, k := uint64(float64(len(endpoints))*reuseAfterShare), c.choices[q.Service]
	var r []*endpoint
	for _, n := range endpoints {
		if n.chosenAt == 0 || k-n.chosenAt >= least {
			r = append(r, n)
		}
	}
	if len(r) == 0 {
		return endpoints
	}
	return r
}

// preferRamped returns the endpoints without those that have warmed up a moment ago and don't get this request yet, unless there are no
// others.
func preferRamped(endpoints []*endpoint, q Request, now time.Time) []*endpoint {
	if !slices.ContainsFunc(endpoints, func(n *endpoint) bool { return n.skipsRamp(q, now) }) {
		return endpoints
	}
	var r []*endpoint
	for _, n := range endpoints {
		if !n.skipsRamp(q, now) {
			r = append(r, n)
		}
	}
	if len(r) == 0 {
		return endpoints
	}
	return r
}

// skipsRamp reports whether the endpoint has warmed up a moment ago and doesn't get this request yet. Its share of requests grows with
// the square of the time, since all hosts find it idle at first.
func (n *endpoint) skipsRamp(q Request, now time.Time) bool {
	if n.warmAt.IsZero() || n.cold {
		return false
	}
	e := now.Sub(n.warmAt).Seconds() / rampTime.Seconds()
	return e < 1 && q.LinkDraw >= e*e
}

// ColdWishes returns what this host asks control hosts to lend: the cold endpoints that requests would have used lately. Those for which
// it holds a permit come first.
func (s *Set) ColdWishes(now time.Time) []warmup.Wish {
	s.lock.Lock()
	defer s.lock.Unlock()
	c := &s.cold
	if c.now == nil {
		return nil
	}
	c.begin()
	c.forget(s.endpoints)
	t := c.at
	var r []warmup.Wish
	for i := range c.wishes {
		n, ok := s.endpoints[i]
		if !ok || !s.isCold(n, now) {
			continue
		}
		r = append(r, warmup.Wish{Endpoint: i, Rate: c.limits[n.report.Service].Rate})
	}
	rand.Shuffle(len(r), func(a, b int) { r[a], r[b] = r[b], r[a] })
	slices.SortStableFunc(r, func(a, b warmup.Wish) int {
		return cmp.Compare(rankOf(c.holder.Has(a.Endpoint, t)), rankOf(c.holder.Has(b.Endpoint, t)))
	})
	return r[:min(len(r), warmup.MaxWishes)]
}

// rankOf returns the place of endpoints with a permit, and of those without.
func rankOf(held bool) int {
	if held {
		return 0
	}
	return 1
}

// AcceptPermits takes over what a control host has lent in reply to wishes that this host sent at a time of the clock of LimitCold.
func (s *Set) AcceptPermits(control string, permits []warmup.Permit, sent time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.cold.now != nil {
		s.cold.holder.Accept(control, permits, sent, s.cold.now())
	}
}

// ReturnPermit takes back the use of the permit of a choice, if there is one, whose request wasn't sent and never will be.
func (s *Set) ReturnPermit(c Choice) {
	if !c.Cold {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.cold.holder.Return(c.permit)
	s.cold.counts.Used--
}

// MayStillSend reports whether a request may be sent now to the endpoint that was chosen for it. Under a permit it has to be sent soon
// after the choice, and without one the endpoint must not have become cold since then.
func (s *Set) MayStillSend(c Choice, now time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if c.Cold {
		return s.cold.now() <= c.permit.SendBy()
	}
	n, ok := s.endpoints[c.ID]
	s.cold.begin()
	return !ok || !s.isCold(n, now)
}

// IsCold reports whether an endpoint is cold, so that a request of another host must not be sent to it.
func (s *Set) IsCold(id string, now time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.cold.begin()
	n, ok := s.endpoints[id]
	return ok && s.isCold(n, now)
}

// MayProbe reports whether a probe may be sent to an endpoint, and uses a permit if it is cold.
func (s *Set) MayProbe(id string, now time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	s.cold.begin()
	if !ok || !s.isCold(n, now) {
		return true
	}
	_, ok = s.cold.holder.Use(id, s.cold.at)
	return ok
}

// ColdCounts returns what cold endpoints got and didn't get.
func (s *Set) ColdCounts() ColdCounts {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := s.cold.counts
	if s.cold.now != nil {
		r.Held = s.cold.holder.Held(s.cold.now())
	}
	return r
}

// TakeColdChanges returns the changes of endpoints to cold or to warm since the last call, in their order.
func (s *Set) TakeColdChanges() []ColdChange {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := s.cold.changes
	s.cold.changes = nil
	return r
}

// warm returns the endpoints, by ID, that aren't cold. Others are probed only under a permit.
func (s *Set) warm(ids []string, now time.Time) []string {
	return slices.DeleteFunc(ids, func(i string) bool { return s.isCold(s.endpoints[i], now) })
}
