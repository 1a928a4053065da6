package ctrl_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/clock"
	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/itest"
)

// startOptions are what tests choose of a control host that listens on a socket. The zero value is that of one without log.
type startOptions struct {
	// Folder is the data folder, or empty for a new one.
	Folder string
	// Seeds are the IPs of the control hosts that begin a control log, or empty for a host that is in none.
	Seeds []string
	// Listener is the one on which the host accepts connections, or nil for one on a free port.
	Listener net.Listener
	// Output gets the log, or nil for none.
	Output io.Writer
	// Hooks are those of the log.
	Hooks   []logrus.Hook
	Metrics *metrics.Set
	// IP and Port are where the host listens. They are 127.0.0.1 and a port that is free on all seeds if Port is 0.
	IP   string
	Port int
	// AskDirectory asks entry hosts, or is nil.
	AskDirectory func(address string) (ctlrpc.Directory, error)
	// Suspended is the time for which the machine was suspended, or nil for that of the system.
	Suspended clock.Source
	// DataCentres holds the data centres that may be drained.
	DataCentres map[string]string
}

// startHost starts a control host, on 127.0.0.1 unless the options say where. Its listener is closed at the end of the test; the port
// is that of all seeds.
func startHost(t *testing.T, o startOptions) (h *ctrl.Host, port int) {
	t.Helper()
	i := is.New(t)
	l := o.Listener
	if l == nil {
		l = o.listen(t)
	}
	t.Cleanup(func() { _ = l.Close() })
	a := l.Addr().(*net.TCPAddr)
	p := a.Port
	if o.Folder == "" {
		o.Folder = t.TempDir()
	}
	if o.Output == nil {
		o.Output = io.Discard
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	g := logrus.New()
	g.SetOutput(o.Output)
	for _, k := range o.Hooks {
		g.AddHook(k)
	}
	s := conf.Node{
		Part: conf.PartControl, Name: "c", IP: a.IP.String(), PeerPort: uint16(p), Bootstrap: len(o.Seeds) > 0, DataFolder: o.Folder, Seeds: []string{"127.0.0.1:1"},
		Bounds: conf.Bounds{Heartbeat: conf.Duration(time.Second)}, DataCentres: o.DataCentres,
	}
	if o.DataCentres != nil {
		s.Bounds.CentreDrain = conf.Duration(5 * time.Second)
	}
	if len(o.Seeds) > 0 {
		s.Seeds = nil
	}
	for _, a := range o.Seeds {
		s.Seeds = append(s.Seeds, fmt.Sprint(a, ":1"))
	}
	h, err := ctrl.NewHost(ctrl.HostOptions{Settings: s, Listener: l, Log: g, Metrics: o.Metrics, AskDirectory: o.AskDirectory, Suspended: o.Suspended})
	i.NoErr(err)
	return h, p
}

// listen listens where the options say.
func (o startOptions) listen(t *testing.T) net.Listener {
	t.Helper()
	if o.Port == 0 {
		o.IP, o.Port = "127.0.0.1", reservePort(t, o.Seeds)
	}
	l, err := net.Listen("tcp", fmt.Sprint(o.IP, ":", o.Port))
	is.New(t).NoErr(err)
	return l
}

// reservePort returns a port that is free on all seeds, or on 127.0.0.1 if there are none.
func reservePort(t *testing.T, seeds []string) int {
	t.Helper()
	if len(seeds) == 0 {
		seeds = []string{"127.0.0.1"}
	}
	return int(itest.ReservePort(t, seeds...))
}

// startLeader starts a control host that is the only one of its control log, and gives it a configuration.
func startLeader(t *testing.T, o startOptions) *ctrl.Host {
	t.Helper()
	o.Seeds = []string{"127.0.0.1"}
	h, _ := startHost(t, o)
	t.Cleanup(h.Stop)
	putConfiguration(h, 1)
	return h
}

// putConfiguration sends a configuration until it is accepted.
func putConfiguration(h *ctrl.Host, version int64) {
	for h.Do(ctlrpc.Order{Verb: ctlrpc.Put, Version: version, Document: []byte("{}")}).Status != ctlrpc.Accepted {
		time.Sleep(20 * time.Millisecond)
	}
}
