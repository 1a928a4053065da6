// Package entry keeps an entry host in touch with the control hosts: it tells one of them what this host has
// under way and has seen, and puts in force what comes back.
package entry

import (
	"errors"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/relay"
	"github.com/hickoryshelf/hickoryshelf/table"
)

const (
	// exchangeWait is how long a control host holds an exchange back while it has no news.
	exchangeWait = 150 * time.Millisecond
	// exchangeTimeout is the time after which another control host is asked.
	exchangeTimeout = 700 * time.Millisecond
	// exchangePause is the pause after a failed exchange.
	exchangePause = 60 * time.Millisecond
	// pacesEvery is the number of exchanges of which one tells the measured paces of models.
	pacesEvery = 16
	// sweepEvery is how often idle connections to endpoints are looked through.
	sweepEvery = time.Second
)

// Options are what an entry host is made of.
type Options struct {
	Settings conf.Node
	Relay    *relay.Relay
	Set      *pick.Set
	Pool     *dial.Pool
	// Decode reads a configuration as the operator wrote it.
	Decode  func(document []byte) (table.Table, error)
	Log     *logrus.Logger
	Metrics *metrics.Set
}

// Entry is a running entry host.
type Entry struct {
	Options
	start    int64
	sequence uint64
	controls []string
	known    ctlrpc.Known
	client   *rpc.Client
	address  string
	lost     bool
	stopping atomic.Bool
	heard    atomic.Int64
	stop     chan struct{}
}

// ErrTimeout is returned by an exchange that got no answer in time.
var ErrTimeout = errors.New("no answer in time; another control host is asked")

// ErrStale is returned where the control host hears no leader, so that another one may know more.
var ErrStale = errors.New("the control host hears no leader; another one is asked")

// New starts the exchange with control hosts.
func New(o Options) *Entry {
	e := &Entry{Options: o, start: time.Now().UnixNano(), controls: o.Settings.SeedPeers(), stop: make(chan struct{})}
	o.Metrics.NewGauge("control_age_seconds", func() float64 { return time.Since(time.Unix(0, e.heard.Load())).Seconds() })
	o.Metrics.NewGauge("table_version", func() float64 {
		if t := o.Relay.Table(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
	s := sweeper{e}
	go e.run()
	go s.run()
	return e
}

// sweeper closes idle connections to endpoints.
type sweeper struct{ entry *Entry }

func (s sweeper) run() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.entry.Pool.CloseExpired()
		case <-s.entry.stop:
			return
		}
	}
}

// Ready reports whether the host can take callers.
func (e *Entry) Ready() bool { return !e.stopping.Load() && e.Relay.Table() != nil }

// Stopping reports whether the host is about to stop.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// BeginStop makes the host unready.
func (e *Entry) BeginStop() { e.stopping.Store(true) }

// Stop ends the exchange.
func (e *Entry) Stop() { close(e.stop) }

func (e *Entry) run() {
	for {
		select {
		case <-e.stop:
			return
		default:
		}
		if err := e.exchange(); err != nil {
			e.fail(err)
			time.Sleep(exchangePause)
		}
	}
}

// exchange tells a control host the news of this host and takes its news.
func (e *Entry) exchange() error {
	c, err := e.connect()
	if err != nil {
		return err
	}
	e.sequence++
	var p map[string]time.Duration
	if e.sequence%pacesEvery == 0 {
		p = e.Relay.Paces.All()
	}
	q := ctlrpc.Query{
		Report: ctlrpc.HostReport{Host: e.Settings.Name, Start: e.start, Sequence: e.sequence, Loads: e.Set.Loads(), Tallies: e.Relay.TakeTallies(), Reads: p, Ages: e.Set.Ages()},
		Known:  e.known, Wait: exchangeWait,
	}
	if e.known.Control == "" {
		q.Leaving, q.Known.FleetSum = e.Set.Leaving(), e.Set.Sum()
	}
	var n ctlrpc.News
	if err := e.call(c, q, &n); err != nil {
		e.Relay.ReturnTallies(q.Report.Tallies)
		return err
	}
	e.take(n)
	if !n.Current && len(e.controls) > 1 {
		return ErrStale
	}
	return nil
}

func (e *Entry) call(c *rpc.Client, q ctlrpc.Query, n *ctlrpc.News) error {
	t := time.NewTimer(exchangeTimeout)
	defer t.Stop()
	d := c.Go(ctlrpc.ServiceName+".Exchange", q, n, make(chan *rpc.Call, 1))
	select {
	case <-d.Done:
		return d.Error
	case <-t.C:
		return ErrTimeout
	}
}

// connect returns the connection to a control host, choosing another where there is none.
func (e *Entry) connect() (*rpc.Client, error) {
	if e.client != nil {
		return e.client, nil
	}
	l := slices.DeleteFunc(slices.Clone(e.controls), func(a string) bool { return a == e.address && len(e.controls) > 1 })
	if len(l) == 0 {
		l = e.controls
	}
	e.address = l[rand.IntN(len(l))]
	c, err := dial.Connect(e.address)
	if err != nil {
		return nil, err
	}
	e.client = rpc.NewClient(c)
	e.known.Control = ""
	e.Relay.RepeatTallies()
	return e.client, nil
}

// fail gives the connection up.
func (e *Entry) fail(err error) {
	if !e.lost {
		e.Log.WithError(err).WithField("control", e.address).Warn("entry: dependency lost, the control host doesn't answer")
	}
	e.lost = true
	if e.client == nil {
		return
	}
	if err := e.client.Close(); err != nil && !errors.Is(err, rpc.ErrShutdown) {
		e.Log.WithError(err).Debug("entry: closing a connection failed")
	}
	e.client = nil
}

// take puts the news of a control host in force.
func (e *Entry) take(n ctlrpc.News) {
	if e.lost && n.Current {
		e.lost = false
		e.Log.WithField("control", e.address).Info("entry: dependency regained, a control host answers")
	}
	e.heard.Store(time.Now().UnixNano())
	if len(n.Document) > 0 {
		e.takeTable(n)
	}
	if n.Control != e.known.Control || n.FleetRevision != e.known.FleetRevision {
		if n.FleetNew {
			e.Set.Replace(n.Reports)
		} else {
			e.Set.Merge(n.Reports, n.Gone)
		}
		e.Relay.Paces.Adopt(n.Reads)
		e.known.Control, e.known.FleetRevision = n.Control, n.FleetRevision
		e.Log.WithFields(logrus.Fields{"control": e.address, "revision": n.FleetRevision, "changed": len(n.Reports), "gone": len(n.Gone), "endpoints": e.Set.Services()}).Info("entry: endpoints changed")
	}
	if n.Sure {
		e.Set.SetRollouts(n.Rollouts)
	}
	if n.LoadsNew {
		e.Set.SetLoads(n.Loads)
	} else {
		e.Set.MergeLoads(n.Loads)
	}
	e.Relay.SetEntries(n.Entries)
	if len(n.Controls) > 0 {
		e.controls = n.Controls
	}
}

func (e *Entry) takeTable(n ctlrpc.News) {
	t, err := e.Decode(n.Document)
	if err != nil {
		e.Log.WithError(err).WithField("version", n.TableVersion).Error("entry: the configuration can't be read")
		return
	}
	o := e.known.TableVersion
	e.known.TableVersion = max(o, t.Version)
	if e.Relay.SetTable(t) {
		e.Log.WithFields(logrus.Fields{"version": t.Version, "before": o, "control": e.address, "routes": len(t.Routes)}).Info("entry: configuration in force")
	}
}
