package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/admit"
	"github.com/hickoryshelf/hickoryshelf/model"
)

// mayBypassQueue reports whether a new request may start although others are queued.
func (r *reducer) mayBypassQueue(a RouteRequest, p plan) bool {
	if r.Admit.QueueLength() == 0 {
		return true
	}
	a.targets = p.targets
	n := admit.QueuedRequest[RouteRequest]{Request: a}
	return r.Admit.GoesFirst(p.contract.Customer, p.contract.Share, p.terms.Priority, func(w admit.QueuedRequest[RouteRequest]) bool {
		return competes(w, n)
	})
}

// enqueue queues a request. It refuses the request if the predicted wait exceeds the maximum of the class or if the
// customer's queue is full. A retry is charged to the retry budget while it is queued.
func (r *reducer) enqueue(a RouteRequest, p plan) {
	c, t := p.contract, p.terms
	if e := r.Admit.EstimateWait(c.Customer, c.Share, t.Priority, r.Now); e > t.QueueTimeout() {
		m := fmt.Sprintf("the wait would be about %s; come back later", e.Round(time.Second))
		r.refuse(a, &Refusal{Kind: RefusedCapacity, Message: m, RetryAfter: max(minRetryAfter, e-t.QueueTimeout())})
		return
	}
	a.targets, a.isRetry = p.targets, a.Retry
	n, ok := r.Admit.WithQueued(admit.QueuedRequest[RouteRequest]{
		ID: a.ID, Customer: c.Customer, Share: c.Share, Priority: t.Priority, Tokens: a.Tokens,
		Since: r.Now, Deadline: r.Now + t.QueueTimeout(), Request: a,
	})
	if !ok {
		r.refuse(a, &Refusal{Kind: RefusedQueue, Message: "the customer's queue is full; come back later", RetryAfter: capacityRetryAfter})
		return
	}
	r.Admit = n
	if a.Retry {
		r.retryBudget--
	}
	r.log("admit", "queued a request", Field{"request", a.RequestID}, Field{"customer", c.Customer}, Field{"waiting", n.QueueLength()})
}

// startQueued starts queued requests while free endpoints hold their targets. A request takes a target other than its
// preferred one only after preferredWait. A request that starts out of turn, ahead of a competing request of a customer
// that the fair queue serves first, gets only the endpoints that have room for batch work.
func (r *reducer) startQueued() {
	if r.Admit.QueueLength() == 0 {
		return
	}
	f := r.freeTargets()
	for {
		n, w, ok := r.Admit.Dequeue(func(w admit.QueuedRequest[RouteRequest], outOfTurn bool) bool {
			p := w.Priority
			if outOfTurn {
				p = model.PriorityBatch
			}
			i := slices.IndexFunc(w.Request.targets, func(h string) bool { return f(h, p, !outOfTurn) })
			t, _ := r.Config.Contract(w.Customer)
			c, _ := t.Terms(w.Request.Class)
			return i == 0 || (i > 0 && r.Now-w.Since > preferredWait(c))
		}, competes)
		if !ok {
			return
		}
		r.startDequeued(n, w)
		f = r.freeTargets()
	}
}

// competes reports whether two queued requests compete for the same capacity: any two completions do, since engines
// hold several versions, and so do calls to the same plain service.
func competes(a, b admit.QueuedRequest[RouteRequest]) bool {
	if a.Request.Path == "" || b.Request.Path == "" {
		return a.Request.Path == b.Request.Path
	}
	return a.Request.targets[0] == b.Request.targets[0]
}

// freeTargets returns a function that reports whether a free endpoint holds a target. The function caches its
// results, so it is valid only until the next attempt starts.
func (r *reducer) freeTargets() func(string, model.Priority, bool) bool {
	type key struct {
		target          string
		priority        model.Priority
		allowOvercommit bool
	}
	m := make(map[key]bool)
	return func(h string, p model.Priority, allowOvercommit bool) bool {
		k := key{h, p, allowOvercommit}
		if f, ok := m[k]; ok {
			return f
		}
		s, ok := r.Routes.ChooseEndpoint(r.endpointQuery(h, nil, p, allowOvercommit), r.Now)
		m[k] = ok && s.HasCapacity
		return m[k]
	}
}

// startDequeued starts a request w that was taken from the queue; n is the admission state in which w has left the
// queue and is charged. The request is planned again, since the configuration may have changed while it was queued. A
// retry gets its unit of the retry budget back first, because starting it charges the budget again.
func (r *reducer) startDequeued(n admit.State[RouteRequest], w admit.QueuedRequest[RouteRequest]) {
	r.Admit = n
	a := w.Request
	if a.isRetry {
		r.retryBudget++
	}
	p, f := r.plan(a)
	if f == nil {
		if e, h, ok := r.findFreeEndpoint(a, p, true, true); ok {
			r.startAttempt(a, p, h, e, r.Now-w.Since)
			return
		}
		f = &Refusal{Kind: RefusedCapacity, Message: "no endpoint is left for the request; come back later", RetryAfter: capacityRetryAfter}
	}
	r.Admit = r.Admit.WithFinished(w.Customer, w.Tokens, 0, r.Now)
	r.refuse(a, f)
}

// expireQueued refuses the queued requests that have waited for the maximum of their class.
func (r *reducer) expireQueued() {
	n, g := r.Admit.WithoutExpired(r.Now)
	r.Admit = n
	for _, w := range g {
		if w.Request.isRetry {
			r.retryBudget++
		}
		m := "no capacity came free in time; come back later"
		e := r.Admit.EstimateWait(w.Customer, w.Share, w.Priority, r.Now)
		r.refuse(w.Request, &Refusal{Kind: RefusedCapacity, Message: m, RetryAfter: max(capacityRetryAfter, e)})
	}
}

// refuseQueuedOnStop refuses all queued requests of a stopping host except retries.
func (r *reducer) refuseQueuedOnStop() {
	r.refuseQueuedIf(func(a RouteRequest) *Refusal {
		if a.isRetry {
			return nil
		}
		m := "this host is stopping; send the request again, the balancer chooses another"
		return &Refusal{Kind: RefusedStopping, Message: m, RetryAfter: minRetryAfter}
	})
}

// refuseWithdrawn refuses the queued requests, except retries, that the new configuration no longer allows.
func (r *reducer) refuseWithdrawn() {
	r.refuseQueuedIf(func(a RouteRequest) *Refusal {
		if a.isRetry {
			return nil
		}
		_, f := r.plan(a)
		return f
	})
}

// refuseQueuedIf refuses the queued requests for which check returns a refusal.
func (r *reducer) refuseQueuedIf(check func(RouteRequest) *Refusal) {
	for _, t := range r.Admit.Accounts() {
		for _, w := range t.Queue {
			f := check(w.Request)
			if f == nil {
				continue
			}
			r.Admit, _ = r.Admit.WithCancelled(w.Customer, w.ID)
			r.refuse(w.Request, f)
		}
	}
}
