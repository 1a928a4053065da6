package core

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/placer"
)

const (
	// placementInterval is the time between two comparisons of the endpoints with the configuration.
	placementInterval = time.Second
	// OrderTimeout bounds the call that gives an endpoint an order.
	OrderTimeout = 2 * time.Second
	// orderCooldown is the minimum time between two orders to an endpoint, so that an announcement can show the
	// effect of the first order before the next one is computed.
	orderCooldown = 3 * time.Second
	// storeCooldown is how long no load is ordered after the weight store has hit its rate limit.
	storeCooldown = 5 * time.Second
	// maxLoads is the maximum number of load orders within one orderCooldown.
	maxLoads = 2
)

// SendOrder sends an order to an endpoint. The runner reports OrderEnded.
type SendOrder struct {
	Order placer.Order
	// Deadline is the end of the leader's lease on this host's clock. The runner doesn't send the
	// order from this time on, since another host may lead by then.
	Deadline time.Duration
}

// OrderEnded reports the result of an order.
type OrderEnded struct {
	Endpoint string
	// OK is true when the endpoint has confirmed the order.
	OK bool
	// StoreLimited is true when the weight store's rate limit stopped a load.
	StoreLimited bool
}

func (SendOrder) effect() {}
func (OrderEnded) event() {}

// placeVersions sends load and unload orders to endpoints while this host is the leader. A new leader first waits
// for member.Lease plus OrderTimeout after its election: by then the previous leader's lease has ended and its
// last order has completed or timed out.
func (r *reducer) placeVersions() {
	if !r.Quorum.Ready(r.Now) || r.Now < r.Quorum.ElectedAt()+member.Lease+OrderTimeout || r.Now < r.placedAt+placementInterval {
		return
	}
	r.placedAt = r.Now
	for _, o := range placer.Next(r.Config, r.usableEndpoints(), r.orderPending, r.availableLoads()) {
		o.Fence = r.Quorum.Hard.Term
		r.orders = r.orders.Set(o.Endpoint.ID, order{load: o.Load != "", until: r.Now + orderCooldown})
		r.emit(SendOrder{Order: o, Deadline: r.Quorum.LeaseEnd(r.Now)})
		r.log("place", "gives an order", Field{"endpoint", o.Endpoint.ID}, Field{"load", o.Load}, Field{"unload", o.Unload}, Field{"fence", o.Fence})
	}
}

// order records the last order sent to an endpoint.
type order struct {
	// load is true when the order loads a version.
	load bool
	// until is when the endpoint may get its next order.
	until time.Duration
}

// usableEndpoints returns the endpoints that may get new work.
func (r *reducer) usableEndpoints() []model.Endpoint {
	var l []model.Endpoint
	for _, n := range r.Routes.Endpoints() {
		if n.Usable(r.Now) {
			l = append(l, n.Endpoint)
		}
	}
	return l
}

// orderPending reports whether an endpoint is within the cooldown of its last order.
func (r *reducer) orderPending(endpoint string) bool {
	o, ok := r.orders.Get(endpoint)
	return ok && r.Now < o.until
}

// availableLoads returns how many load orders may be sent now: none after the weight store has hit its rate limit,
// else maxLoads less the load orders within their cooldown.
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

// orderEnded logs a failed order and starts the cooldown after the weight store's rate limit. A later call of
// placeVersions sends the order again if the endpoint still needs it.
func (r *reducer) orderEnded(e OrderEnded) {
	if e.StoreLimited {
		r.storeLimitedAt = r.Now
		r.log("place", "weight store rate limit reached, loads are paused", Field{"endpoint", e.Endpoint})
	}
	if !e.OK {
		r.log("place", "the endpoint did not confirm an order, the order will be sent again", Field{"endpoint", e.Endpoint})
	}
}
