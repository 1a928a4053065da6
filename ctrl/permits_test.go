package ctrl_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

// Guards against permits that a control host lends without the settings, to two hosts at once, or by the number of control hosts that it
// isn't among.
func TestControlHostLendsPermits(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	a := address(0)
	c.run(3 * time.Second)
	s, b := c.hosts[a].state, ctrl.NewReplyBuilder()
	w := ctlrpc.WarmUp{Wishes: []warmup.Wish{{Endpoint: "e", Rate: 10}}}
	ask := func(host string) []warmup.Permit {
		q := ctlrpc.ExchangeRequest{Report: ctlrpc.HostReport{Host: host, Start: 1, WarmUp: w}}
		return b.Build(s, q, c.sinceStart(a)).Permits
	}
	i.Equal(len(ask("h")), 0) // off
	s.ColdLimits = warmup.Limits{Overage: 1.5, Slack: 5}
	p := ask("h")
	i.Equal(len(p), 1)
	i.Equal(p[0].Interval, 300*time.Millisecond) // one of three
	i.Equal(len(ask("g")), 0)
	r := b.LendPermits(s, ctlrpc.PermitRequest{Host: "h", Start: 1, WarmUp: w}, c.sinceStart(a))
	i.Equal(r.Control, s.StartID)
	i.Equal(len(r.Permits), 1)
	r = b.LendPermits(s, ctlrpc.PermitRequest{Host: "h", Start: 1, WarmUp: w}, c.sinceStart(a)+time.Minute)
	i.Equal(len(r.Permits), 0) // it may know an old number of control hosts
	s.Node = "other#1"         // not in the control log
	i.Equal(len(ask("h")), 0)
}
