package ctrl

import (
	"sync"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
)

// outbox holds the gossip that another control host hasn't acknowledged yet. Its size is bounded by the numbers of
// endpoints and entry hosts, however long the other host doesn't answer. It is safe for concurrent use.
type outbox struct {
	reports *ReportQueue
	// urgent gets a value when something is not to wait for the next interval.
	urgent chan struct{}

	lock sync.Mutex
	// waiters are closed with the acknowledgement of all that waits now.
	waiters []chan struct{}
}

// batch is what is sent at a time, with those that wait for its acknowledgement.
type batch struct {
	keys    []reportKey
	reports map[reportKey]queuedReport
	waiters []chan struct{}
}

func newOutbox(now func() time.Duration) *outbox {
	return &outbox{reports: NewReportQueue(now), urgent: make(chan struct{}, 1)}
}

// add queues gossip for the next interval.
func (o *outbox) add(g ctlrpc.Gossip) { o.reports.AddGossip(Relayed, g) }

// addAtOnce queues gossip that is sent at once.
func (o *outbox) addAtOnce(g ctlrpc.Gossip) {
	o.add(g)
	o.hurry()
}

// hurry makes what waits be sent at once.
func (o *outbox) hurry() {
	select {
	case o.urgent <- struct{}{}:
	default:
	}
}

// addUrgent is addAtOnce for a caller that waits. The channel is closed when the gossip is acknowledged.
func (o *outbox) addUrgent(g ctlrpc.Gossip) <-chan struct{} {
	c := make(chan struct{})
	o.lock.Lock()
	defer o.lock.Unlock()
	o.add(g)
	o.waiters = append(o.waiters, c)
	o.hurry()
	return c
}

// take removes all that waits.
func (o *outbox) take() batch {
	o.lock.Lock()
	defer o.lock.Unlock()
	p := batch{waiters: o.waiters}
	o.waiters = nil
	p.keys, p.reports = o.reports.popAll()
	return p
}

// restore puts back what could not be sent.
func (o *outbox) restore(p batch) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.reports.restore(p.keys, p.reports)
	o.waiters = append(p.waiters, o.waiters...)
}

// gossip returns the batch as a message that is sent now.
func (p batch) gossip(now time.Duration) ctlrpc.Gossip {
	var g ctlrpc.Gossip
	for _, k := range p.keys {
		n := p.reports[k].aged(now).gossip(k)
		g.Reports = append(g.Reports, n.Reports...)
		g.Hosts = append(g.Hosts, n.Hosts...)
		g.Poison.Ends = append(g.Poison.Ends, n.Poison.Ends...)
		g.Poison.Cases = append(g.Poison.Cases, n.Poison.Cases...)
	}
	return g
}

// acknowledge wakes those that wait for the batch.
func (p batch) acknowledge() {
	for _, c := range p.waiters {
		close(c)
	}
}
