package cmds

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/accept"
	"github.com/hickoryshelf/hickoryshelf/assist"
	"github.com/hickoryshelf/hickoryshelf/budget"
	"github.com/hickoryshelf/hickoryshelf/caller"
	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/entry"
	"github.com/hickoryshelf/hickoryshelf/intake"
	"github.com/hickoryshelf/hickoryshelf/logger"
	"github.com/hickoryshelf/hickoryshelf/memory"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/platform"
	"github.com/hickoryshelf/hickoryshelf/proxy"
	"github.com/hickoryshelf/hickoryshelf/relay"
	"github.com/hickoryshelf/hickoryshelf/shed"
	"github.com/hickoryshelf/hickoryshelf/speed"
	"github.com/hickoryshelf/hickoryshelf/table"
)

const (
	// settingsInterval is the interval at which the settings file is looked at: it may change without a signal.
	settingsInterval = 2 * time.Second
	// heapShare is the fraction of the process's memory (memory-mb) that is set as the Go runtime's memory limit.
	heapShare = 0.6
	// maxHeaderBytes limits the size of a request's header before the limit in the configuration is known.
	maxHeaderBytes = 256 << 10
	// nodeHeaderTimeout limits the time in which a caller must send the header of a request.
	nodeHeaderTimeout = 6 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept open before the timeout in the configuration is known.
	defaultIdleTimeout = 60 * time.Second
	// minDrain is how long a stopping entry host still accepts all requests after it has become unready. The load
	// balancer needs this time to notice.
	minDrain = 2600 * time.Millisecond
	// graceShare is the fraction of the grace period after which requests in flight are aborted.
	graceShare = 0.95
	// closeDelay is how long a stopping host without requests in flight goes on refusing new requests before it closes
	// the connections. A request that arrived just before is then answered and not lost with its connection.
	closeDelay = 120 * time.Millisecond
	// handlerTimeout bounds the wait for the requests that a stopping host has broken off to end and log why.
	handlerTimeout = 60 * time.Millisecond
	// sideConnections is the number of connections for metrics, and for readiness checks: of few clients, with small requests.
	sideConnections = 32
	// peerPart is the part of the clients' connections that other hosts may have: a half.
	peerPart = 2
	// stopPollInterval is how often a stopping host checks whether requests are in flight.
	stopPollInterval = 20 * time.Millisecond
	// handlerPollInterval is the same for requests that were broken off.
	handlerPollInterval = 2 * time.Millisecond
)

// node is a process of a routed deployment: an entry host or a control host.
type node struct {
	settings  conf.Node
	log       *logrus.Logger
	metrics   *metrics.Set
	logWriter *logger.Writer
	// intake bounds what requests of clients take in memory.
	intake *intake.Account
	stop   func() // ends the host; set by startControl or startEntry
	// setSeeds passes on the seeds of newer settings, as peer addresses; set by startControl or startEntry.
	setSeeds func(peers []string)
	// file is the content of the settings file that was read last, or nil if it couldn't be read.
	file []byte
}

// runNode runs the process that the settings file describes until ctx ends or a SIGTERM or an interrupt arrives.
// SIGHUP reloads the settings; SIGPIPE is ignored.
func runNode(ctx context.Context, path string) error {
	g := make(chan os.Signal, 8)
	signal.Notify(g, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP, syscall.SIGPIPE)
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: %w; name a file that can be read", err)
	}
	s, err := conf.ParseNode(path, b)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * heapShare))
	n := &node{settings: s, metrics: metrics.NewSet(), logWriter: logger.NewWriter(os.Stdout), intake: intake.NewAccount(s.IntakeLimits()), file: b}
	n.metrics.NewGauge("intake_bytes", func() float64 { return float64(n.intake.Taken()) })
	defer n.logWriter.Flush()
	n.log = logger.NewLogger(n.logWriter, s.LogLevel, s.Name, n.metrics)
	n.log.WithFields(logrus.Fields{"part": s.Part.String(), "data-centre": s.DataCentre, "found": s.Bootstrap, "seeds": s.Seeds}).Info("host: starts")
	if err := n.start(); err != nil {
		n.log.WithError(err).Error("host: start failed")
		return err
	}
	n.wait(ctx, g, path)
	n.log.Info("host: planned stop begins")
	n.stop()
	n.log.Info("host: stopped")
	return nil
}

// wait returns when ctx ends or a SIGTERM or an interrupt arrives. On SIGHUP, and when the settings file has changed, it reloads the settings.
func (n *node) wait(ctx context.Context, signals chan os.Signal, path string) {
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if n.hasChanged(path) {
				n.reload(path)
			}
		case v := <-signals:
			if v == syscall.SIGTERM || v == os.Interrupt {
				return
			}
			if v == syscall.SIGHUP {
				n.hasChanged(path)
				n.reload(path)
			}
		}
	}
}

// hasChanged reads the settings file and reports whether it has another content than when it was read last.
func (n *node) hasChanged(path string) bool {
	b, err := os.ReadFile(path)
	if err != nil && n.file != nil {
		n.log.WithError(err).Warn("host: the settings file can't be read, the previous settings stay in force")
	}
	c := err == nil && !bytes.Equal(b, n.file)
	n.file = b
	return c
}

// reload applies the log level and the seeds of the settings file as it was read last, which are the only settings that can change while the
// process runs. Invalid settings are refused.
func (n *node) reload(path string) {
	s, err := conf.ParseNode(path, n.file)
	if err != nil {
		n.log.WithError(err).Error("host: reload refused, the previous settings stay in force")
		return
	}
	if v, err := logrus.ParseLevel(s.LogLevel); err == nil {
		n.log.SetLevel(v)
	}
	c := n.settings
	c.Seeds = s.Seeds
	n.setSeeds(c.SeedPeers())
	n.log.WithField("seeds", s.Seeds).Info("host: settings reloaded")
}

// start starts the metrics server, if it has a port, and the control or entry host.
func (n *node) start() error {
	if n.settings.MetricsPort > 0 {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.settings.IP, n.settings.MetricsPort))
		if err != nil {
			return fmt.Errorf("listen for metrics: %w; choose a free metrics-port", err)
		}
		h := newSideServer(metricsHandler{n.metrics})
		s := n.newServer(h, l, "metrics", sideConnections)
		go s.run()
	}
	if n.settings.Part == conf.PartControl {
		return n.startControl()
	}
	return n.startEntry()
}

// newServer returns an HTTP server that takes its connections from a listener, a number of them at most. name says in logs and metrics
// who connects.
func (n *node) newServer(h *http.Server, l net.Listener, name string, connections int) server {
	g := caller.NewGate(caller.GateOptions{Listener: l, Name: name, Connections: connections, Intake: n.intake, Log: n.log, Metrics: n.metrics})
	t := h.ConnState
	h.ConnState = func(c net.Conn, s http.ConnState) {
		g.Track(c, s)
		if t != nil {
			t(c, s)
		}
	}
	return newServer(h, accept.Options{Listener: g, Name: name, Log: n.log, Metrics: n.metrics})
}

// newSideServer returns an HTTP server for small requests without a body. What comes nevertheless is read on by net/http, and must not
// hold one of the few connections.
func newSideServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: nodeHeaderTimeout, ReadTimeout: nodeHeaderTimeout, WriteTimeout: nodeHeaderTimeout, IdleTimeout: defaultIdleTimeout}
}

// metricsHandler serves a set of metrics and the metrics of the process.
type metricsHandler struct{ set *metrics.Set }

// ServeHTTP writes the metrics in the Prometheus text format.
func (h metricsHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// startControl starts a control host and its administration API.
func (n *node) startControl() error {
	l, err := listenAll(n.settings.PeerListenAddress(), n.settings.AdminAddress)
	if err != nil {
		return err
	}
	h, err := ctrl.NewHost(ctrl.HostOptions{Settings: n.settings, Listener: l[0], AskDirectory: proxy.AskDirectory, Log: n.log, Metrics: n.metrics})
	if err != nil {
		return err
	}
	c := n.settings.ClientLimits()
	d := platform.NewAdmin(h, platform.AdminOptions{
		DataCentres: n.settings.DrainableCentres(), LimitsCold: n.settings.Bounds.ColdLimits().On(),
		Intake: n.intake, DocumentBytes: c.DocumentBytes, BodyTimeout: c.BodyTimeout.Std(),
	})
	a := &http.Server{Handler: d, ReadHeaderTimeout: nodeHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	s := n.newServer(a, l[1], "endpoints-and-operators", c.Connections)
	go s.run()
	n.setSeeds = h.SetSeeds
	n.stop = func() {
		h.Leave()
		c, f := context.WithTimeout(context.Background(), time.Second)
		defer f()
		if err := a.Shutdown(c); err != nil {
			n.log.WithError(err).Warn("host: administration calls were in flight at the stop")
		}
		h.Stop()
	}
	return nil
}

// startEntry starts an entry host with its caller and readiness servers.
func (n *node) startEntry() error {
	l, err := listenAll(n.settings.CallerAddress, n.settings.ReadyAddress, n.settings.PeerListenAddress())
	if err != nil {
		return err
	}
	p := pick.NewSet(n.settings.DataCentre)
	o, h := dial.NewPool(), dial.NewPool()
	k, m := rand.Text(), memory.NewAccount(n.settings.MemoryMB)
	var g *speed.Meter
	if n.settings.Decisions.SharedSpeeds {
		g = speed.NewMeter()
	}
	r := relay.New(relay.Options{
		Detour: &proxy.Client{Host: n.settings.Name, Start: rand.Text(), Pool: h, Memory: m}, Helpers: assist.NewBoard(n.settings.DataCentre),
		Sender: &platform.Sender{Pool: o, Tunnel: n.settings.EndpointTunnel, Memory: m}, Memory: m, Endpoints: p, Log: n.log, Metrics: n.metrics, Weights: n.settings.Decisions.Weights, Speeds: g, Shed: n.demandLedger(),
		ApplyTime: n.settings.Bounds.ConfigurationApply.Std(), Cold: n.settings.Bounds.ColdLimits(),
		Budget: budget.NewHost(budget.Limits{Ratio: n.settings.Bounds.RetryRatio, Slack: n.settings.Bounds.RetrySlack, Window: n.settings.Bounds.RetryWindow.Std()}),
	})
	a := entry.Assisting{Address: n.settings.PeerAddress(), Token: k, Bound: assist.NewBound(n.settings.Descriptors, n.settings.MemoryMB)}
	e := entry.New(entry.Options{Settings: n.settings, Relay: r, Set: p, Pools: []*dial.Pool{o, h}, Assisting: a, AskDirectory: proxy.AskDirectory, Decode: platform.DecodeTable, Log: n.log, Metrics: n.metrics})
	i := caller.NewTracker(func() time.Duration { return idleTimeout(r.Table()) })
	c := n.settings.ClientLimits()
	b := &platform.CallerHandler{
		Relay: r, Stopping: e.Stopping, Intake: n.intake, BodyTimeout: c.BodyTimeout.Std(), DiscardBytes: c.DiscardBytes, DiscardTime: c.DiscardTime.Std(), AnswerTimeout: c.AnswerTimeout.Std(),
	}
	s := &http.Server{
		Handler: i.Guard(b), ReadHeaderTimeout: nodeHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: i.Track, ConnContext: i.ConnContext,
	}
	d := newSideServer(readinessHandler{e})
	y := proxy.NewServer(proxy.Options{Token: k, Relay: r, Bound: a.Bound, Stopping: e.Stopping, Directory: e.Directory, Intake: n.intake, Connections: c.Connections / peerPart, Log: n.log, Metrics: n.metrics})
	u, v, w := n.newServer(s, l[0], "callers", c.Connections), n.newServer(d, l[1], "readiness", sideConnections), proxyServer{y, l[2]}
	go u.run()
	go v.run()
	go w.run()
	n.setSeeds = e.SetSeeds
	n.stop = func() {
		c := busyCounter{i, a.Bound}
		n.stopEntry(e, r, c, s)
		y.Close()
		c.awaitNone(handlerTimeout)
	}
	return nil
}

// demandLedger returns what an entry host knows of the demand, or nil if it doesn't shed loads.
func (n *node) demandLedger() *shed.Ledger {
	if !n.settings.Decisions.Shed {
		return nil
	}
	return shed.NewLedger()
}

// proxyServer is a server for requests of other hosts and the listener on which it serves.
type proxyServer struct {
	proxy    *proxy.Server
	listener net.Listener
}

// run serves until the listener is closed.
func (s proxyServer) run() { s.proxy.Serve(s.listener) }

// busyCounter counts the requests in flight of callers and of other hosts.
type busyCounter struct {
	callers *caller.Tracker
	others  *assist.Bound
}

func (c busyCounter) busyCount() int { return c.callers.Busy() + c.others.Taken() }

// awaitNone waits until no request is in flight, for a time at most.
func (c busyCounter) awaitNone(limit time.Duration) {
	for t := time.Now(); time.Since(t) < limit && c.busyCount() > 0; {
		time.Sleep(handlerPollInterval)
	}
}

// readinessHandler answers the readiness checks of the load balancer.
type readinessHandler struct{ entry *entry.Entry }

// ServeHTTP answers 200 if the host accepts requests, otherwise 503.
func (r readinessHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !r.entry.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stopEntry stops an entry host as planned. The host becomes unready and serves all requests for minDrain, so that the
// load balancer notices. Then it refuses requests that may not end before graceShare of the grace period, until none is
// in flight. Then it refuses all requests for at least closeDelay and closes the connections. Requests still in flight
// at graceShare of the grace period are aborted.
func (n *node) stopEntry(e *entry.Entry, r *relay.Relay, i busyCounter, s *http.Server) {
	t := time.Now()
	e.BeginStop()
	m := time.Duration(float64(n.settings.Bounds.Grace.Std()) * graceShare)
	for time.Since(t) < minDrain {
		time.Sleep(stopPollInterval)
	}
	r.SetStopTime(t.Add(m))
	for time.Since(t) < m && i.busyCount() > 0 {
		time.Sleep(stopPollInterval)
	}
	r.SetStopTime(time.Now())
	for l := time.Now(); time.Since(l) < closeDelay || time.Since(t) < m && i.busyCount() > 0; {
		time.Sleep(stopPollInterval)
	}
	if k := i.busyCount(); k > 0 {
		n.log.WithField("requests", k).Warn("host: requests are broken off at the end of the grace period")
	}
	r.SetClosing()
	if err := s.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		n.log.WithError(err).Warn("host: closing the callers' connections failed")
	}
	e.Stop()
}

// idleTimeout returns the idle timeout of a configuration, or defaultIdleTimeout if it names none.
func idleTimeout(t *table.Table) time.Duration {
	if t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}
