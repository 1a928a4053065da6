package ctrl_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/fleet"
)

// soundTime is how long the model waits for all voters to be back before a loss of more than one disk.
const soundTime = 30 * time.Second

// otherOrder is an order other than a configuration, which has no reply yet.
type otherOrder struct {
	call  uint64
	order ctlrpc.Order
	// number counts the orders. The target of a rollout contains it.
	number int
}

// powerLoss is a model of control hosts that lose power together with some of their disks. Before that they are disturbed but
// keep their disks.
type powerLoss struct {
	*replacements
	others []otherOrder
	// started holds the number of the newest rollout that was acknowledged, by service, and left the endpoints whose departure was.
	started map[string]int
	left    map[string]bool
	drained map[string]bool
	count   int
	// otherAcks counts the acknowledged orders that aren't configurations.
	otherAcks int
}

// submitOther sends an order other than a configuration to a host and doesn't wait for the reply.
func (p *powerLoss) submitOther(a string, o ctlrpc.Order) {
	c := p.cluster
	c.lastCall++
	p.others = append(p.others, otherOrder{c.lastCall, o, p.count})
	c.reduce(a, ctrl.OrderReceived{CallID: c.lastCall, Order: o})
}

// order sends configurations, starts of rollouts, departures of endpoints and drains.
func (p *powerLoss) order() {
	p.replacements.order()
	a := p.host("other order at")
	p.count++
	switch p.intn("other order", 4) {
	case 0:
		p.submitOther(a, ctlrpc.Order{Verb: ctlrpc.StartRollout, Rollout: canary.Rollout{Service: fmt.Sprint("s", p.intn("service", 2)), Target: fmt.Sprint("v", p.count), Budget: time.Hour}})
	case 1:
		p.retire(a)
	case 2:
		p.submitOther(a, ctlrpc.Order{Verb: ctlrpc.StartDrain, DataCentre: fmt.Sprint("centre", p.count)})
	case 3:
		for range p.intn("burst", 150) {
			p.count++
			p.retire(a)
		}
	}
}

func (p *powerLoss) retire(a string) {
	p.submitOther(a, ctlrpc.Order{Verb: ctlrpc.Retire, Endpoint: fleet.Report{ID: fmt.Sprint("i-", p.count), Born: 1, Phase: fleet.Departed, Service: "s0", Address: "10.0.1.1:80"}})
}

// collectOthers takes the replies of the other orders.
func (p *powerLoss) collectOthers() {
	p.others = slices.DeleteFunc(p.others, func(o otherOrder) bool {
		r, ok := p.cluster.replies[o.call]
		if !ok || r.Status != ctlrpc.Accepted {
			return ok
		}
		p.otherAcks++
		switch o.order.Verb {
		case ctlrpc.StartRollout:
			p.started[o.order.Rollout.Service] = max(p.started[o.order.Rollout.Service], o.number)
		case ctlrpc.Retire:
			p.left[o.order.Endpoint.ID] = true
		case ctlrpc.StartDrain:
			p.drained[o.order.DataCentre] = true
		}
		return true
	})
}

// disturb begins a fault that costs no disk.
func (p *powerLoss) disturb() {
	a, o := p.host("host"), p.host("peer")
	d := p.ms("ms", 50, 5000)
	k := p.intn("reorder", 9)
	switch p.intn("what", 9) {
	case 0, 1:
		p.kill(a)
		p.endLater(d, func() { p.start(a) })
	case 2:
		p.cutOff(d, cut{from: a}, cut{to: a})
	case 3:
		p.cutOff(d, cut{a, o}, cut{o, a})
	case 4:
		p.suspend(a, d, k)
	case 5:
		p.stall(a, d)
	case 6:
		p.delay(a, d, k)
	case 7:
		p.killAll(a, false)
	case 8:
		p.restartLeader(a, k)
	}
}

// settle ends all faults, and sends orders until all of n hosts vote again and hold what is committed.
func (p *powerLoss) settle(n int) {
	f := p.faults
	p.faults, p.cuts = nil, nil
	for _, v := range f {
		v.end()
	}
	for _, a := range p.cluster.addresses() {
		p.start(a)
	}
	e := p.cluster.now + soundTime
	for !p.isSound() || len(p.cluster.hosts[p.cluster.leader()].state.Log.Peers.Voters) < n {
		if p.cluster.now >= e {
			p.fail("not all hosts vote after %v", soundTime)
		}
		p.order()
		p.cluster.run(time.Second)
	}
	p.order()
	p.cluster.run(p.ms("acknowledged before ms", 5, 400))
}

// losePower ends all processes and takes the disks of a number of hosts, which come back with empty ones, as the others do with theirs.
func (p *powerLoss) losePower(disks int) {
	l := p.cluster.addresses()
	for _, a := range l {
		p.kill(a)
	}
	p.faults, p.cuts, p.cluster.delayed, p.cluster.held = nil, nil, nil, nil
	for range disks {
		a := l[p.intn("lost", len(l))]
		l = slices.DeleteFunc(slices.Clone(l), func(x string) bool { return x == a })
		p.lose(a, false)
		p.endLater(p.ms("wiped start ms", 0, 3000), func() { p.cluster.wipe(a) })
	}
	for _, a := range l {
		p.endLater(p.ms("start ms", 0, 3000), func() { p.start(a) })
	}
}

// checkKept fails if a host lacks what was acknowledged.
func (p *powerLoss) checkKept() {
	w := p.ackedBefore(p.cluster.now)
	for _, a := range p.cluster.addresses() {
		b := p.cluster.hosts[a]
		m := b.state.StateMachine
		if !b.state.Current() || m.Document.Version < w {
			p.fail("%s holds version %d of %d", a, m.Document.Version, w)
		}
		for k, n := range p.started {
			v := 0
			if _, err := fmt.Sscanf(m.Rollouts[k].Target, "v%d", &v); err != nil || v < n {
				p.fail("%s holds the rollout %v of %s, %d was acknowledged", a, m.Rollouts[k], k, n)
			}
		}
		for e := range p.left {
			if _, ok := m.Leavers[e]; !ok && len(m.Leavers) < 900 {
				p.fail("%s doesn't know that %s has left", a, e)
			}
		}
		for d := range p.drained {
			if !m.Drains.IsDrained(d) {
				p.fail("%s doesn't know that %s is drained", a, d)
			}
		}
	}
}

// powerPlay is what is played of a loss of power.
type powerPlay struct {
	// hosts returns the number of control hosts, disks how many of their disks are lost, after the disturbances.
	hosts func(*rapid.T) int
	disks func(p *powerLoss, hosts int) int
}

// check plays drawn days and fails if a host lacks what was acknowledged.
func (y powerPlay) check(t *testing.T) {
	var acks, others, snapshots int
	rapid.Check(t, func(r *rapid.T) {
		n := y.hosts(r)
		p := &powerLoss{replacements: newReplacements(t, r, n), started: map[string]int{}, left: map[string]bool{}, drained: map[string]bool{}}
		for k := range 4000 {
			p.cluster.centres = append(p.cluster.centres, fmt.Sprint("centre", k))
		}
		for _, a := range p.cluster.addresses() {
			p.kill(a)
			p.start(a)
		}
		e := p.cluster.each
		p.cluster.each = func() {
			p.collectOthers()
			e()
		}
		p.cluster.run(2 * time.Second)
		for range 1 + p.intn("steps", 4) {
			p.disturb()
			for range 1 + p.intn("orders", 4) {
				p.order()
				p.cluster.run(p.ms("pause ms", 5, 400))
			}
		}
		p.losePower(y.disks(p, n))
		p.cluster.run(20 * time.Second)
		p.checkKept()
		acks, others = acks+len(p.acks), others+p.otherAcks
		if p.cluster.hosts[address(0)].state.Log.Snapshot.Index > 1 {
			snapshots++
		}
	})
	t.Logf("%d acknowledged configurations, %d other orders, %d cases with snapshots", acks, others, snapshots)
}

// Guards against acknowledged orders that are lost when all control hosts lose power a moment after the acknowledgement, and one disk is lost
// with it, or two of five that were all in use.
func TestAcknowledgedOrdersOutlastLossOfPower(t *testing.T) {
	powerPlay{
		hosts: func(r *rapid.T) int { return 3 + int(rapid.Uint64().Draw(r, "hosts")%3) },
		disks: func(p *powerLoss, n int) int {
			if n >= 5 && p.intn("lost disks", 2) == 0 {
				p.settle(n)
				return 2
			}
			return 1
		},
	}.check(t)
}

// Guards against acknowledged orders that are lost with two of five disks while the control log has fewer voters, since other hosts were away
// a moment before.
func TestAcknowledgedOrdersOutlastLossOfTwoDisksOfFive(t *testing.T) {
	powerPlay{hosts: func(*rapid.T) int { return 5 }, disks: func(*powerLoss, int) int { return 2 }}.check(t)
}
