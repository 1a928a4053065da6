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
	Sender    Sender
	Endpoints *pick.Set
	Budget    *RetryBudget
	Log       *logrus.Logger
	Metrics   *metrics.Set
}

// Relay carries requests. It is safe for concurrent use.
type Relay struct {
	Options
	table      atomic.Pointer[table.Table]
	entryHosts atomic.Int64
	start      time.Time
	// stopTime is when a stopping host breaks requests off, as Unix nanoseconds; 0 while it goes on.
	stopTime atomic.Int64
	// Prefill are shared with other hosts.
	Prefill     *ttft.Paces
	durations   durationAverages
	promptSizes sizeAverages
	tallies     tallies
}

// New returns a relay that knows no table yet.
func New(o Options) *Relay {
	r := &Relay{Options: o, start: time.Now(), durations: newDurationAverages(), Prefill: ttft.New(), promptSizes: newSizeAverages(), tallies: tallies{cells: map[string]canary.Tally{}}}
	r.entryHosts.Store(1)
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

// SetEntryHosts tells how many entry hosts share the endpoints.
func (r *Relay) SetEntryHosts(n int) {
	r.entryHosts.Store(int64(max(1, n)))
	r.Budget.SetHosts(n)
}

// SetStopTime tells that this host breaks off what is under way at a time. From now on it takes only requests
// that end before.
func (r *Relay) SetStopTime(end time.Time) { r.stopTime.Store(end.UnixNano()) }

// outlivesStop reports whether a request of the route may still be under way when this host stops.
func (r *Relay) outlivesStop(o table.Route) bool {
	e := r.stopTime.Load()
	return e > 0 && (o.Kind == table.Stream || time.Now().Add(o.Timeout).UnixNano() > e)
}

// awaitConfiguration returns the table in force; a host that has just started waits for it for a short time.
func (r *Relay) awaitConfiguration(ctx context.Context) *table.Table {
	for t := time.Now(); time.Since(t) < configurationWait && ctx.Err() == nil; time.Sleep(configurationPoll) {
		if v := r.table.Load(); v != nil {
			return v
		}
	}
	return r.table.Load()
}

// awaitEndpoint waits for the first endpoint of a service on a host that has just started: endpoints report
// within moments.
func (r *Relay) awaitEndpoint(ctx context.Context, service string) {
	for time.Since(r.start) < endpointWait && ctx.Err() == nil && !r.Endpoints.Known(service) {
		time.Sleep(configurationPoll)
	}
}

// Serve answers a request. The context ends when the caller leaves.
func (r *Relay) Serve(ctx context.Context, q *Request, s Sink) {
	t := r.awaitConfiguration(ctx)
	j := &job{relay: r, request: q, sink: s, tried: map[string]bool{}, callerContext: ctx}
	if t == nil {
		j.refuse(NoConfiguration, configurationRetryAfter)
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
			j.refuse(UnknownKey, 0)
			return
		}
		j.account = a.Name
		j.priority = o.Priority
		if a.Ranked {
			j.priority = a.Priority
		}
	}
	j.fraction = hashFraction(q.ID)
	j.service, _ = t.Service(o.ServiceAt(j.fraction))
	j.version = t.Version
	l := o.Timeout
	if q.MaxWait > 0 {
		l = min(l, q.MaxWait)
	}
	j.deadline = q.Received.Add(l)
	c, f := context.WithDeadline(ctx, j.deadline)
	defer f()
	r.awaitEndpoint(c, j.service.Name)
	r.Budget.Deposit(j.service.Name)
	j.run(c)
}

// hashFraction returns a number from 0 to 1 that is always the same for a text.
func hashFraction(text string) float64 { return float64(xxhash.Sum64String(text)>>11) / (1 << 53) }

// durationAverages are smoothed durations by what they are of.
type durationAverages struct {
	lock  *sync.Mutex
	means map[string]time.Duration
}

func newDurationAverages() durationAverages {
	return durationAverages{lock: &sync.Mutex{}, means: map[string]time.Duration{}}
}

// durationSmoothing is the part of the newest duration in a smoothed one.
const durationSmoothing = 0.06

func (t durationAverages) add(key string, d time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	o, ok := t.means[key]
	if !ok {
		t.means[key] = d
		return
	}
	t.means[key] = o + time.Duration(durationSmoothing*float64(d-o))
}

func (t durationAverages) get(key string, fallback time.Duration) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	if d, ok := t.means[key]; ok {
		return d
	}
	return fallback
}

// maxSerialGap is how much older than the newest a roll-out's serial may be for its tallies to be kept: serials
// are places in the control log, and roll-outs of several services may run at once.
const maxSerialGap = 1000

// tallies count answers during roll-outs.
type tallies struct {
	// serial is that of the newest roll-out counted.
	serial  uint64
	lock    sync.Mutex
	cells   map[string]canary.Tally
	changed map[string]bool
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
		maps.DeleteFunc(t.cells, func(_ string, c canary.Tally) bool { return c.Serial+maxSerialGap < v.Serial })
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
	if t.changed == nil {
		t.changed = map[string]bool{}
	}
	t.changed[k] = true
}

// take returns the tallies that changed since they were last taken.
func (t *tallies) take() []canary.Tally {
	t.lock.Lock()
	defer t.lock.Unlock()
	var r []canary.Tally
	for k := range t.changed {
		r = append(r, t.cells[k])
	}
	t.changed = nil
	return r
}

// markChanged marks tallies as changed again, after an exchange that failed.
func (t *tallies) markChanged(l []canary.Tally) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.changed == nil {
		t.changed = map[string]bool{}
	}
	for _, c := range l {
		t.changed[c.Key()] = true
	}
}

// TakeTallies returns the tallies that changed since they were last taken.
func (r *Relay) TakeTallies() []canary.Tally { return r.tallies.take() }

// RestoreTallies takes tallies back that could not be handed over.
func (r *Relay) RestoreTallies(l []canary.Tally) { r.tallies.markChanged(l) }

// allTallies marks markAllChanged tallies as changed, for a control host that lacks them.
func (t *tallies) markAllChanged() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.changed = map[string]bool{}
	for k := range t.cells {
		t.changed[k] = true
	}
}

// ResendTallies hands all tallies over again, to a control host that may lack them.
func (r *Relay) ResendTallies() { r.tallies.markAllChanged() }
