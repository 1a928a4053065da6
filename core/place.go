package core

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/placer"
)

const (
	// orderEvery is the interval at which the leader compares endpoints with the configuration.
	orderEvery = time.Second
	// OrderTimeout bounds the time of one order.
	OrderTimeout = 2 * time.Second
	// orderPause is how long an endpoint gets no further order, so that its announcement can show the first.
	orderPause = 3 * time.Second
	// storePause is how long no version is loaded after the weight store's limit was met.
	storePause = 5 * time.Second
	// maxLoads bounds the loads in progress.
	maxLoads = 2
)

// SendOrder gives an endpoint an order, unless the host's clock has passed Before: the leader's lease may
// have ended then. The runner answers with OrderEnded.
type SendOrder struct {
	Order  placer.Order
	Before time.Duration
}

// OrderEnded tells what became of an order.
type OrderEnded struct {
	Endpoint string
	OK       bool
	// Limited is true when the weight store's limit stopped a load.
	Limited bool
}

func (SendOrder) effect() {}
func (OrderEnded) event() {}

// placeVersions gives orders while this host leads. A new leader waits until the orders of the one before
// it have ended: its lease, and the time of an order that was on its way.
func (r *reducer) placeVersions() {
	if !r.Quorum.Ready(r.Now) || r.Now < r.Quorum.ElectedAt()+member.Lease+OrderTimeout || r.Now < r.placed+orderEvery {
		return
	}
	r.placed = r.Now
	for _, o := range placer.Next(r.Config, r.orderable(), r.ordering, r.loadsLeft()) {
		o.Fence = r.Quorum.Hard.Term
		r.orders = r.orders.Set(o.Endpoint.ID, order{load: o.Load != "", until: r.Now + orderPause})
		r.emit(SendOrder{Order: o, Before: r.Quorum.LeaseEnd(r.Now)})
		r.log("place", "gives an order", Field{"endpoint", o.Endpoint.ID}, Field{"load", o.Load}, Field{"unload", o.Unload}, Field{"fence", o.Fence})
	}
}

// order is one that was given lately.
type order struct {
	load  bool
	until time.Duration
}

func (r *reducer) orderable() []model.Endpoint {
	var l []model.Endpoint
	for _, n := range r.Routes.Endpoints() {
		if n.Usable(r.Now) {
			l = append(l, n.Endpoint)
		}
	}
	return l
}

func (r *reducer) ordering(endpoint string) bool {
	o, ok := r.orders.Get(endpoint)
	return ok && r.Now < o.until
}

func (r *reducer) loadsLeft() int {
	n := maxLoads
	if r.Now < r.storeLimited+storePause && r.storeLimited > 0 {
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
	if e.Limited {
		r.storeLimited = r.Now
		r.log("place", "the weight store's limit is met, loads wait", Field{"endpoint", e.Endpoint})
	}
	if !e.OK {
		r.log("place", "an order was not confirmed, it is given again", Field{"endpoint", e.Endpoint})
	}
}
