package poison

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pendingRetention is how long a request that broke off waits for the news that its endpoint has ended, and maxPending
	// bounds their number.
	pendingRetention = 5 * time.Second
	maxPending       = 4096
	// openEndedRetention replaces pendingRetention for runs that may have been complete.
	openEndedRetention = 500 * time.Millisecond
	// endingTime is how long endpoints of a service are watched after the news that one has ended.
	endingTime = 10 * time.Second
	// askedInterval is the least time between two reports that a rule is in use.
	askedInterval = 30 * time.Second
)

// Run is one run of a request at an endpoint.
type Run struct {
	Boot    Boot
	Service string
	Keys    []Key
	Account string
	// Age is the time from the start of the answer, or from sending the request if there is none, to now.
	Age time.Duration
	// Answering is set if the endpoint had begun to answer.
	Answering bool
	// OpenEnded is set if the answer may be complete: it ended with its connection and has no length.
	OpenEnded bool
	// Endpoints is the number of endpoints of the service, and Hosts that of the entry hosts. Both are at least 1.
	Endpoints, Hosts int
}

// Observer observes the requests of one entry host. It is safe for concurrent use. The times given to its methods are
// those since the start of the host.
type Observer struct {
	lock  sync.Mutex
	state State
	// usages holds the use of keys. olderUsages holds those of before usages was full.
	usages, olderUsages map[Key]usage
	// services holds the use of services.
	services map[string]usage
	// pending holds the runs that broke off at endpoints of which it isn't known whether they have ended.
	pending map[Boot][]pendingRun
	waiting int
	// endedAt holds when an endpoint of a service was last found to have ended.
	endedAt map[string]time.Duration
	// clearing counts the requests with suspected keys that were served since the last crash.
	clearing map[Key]int
	// changedEnds and changedCases are what the next report has to hold.
	changedEnds  map[Boot]bool
	changedCases map[Key]bool
	// watch holds the keys that the control host suspects, and servedAt when requests with such a key were served, as the
	// next report has to hold it.
	watch    Watch
	servedAt map[Key]time.Duration
	// reportedServed is what the last report held of servedAt.
	reportedServed map[Key]time.Duration
	// counter counts the requests that are served or answered for long while keys are suspected.
	counter survivorCounter
	rules   atomic.Pointer[[]Rule]
	// suspects holds the hashes of the requests that have ended as many endpoints as a verdict needs at least.
	suspects atomic.Pointer[map[uint64]bool]
	// heads holds the hashes of the heads of the requests against which anything is known.
	heads atomic.Pointer[map[uint64]bool]
}

// pendingRun is a run that broke off.
type pendingRun struct {
	run Run
	at  time.Duration
	// crashes holds the crash of each key of the run that results if the endpoint has ended.
	crashes []Crash
}

// NewObserver returns an observer that knows nothing.
func NewObserver() *Observer {
	return &Observer{
		usages: map[Key]usage{}, services: map[string]usage{}, pending: map[Boot][]pendingRun{}, endedAt: map[string]time.Duration{}, clearing: map[Key]int{}, changedEnds: map[Boot]bool{}, changedCases: map[Key]bool{}, servedAt: map[Key]time.Duration{},
		state: State{ends: map[Boot]End{}, cases: map[Key]Case{}}, counter: newSurvivorCounter(),
	}
}

// Started records a request with keys. The runs of one request count once.
func (o *Observer) Started(service string, keys []Key, now time.Duration) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.services[service] = o.services[service].withStart(now)
	for _, k := range keys {
		o.setUsage(k, o.usage(k).withStart(now))
	}
}

// usage returns the use of a key, or none.
func (o *Observer) usage(k Key) usage {
	u, ok := o.usages[k]
	if !ok {
		u = o.olderUsages[k]
	}
	return u
}

// usageLimit returns the use of a key, or that of its head, which is at least as high, if the key isn't counted.
func (o *Observer) usageLimit(k Key) usage {
	u := o.usage(k)
	if k.Kind == Request && u.total == 0 {
		u = o.usage(k.headKey())
		u.answers = 0 // answers to other requests clear nothing
	}
	return u
}

// setUsage stores the use of a key. Once maxUsages keys are stored, those that aren't used until as many others are
// forgotten.
func (o *Observer) setUsage(k Key, u usage) {
	if len(o.usages) >= maxUsages/2 {
		o.usages, o.olderUsages = map[Key]usage{}, o.usages
	}
	o.usages[k] = u
}

// Served records that a request with keys got an answer that is known to be complete. Keys that enough requests were
// served with are suspected no longer; they are returned if a verdict ends with that.
func (o *Observer) Served(service string, keys []Key, now time.Duration) (lifted []Key) {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.recordServed(service, keys, now)
}

// recordServed is Served for a caller that holds the lock.
func (o *Observer) recordServed(service string, keys []Key, now time.Duration) (lifted []Key) {
	o.services[service] = o.services[service].withServed(now)
	o.counter.setActive(o.counter.active || len(o.watch.keys) > 0)
	o.counter.add(counted{service: service}, survivorsOf(maxSuspectAge))
	for _, k := range keys {
		u := o.usage(k).withServed(now)
		o.setUsage(k, u)
		o.countSurvivor(service, k, maxSuspectAge)
		o.recordWatched(k, u)
		c, ok := o.state.cases[k]
		if !ok || c.count() == 0 {
			continue
		}
		if o.clearing[k]++; o.clearing[k] < clearingAnswers {
			continue
		}
		if c.InForce() {
			lifted = append(lifted, k)
		}
		o.setCase(k, c.WithCleared())
		delete(o.clearing, k)
		o.updateRules()
	}
	return lifted
}

// countSurvivor counts a request with a key that was answered for some time, if the key is watched.
func (o *Observer) countSurvivor(service string, k Key, age time.Duration) {
	if len(o.watch.keys) == 0 {
		return
	}
	if h := k.sum(); o.watch.index[h].Sum == h {
		o.counter.add(counted{service, h}, survivorsOf(age))
	}
}

// recordWatched remembers for the next report since when requests with a watched key were served.
func (o *Observer) recordWatched(k Key, u usage) {
	if len(o.watch.keys) == 0 || u.answers < clearingAnswers {
		return
	}
	if _, ok := o.watch.index[k.sum()]; ok {
		o.servedAt[k] = u.served[clearingAnswers-1]
	}
}

// hasSuspicion reports whether the control host suspects keys, or an endpoint was found to have ended lately.
func (o *Observer) hasSuspicion(now time.Duration) bool {
	if len(o.watch.keys) > 0 {
		return true
	}
	for _, t := range o.endedAt {
		if now-t <= endingTime {
			return true
		}
	}
	return false
}

// setCase stores a case for the next report. The caller calls updateRules at the end.
func (o *Observer) setCase(k Key, c Case) {
	o.state.cases[k] = c
	o.changedCases[k] = true
}

// updateRules puts the rules of the state in force.
func (o *Observer) updateRules() {
	r := o.state.Rules()
	o.rules.Store(&r)
	h, u := o.watch.heads(), map[uint64]bool{}
	for _, k := range o.watch.keys {
		u[k.Sum] = k.Suspect
	}
	for k, c := range o.state.cases {
		if k.Kind == Request && (c.InForce() || c.count() > 0) {
			h[k.headKey().sum()] = true
			u[k.sum()] = u[k.sum()] || c.count() >= thresholds[Request].crashes
		}
	}
	o.heads.Store(&h)
	o.suspects.Store(&u)
}

// Broke records that a run broke off. Its request is a suspect if Ended follows for the same start of the endpoint.
func (o *Observer) Broke(r Run, now time.Duration) {
	o.lock.Lock()
	defer o.lock.Unlock()
	p := pendingRun{run: r, at: now}
	if r.Answering {
		o.counter.add(counted{service: r.Service}, survivorsOf(r.Age))
	}
	for _, k := range r.Keys {
		p.crashes = append(p.crashes, o.crash(k, r, now))
		if r.Answering {
			o.countSurvivor(r.Service, k, r.Age)
		}
	}
	if _, ok := o.state.ends[r.Boot]; ok {
		o.recordCrash(p)
		o.updateRules()
		return
	}
	o.expirePending(now)
	if o.waiting < maxPending {
		o.pending[r.Boot] = append(o.pending[r.Boot], p)
		o.waiting++
	}
}

// crash returns what the end of the run's endpoint says about a key of the run. It is cleared if requests with the key
// were served lately, or if it is a part and the service serves nothing else either. Requests are judged by the ends
// without them instead.
func (o *Observer) crash(k Key, r Run, now time.Duration) Crash {
	u, s := o.usageLimit(k), o.services[r.Service]
	n, v := u.rate(now), u.servedLately(now)
	d := !v && k.Kind == Part && s.starved(u.total, now)
	return Crash{
		Age: r.Age, Rate: n * float64(max(1, r.Hosts)), Share: min(1, n/s.rate(now)), Endpoints: max(1, r.Endpoints),
		Cleared: v || d, Starved: d, Account: r.Account,
	}
}

// expirePending forgets the runs whose endpoints haven't ended.
func (o *Observer) expirePending(now time.Duration) {
	for b, l := range o.pending {
		if now-l[0].at > pendingRetention {
			o.waiting -= len(l)
			delete(o.pending, b)
		}
	}
}

// Pending returns the starts of endpoints where runs broke off and of which it isn't known whether they have ended.
func (o *Observer) Pending() []Boot {
	o.lock.Lock()
	defer o.lock.Unlock()
	return slices.SortedFunc(maps.Keys(o.pending), Boot.compare)
}

// Alive records that a start of an endpoint has answered a request that was sent at a time. Runs there that ended with their
// connections before are then known to be complete. What else the endpoint sent tells nothing: it may have been sent before these
// ends and read after them. Alive returns keys as Served does.
func (o *Observer) Alive(b Boot, at, now time.Duration) (lifted []Key) {
	o.lock.Lock()
	defer o.lock.Unlock()
	var l []pendingRun
	for _, p := range o.pending[b] {
		if !p.run.OpenEnded || p.at >= at {
			l = append(l, p)
			continue
		}
		o.waiting--
		lifted = append(lifted, o.recordServed(p.run.Service, p.run.Keys, now)...)
	}
	if o.pending[b] = l; len(l) == 0 {
		delete(o.pending, b)
	}
	return lifted
}

// Ended records that an endpoint has ended without notice. It returns the number of runs that broke off with it, or 0 if
// the end was known.
func (o *Observer) Ended(b Boot, now time.Duration) int {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.expirePending(now)
	l := o.pending[b]
	if len(l) == 0 {
		return 0
	}
	delete(o.pending, b)
	o.waiting -= len(l)
	o.endedAt[l[0].run.Service] = now
	o.counter.setActive(true)
	l = slices.DeleteFunc(l, func(p pendingRun) bool { return p.run.OpenEnded && now-p.at > openEndedRetention })
	if len(l) == 0 {
		return 0
	}
	o.state.addEnd(b, End{l[0].run.Service, l[0].at})
	o.changedEnds[b] = true
	for _, p := range l {
		o.recordCrash(p)
	}
	o.state.expire(now)
	o.updateRules()
	return len(l)
}

// Ending reports whether an endpoint of a service was found to have ended lately, after runs there that may have broken off with it.
func (o *Observer) Ending(service string, now time.Duration) bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	t, ok := o.endedAt[service]
	return ok && now-t <= endingTime
}

// recordCrash records the keys of a run as suspects of the end of its endpoint.
func (o *Observer) recordCrash(p pendingRun) {
	if p.run.Age > maxSuspectAge {
		return
	}
	for n, k := range p.run.Keys {
		if p.crashes[n].isServed() {
			continue
		}
		c := o.state.cases[k]
		if c.count() == 0 {
			delete(o.clearing, k)
		}
		b := slices.DeleteFunc(slices.Clone(p.run.Keys), func(x Key) bool { return x == k })
		slices.SortFunc(b, Key.compare)
		o.setCase(k, c.WithBeside(b).WithCrash(p.run.Boot, p.crashes[n], p.at))
	}
}

// Knows reports whether anything is known against a request with a head.
func (o *Observer) Knows(head Key) bool {
	m := o.heads.Load()
	return m != nil && len(*m) > 0 && (*m)[head.sum()]
}

// Suspect reports whether a request with some keys has ended so many endpoints that it isn't worth another one, though
// this may be a coincidence.
func (o *Observer) Suspect(keys []Key) bool {
	m := o.suspects.Load()
	return m != nil && len(*m) > 0 && slices.ContainsFunc(keys, func(k Key) bool { return (*m)[k.sum()] })
}

// Held returns the rule that holds back a request of an account with some keys, if there is one.
func (o *Observer) Held(keys []Key, account string, now time.Duration) (Rule, bool) {
	l := o.rules.Load()
	if l == nil {
		return Rule{}, false
	}
	for _, r := range *l {
		if r.Holds(keys, account) {
			o.recordAsked(r.Key, now)
			return r, true
		}
	}
	return Rule{}, false
}

// recordAsked records that a rule is in use.
func (o *Observer) recordAsked(k Key, now time.Duration) {
	o.lock.Lock()
	defer o.lock.Unlock()
	c, ok := o.state.cases[k]
	if !ok || now-c.AskedAt < askedInterval {
		return
	}
	c.AskedAt = now
	o.setCase(k, c)
}

// Adopt merges what a control host knows. It returns the rules that were not in force before, and those that no longer
// are.
func (o *Observer) Adopt(r Report, now time.Duration) (added, removed []Rule) {
	o.lock.Lock()
	defer o.lock.Unlock()
	b := o.state.Rules()
	o.state = o.state.WithReport(r, now)
	o.updateRules()
	n := *o.rules.Load()
	return without(n, b), without(b, n)
}

// AdoptWatch takes over which keys the control host suspects.
func (o *Observer) AdoptWatch(u WatchUpdate) {
	if u.Empty() {
		return
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	o.watch = o.watch.With(u)
	o.updateRules()
}

// without returns the rules of a whose key no rule of b has.
func without(a, b []Rule) []Rule {
	return slices.DeleteFunc(slices.Clone(a), func(r Rule) bool {
		return slices.ContainsFunc(b, func(x Rule) bool { return x.Key == r.Key })
	})
}

// Take returns what this host has observed since the last call. The caller reports it to a control host, and calls
// Restore if that fails.
func (o *Observer) Take(now time.Duration) Report {
	o.lock.Lock()
	defer o.lock.Unlock()
	r := o.state.report(slices.SortedFunc(maps.Keys(o.changedEnds), Boot.compare), slices.SortedFunc(maps.Keys(o.changedCases), Key.compare), now)
	for _, k := range slices.SortedFunc(maps.Keys(o.servedAt), Key.compare) {
		r.Cases = append(r.Cases, CaseReport{Key: k, Idle: evidenceRetention, Served: true, ServedAge: now - o.servedAt[k]})
	}
	r.Served = o.counter.take()
	o.counter.setActive(o.hasSuspicion(now))
	clear(o.changedEnds)
	clear(o.changedCases)
	o.servedAt, o.reportedServed = map[Key]time.Duration{}, o.servedAt
	return r
}

// Restore makes the next Take return again what could not be reported.
func (o *Observer) Restore(r Report) {
	o.lock.Lock()
	defer o.lock.Unlock()
	for _, e := range r.Ends {
		o.changedEnds[e.Boot] = true
	}
	for _, c := range r.Cases {
		if _, ok := o.state.cases[c.Key]; ok {
			o.changedCases[c.Key] = true
		}
	}
	for k, t := range o.reportedServed {
		o.servedAt[k] = max(o.servedAt[k], t)
	}
	o.counter.restore()
}

// Resend makes the next Take return all that this host knows, for control hosts that may lack some of it.
func (o *Observer) Resend() {
	o.lock.Lock()
	defer o.lock.Unlock()
	for b := range o.state.ends {
		o.changedEnds[b] = true
	}
	for k := range o.state.cases {
		o.changedCases[k] = true
	}
}
