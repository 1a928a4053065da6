package ctrl_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/fleet"
)

// startHost starts a control host on a data folder. It isn't a member of a control log.
func startHost(t *testing.T, folder string) *ctrl.Host {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := logrus.New()
	g.SetOutput(io.Discard)
	s := conf.Node{Name: "c", IP: "127.0.0.1", PeerPort: 1, DataFolder: folder, Seeds: []string{"127.0.0.1:1"}}
	s.Bounds.Heartbeat = conf.Duration(time.Second)
	h, err := ctrl.NewHost(ctrl.HostOptions{Settings: s, Listener: l, Log: g, Metrics: metrics.NewSet()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return h
}

// Endpoints report every few seconds, but callers return at once after a restart of all control hosts: the endpoints
// known before are known again from the start.
func TestEndpointsAreKnownAtOnceAfterRestartOfAllHosts(t *testing.T) {
	i := is.New(t)
	d := t.TempDir()
	h := startHost(t, d)
	h.Report(fleet.Report{ID: "a", Service: "s", Address: "10.0.0.1:80"})
	time.Sleep(1200 * time.Millisecond) // longer than the interval of writes
	h.Stop()
	h = startHost(t, d)
	defer h.Stop()
	e, ok := h.Endpoint("a")
	i.True(ok)
	i.Equal(e.Address, "10.0.0.1:80")
}

// An endpoint that went while all control hosts were down doesn't stay for as long as one that has reported.
func TestRememberedEndpointIsRemovedUnlessItReports(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 1)
	b := c.hosts[address(0)]
	b.state = b.state.WithMemory(ctrl.Memory{Reports: []fleet.Report{{ID: "a", Service: "s", Address: "x:1", Sequence: 5}, {ID: "b", Service: "s", Address: "y:1", Sequence: 5}}})
	c.run(2 * time.Second)
	c.reduce(address(0), ctrl.EndpointReported{Report: fleet.Report{ID: "b", Service: "s", Address: "y:1", Sequence: 6}})
	i.Equal(len(b.state.ConfirmedReports()), 1) // the other may have been replaced at its address
	c.run(1500 * time.Millisecond)              // three heartbeats have passed
	_, ok := b.state.Fleet.Get("a")
	i.True(!ok)
	_, ok = b.state.Fleet.Get("b")
	i.True(ok)
}

// Prompts of all callers come back at once after a restart of all control hosts, before any entry host has measured a
// model: its remembered prefill time holds until then.
func TestPrefillTimesAreRememberedUntilMeasured(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 1)
	b := c.hosts[address(0)]
	b.state = b.state.WithMemory(ctrl.Memory{PrefillTimes: map[string]time.Duration{"m": 20, "n": 30}})
	i.Equal(b.state.PrefillTimes(), map[string]time.Duration{"m": 20, "n": 30})
	c.reduce(address(0), ctrl.HostReported{Report: ctlrpc.HostReport{Host: "e", Start: 1, Sequence: 1, Reads: map[string]time.Duration{"m": 25}}})
	i.Equal(b.state.PrefillTimes(), map[string]time.Duration{"m": 25, "n": 30})
	i.Equal(b.state.Memory().PrefillTimes["m"], time.Duration(25))
}
