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

	"github.com/hickoryshelf/hickoryshelf/admin"
	"github.com/hickoryshelf/hickoryshelf/certs"
	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/gate"
	"github.com/hickoryshelf/hickoryshelf/host"
	"github.com/hickoryshelf/hickoryshelf/token"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// drainTimeout bounds a planned stop.
	drainTimeout = 10 * time.Minute
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "runs an entry host",
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
		Usage: "founds a system: makes the control log of its first voter, once",
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

func newLogger(level string) *logrus.Logger {
	l := logrus.New()
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	if v, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
	return l
}

// daemon is an entry host with its listeners.
type daemon struct {
	settings conf.Settings
	log      *logrus.Logger
	host     *host.Host
	gate     *gate.Gate
	callers  *http.Server
	admin    *http.Server
}

// startDaemon starts an entry host.
func startDaemon(s conf.Settings, l *logrus.Logger) (*daemon, error) {
	n, err := listenAll(s.PeerAddress, s.CallerAddress, s.AdminAddress)
	if err != nil {
		return nil, err
	}
	m := metrics.NewSet()
	o := host.Options{Settings: s, Listener: n[0], Log: l, Metrics: m}
	a := n[2]
	if s.TLS != nil {
		p, err := certs.Load(*s.TLS)
		if err != nil {
			return nil, err
		}
		o.ServerTLS, o.ClientTLS = p.Server(), p.Config
		a = tls.NewListener(a, p.Server())
	}
	h, err := host.New(o)
	if err != nil {
		return nil, err
	}
	g := gate.New(gate.Options{Router: h, Signer: token.NewSigner(s.SessionKeys), Log: l, Metrics: m})
	d := &daemon{
		settings: s, log: l, host: h, gate: g,
		callers: &http.Server{Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
		admin:   &http.Server{Handler: admin.NewHandler(h, s.OperatorKeys), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
	}
	r, u := server{d.callers, n[1]}, server{d.admin, a}
	go r.run()
	go u.run()
	l.WithField("host", s.Name).WithField("callers", s.CallerAddress).Info("host: serves")
	return d, nil
}

func listenAll(addresses ...string) ([]net.Listener, error) {
	var r []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return nil, fmt.Errorf("listen: %w; choose a free address of this machine", err)
		}
		r = append(r, l)
	}
	return r, nil
}

// server runs an HTTP server until it is shut down.
type server struct {
	http     *http.Server
	listener net.Listener
}

func (s server) run() { _ = s.http.Serve(s.listener) }

// stop is the planned stop: readiness fails first, the balancer gets time to notice while requests are
// still taken, then new ones are refused, running ones finish, and the process ends.
func (d *daemon) stop() error {
	d.log.Info("host: planned stop, readiness fails from now on")
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
