// Package host runs the reducer of an entry host: it turns timers, messages and disk writes into events,
// and carries out the effects.
package host

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

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

// eventQueueLength is how many events may wait for the reducer.
const eventQueueLength = 4096

// quorumTiming holds the durations of elections; a data centre's round trip is a few milliseconds.
var quorumTiming = quorum.Timing{Heartbeat: 150 * time.Millisecond, Election: 800 * time.Millisecond}

// Options are what a host is made of.
type Options struct {
	Settings conf.Settings
	// Listener takes connections of other hosts.
	Listener net.Listener
	Log      *logrus.Logger
	Metrics  *metrics.Set
	// ServerTLS and ClientTLS are nil for plain TCP.
	ServerTLS *tls.Config
	ClientTLS func() *tls.Config
}

// Host is a running entry host.
type Host struct {
	settings  conf.Settings
	log       *logrus.Logger
	metrics   *metrics.Set
	start     time.Time
	events    chan core.Event
	state     atomic.Pointer[core.State]
	replies   pendingReplies
	idCounter atomic.Uint64
	idPrefix  string

	disk         *store.Disk
	quorumWriter *batcher[core.QuorumOutput]
	ledgerWriter *batcher[core.SyncRecords]
	server       *peer.Server
	traffic      peer.Traffic
	tls          func() *tls.Config
	links        sync.Map
	orderClient  *http.Client
	done         chan struct{}
	stopOnce     sync.Once
}

// New starts a host.
func New(o Options) (*Host, error) {
	n := time.Now()
	h := &Host{
		settings: o.Settings, log: o.Log, metrics: o.Metrics, start: n,
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
	l := o.Listener
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

// loadState reads the data folder and makes the first state.
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

// now reads the host's monotonic clock.
func (h *Host) now() time.Duration { return time.Since(h.start) }

// post queues an event; it gives up when the host has stopped.
func (h *Host) post(e core.Event) {
	select {
	case h.events <- e:
	case <-h.done:
	}
}

// State returns the host's newest state.
func (h *Host) State() core.State { return *h.state.Load() }

// NewID returns an id that is unique for all time.
func (h *Host) NewID() string { return h.idPrefix + strconv.FormatUint(h.idCounter.Add(1), 36) }

// Incarnation returns the number of this start of the host.
func (h *Host) Incarnation() uint64 { return h.State().Members.Self.Incarnation }

// loop reduces events one at a time.
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

// Stop ends the host's work at once; Drain comes before it on a planned stop.
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
}

// Drain takes the host out of service for new requests and waits until none is running.
func (h *Host) Drain(ctx context.Context) error {
	h.post(core.Stopping{})
	for {
		s := h.State()
		if s.Members.Self.Stopping && s.Running() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d requests still run; give the planned stop more time", s.Running())
		case <-time.After(tickInterval):
		}
	}
}

// writeBootstrapSnapshot writes the first entry of a control log: this host's node as the only voter, and the members
// named in the settings.
func writeBootstrapSnapshot(d *store.Disk, name string, members []model.Member) error {
	if h := d.QuorumState(); h.Hard.Term != 0 || len(h.Entries) > 0 || h.Snapshot.Index > 0 {
		return fmt.Errorf("the data folder holds a control log already; start the host with serve")
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

// Bootstrap makes the data folder of the first voter of a new system.
func Bootstrap(s conf.Settings) error {
	if s.DataFolder == "" {
		return fmt.Errorf("settings name no data-folder; found the system on a host with a disk")
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
