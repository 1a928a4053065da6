// Package host runs an entry host. It passes timer ticks, messages and the results of disk writes to the reducer of
// package core as events, and carries out the effects that the reducer returns.
package host

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/accept"
	"github.com/hickoryshelf/hickoryshelf/clock"
	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/peer"
	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/store"
)

// tickInterval is the interval of Tick events.
const tickInterval = 50 * time.Millisecond

// writersTimeout bounds the wait of Stop for what is being written: a disk may stand.
const writersTimeout = 2 * time.Second

// eventQueueLength is the maximum number of events queued for the reducer.
const eventQueueLength = 4096

// quorumTiming sets the heartbeat interval and the election timeout of the control log. Both are far longer than a
// data centre's network round trip, which takes a few milliseconds.
var quorumTiming = quorum.Timing{Heartbeat: 150 * time.Millisecond, Election: 800 * time.Millisecond}

// Options holds the settings of a host and the resources that it uses.
type Options struct {
	Settings conf.Settings
	// Listener accepts connections from other hosts.
	Listener net.Listener
	Log      *logrus.Logger
	Metrics  *metrics.Set
	// ServerTLS and ClientTLS are nil for plain TCP. ClientTLS is called for each new connection.
	ServerTLS *tls.Config
	ClientTLS func() *tls.Config
	// Suspended is the time for which the machine was suspended. If it is nil, the system is asked.
	Suspended clock.Source
}

// Host is a running entry host.
type Host struct {
	settings conf.Settings
	log      *logrus.Logger
	metrics  *metrics.Set
	// clock shows the time that the reducer sees, also that in suspension.
	clock     clock.Clock
	events    chan core.Event
	state     atomic.Pointer[core.State]
	replies   pendingReplies
	idCounter atomic.Uint64
	idPrefix  string

	// disk is nil on a host without a data folder.
	disk         *store.Disk
	quorumWriter *batcher[core.QuorumOutput]
	ledgerWriter *batcher[core.SyncRecords]
	server       *peer.Server
	traffic      peer.Traffic
	tls          func() *tls.Config
	// links maps the names of other hosts to their *link.
	links       sync.Map
	orderClient *http.Client
	done        chan struct{}
	stopOnce    sync.Once
}

// New starts a host. It returns an error when the data folder can't be read or decoded.
func New(o Options) (*Host, error) {
	n := time.Now()
	h := &Host{
		settings: o.Settings, log: o.Log, metrics: o.Metrics, clock: clock.New(o.Suspended),
		events:      make(chan core.Event, eventQueueLength),
		replies:     pendingReplies{channels: make(map[string]chan any)},
		done:        make(chan struct{}),
		tls:         o.ClientTLS,
		orderClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if h.tls == nil {
		h.tls = func() *tls.Config { return nil }
	}
	s, err := h.loadState(uint64(n.UnixMilli()))
	if err != nil {
		return nil, err
	}
	h.state.Store(&s)
	h.idPrefix = fmt.Sprintf("%s-%s-", o.Settings.Name, strconv.FormatInt(n.UnixMilli(), 36))
	var l net.Listener = accept.NewListener(accept.Options{Listener: o.Listener, Name: "hosts", Log: o.Log, Metrics: o.Metrics})
	if o.ServerTLS != nil {
		l = tls.NewListener(l, o.ServerTLS)
	}
	h.server, err = peer.Serve(l, &handler{h}, &h.traffic)
	if err != nil {
		return nil, err
	}
	w, b := &quorumWriter{host: h}, &ledgerWriter{host: h}
	h.quorumWriter = newBatcher(h.done, writerQueueLength, w.write)
	h.ledgerWriter = newBatcher(h.done, writerQueueLength, b.write)
	go h.loop(s)
	return h, nil
}

// loadState opens the data folder, if the settings name one, and returns the initial state of the reducer.
func (h *Host) loadState(incarnation uint64) (core.State, error) {
	o := core.Options{
		Self:  member.Self{Name: h.settings.Name, DataCentre: h.settings.DataCentre, Incarnation: incarnation},
		Seeds: h.settings.Peers, Seed: incarnation, HasDisk: h.settings.DataFolder != "",
	}
	var d store.QuorumState
	var r [][]byte
	if o.HasDisk {
		var err error
		h.disk, r, err = store.OpenDisk(h.settings.DataFolder)
		if err != nil {
			return core.State{}, err
		}
		for _, t := range h.disk.Torn() {
			h.log.WithFields(logrus.Fields{"file": filepath.Base(t.Path), "offset": t.Offset, "bytes": t.Bytes}).Warn("host: a write that a crash left incomplete is dropped; it wasn't acknowledged")
		}
		d = h.disk.QuorumState()
		o.Self.Node = quorum.NodeID(h.settings.Name + "/" + h.disk.Identity)
	}
	var err error
	o.Control, err = config.Decode(d.Snapshot.Data)
	if err != nil {
		return core.State{}, err
	}
	o.Quorum = quorum.New(o.Self.Node, quorumTiming, d.Hard, d.Snapshot, d.Entries, incarnation^uint64(len(h.settings.Name)))
	o.Ledger, err = decodeLines(r)
	if err != nil {
		return core.State{}, err
	}
	return core.NewState(o), nil
}

// now returns the time since the host's start, also that in suspension.
func (h *Host) now() time.Duration { return h.clock.Now() }

// post queues an event for the reducer and waits while the queue is full. The event is dropped when the host stops.
func (h *Host) post(e core.Event) {
	select {
	case h.events <- e:
	case <-h.done:
	}
}

// State returns the state after the last event that the reducer has handled.
func (h *Host) State() core.State { return *h.state.Load() }

// NewID returns an ID that is unique across hosts and restarts: the host's name, its start time in milliseconds and a
// counter.
func (h *Host) NewID() string { return h.idPrefix + strconv.FormatUint(h.idCounter.Add(1), 36) }

// Incarnation returns the process start number of this host, which is its start time in Unix milliseconds.
func (h *Host) Incarnation() uint64 { return h.State().Members.Self.Incarnation }

// loop passes events to the reducer one at a time, publishes each new state and carries out the effects.
func (h *Host) loop(s core.State) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		var e core.Event
		select {
		case <-h.done:
			return
		case <-t.C:
			e = core.Tick{}
		case e = <-h.events:
		}
		n, f := core.Reduce(s, h.now(), e)
		s = n
		h.state.Store(&n)
		for _, x := range f {
			h.execute(x)
		}
	}
}

// Stop stops the host at once and closes its connections to other hosts. It returns once nothing is written to the data folder any
// more and its files are closed, at most after writersTimeout. On a planned stop, Drain is called first. Further calls of Stop
// have no effect.
func (h *Host) Stop() {
	h.stopOnce.Do(h.close)
}

func (h *Host) close() {
	close(h.done)
	h.server.Close()
	h.links.Range(func(_, l any) bool {
		l.(*link).client.Close()
		return true
	})
	h.closeDisk()
}

// closeDisk closes the disk, if there is one, once its writers have ended.
func (h *Host) closeDisk() {
	if h.disk == nil {
		return
	}
	t := time.NewTimer(writersTimeout)
	defer t.Stop()
	if !h.quorumWriter.awaitEnd(t.C) || !h.ledgerWriter.awaitEnd(t.C) {
		h.log.Warn("host: a write to the data folder is under way at the stop, the disk stands or is slow")
		return
	}
	if err := h.disk.Close(); err != nil {
		h.log.WithError(err).Warn("host: can't close the data folder at the stop")
	}
}

// Drain marks the host as stopping, so that it takes no new requests, and waits until no request is running. It
// returns an error when ctx ends first.
func (h *Host) Drain(ctx context.Context) error {
	h.post(core.Stopping{})
	for {
		s := h.State()
		if s.Members.Self.Stopping && s.Running() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d requests are still running; allow more time for the planned stop", s.Running())
		case <-time.After(tickInterval):
		}
	}
}

// writeBootstrapSnapshot writes the first snapshot of a control log. The snapshot has this host's node as the only
// voter and a configuration with the given members. It returns an error when the disk already holds a control log.
func writeBootstrapSnapshot(d *store.Disk, name string, members []model.Member) error {
	if h := d.QuorumState(); h.Hard.Term != 0 || len(h.Entries) > 0 || h.Snapshot.Index > 0 {
		return fmt.Errorf("the data folder already holds a control log; start the host with serve")
	}
	s := config.NewState()
	for _, m := range members {
		s.Config = s.Config.WithMember(m)
	}
	s.Config.Revision = 1
	b, err := s.Encode()
	if err != nil {
		return err
	}
	n := quorum.NodeID(name + "/" + d.Identity)
	p := quorum.Snapshot{Index: 1, Term: 1, Peers: quorum.Peers{Voters: []quorum.NodeID{n}}, Data: b}
	return d.Persist(quorum.Persist{Snapshot: &p, Hard: &quorum.HardState{Term: 1}})
}

// Bootstrap prepares the data folder of the first voter of a new deployment. It returns an error when the settings
// name no data folder or the folder already holds a control log.
func Bootstrap(s conf.Settings) error {
	if s.DataFolder == "" {
		return fmt.Errorf("the settings name no data-folder; run init on a host with a disk")
	}
	d, _, err := store.OpenDisk(s.DataFolder)
	if err != nil {
		return err
	}
	if err := writeBootstrapSnapshot(d, s.Name, s.Peers); err != nil {
		return err
	}
	return d.Close()
}
