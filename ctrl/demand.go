package ctrl

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
)

const (
	// demandTimeout is the age above which the demand of an entry host isn't counted. Hosts report it each second.
	demandTimeout = 2500 * time.Millisecond
	// demandEvery is how often the demand of the fleet is summed, and sent to an entry host.
	demandEvery = time.Second
	// demandAccounts bounds the client accounts that a reply names for a service: those that ask for most, which are above their fair share.
	demandAccounts = 12
)

// Demand returns the sum of the demand of all entry hosts. Its age is that of the oldest part.
func (s State) Demand() (d ctlrpc.Demand) {
	for i := s.entryHosts.Iterator(); !i.Done(); {
		_, h, _ := i.Next()
		n := h.report.Demand
		if n.Age += s.Now - h.demandAt; n.HasServices() && n.Age <= demandTimeout {
			d = d.Plus(n)
		}
	}
	for n, v := range d.Services {
		d.Services[n] = v.Bounded(demandAccounts)
	}
	return d
}

// demandSum caches the demand of the fleet.
type demandSum struct {
	demand   ctlrpc.Demand
	summedAt time.Duration
	valid    bool
}

// demandFor returns the demand of the fleet for an entry host that reports its own, at most once in demandEvery.
func (t *ReplyBuilder) demandFor(s State, host string, sentAt time.Duration) (d ctlrpc.Demand, ok bool) {
	h, known := s.entryHosts.Get(host)
	if !known || !h.report.Demand.HasServices() || sentAt > 0 && s.Now < sentAt+demandEvery {
		return d, false
	}
	if !t.demand.valid || s.Now >= t.demand.summedAt+demandEvery/4 {
		t.demand = demandSum{s.Demand(), s.Now, true}
	}
	d = t.demand.demand
	d.SumAge, d.Summed = s.Now-t.demand.summedAt, true
	d.Age += d.SumAge
	return d, true
}
