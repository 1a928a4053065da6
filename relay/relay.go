package relay

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/table"
	"github.com/hickoryshelf/hickoryshelf/ttft"
)

// Options are what a relay is made of.
type Options struct {
	Sender  Sender
	Set     *pick.Set
	Budget  *Budget
	Log     *logrus.Logger
	Metrics *metrics.Set
}

// Relay carries requests. It is safe for concurrent use.
type Relay struct {
	Options
	table   atomic.Pointer[table.Table]
	entries atomic.Int64
	start   time.Time
	// end is when a stopping host breaks requests off, as Unix nanoseconds; 0 while it goes on.
	end atomic.Int64
	// Paces are shared with other hosts.
	Paces   *ttft.Estimator
	times   times
	weights weights
	tallies tallies
}

// New returns a relay that knows no table yet.
func New(o Options) *Relay {
	r := &Relay{Options: o, start: time.Now(), times: newTimes(), Paces: ttft.New(), weights: newWeights(), tallies: tallies{cells: map[string]canary.Tally{}}}
	r.entries.Store(1)
	return r
}

// SetTable puts a table in force unless a newer one is; it reports whether it did.
func (r *Relay) SetTable(t table.Table) bool {
	for {
		o := r.table.Load()
		if o != nil && o.Version >= t.Version {
			return false
		}
		if r.table.CompareAndSwap(o, &t) {
			return true
		}
	}
}

// Table returns the table in force, or nil.
func (r *Relay) Table() *table.Table { return r.table.Load() }

// SetEntries tells how many entry hosts share the endpoints.
func (r *Relay) SetEntries(n int) {
	r.entries.Store(int64(max(1, n)))
	r.Budget.SetHosts(n)
}

// LastCall tells that this host breaks off what is under way at a time. From now on it takes only requests
// that end before.
func (r *Relay) LastCall(end time.Time) { r.end.Store(end.UnixNano()) }

// lastCall reports whether a request of the route may still be under way when this host stops.
func (r *Relay) lastCall(o table.Route) bool {
	e := r.end.Load()
	return e > 0 && (o.Kind == table.Stream || time.Now().Add(o.Timeout).UnixNano() > e)
}

// awaitTable returns the table in force; a host that has just started waits for it for a short time.
func (r *Relay) awaitTable(ctx context.Context) *table.Table {
	for t := time.Now(); time.Since(t) < tableWait && ctx.Err() == nil; time.Sleep(tablePoll) {
		if v := r.table.Load(); v != nil {
			return v
		}
	}
	return r.table.Load()
}

// awaitEndpoint waits for the first endpoint of a service on a host that has just started: endpoints report
// within moments.
func (r *Relay) awaitEndpoint(ctx context.Context, service string) {
	for time.Since(r.start) < endpointWait && ctx.Err() == nil && !r.Set.HasService(service) {
		time.Sleep(tablePoll)
	}
}

// Serve answers a request. The context ends when the caller leaves.
func (r *Relay) Serve(ctx context.Context, q *Request, s Sink) {
	t := r.awaitTable(ctx)
	j := &job{relay: r, request: q, sink: s, tried: map[string]bool{}, caller: ctx}
	if t == nil {
		j.refuse(NoTable, tableRetry)
		return
	}
	o, ok := t.Route(q.Host, q.Path)
	if !ok {
		j.refuse(NoRoute, 0)
		return
	}
	j.route = o
	if len(t.Accounts) > 0 && !o.Public {
		a, ok := t.Account(q.Key)
		if !ok {
			j.refuse(NoKey, 0)
			return
		}
		j.account = a.Name
		j.priority = o.Priority
		if a.HasPriority {
			j.priority = a.Priority
		}
	}
	j.draw = draw(q.ID)
	j.service, _ = t.Service(o.DrawService(j.draw))
	j.version = t.Version
	l := o.Timeout
	if q.Patience > 0 {
		l = min(l, q.Patience)
	}
	j.deadline = q.Received.Add(l)
	c, f := context.WithDeadline(ctx, j.deadline)
	defer f()
	r.awaitEndpoint(c, j.service.Name)
	r.Budget.Earn(j.service.Name)
	j.run(c)
}

// draw returns a number from 0 to 1 that is always the same for a text.
func draw(text string) float64 { return float64(xxhash.Sum64String(text)>>11) / (1 << 53) }

// times are smoothed durations by what they are of.
type times struct {
	lock  *sync.Mutex
	means map[string]time.Duration
}

func newTimes() times { return times{lock: &sync.Mutex{}, means: map[string]time.Duration{}} }

// timesWeight is the part of the newest duration in a smoothed one.
const timesWeight = 0.06

func (t times) add(key string, d time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	o, ok := t.means[key]
	if !ok {
		t.means[key] = d
		return
	}
	t.means[key] = o + time.Duration(timesWeight*float64(d-o))
}

func (t times) get(key string, otherwise time.Duration) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	if d, ok := t.means[key]; ok {
		return d
	}
	return otherwise
}

// keptSerials is how much older than the newest a roll-out's serial may be for its tallies to be kept: serials
// are places in the control log, and roll-outs of several services may run at once.
const keptSerials = 1000

// tallies count answers during roll-outs.
type tallies struct {
	// serial is that of the newest roll-out counted.
	serial uint64
	lock   sync.Mutex
	cells  map[string]canary.Tally
	dirty  map[string]bool
}

// count adds an answer of an endpoint while its service is being moved to another version.
func (t *tallies) count(v canary.View, version, endpoint, kind string, failed bool, wait, expected time.Duration) {
	if v.Outcome != canary.Running {
		return
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	if v.Serial > t.serial {
		t.serial = v.Serial
		maps.DeleteFunc(t.cells, func(_ string, c canary.Tally) bool { return c.Serial+keptSerials < v.Serial })
	}
	c := canary.Tally{Serial: v.Serial, Version: version, Endpoint: endpoint, Kind: kind}
	k := c.Key()
	if o, ok := t.cells[k]; ok && o.Serial == v.Serial {
		c = o
	}
	c.Answers++
	c.Wait += wait
	c.Expected += expected
	if failed {
		c.Failures++
	}
	t.cells[k] = c
	if t.dirty == nil {
		t.dirty = map[string]bool{}
	}
	t.dirty[k] = true
}

// take returns the tallies that changed since they were last taken.
func (t *tallies) take() []canary.Tally {
	t.lock.Lock()
	defer t.lock.Unlock()
	var r []canary.Tally
	for k := range t.dirty {
		r = append(r, t.cells[k])
	}
	t.dirty = nil
	return r
}

// back marks tallies as changed again, after an exchange that failed.
func (t *tallies) back(l []canary.Tally) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.dirty == nil {
		t.dirty = map[string]bool{}
	}
	for _, c := range l {
		t.dirty[c.Key()] = true
	}
}

// TakeTallies returns the tallies that changed since they were last taken.
func (r *Relay) TakeTallies() []canary.Tally { return r.tallies.take() }

// ReturnTallies takes tallies back that could not be handed over.
func (r *Relay) ReturnTallies(l []canary.Tally) { r.tallies.back(l) }

// allTallies marks all tallies as changed, for a control host that lacks them.
func (t *tallies) all() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.dirty = map[string]bool{}
	for k := range t.cells {
		t.dirty[k] = true
	}
}

// RepeatTallies hands all tallies over again, to a control host that may lack them.
func (r *Relay) RepeatTallies() { r.tallies.all() }
