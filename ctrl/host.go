package ctrl

import (
	"crypto/rand"
	"encoding/binary"
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

	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/store"
)

const (
	// tickEvery is the interval of Tick events.
	tickEvery = 25 * time.Millisecond
	// eventQueue is how many events may wait for the reducer.
	eventQueue = 8192
	// orderTimeout bounds the wait for the receipt of an order.
	orderTimeout = 900 * time.Millisecond
	// joinEvery is how often a host that hears no leader asks to take part.
	joinEvery = 250 * time.Millisecond
	// joinAfter is the silence of leaders after which a host asks to take part.
	joinAfter = 1500 * time.Millisecond
	// spreadTimeout bounds the wait until the other control hosts know that an endpoint leaves.
	spreadTimeout = 250 * time.Millisecond
	// exchangeWait bounds how long an exchange without news is held back.
	exchangeWait = time.Second
)

// timing holds the durations of elections; a round trip between data centres takes a few milliseconds.
var timing = quorum.Timing{Heartbeat: 120 * time.Millisecond, Election: 600 * time.Millisecond}

// HostOptions are what a control host is made of.
type HostOptions struct {
	Settings conf.Node
	Listener net.Listener
	Log      *logrus.Logger
	Metrics  *metrics.Set
}

// Host is a running control host.
type Host struct {
	settings conf.Node
	log      *logrus.Logger
	start    time.Time
	events   chan Event
	state    atomic.Pointer[State]
	writer   *writer
	links    *links
	tickets  tickets
	teller   *teller
	stop     chan struct{}

	lock    sync.Mutex
	changed chan struct{}
	shown   shown
}

// shown is what entry hosts were last woken for.
type shown struct {
	version int64
	fleet   uint64
	sure    bool
	ended   uint64
}

// NewHost opens the disk and starts the host.
func NewHost(o HostOptions) (*Host, error) {
	d, err := openDisk(o.Settings)
	if err != nil {
		return nil, err
	}
	n := Node(o.Settings.PeerAddress(), d.Identity)
	k := d.Held()
	s, err := New(Options{
		Node: n, Start: newStart(), Heartbeat: o.Settings.Bounds.Heartbeat.Std(), Exposure: o.Settings.Bounds.ExposureShare,
		Log: quorum.New(n, timing, k.Hard, k.Snapshot, k.Entries, seed()),
	})
	if err != nil {
		return nil, errors.Join(err, d.Close())
	}
	h := &Host{
		teller:   newTeller(),
		settings: o.Settings, log: o.Log, start: time.Now(), events: make(chan Event, eventQueue),
		stop: make(chan struct{}), changed: make(chan struct{}),
	}
	h.state.Store(&s)
	h.writer = newWriter(h, d)
	h.links = newLinks(h)
	h.gauges(o.Metrics)
	h.log.WithFields(logrus.Fields{
		"node": n, "start": s.Start, "version": s.Machine.Document.Version, "commit": s.Log.Commit, "voters": s.Log.Peers.Voters,
	}).Info("control: starts")
	r := rpc.NewServer()
	if err := r.RegisterName(ctlrpc.ServiceName, &Service{host: h}); err != nil {
		return nil, fmt.Errorf("register the control service: %w; report this as a fault", err)
	}
	a, j := acceptor{listener: o.Listener, server: r}, joiner{h}
	go a.run()
	go h.run()
	go h.writer.run()
	go j.run()
	return h, nil
}

// openDisk opens the data folder. At the first start of a deployment the seeds found the control log.
func openDisk(n conf.Node) (*store.Disk, error) {
	if !n.Found {
		d, _, err := store.OpenDisk(n.DataFolder)
		return d, err
	}
	return store.FoundDisk(n.DataFolder, founderDisk, founding(n))
}

// founderDisk is the identity of the disks that found a log. A disk that is lost later gets another.
const founderDisk = "founder"

// founding is the log that each seed starts from; all seeds are given the same list.
func founding(n conf.Node) quorum.Snapshot {
	var l []quorum.NodeID
	o := false
	for _, a := range n.SeedPeers() {
		l = append(l, Node(a, founderDisk))
		o = o || a == n.PeerAddress()
	}
	if !o {
		return quorum.Snapshot{}
	}
	return quorum.Snapshot{Index: 1, Term: 1, Peers: Founding(l)}
}

func newStart() string { return rand.Text()[:10] }

func seed() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return uint64(time.Now().UnixNano())
	}
	return binary.LittleEndian.Uint64(b[:])
}

// acceptor takes connections of other hosts.
type acceptor struct {
	listener net.Listener
	server   *rpc.Server
}

func (a acceptor) run() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		s := session{c, a.server}
		go s.run()
	}
}

// session serves one connection.
type session struct {
	conn   net.Conn
	server *rpc.Server
}

func (s session) run() { s.server.ServeConn(s.conn) }

func (h *Host) now() time.Duration { return time.Since(h.start) }

// post hands an event to the reducer.
func (h *Host) post(e Event) {
	select {
	case h.events <- e:
	case <-h.stop:
	}
}

// run reduces events and carries out their effects. Ticks of hosts that start together come at different moments,
// as their campaigns should.
func (h *Host) run() {
	time.Sleep(mathrand.N(tickEvery))
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		var e Event = Tick{}
		select {
		case e = <-h.events:
		case <-t.C:
		case <-h.stop:
			return
		}
		o := h.state.Load()
		s, f := Reduce(*o, h.now(), e)
		h.state.Store(&s)
		h.logChange(*o, s)
		h.publish(s)
		for _, v := range f {
			h.do(v)
		}
	}
}

func (h *Host) do(e Effect) {
	switch v := e.(type) {
	case Write:
		h.writer.add(v)
	case Answer:
		h.tickets.answer(v)
	case PassOn:
		w := forward{h, v}
		go w.run()
	case Spread:
		h.links.spread(v.Note)
	case Decided:
		h.log.WithFields(logrus.Fields{
			"service": v.Rollout.Service, "target": v.Rollout.Target, "serial": v.Rollout.Serial, "outcome": v.Rollout.Outcome.String(), "why": v.Why,
		}).Warn("control: proposes the end of a roll-out")
	case Faulted:
		h.log.WithError(v.Err).Error("control: an entry of the log can't be applied")
	}
}

// publish wakes the exchanges that wait for news.
func (h *Host) publish(s State) {
	v := shown{version: s.Machine.Document.Version, fleet: s.Fleet.Revision, sure: s.Sure}
	for _, r := range s.Machine.Rollouts {
		v.ended += r.Serial + uint64(r.Outcome)
	}
	if v == h.shown {
		return
	}
	h.shown = v
	h.lock.Lock()
	defer h.lock.Unlock()
	close(h.changed)
	h.changed = make(chan struct{})
}

// view returns the state and what is closed at the next news.
func (h *Host) view() (State, chan struct{}) {
	h.lock.Lock()
	defer h.lock.Unlock()
	return *h.state.Load(), h.changed
}

// logChange writes a line for each change of what this host believes of the log and the configuration.
func (h *Host) logChange(o, s State) {
	if o.Log.Role != s.Log.Role || o.Log.Leader != s.Log.Leader || o.Log.Hard.Term != s.Log.Hard.Term {
		h.log.WithFields(logrus.Fields{
			"role": s.Log.Role.String(), "leader": s.Log.Leader, "term": s.Log.Hard.Term, "commit": s.Log.Commit, "last": s.Log.LastIndex(),
		}).Info("control: role or leader changed")
	}
	if o.Machine.Document.Version != s.Machine.Document.Version {
		h.log.WithFields(logrus.Fields{"version": s.Machine.Document.Version, "index": s.Machine.Applied}).Info("control: configuration in force")
	}
	if !sameNodes(o.Log.Peers.Voters, s.Log.Peers.Voters) || !sameNodes(o.Log.Peers.Learners, s.Log.Peers.Learners) {
		h.log.WithFields(logrus.Fields{"voters": s.Log.Peers.Voters, "learners": s.Log.Peers.Learners}).Info("control: members of the log changed")
	}
	for k, r := range s.Machine.Rollouts {
		if p := o.Machine.Rollouts[k]; p != r {
			h.log.WithFields(logrus.Fields{"service": k, "target": r.Target, "serial": r.Serial, "outcome": r.Outcome.String()}).Info("control: roll-out changed")
		}
	}
	if o.Sure != s.Sure {
		h.log.WithFields(logrus.Fields{"version": s.Machine.Document.Version}).Info("control: caught up since the start")
	}
}

func sameNodes(a, b []quorum.NodeID) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (h *Host) gauges(m *metrics.Set) {
	g := func(name string, f func(State) float64) {
		m.NewGauge(name, func() float64 { return f(*h.state.Load()) })
	}
	g("control_term", func(s State) float64 { return float64(s.Log.Hard.Term) })
	g("control_commit", func(s State) float64 { return float64(s.Log.Commit) })
	g("control_lag", func(s State) float64 { return float64(s.Log.LastIndex() - s.Log.Commit) })
	g("control_leads", func(s State) float64 {
		if s.Log.Role == quorum.Leader {
			return 1
		}
		return 0
	})
	g("control_table_version", func(s State) float64 { return float64(s.Machine.Document.Version) })
	g("control_entries", func(s State) float64 { return float64(s.Entries()) })
}

// Do carries out an order, here or on the leader.
func (h *Host) Do(o ctlrpc.Order) ctlrpc.OrderReply {
	t, c := h.tickets.open()
	defer h.tickets.close(t)
	h.post(Asked{Ticket: t, Order: o})
	w := time.NewTimer(orderTimeout)
	defer w.Stop()
	select {
	case r := <-c:
		return r
	case <-w.C:
		return ctlrpc.OrderReply{}
	}
}

// Report takes what an endpoint says of itself. Where the endpoint leaves, it returns once the other
// control hosts that can be reached know of it.
func (h *Host) Report(r fleet.Report) {
	o, ok := h.state.Load().Fleet.Get(r.ID)
	h.post(Reported{Report: r})
	if !ok || o.Phase != r.Phase || o.Born != r.Born {
		h.log.WithFields(logrus.Fields{
			"endpoint": r.ID, "born": r.Born, "sequence": r.Sequence, "phase": r.Phase.String(), "service": r.Service, "address": r.Address, "version": r.Version,
			"from": o.Phase.String(), "known": ok,
		}).Info("control: endpoint reports a new state")
	}
	if r.Phase != fleet.Ready && (!ok || o.Phase != r.Phase) {
		h.links.spreadNow(ctlrpc.Gossip{Reports: []fleet.Report{r}})
	}
}

// Endpoint returns what is known of an endpoint.
func (h *Host) Endpoint(id string) (fleet.Endpoint, bool) { return h.state.Load().Fleet.Get(id) }

// Current reports whether this host is in touch with a leader that a majority follows.
func (h *Host) Current() bool { return h.state.Load().Current() }

// Stop ends the host.
func (h *Host) Stop() {
	close(h.stop)
	h.links.close()
}

// Exchange takes an entry host's report and returns news for it, at once or when there is some.
func (h *Host) Exchange(q ctlrpc.ExchangeRequest) ctlrpc.ExchangeReply {
	h.post(HostReported{Report: q.Report})
	for _, r := range q.Leaving {
		h.post(Reported{Report: r})
	}
	t := time.NewTimer(min(q.Wait, exchangeWait))
	defer t.Stop()
	for {
		s, c := h.view()
		if fresh(s, q.Known) {
			return h.teller.news(s, q)
		}
		select {
		case <-c:
		case <-t.C:
			s, _ = h.view()
			return h.teller.news(s, q)
		case <-h.stop:
			return ctlrpc.ExchangeReply{}
		}
	}
}

// fresh reports whether there is something that the entry host doesn't hold.
func fresh(s State, k ctlrpc.EntryState) bool {
	return s.Sure && s.Machine.Document.Version > k.TableVersion || k.Control != s.Start || k.FleetRevision != s.Fleet.Revision
}
