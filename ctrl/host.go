package ctrl

import (
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/accept"
	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/clock"
	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	// tickInterval is the interval of Tick events.
	tickInterval = 25 * time.Millisecond
	// eventQueueSize is the number of events of the control log and of operators that may wait for Reduce; senders block
	// while the queue is full.
	eventQueueSize = 1024
	// orderTimeout bounds the wait for the reply of an order, and the call that forwards an order to the leader.
	orderTimeout = 900 * time.Millisecond
	// gossipTimeout bounds the wait for the other control hosts to acknowledge that an endpoint is leaving.
	gossipTimeout = 250 * time.Millisecond
	// writersTimeout bounds the wait of Stop for what is being written: a disk may stand.
	writersTimeout = 2 * time.Second
)

// timing holds the heartbeat interval and the election timeout. Both are long compared with a round trip between
// data centres, which takes a few milliseconds.
var timing = quorum.Timing{Heartbeat: 120 * time.Millisecond, Election: 600 * time.Millisecond}

// HostOptions are the settings and dependencies of a Host. The host accepts RPC connections on Listener.
type HostOptions struct {
	Settings conf.Node
	Listener net.Listener
	Log      *logrus.Logger
	Metrics  *metrics.Set
	// AskDirectory asks an entry host at a peer address which control hosts it knows. Nil means that none is asked.
	AskDirectory func(address string) (ctlrpc.Directory, error)
	// Suspended is the time for which the machine was suspended. If it is nil, the system is asked.
	Suspended clock.Source
}

// Host runs a control host: it feeds events to Reduce, performs the effects and serves the Control RPC service.
type Host struct {
	settings conf.Node
	// seeds holds the peer addresses of the seeds of newer settings, or nil while there are none.
	seeds        atomic.Pointer[[]string]
	askDirectory func(address string) (ctlrpc.Directory, error)
	log          *logrus.Logger
	// start is when the Host was created, and clock shows the time since then, also that in suspension.
	start time.Time
	clock clock.Clock
	// events holds those of the control log and of operators. Reduce takes them before reports.
	events  chan queuedEvent
	reports *ReportQueue
	strain  *strainMeter
	state   atomic.Pointer[State]
	writer  *writer
	links   *links
	calls   pendingCalls
	// helpers names entry hosts to those that reach no endpoint.
	helpers helperCache
	replies *ReplyBuilder
	stop    chan struct{}
	// writers are the goroutines that write to the data folder. written is closed once all of them have ended.
	writers sync.WaitGroup
	written chan struct{}
	// leaving is set once a planned stop has begun. The host then doesn't join the control log again.
	leaving atomic.Bool

	lock sync.Mutex
	// changed is closed and replaced when waiting exchanges have to check for changes.
	changed   chan struct{}
	published published
}

// NewHost opens the data folder and starts the goroutines of the host. It fails if the data folder can't be
// opened or holds a snapshot that this build can't decode, or if the RPC service can't be registered.
func NewHost(o HostOptions) (*Host, error) {
	d, err := openDisk(o.Settings)
	if err != nil {
		return nil, err
	}
	n := Node(o.Settings.PeerAddress(), d.Identity)
	k := d.QuorumState()
	s, err := New(Options{
		Node: n, StartID: newStartID(), Heartbeat: o.Settings.Bounds.Heartbeat.Std(), Exposure: canary.Exposure{Share: o.Settings.Bounds.ExposureShare, Slack: o.Settings.Bounds.ExposureExtra},
		RetryWindow: o.Settings.Bounds.RetryWindow.Std(), DataCentres: o.Settings.DrainableCentres(), ColdLimits: o.Settings.Bounds.ColdLimits(),
		Log: quorum.New(n, timing, k.Hard, k.Snapshot, k.Entries, randomSeed()),
	})
	if err != nil {
		return nil, errors.Join(err, d.Close())
	}
	m, err := loadMemory(o.Settings.DataFolder)
	if err != nil {
		o.Log.WithError(err).Warn("control: starts without the memory of before")
	}
	s = s.WithMemory(m)
	h := &Host{
		replies:  NewReplyBuilder(),
		settings: o.Settings, askDirectory: o.AskDirectory, log: o.Log, start: time.Now(), clock: clock.New(o.Suspended), events: make(chan queuedEvent, eventQueueSize),
		stop: make(chan struct{}), written: make(chan struct{}), changed: make(chan struct{}),
	}
	h.reports = NewReportQueue(h.now)
	h.strain = newStrainMeter(o.Metrics)
	h.state.Store(&s)
	h.writer = newWriter(h, d)
	h.links = newLinks(h)
	h.registerGauges(o.Metrics)
	h.log.WithFields(logrus.Fields{
		"node": n, "start": s.StartID, "version": s.StateMachine.Document.Version, "commit": s.Log.Commit, "voters": s.Log.Peers.Voters,
		"endpoints": len(m.Reports), "prefill-times": len(m.PrefillTimes),
	}).Info("control: starts")
	h.logTorn(d.Torn())
	r := rpc.NewServer()
	if err := r.RegisterName(ctlrpc.ServiceName, &Service{host: h}); err != nil {
		return nil, fmt.Errorf("register the control service: %w; report this as a bug", err)
	}
	l := accept.NewListener(accept.Options{Listener: o.Listener, Name: "hosts", Log: o.Log, Metrics: o.Metrics})
	a, j, v, e := acceptor{listener: l, server: r}, &joiner{host: h}, memorySaver{h}, writersEnd{h}
	h.writers.Go(h.writer.run)
	h.writers.Go(v.run)
	go e.run()
	go a.run()
	go h.run()
	go j.run()
	return h, nil
}

// now returns the time since the start, also that in suspension, by which leases and ages are judged.
func (h *Host) now() time.Duration { return h.clock.Now() }

// sinceStart returns the time since the start on the runtime's clock, for pauses and for how long work takes. It takes less time than
// now.
func (h *Host) sinceStart() time.Duration { return time.Since(h.start) }

// post queues an event for Reduce. It blocks while the queue is full, and returns ErrStopped if the host has stopped.
func (h *Host) post(e Event) error {
	if h.isStopped() {
		return ErrStopped
	}
	select {
	case h.events <- queuedEvent{e, h.sinceStart()}:
		return nil
	case <-h.stop:
		return ErrStopped
	}
}

// isStopped reports whether Stop was called.
func (h *Host) isStopped() bool {
	select {
	case <-h.stop:
		return true
	default:
		return false
	}
}

// queuedEvent is an event with the time since the start at which it came.
type queuedEvent struct {
	event Event
	came  time.Duration
}

// run reduces events and performs their effects. A random delay before the first tick keeps hosts that start together
// from starting their election campaigns at the same moment.
func (h *Host) run() {
	time.Sleep(mathrand.N(tickInterval))
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	b := h.sinceStart() // the last tick
	for {
		e, ok := h.next(t.C)
		if !ok {
			return
		}
		if _, ok := e.(Tick); ok {
			n := h.sinceStart()
			h.strain.ticked(n-b, n)
			h.logStrain(n)
			b = n
		}
		o := h.state.Load()
		a := h.sinceStart()
		s, f := Reduce(*o, h.now(), e)
		h.state.Store(&s)
		h.logChanges(*o, s)
		h.notifyExchanges(s)
		for _, v := range f {
			h.perform(v)
		}
		h.strain.reduced(e, h.sinceStart()-a, h.sinceStart())
	}
}

// next waits for the next event. Those of the control log and of operators come first, then ticks, then reports. It is
// false once the host stops.
func (h *Host) next(tick <-chan time.Time) (Event, bool) {
	for {
		select {
		case e := <-h.events:
			return h.take(e), true
		case <-h.stop:
			return nil, false
		default:
		}
		select {
		case <-tick:
			return Tick{}, true
		default:
		}
		select {
		case e := <-h.events:
			return h.take(e), true
		case <-tick:
			return Tick{}, true
		case <-h.stop:
			return nil, false
		case <-h.reports.wake:
			if e, ok := h.reports.Pop(); ok {
				return e, true
			}
		}
	}
}

// take returns an event that was queued and records how long it waited.
func (h *Host) take(e queuedEvent) Event {
	h.strain.eventTaken(e.came, h.sinceStart())
	return e.event
}

func (h *Host) perform(e Effect) {
	switch v := e.(type) {
	case Write:
		h.writer.queue.Add(v)
	case Respond:
		h.calls.complete(v)
	case Forward:
		w := forwardCall{h, v}
		go w.run()
	case SendGossip:
		h.links.gossip(v.Gossip, v.Urgent)
	case RolloutEndProposed:
		h.logAssessment(v.Rollout, v.Elapsed, v.Assessment).WithFields(logrus.Fields{"outcome": v.Rollout.Outcome.String(), "why": v.Reason}).Warn("control: proposes the end of a roll-out")
	case RolloutAssessed:
		h.logAssessment(v.Rollout, v.Elapsed, v.Assessment).Info("control: weighs a roll-out")
	case PoisonJudged:
		r, a := v.Verdict.Rule, v.Verdict.Assessment
		h.log.WithFields(logrus.Fields{
			"key": r.Key.String(), "with": r.With, "account": r.Account, "any-account": r.AnyAccount, "crashes": a.Crashes, "ends": a.Ends,
			"over": (a.Last - a.First).Milliseconds(), "log-odds": a.LogOdds,
		}).Warn("control: requests end the endpoints that run them and are held back")
	case EntriesForgotten:
		h.log.WithFields(logrus.Fields{"control": v.Node, "acknowledged": v.Acknowledged, "held": v.Held}).Error("control: another control host holds less of the log than it has acknowledged; it gets the rest again; check its disk")
	case LateOrder:
		h.log.WithFields(logrus.Fields{
			"service": v.Order.Rollout.Service, "target": v.Order.Rollout.Target, "seen": v.Order.RolloutSeen, "serial": v.Serial, "hops": v.Order.Hops,
		}).Warn("control: an order to start a roll-out is late, another one was ordered since; it isn't taken")
	case VoteIgnored:
		h.strain.votedLate(h.sinceStart())
	case EntryFailed:
		h.log.WithError(v.Err).Error("control: a log entry or snapshot can't be encoded or applied")
	}
}

// WithSeen returns an order that this host takes now; see State.WithSeen.
func (h *Host) WithSeen(o ctlrpc.Order) ctlrpc.Order { return h.state.Load().At(h.now()).WithSeen(o) }

// Do executes an order on this host if it leads, otherwise on the leader. If no reply comes within
// orderTimeout, or before this host has stopped, Do returns one with the status Unavailable; the order may still take effect.
func (h *Host) Do(o ctlrpc.Order) ctlrpc.OrderReply {
	b := h.sinceStart()
	if o.Hops == 0 {
		o = h.WithSeen(o)
	}
	h.logOrder(o)
	r := h.execute(o)
	h.logOrderReply(o, r, h.sinceStart()-b)
	return r
}

// execute is Do without log lines.
func (h *Host) execute(o ctlrpc.Order) ctlrpc.OrderReply {
	t, c := h.calls.add()
	defer h.calls.remove(t)
	if h.post(OrderReceived{CallID: t, Order: o}) != nil {
		return ctlrpc.OrderReply{}
	}
	w := time.NewTimer(orderTimeout)
	defer w.Stop()
	select {
	case r := <-c:
		return r
	case <-w.C:
	case <-h.stop:
	}
	return ctlrpc.OrderReply{}
}

// Report queues an endpoint's report for Reduce and reports whether it may be acknowledged. When the report is the first to say
// that the endpoint is leaving or has departed, Report also sends it to the other control hosts and waits until each of them
// has acknowledged it or gossipTimeout is over. Such a report may be acknowledged once it is recorded in the control log and
// this host is current, since other hosts may not learn of it otherwise.
func (h *Host) Report(r fleet.Report) bool {
	o, ok := h.state.Load().Fleet.Get(r.ID)
	h.reports.AddEndpoint(Direct, r)
	if !ok || o.Phase != r.Phase || o.Born != r.Born {
		h.log.WithFields(logrus.Fields{
			"endpoint": r.ID, "born": r.Born, "sequence": r.Sequence, "phase": r.Phase.String(), "service": r.Service, "address": r.Address, "version": r.Version,
			"from": o.Phase.String(), "known": ok,
		}).Info("control: endpoint reports a new state")
	}
	if r.Phase == fleet.Ready {
		return true
	}
	if !ok || o.Phase != r.Phase {
		if m := h.links.gossipAndWait(ctlrpc.Gossip{Reports: []fleet.Report{r}}); len(m) > 0 {
			h.log.WithFields(logrus.Fields{"endpoint": r.ID, "controls": m}).Warn("control: other control hosts were not told of a leaving endpoint in time")
		}
	}
	return h.record(r)
}

// record has the control log hold that an endpoint is leaving or has departed, and reports whether it does and this host is
// current.
func (h *Host) record(r fleet.Report) bool {
	if !h.state.Load().StateMachine.HasLeft(leaverOf(r)) && h.Do(ctlrpc.Order{Verb: ctlrpc.Retire, Endpoint: r}).Status != ctlrpc.Accepted {
		h.log.WithFields(logrus.Fields{"endpoint": r.ID, "phase": r.Phase.String()}).Warn("control: a leaving endpoint isn't acknowledged, as the control log doesn't hold it")
		return false
	}
	return h.Current()
}

// Endpoint returns the endpoint with an id, and false if it isn't known.
func (h *Host) Endpoint(id string) (fleet.Endpoint, bool) { return h.state.Load().Fleet.Get(id) }

// Current reports whether this host is a ready leader or held all that was committed lately; see State.Current.
func (h *Host) Current() bool { return h.state.Load().At(h.now()).Current() }

// Stop ends the event loop, the writer, the joiner and the links to other control hosts. It returns once nothing is written to the
// data folder any more and its files are closed, at most after writersTimeout. The listener stays open.
func (h *Host) Stop() {
	close(h.stop)
	h.links.close()
	t := time.NewTimer(writersTimeout)
	defer t.Stop()
	select {
	case <-h.written:
	case <-t.C:
		h.log.Warn("control: a write to the data folder is under way at the stop, the disk stands or is slow")
	}
}

// writersEnd tells when the writers of a host have ended.
type writersEnd struct{ host *Host }

func (e writersEnd) run() {
	e.host.writers.Wait()
	close(e.host.written)
}
