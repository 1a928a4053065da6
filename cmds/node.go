package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/entry"
	"github.com/hickoryshelf/hickoryshelf/logger"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/platform"
	"github.com/hickoryshelf/hickoryshelf/relay"
)

const (
	// heapPart is the part of a process's memory that the runtime aims to stay under.
	heapPart = 0.6
	// mostHeaderBytes bounds the head of a request before the configuration's own limit is known.
	mostHeaderBytes = 256 << 10
	// headTimeout bounds the time in which a caller sends the head of a request.
	headTimeout = 6 * time.Second
	// defaultIdle is how long an idle caller is kept before the configuration's own limit is known.
	defaultIdle = 60 * time.Second
	// leastStop is how long a stopping entry host still takes callers, for the balancer to notice.
	leastStop = 2600 * time.Millisecond
	// stopPart is the part of the grace period after which requests under way are broken off.
	stopPart = 0.95
	// lastRefusals is how long a host that has nothing left under way still refuses callers, so that no request
	// that has just been read is lost with its connection.
	lastRefusals = 120 * time.Millisecond
	// stopPoll is how often a stopping host looks whether requests are under way.
	stopPoll = 20 * time.Millisecond
)

// node is a process of a routed deployment.
type node struct {
	settings conf.Node
	log      *logrus.Logger
	metrics  *metrics.Set
	spool    *logger.Spool
	stop     func()
}

// runNode runs a process of a routed deployment until it is told to stop.
func runNode(ctx context.Context, path string) error {
	g := make(chan os.Signal, 8)
	signal.Notify(g, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP, syscall.SIGPIPE)
	s, err := conf.LoadNode(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * heapPart))
	n := &node{settings: s, metrics: metrics.NewSet(), spool: logger.New(os.Stdout)}
	defer n.spool.Flush()
	n.log = logger.NewLogger(n.spool, s.LogLevel, s.Name, n.metrics)
	n.log.WithFields(logrus.Fields{"part": s.Part.String(), "data-centre": s.DataCentre, "found": s.Bootstrap, "seeds": s.Seeds}).Info("host: starts")
	if err := n.start(); err != nil {
		n.log.WithError(err).Error("host: can't start")
		return err
	}
	n.wait(ctx, g, path)
	n.log.Info("host: planned stop begins")
	n.stop()
	n.log.Info("host: stopped")
	return nil
}

// wait returns when the process is told to stop; until then it reads changed settings.
func (n *node) wait(ctx context.Context, signals chan os.Signal, path string) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-signals:
			if v == syscall.SIGTERM || v == os.Interrupt {
				return
			}
			if v == syscall.SIGHUP {
				n.reload(path)
			}
		}
	}
}

// reload applies what can change while the process runs.
func (n *node) reload(path string) {
	s, err := conf.LoadNode(path)
	if err != nil {
		n.log.WithError(err).Error("host: reload refused, the settings before stay in force")
		return
	}
	if v, err := logrus.ParseLevel(s.LogLevel); err == nil {
		n.log.SetLevel(v)
	}
	n.log.WithField("seeds", s.Seeds).Info("host: settings read again")
}

func (n *node) start() error {
	if n.settings.MetricsPort > 0 {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.settings.IP, n.settings.MetricsPort))
		if err != nil {
			return fmt.Errorf("listen for metrics: %w; choose a free port", err)
		}
		h := &http.Server{Handler: metricsHandler{n.metrics}, ReadHeaderTimeout: headTimeout}
		s := server{h, l}
		go s.run()
	}
	if n.settings.Part == conf.PartControl {
		return n.startControl()
	}
	return n.startEntry()
}

// metricsHandler writes the metrics.
type metricsHandler struct{ set *metrics.Set }

// ServeHTTP writes the metrics in Prometheus's text format.
func (h metricsHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (n *node) startControl() error {
	l, err := listenAll(n.settings.PeerListenAddress(), n.settings.AdminAddress)
	if err != nil {
		return err
	}
	h, err := ctrl.NewHost(ctrl.HostOptions{Settings: n.settings, Listener: l[0], Log: n.log, Metrics: n.metrics})
	if err != nil {
		return err
	}
	a := &http.Server{Handler: platform.NewAdmin(h), ReadHeaderTimeout: headTimeout, IdleTimeout: defaultIdle}
	s := server{a, l[1]}
	go s.run()
	n.stop = func() {
		c, f := context.WithTimeout(context.Background(), time.Second)
		defer f()
		if err := a.Shutdown(c); err != nil {
			n.log.WithError(err).Warn("host: calls were under way at the end")
		}
		h.Stop()
	}
	return nil
}

func (n *node) startEntry() error {
	l, err := listenAll(n.settings.CallerAddress, n.settings.ReadyAddress)
	if err != nil {
		return err
	}
	p := pick.NewSet(n.settings.DataCentre)
	o := dial.NewPool()
	r := relay.New(relay.Options{
		Sender: &platform.Sender{Pool: o}, Endpoints: p, Log: n.log, Metrics: n.metrics,
		Budget: relay.NewRetryBudget(n.settings.Bounds.RetryRatio, n.settings.Bounds.RetrySlack, n.settings.Bounds.RetryWindow.Std()),
	})
	e := entry.New(entry.Options{Settings: n.settings, Relay: r, Set: p, Pool: o, Decode: platform.DecodeTable, Log: n.log, Metrics: n.metrics})
	i := &callers{relay: r, timers: map[net.Conn]*time.Timer{}}
	s := &http.Server{
		Handler: &platform.CallerHandler{Relay: r, Stopping: e.Stopping}, ReadHeaderTimeout: headTimeout, MaxHeaderBytes: mostHeaderBytes,
		ConnState: i.note,
	}
	d := &http.Server{Handler: readiness{e}, ReadHeaderTimeout: headTimeout, IdleTimeout: defaultIdle}
	u, v := server{s, l[0]}, server{d, l[1]}
	go u.run()
	go v.run()
	n.stop = func() { n.stopEntry(e, r, i, s) }
	return nil
}

// readiness answers the balancer.
type readiness struct{ entry *entry.Entry }

// ServeHTTP answers 200 while the host takes callers.
func (r readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !r.entry.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stopEntry is the planned stop of an entry host: it turns unready and goes on serving until the balancer
// has noticed and the requests under way are done, or the grace period ends.
func (n *node) stopEntry(e *entry.Entry, r *relay.Relay, i *callers, s *http.Server) {
	t := time.Now()
	e.BeginStop()
	m := time.Duration(float64(n.settings.Bounds.Grace.Std()) * stopPart)
	for time.Since(t) < leastStop {
		time.Sleep(stopPoll)
	}
	r.SetStopTime(t.Add(m))
	for time.Since(t) < m && i.active() > 0 {
		time.Sleep(stopPoll)
	}
	r.SetStopTime(time.Now())
	for l := time.Now(); time.Since(l) < lastRefusals || time.Since(t) < m && i.active() > 0; {
		time.Sleep(stopPoll)
	}
	if k := i.active(); k > 0 {
		n.log.WithField("requests", k).Warn("host: requests are broken off at the end of the grace period")
	}
	if err := s.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		n.log.WithError(err).Warn("host: closing callers' connections failed")
	}
	e.Stop()
}

// callers follows callers' connections: those that idle longer than the configuration allows are closed.
type callers struct {
	relay  *relay.Relay
	lock   sync.Mutex
	timers map[net.Conn]*time.Timer
	busy   map[net.Conn]bool
}

func (c *callers) note(n net.Conn, s http.ConnState) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if t, ok := c.timers[n]; ok {
		t.Stop()
		delete(c.timers, n)
	}
	if c.busy == nil {
		c.busy = map[net.Conn]bool{}
	}
	switch s {
	case http.StateActive:
		c.busy[n] = true
	case http.StateIdle:
		delete(c.busy, n)
		c.timers[n] = time.AfterFunc(c.idle(), func() { _ = n.Close() }) // the caller sees the end of the connection
	case http.StateClosed, http.StateHijacked:
		delete(c.busy, n)
	}
}

func (c *callers) idle() time.Duration {
	if t := c.relay.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return defaultIdle
}

func (c *callers) active() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return len(c.busy)
}
