package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/admit"
	"github.com/hickoryshelf/hickoryshelf/model"
)

func (r *reducer) mayOvertake(a Ask, p plan) bool {
	if r.Admit.Waiting() == 0 {
		return true
	}
	a.planned = p.holds
	n := admit.Waiting[Ask]{Request: a}
	return r.Admit.First(p.contract.Customer, p.contract.Share, p.terms.Priority, func(w admit.Waiting[Ask]) bool {
		return rivals(w, n)
	})
}

func (r *reducer) queue(a Ask, p plan) {
	c, t := p.contract, p.terms
	if e := r.Admit.Wait(c.Customer, c.Share, t.Priority, r.Now); e > t.QueueTimeout() {
		m := fmt.Sprintf("the wait would be about %s; come back later", e.Round(time.Second))
		r.refuse(a, &Refusal{Kind: RefusedCapacity, Message: m, RetryAfter: max(minRetry, e-t.QueueTimeout())})
		return
	}
	a.planned, a.resumed = p.holds, a.Again
	n, ok := r.Admit.WithQueued(admit.Waiting[Ask]{
		ID: a.ID, Customer: c.Customer, Share: c.Share, Priority: t.Priority, Tokens: a.Tokens,
		Since: r.Now, Deadline: r.Now + t.QueueTimeout(), Request: a,
	})
	if !ok {
		r.refuse(a, &Refusal{Kind: RefusedQueue, Message: "the customer's queue is full; come back later", RetryAfter: capacityRetry})
		return
	}
	r.Admit = n
	r.log("admit", "queued a request", Field{"request", a.RequestID}, Field{"customer", c.Customer}, Field{"waiting", n.Waiting()})
}

func (r *reducer) startQueued() {
	if r.Admit.Waiting() == 0 {
		return
	}
	f := r.freeHolds()
	for {
		n, w, ok := r.Admit.Next(func(w admit.Waiting[Ask], behind bool) bool {
			p := w.Priority
			if behind {
				p = model.PriorityBatch
			}
			i := slices.IndexFunc(w.Request.planned, func(h string) bool { return f(h, p, !behind) })
			t, _ := r.Config.Contract(w.Customer)
			c, _ := t.Terms(w.Request.Class)
			return i == 0 || (i > 0 && r.Now-w.Since > patience(c))
		}, rivals)
		if !ok {
			return
		}
		r.startWaiting(n, w)
		f = r.freeHolds()
	}
}

func rivals(a, b admit.Waiting[Ask]) bool {
	if a.Request.Path == "" || b.Request.Path == "" {
		return a.Request.Path == b.Request.Path
	}
	return a.Request.planned[0] == b.Request.planned[0]
}

func (r *reducer) freeHolds() func(string, model.Priority, bool) bool {
	type key struct {
		hold     string
		priority model.Priority
		excess   bool
	}
	m := make(map[key]bool)
	return func(h string, p model.Priority, excess bool) bool {
		k := key{h, p, excess}
		if f, ok := m[k]; ok {
			return f
		}
		s, ok := r.Routes.ChooseEndpoint(r.wish(h, nil, p, excess), r.Now)
		m[k] = ok && s.Free
		return m[k]
	}
}

func (r *reducer) startWaiting(n admit.State[Ask], w admit.Waiting[Ask]) {
	r.Admit = n
	a := w.Request
	if a.resumed {
		r.retryBudget++
	}
	p, f := r.plan(a)
	if f == nil {
		if e, h, ok := r.spot(a, p, true, true); ok {
			r.start(a, p, h, e, r.Now-w.Since)
			return
		}
		f = &Refusal{Kind: RefusedCapacity, Message: "no endpoint is left for the request; come back later", RetryAfter: capacityRetry}
	}
	r.Admit = r.Admit.WithFinished(w.Customer, w.Tokens, 0, r.Now)
	r.refuse(a, f)
}

func (r *reducer) expireQueued() {
	n, g := r.Admit.Expired(r.Now)
	r.Admit = n
	for _, w := range g {
		m := "no capacity came free in time; come back later"
		e := r.Admit.Wait(w.Customer, w.Share, w.Priority, r.Now)
		r.refuse(w.Request, &Refusal{Kind: RefusedCapacity, Message: m, RetryAfter: max(capacityRetry, e)})
	}
}

func (r *reducer) refuseQueued() {
	r.reviewQueued(func(a Ask) *Refusal {
		if a.resumed {
			return nil
		}
		m := "this host is stopping; send the request again, the balancer chooses another"
		return &Refusal{Kind: RefusedStopping, Message: m, RetryAfter: minRetry}
	})
}

func (r *reducer) refuseWithdrawn() {
	r.reviewQueued(func(a Ask) *Refusal {
		if a.resumed {
			return nil
		}
		_, f := r.plan(a)
		return f
	})
}

func (r *reducer) reviewQueued(review func(Ask) *Refusal) {
	for _, t := range r.Admit.Accounts() {
		for _, w := range t.Queue {
			f := review(w.Request)
			if f == nil {
				continue
			}
			r.Admit, _ = r.Admit.WithCancelled(w.Customer, w.ID)
			r.refuse(w.Request, f)
		}
	}
}
