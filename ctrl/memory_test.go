package ctrl_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/fleet"
)

// Endpoints report every few seconds, but callers return at once after a restart of all control hosts: the endpoints
// known before are known again from the start.
func TestEndpointsAreKnownAtOnceAfterRestartOfAllHosts(t *testing.T) {
	i := is.New(t)
	d := t.TempDir()
	h, _ := startHost(t, startOptions{Folder: d})
	h.Report(fleet.Report{ID: "a", Service: "s", Address: "10.0.0.1:80"})
	time.Sleep(1200 * time.Millisecond) // longer than the interval of writes
	h.Stop()
	h, _ = startHost(t, startOptions{Folder: d})
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
