package cmds

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/hickoryshelf/hickoryshelf/accept"
	"github.com/hickoryshelf/hickoryshelf/admin"
	"github.com/hickoryshelf/hickoryshelf/certs"
	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/gate"
	"github.com/hickoryshelf/hickoryshelf/host"
	"github.com/hickoryshelf/hickoryshelf/token"
)

const (
	// daemonHeaderTimeout limits the time in which a client must send the header of a request.
	daemonHeaderTimeout = 5 * time.Second
	// daemonIdleTimeout is how long an idle connection is kept open.
	daemonIdleTimeout = 2 * time.Minute
	// drainTimeout limits the time in which a planned stop of a host or a fake engine waits for running requests.
	drainTimeout = 10 * time.Minute
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "runs a host, as its settings file describes",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Required: true, Usage: "settings file of the host", Sources: cli.EnvVars("HICKORYSHELF_BOOT"),
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := conf.IsNode(c.String("settings"))
			if err != nil {
				return err
			}
			if r {
				return runNode(ctx, c.String("settings"))
			}
			s, err := conf.Load(c.String("settings"))
			if err != nil {
				return err
			}
			t, f := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
			defer f()
			d, err := startDaemon(s, newLogger(s.LogLevel))
			if err != nil {
				return err
			}
			<-t.Done()
			return d.stop()
		},
	}
}

func initCommand() *cli.Command {
	return &cli.Command{
		Name:  "init",
		Usage: "creates a new system: writes the initial control log of its first voter; run it once",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "settings file of the first voter"}},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := conf.Load(c.String("settings"))
			if err != nil {
				return err
			}
			return host.Bootstrap(s)
		},
	}
}

// newLogger returns a logger that writes text lines to standard error. An unknown level means "info".
func newLogger(level string) *logrus.Logger {
	l := logrus.New()
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	if v, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
	return l
}

// daemon is an entry host with its servers for callers and operators.
type daemon struct {
	settings conf.Settings
	log      *logrus.Logger
	host     *host.Host
	gate     *gate.Gate
	callers  *http.Server
	admin    *http.Server
}

// startDaemon starts an entry host and its servers. It fails where an address is in use or certificates can't be loaded.
func startDaemon(s conf.Settings, l *logrus.Logger) (*daemon, error) {
	n, err := listenAll(s.PeerAddress, s.CallerAddress, s.AdminAddress)
	if err != nil {
		return nil, err
	}
	m := metrics.NewSet()
	o := host.Options{Settings: s, Listener: n[0], Log: l, Metrics: m}
	a := n[2]
	if s.TLS != nil {
		p, err := certs.Load(*s.TLS, l)
		if err != nil {
			return nil, err
		}
		o.ServerTLS, o.ClientTLS = p.ServerConfig(), p.Config
		a = tls.NewListener(a, p.ServerConfig())
	}
	h, err := host.New(o)
	if err != nil {
		return nil, err
	}
	g := gate.New(gate.Options{Router: h, Signer: token.NewSigner(s.SessionKeys), Log: l, Metrics: m})
	d := &daemon{
		settings: s, log: l, host: h, gate: g,
		callers: &http.Server{Handler: g, ReadHeaderTimeout: daemonHeaderTimeout, IdleTimeout: daemonIdleTimeout},
		admin:   &http.Server{Handler: admin.NewHandler(h, s.OperatorKeys), ReadHeaderTimeout: daemonHeaderTimeout, IdleTimeout: daemonIdleTimeout},
	}
	r, u := newServer(d.callers, accept.Options{Listener: n[1], Name: "callers", Log: l, Metrics: m}), newServer(d.admin, accept.Options{Listener: a, Name: "operators", Log: l, Metrics: m})
	go r.run()
	go u.run()
	l.WithField("host", s.Name).WithField("callers", s.CallerAddress).Info("host: accepts requests")
	return d, nil
}

// listenAll returns a TCP listener for each address.
func listenAll(addresses ...string) ([]net.Listener, error) {
	var r []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return nil, fmt.Errorf("listen: %w; choose a free address of this host", err)
		}
		r = append(r, l)
	}
	return r, nil
}

// server is an HTTP server and the listener on which it serves.
type server struct {
	http     *http.Server
	listener *accept.Listener
}

// newServer returns an HTTP server that takes its connections from a listener.
func newServer(h *http.Server, o accept.Options) server { return server{h, accept.NewListener(o)} }

// run serves until the HTTP server is shut down or closed.
func (s server) run() { _ = s.http.Serve(s.listener) }

// stop stops the host as planned. The host becomes unready and still accepts requests for the drain delay, so that the
// load balancer notices. Then it refuses new requests and waits at most drainTimeout for running ones.
func (d *daemon) stop() error {
	d.log.Info("host: planned stop, the readiness probe fails from now on")
	d.gate.SetReady(false)
	time.Sleep(d.settings.DrainDelay.Std())
	c, f := context.WithTimeout(context.Background(), drainTimeout)
	defer f()
	err := d.host.Drain(c)
	err = errors.Join(err, d.callers.Shutdown(c), d.admin.Shutdown(c))
	d.gate.Close()
	d.host.Stop()
	d.log.Info("host: stopped")
	return err
}
