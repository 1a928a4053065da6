package ctrl_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/speed"
)

// speedsOf returns what a host has measured of the endpoint "slow", which takes twice as long as "e1" and "e2".
func speedsOf(t time.Time) ctlrpc.SpeedReport {
	m := speed.NewMeter()
	for range 40 {
		for e, x := range map[string]float64{"e1": 0.03, "e2": 0.03, "slow": 0.06} {
			m.Observe(speed.Sample{Kind: speed.Gap, Work: "w", Endpoint: e, Born: 1, Factor: 1, Took: x}, t)
		}
	}
	return m.Take(t)
}

// reportSpeeds lets three endpoints report, and an entry host what it has measured of them.
func (c *cluster) reportSpeeds(a string, sequence uint64) {
	for _, e := range []string{"e1", "e2", "slow"} {
		c.reduce(a, ctrl.EndpointReported{Report: report(e, 1, int64(sequence), fleet.Ready)})
	}
	c.reduce(a, ctrl.HostReported{Report: ctlrpc.HostReport{Host: "h", Start: 1, Sequence: sequence, Speeds: speedsOf(time.Unix(1000, 0))}})
}

// askSpeeds returns the speeds in the reply of a control host to another entry host.
func (c *cluster) askSpeeds(b *ctrl.ReplyBuilder, a string, known ctlrpc.EntryState) ctlrpc.SpeedUpdate {
	q := ctlrpc.ExchangeRequest{Report: ctlrpc.HostReport{Host: "g", Start: 1, Sequence: uint64(c.now)}, Known: known}
	return b.Build(c.hosts[a].state, q, c.sinceStart(a)).Speeds
}

// Guards against hosts that know only what they have measured themselves, and against replies that repeat what a host has.
func TestSpeedsReachHostsOfOtherControlHostsOnce(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	a := address(1)
	c.run(2 * time.Second)
	c.reportSpeeds(address(0), 1)
	c.run(300 * time.Millisecond)
	b := ctrl.NewReplyBuilder()
	i.Equal(len(c.askSpeeds(b, a, ctlrpc.EntryState{}).Factors), 0) // the host doesn't use them
	b = ctrl.NewReplyBuilder()
	u := c.askSpeeds(b, a, ctlrpc.EntryState{SharesSpeeds: true})
	i.True(u.Factors["slow"].At(0) > 1.3)
	i.True(u.Shared && !u.New) // the control host has just started
	c.run(100 * time.Millisecond)
	u = c.askSpeeds(b, a, ctlrpc.EntryState{SharesSpeeds: true, Control: c.hosts[a].state.StartID})
	i.True(u.Shared)
	i.Equal(len(u.Factors), 0)
}

// Guards against a control host that makes hosts forget what it doesn't know itself because it has just started, and against one
// that never learns it.
func TestControlHostThatStartsLearnsSpeeds(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	a := address(1)
	c.run(2 * time.Second)
	c.reportSpeeds(address(0), 1)
	c.kill(a)
	c.run(time.Second)
	c.start(a)
	c.run(time.Second)
	u := c.askSpeeds(ctrl.NewReplyBuilder(), a, ctlrpc.EntryState{SharesSpeeds: true})
	i.True(!u.New)
	c.reportSpeeds(address(0), 2)
	c.run(300 * time.Millisecond)
	u = c.askSpeeds(ctrl.NewReplyBuilder(), a, ctlrpc.EntryState{SharesSpeeds: true})
	i.True(u.Factors["slow"].At(0) > 1.3)
	c.run(10 * time.Second)
	i.True(c.askSpeeds(ctrl.NewReplyBuilder(), a, ctlrpc.EntryState{SharesSpeeds: true}).New)
}

// Guards against the loss of what a report holds that waits in a queue when the next one comes.
func TestQueuedSpeedsOfOneHostAreMerged(t *testing.T) {
	i := is.New(t)
	q := ctrl.NewReportQueue(func() time.Duration { return 0 })
	l := speedsOf(time.Unix(1000, 0))
	q.AddHost(ctrl.Direct, ctlrpc.HostReport{Host: "h", Start: 1, Sequence: 1, Speeds: ctlrpc.SpeedReport{"e1": l["e1"]}})
	q.AddHost(ctrl.Direct, ctlrpc.HostReport{Host: "h", Start: 1, Sequence: 2, Speeds: ctlrpc.SpeedReport{"e2": l["e2"]}})
	e, ok := q.Pop()
	i.True(ok)
	i.Equal(e.(ctrl.HostReported).Report.Speeds, ctlrpc.SpeedReport{"e1": l["e1"], "e2": l["e2"]})
}

// Guards against factors that stay at hosts that connected before the control host knew all: they get the complete ones once it does,
// and not before it is current.
func TestHostThatConnectsEarlyGetsCompleteSpeedsLater(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	a, b := address(1), ctrl.NewReplyBuilder()
	c.run(2 * time.Second)
	i.True(!c.askSpeeds(b, a, ctlrpc.EntryState{SharesSpeeds: true}).New)
	k := ctlrpc.EntryState{SharesSpeeds: true, Control: c.hosts[a].state.StartID}
	c.run(9 * time.Second)
	c.kill(address(0))
	c.kill(address(2))
	c.run(10 * time.Second)
	i.True(!c.hosts[a].state.Current())
	i.True(!c.askSpeeds(b, a, k).New)
	c.start(address(0))
	c.start(address(2))
	c.run(3 * time.Second)
	i.True(c.askSpeeds(b, a, k).New)
	c.run(time.Second)
	i.True(!c.askSpeeds(b, a, k).New) // once
}
