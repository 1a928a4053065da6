package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/shed"
)

// asking returns the report of a host with a demand of 1 for one account.
func asking(n int, sequence uint64) ctlrpc.HostReport {
	return ctlrpc.HostReport{Host: fmt.Sprint("h", n), Start: 1, Sequence: sequence, Demand: ctlrpc.Demand{Services: map[string]shed.Demand{
		"s": {Accounts: map[string]float64{"a": 1}, Priorities: map[int]float64{0: 1}},
	}}}
}

// Guards against a demand of the fleet that holds hosts which are gone, or grows with each report of a host, or that hosts get which shed
// no loads.
func TestDemandOfFleetIsSummedWhileHostsReport(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	for n := range 6 {
		c.reduce(address(n%3), ctrl.HostReported{Report: asking(n, 1)})
	}
	c.run(200 * time.Millisecond)
	for n := range 6 {
		c.reduce(address(n%3), ctrl.HostReported{Report: ctlrpc.HostReport{Host: fmt.Sprint("h", n), Start: 1, Sequence: 2}}) // the last one stays
	}
	c.run(800 * time.Millisecond)
	a := address(0)
	b := ctrl.NewReplyBuilder()
	ask := func(host string, sequence uint64) ctlrpc.Demand {
		q := ctlrpc.ExchangeRequest{Known: ctlrpc.EntryState{Control: c.hosts[a].state.StartID}, Report: ctlrpc.HostReport{Host: host, Start: 1, Sequence: sequence}}
		return b.Build(c.hosts[a].state, q, c.sinceStart(a)).Demand
	}
	d := ask("h0", 2)
	i.Equal(d.Services["s"].Accounts["a"], 6.0)
	i.True(d.Age >= time.Second && d.Age < 1500*time.Millisecond)
	i.True(!ask("h0", 3).HasServices()) // once a second
	i.True(!ask("h9", 1).HasServices())
	c.reduce(a, ctrl.HostReported{Report: asking(0, 4)})
	c.run(2 * time.Second)
	i.Equal(ask("h0", 5).Services["s"].Accounts["a"], 1.0)
	c.run(time.Second)
	i.True(!ask("h0", 6).HasServices())
}
