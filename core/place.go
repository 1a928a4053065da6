package core

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/placer"
)

const (
	// placementInterval is the interval at which the leader compares endpoints with the configuration.
	placementInterval = time.Second
	// OrderTimeout bounds the time of one order.
	OrderTimeout = 2 * time.Second
	// orderCooldown is how long an endpoint gets no further order, so that its announcement can show the first.
	orderCooldown = 3 * time.Second
	// storeCooldown is how long no version is loaded after the weight store's limit was met.
	storeCooldown = 5 * time.Second
	// maxLoads bounds the loads in progress.
	maxLoads = 2
)

// SendOrder gives an endpoint an order, unless the host's clock has passed Before: the leader's lease may
// have ended then. The runner answers with OrderEnded.
type SendOrder struct {
	Order    placer.Order
	Deadline time.Duration
}

// OrderEnded tells what became of an order.
type OrderEnded struct {
	Endpoint string
	OK       bool
	// StoreLimited is true when the weight store's limit stopped a load.
	StoreLimited bool
}

func (SendOrder) effect() {}
func (OrderEnded) event() {}

// placeVersions gives orders while this host leads. A new leader waits until the orders of the one before
// it have ended: its lease, and the time of an order that was on its way.
func (r *reducer) placeVersions() {
	if !r.Quorum.Ready(r.Now) || r.Now < r.Quorum.Elected()+member.Lease+OrderTimeout || r.Now < r.placedAt+placementInterval {
		return
	}
	r.placedAt = r.Now
	for _, o := range placer.Next(r.Config, r.usableEndpoints(), r.orderPending, r.availableLoads()) {
		o.Fence = r.Quorum.Hard.Term
		r.orders = r.orders.Set(o.Endpoint.ID, order{load: o.Load != "", until: r.Now + orderCooldown})
		r.emit(SendOrder{Order: o, Deadline: r.Quorum.LeasedUntil(r.Now)})
		r.log("place", "gives an order", Field{"endpoint", o.Endpoint.ID}, Field{"load", o.Load}, Field{"unload", o.Unload}, Field{"fence", o.Fence})
	}
}

// order is one that was given lately.
type order struct {
	load  bool
	until time.Duration
}

func (r *reducer) usableEndpoints() []model.Endpoint {
	var l []model.Endpoint
	for _, n := range r.Routes.Nodes() {
		if n.Usable(r.Now) {
			l = append(l, n.Endpoint)
		}
	}
	return l
}

func (r *reducer) orderPending(endpoint string) bool {
	o, ok := r.orders.Get(endpoint)
	return ok && r.Now < o.until
}

func (r *reducer) availableLoads() int {
	n := maxLoads
	if r.Now < r.storeLimitedAt+storeCooldown && r.storeLimitedAt > 0 {
		return 0
	}
	for i := r.orders.Iterator(); !i.Done(); {
		if _, o, _ := i.Next(); o.load && r.Now < o.until {
			n--
		}
	}
	return n
}

func (r *reducer) orderEnded(e OrderEnded) {
	if e.StoreLimited {
		r.storeLimitedAt = r.Now
		r.log("place", "the weight store's limit is met, loads wait", Field{"endpoint", e.Endpoint})
	}
	if !e.OK {
		r.log("place", "an order was not confirmed, it is given again", Field{"endpoint", e.Endpoint})
	}
}
