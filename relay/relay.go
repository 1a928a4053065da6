package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/assist"
	"github.com/hickoryshelf/hickoryshelf/budget"
	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/clock"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/memory"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/poison"
	"github.com/hickoryshelf/hickoryshelf/shed"
	"github.com/hickoryshelf/hickoryshelf/speed"
	"github.com/hickoryshelf/hickoryshelf/table"
	"github.com/hickoryshelf/hickoryshelf/tiers"
	"github.com/hickoryshelf/hickoryshelf/ttft"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

// Options holds what a Relay depends on.
type Options struct {
	Sender Sender
	// Detour sends requests through other hosts, or is nil. Helpers holds the hosts that may be used; New makes an empty one
	// if it is nil.
	Detour    Detour
	Helpers   *assist.Board
	Endpoints *pick.Set
	Budget    *budget.Host
	Log       *logrus.Logger
	Metrics   *metrics.Set
	// Memory bounds what is kept of answers. New makes one for a process whose memory isn't known if it is nil.
	Memory *memory.Account
	// ApplyTime is the time within which a change of the configuration has to be in force. A request is denied only by a table that
	// was the newest less than that ago. 0 means defaultApplyTime.
	ApplyTime time.Duration
	// Weights are the assumptions behind the choice of model tiers. The zero value means tiers.DefaultWeights.
	Weights tiers.Weights
	// Cold bounds the requests to endpoints that are cold after their start. The zero value sets no bound.
	Cold warmup.Limits
	// Speeds collects what this host measures of the speed of endpoints. It is nil if hosts don't share that.
	Speeds *speed.Meter
	// Shed holds the demand by which requests beyond capacity are decided on, or is nil: then each waits for an endpoint.
	Shed *shed.Ledger
	// Suspended is the time for which the machine was suspended. If it is nil, the system is asked.
	Suspended clock.Source
}

// Relay sends requests to endpoints and passes their answers on to the callers. It is safe for concurrent use.
type Relay struct {
	Options
	// table is the routing table in force, or nil before the first configuration has arrived.
	table atomic.Pointer[tableInForce]
	// source is the control host whose reply came last, with what it held then, or nil before the first reply.
	source atomic.Pointer[TableSource]
	// entryHosts is the number of entry hosts that share the endpoints, at least 1.
	entryHosts atomic.Int64
	// start is when the Relay was created, and clock shows the time since then, also that in suspension.
	start time.Time
	clock clock.Clock
	// stopTime is when this host aborts the requests in flight because it stops, in Unix nanoseconds; 0 while no
	// stop is planned.
	stopTime atomic.Int64
	// closing is set once this host closes the connections of requests in flight.
	closing atomic.Bool
	// Prefill estimates the prefill times of models. Hosts exchange the values that they have measured.
	Prefill *ttft.Estimator
	// durations holds averages under the keys that holdKey and firstEventKey return.
	durations durationAverages
	chooser   tiers.Chooser
	shedder   shed.Chooser
	// errors holds the error rates of the model tiers, as their answers' confidence tells them.
	errors  *tiers.Ledger
	demands demands
	// linkWake wakes the prober of links, and seekWake what looks for other hosts to send requests through.
	linkWake, seekWake chan struct{}
	// endChecks holds one element for each endCheck that runs.
	endChecks chan struct{}
	// seekingSince is when this host last began to look for other hosts, in Unix nanoseconds. soughtAt is when it last
	// needed one.
	seekingSince, soughtAt atomic.Int64
	tallies                tallies
	// Poison finds out which requests end the endpoints that run them. Its times are those since start.
	Poison *poison.Observer
	// drainsNoted holds by service the index of the drains under which noteDrains last logged a refusal.
	drainsNoted sync.Map
	// barredNoted holds by service the serial of the rollout under which noteBarred last logged a refusal.
	barredNoted sync.Map
}

// New returns a Relay without a routing table. Serve refuses requests until SetTable was called.
func New(o Options) *Relay {
	if o.Weights == (tiers.Weights{}) {
		o.Weights = tiers.DefaultWeights()
	}
	if o.ApplyTime == 0 {
		o.ApplyTime = defaultApplyTime
	}
	if o.Memory == nil {
		o.Memory = memory.NewAccount(0)
	}
	if o.Helpers == nil {
		o.Helpers = assist.NewBoard("")
	}
	r := &Relay{
		linkWake: make(chan struct{}, 1), seekWake: make(chan struct{}, 1), endChecks: make(chan struct{}, maxEndChecks),
		Options: o, start: time.Now(), clock: clock.New(o.Suspended), durations: newDurationAverages(), Prefill: ttft.New(), tallies: tallies{byKey: map[string]canary.Tally{}},
		chooser: tiers.NewChooser(o.Weights), shedder: shed.NewChooser(tiers.NewChooser(o.Weights)), errors: tiers.NewLedger(), demands: newDemands(), Poison: poison.NewObserver(),
	}
	r.entryHosts.Store(1)
	if o.Cold.On() {
		r.limitCold()
	}
	o.Metrics.GetOrCreateGauge("answer_memory_bytes", func() float64 { return float64(o.Memory.Taken()) })
	return r
}

// tableInForce is a routing table and when this host put it in force.
type tableInForce struct {
	table table.Table
	since time.Time
	// confirmed is the last time, as of Relay.Now, at which this table, or an older one that was in force before it, is known to have been
	// the newest: this table holds each change that was acknowledged before then. It only moves on, and is nil while there is none.
	confirmed atomic.Pointer[time.Duration]
}

// confirm records that the table was the newest at a time.
func (v *tableInForce) confirm(at time.Duration) {
	for {
		o := v.confirmed.Load()
		if o != nil && at <= *o || v.confirmed.CompareAndSwap(o, &at) {
			return
		}
	}
}

// isConfirmed reports whether the table was the newest at a time, or later.
func (v *tableInForce) isConfirmed(since time.Duration) bool {
	c := v.confirmed.Load()
	return c != nil && *c >= since
}

// denial returns the refusal of a request that the table doesn't allow. It gives the reason only if the table is known to hold each change
// that was acknowledged before a time; otherwise a newer one may allow the request.
func (v *tableInForce) denial(reason Reason, since time.Duration) Refusal {
	if v.isConfirmed(since) {
		return Refusal{Reason: reason}
	}
	return Refusal{Reason: Unconfirmed, RetryAfter: unconfirmedRetryAfter}
}

// confirmedAge returns how long ago the table is last known to have been the newest, or a negative value if that isn't known.
func (v *tableInForce) confirmedAge(now time.Duration) time.Duration {
	if c := v.confirmed.Load(); c != nil {
		return now - *c
	}
	return -1
}

// denialFields returns what was denied now, and how long ago the table is last known to have been the newest, as fields of a log line.
// confirmed-age is in ms, and left out if that isn't known.
func (v *tableInForce) denialFields(reason Reason, now time.Duration) logrus.Fields {
	f := logrus.Fields{"denial": reason.String()}
	if c := v.confirmed.Load(); c != nil {
		f["confirmed-age"] = (now - *c).Milliseconds()
	}
	return f
}

// SetTable puts t in force and reports true, or reports false if the table in force has the same or a higher version.
func (r *Relay) SetTable(t table.Table) bool {
	for limited := false; ; limited = true {
		o := r.table.Load()
		if o != nil && o.table.Version >= t.Version {
			if limited {
				r.setColdLimits(o.table) // another one was put in force meanwhile
			}
			return false
		}
		r.setColdLimits(t) // before requests are sent by the table
		v := &tableInForce{table: t, since: time.Now()}
		if o != nil {
			v.confirmed.Store(o.confirmed.Load())
		}
		if r.table.CompareAndSwap(o, v) {
			r.expectServices(t)
			return true
		}
	}
}

// Now returns the time since the start of this host, also that in suspension. Times of confirmations and of the retry budget are as of it.
func (r *Relay) Now() time.Duration { return r.clock.Now() }

// Confirm records that the routing table in force was the newest at a time: it holds each change that was acknowledged before then.
func (r *Relay) Confirm(at time.Duration) {
	if v := r.table.Load(); v != nil {
		v.confirm(at)
	}
}

// expectServices prepares the retry budget for the services of a table.
func (r *Relay) expectServices(t table.Table) {
	n := r.Now()
	for _, s := range t.Services {
		r.Budget.Expect(s.Name, n)
	}
}

// Table returns the routing table in force, or nil if there is none yet.
func (r *Relay) Table() *table.Table {
	if t := r.table.Load(); t != nil {
		return &t.table
	}
	return nil
}

// TableSource is a control host that has replied, with what it held of the control log then.
type TableSource struct {
	Control string
	// Current is whether that host could tell that it had the newest table.
	Current  bool
	Position ctlrpc.LogPosition
	// HeardAt is when its reply came.
	HeardAt time.Time
}

// SetSource records a reply of a control host.
func (r *Relay) SetSource(s TableSource) { r.source.Store(&s) }

// fields returns the source as fields of a log line. Ages are in ms; leader-silence is that at the time of the reply.
func (s *TableSource) fields() logrus.Fields {
	if s == nil {
		return nil
	}
	return logrus.Fields{
		"control": s.Control, "control-age": time.Since(s.HeardAt).Milliseconds(), "current": s.Current,
		"applied": s.Position.Applied, "leader-commit": s.Position.LeaderCommit, "leader-silence": s.Position.LeaderSilence.Milliseconds(),
	}
}

// SetEntryHosts sets the number of entry hosts that share the connections of the endpoints. Values below 1 count as 1.
func (r *Relay) SetEntryHosts(n int) { r.entryHosts.Store(int64(max(1, n))) }

// ReportBudget returns what this host says of its retry budget.
func (r *Relay) ReportBudget() (map[string]budget.Statement, budget.Holding) {
	n := r.Now()
	return r.Budget.Statements(n), r.Budget.Holding(n)
}

// BeginBudget ends what a control host has lent to the retry budget, since this host goes on with another one.
func (r *Relay) BeginBudget() { r.Budget.Begin(r.Now()) }

// AcceptBudget takes over what a control host has lent to the retry budget.
func (r *Relay) AcceptBudget(control string, l budget.Loan, grants map[string]budget.Grant) {
	r.Budget.Accept(control, l, grants, r.Now())
}

// SetStopTime sets the time at which this host aborts the requests in flight because it stops. From the call on,
// Serve refuses requests that may not have ended by then.
func (r *Relay) SetStopTime(end time.Time) { r.stopTime.Store(end.UnixNano()) }

// SetClosing tells that this host now closes the connections of requests in flight, because it stops. Requests that end early from
// then on are logged as ended by this host.
func (r *Relay) SetClosing() { r.closing.Store(true) }

// outlivesStop reports whether a new request of the route may still be in flight when this host stops. A stream
// always may, whatever its timeout.
func (r *Relay) outlivesStop(o table.Route) bool {
	e := r.stopTime.Load()
	return e > 0 && (o.Kind == table.Stream || time.Now().Add(o.Timeout).UnixNano() > e)
}

// awaitConfiguration returns the table in force. If there is none yet, because the host has just started, it waits up
// to configurationWait and then returns nil.
func (r *Relay) awaitConfiguration(ctx context.Context) *tableInForce {
	for t := time.Now(); time.Since(t) < configurationWait && ctx.Err() == nil; time.Sleep(configurationPoll) {
		if v := r.table.Load(); v != nil {
			return v
		}
	}
	return r.table.Load()
}

// awaitEndpoint waits for the first endpoint of a service during the first endpointWait after the start of this host.
// Endpoints report shortly after a host has started.
func (r *Relay) awaitEndpoint(ctx context.Context, service string) {
	for time.Since(r.start) < endpointWait && ctx.Err() == nil && !r.Endpoints.HasService(service) {
		time.Sleep(configurationPoll)
	}
}

// Admission is a request whose route and client account are known. Its body may be missing until Serve is called.
type Admission struct {
	job *job
	// table is the one that the request was admitted by.
	table *tableInForce
}

// Serve finds the route and the client account of a request, sends it to endpoints and writes the answer or a refusal
// to s. It returns when the request has ended. ctx has to be cancelled when the caller disconnects.
func (r *Relay) Serve(ctx context.Context, q *Request, s Sink) {
	if a, ok := r.Admit(ctx, q, s); ok {
		a.Serve()
	}
}

// Admit finds the route and the client account of a request, whose body isn't looked at. If it is refused, Admit writes the refusal to s
// and returns false. ctx has to be cancelled when the caller disconnects.
func (r *Relay) Admit(ctx context.Context, q *Request, s Sink) (Admission, bool) {
	v := r.awaitConfiguration(ctx)
	j := &job{relay: r, request: q, sink: s, tried: map[string]bool{}, unreached: map[string]bool{}, sentTo: map[string]bool{}, callerContext: ctx, confidence: -1}
	if v == nil {
		j.refuse(NoConfiguration, configurationRetryAfter)
		return Admission{}, false
	}
	t := &v.table
	j.version, j.tableSince, j.confirmedAge = t.Version, v.since, v.confirmedAge(r.Now())
	o, ok := t.Route(q.Host, q.Path)
	if !ok {
		j.deny(NoRoute, v)
		return Admission{}, false
	}
	j.route = o
	if len(t.Accounts) > 0 && !o.Public {
		a, ok := t.Account(q.Key)
		if !ok {
			j.deny(UnknownKey, v)
			return Admission{}, false
		}
		j.account = a.Name
		j.priority = o.Priority
		if a.HasPriority {
			j.priority = a.Priority
		}
	}
	j.fraction = hashFraction(q.ID)
	j.service, _ = t.Service(o.DrawService(j.fraction))
	l := o.Timeout
	if q.MaxWait > 0 {
		l = min(l, q.MaxWait)
	}
	j.deadline = q.Received.Add(l)
	return Admission{j, v}, true
}

// Account returns the name of the client account that the request belongs to, or an empty text.
func (a Admission) Account() string { return a.job.account }

// Deadline returns the time until which the request may be answered.
func (a Admission) Deadline() time.Time { return a.job.deadline }

// HasMaxWait reports whether the caller has said how long it waits.
func (a Admission) HasMaxWait() bool { return a.job.request.MaxWait > 0 }

// SetBody sets the body of the request.
func (a Admission) SetBody(pieces [][]byte) { a.job.request.SetBody(pieces) }

// RefuseBody refuses a request whose body didn't come whole, with further fields in the log line.
func (a Admission) RefuseBody(reason Reason, f logrus.Fields) {
	t := time.Duration(0)
	if reason == BodyDropped {
		t = bodyDroppedRetryAfter
	}
	a.job.refuseWith(reason, t, f)
}

// Renew returns the admission by the table in force, if that was replaced. It refuses the request and returns false if that table doesn't
// allow it.
func (a Admission) Renew() (Admission, bool) {
	r := a.job.relay
	if a.table == r.table.Load() {
		return a, true
	}
	return r.Admit(a.job.callerContext, a.job.request, a.job.sink)
}

// Serve sends the request, whose body is whole, to endpoints and writes the answer or a refusal. It returns when the request has ended. If
// another table was put in force while the body came, the request is admitted by that.
func (a Admission) Serve() {
	a, ok := a.Renew()
	if !ok {
		return
	}
	j := a.job
	r := j.relay
	c, f := context.WithDeadline(j.callerContext, j.deadline)
	defer f()
	r.awaitEndpoint(c, j.service.Name)
	if r.Shed == nil {
		r.Budget.Deposit(j.service.Name, r.Now())
	}
	j.run(c)
}

// hashFraction hashes a text to a number in [0, 1).
func hashFraction(text string) float64 { return float64(xxhash.Sum64String(text)>>11) / (1 << 53) }
