package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/poison"
)

// deadPart is the key of a part that ends endpoints.
var deadPart = poison.Key{Kind: poison.Part, ID: "dead"}

// crashReport is what a host reports of the n-th end of an endpoint under deadPart.
func crashReport(n int) poison.Report {
	b := poison.Boot{Endpoint: fmt.Sprint("e", n)}
	return poison.Report{
		Ends: []poison.EndReport{{Boot: b, Service: "s"}},
		Cases: []poison.CaseReport{{Key: deadPart, Crashes: []poison.CrashReport{{
			Boot: b, Crash: poison.Crash{Age: 100 * time.Millisecond, Rate: 0.5, Endpoints: 12, Share: 0.01, Account: "one"},
		}}}},
	}
}

// reportCrashes lets five hosts report one crash each, to the control hosts in turn.
func reportCrashes(c *cluster) {
	for n := range 7 {
		c.reduce(address(n%3), ctrl.HostReported{Report: ctlrpc.HostReport{Host: fmt.Sprint("h", n), Start: 1, Sequence: 1, Poison: crashReport(n)}})
		c.run(300 * time.Millisecond)
	}
}

// Guards against evidence that is split: each host has seen one end only, and each control host heard of some of them.
func TestHostsThatSawOneEndEachLeadToVerdict(t *testing.T) {
	i := is.New(t)
	messageQueue = nil
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	reportCrashes(c)
	c.run(time.Second)
	for k := range 3 {
		l := c.hosts[address(k)].state.Poison.Rules()
		i.Equal(len(l), 1)
		i.Equal(l[0].Key, deadPart)
		i.Equal(l[0].Account, "one") // other accounts weren't seen with it
	}
}

// Guards against verdicts that are lost with a restart of all control hosts.
func TestVerdictSurvivesRestartOfAllControlHosts(t *testing.T) {
	i := is.New(t)
	messageQueue = nil
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	reportCrashes(c)
	c.run(time.Second)
	for k := range 3 {
		m := c.hosts[address(k)].state.Memory()
		c.kill(address(k))
		c.start(address(k))
		c.hosts[address(k)].state = c.hosts[address(k)].state.WithMemory(m)
	}
	c.run(2 * time.Second)
	i.Equal(len(c.hosts[address(0)].state.Poison.Rules()), 1)
}

// Guards against a rule that an operator has lifted and that comes back with what hosts report again.
func TestLiftedRuleStaysLifted(t *testing.T) {
	i := is.New(t)
	messageQueue = nil
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	reportCrashes(c)
	c.run(time.Second)
	s := c.hosts[address(1)].state.Poison
	c.reduce(address(0), ctrl.PoisonLifted{Key: deadPart})
	c.run(time.Second)
	c.reduce(address(2), ctrl.HostReported{Report: ctlrpc.HostReport{Host: "h0", Start: 1, Sequence: 9, Poison: s.Report(0)}})
	c.run(time.Second)
	for k := range 3 {
		i.Equal(len(c.hosts[address(k)].state.Poison.Rules()), 0)
	}
}
