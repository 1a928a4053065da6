// Package admit shares the capacity of a host among customers by weighted fair queuing over tokens. Each customer has
// one queue, which is ordered by priority and then by arrival.
package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// MaxQueue is the largest number of queued requests of one customer at one host.
const MaxQueue = 2000

// QueuedRequest is a request in the queue of its customer. Times are durations since the start of the clock that the
// caller of this package uses.
type QueuedRequest[T any] struct {
	ID       string
	Customer string
	// Share is the weight of the customer; values below 1 count as 1.
	Share    int
	Priority model.Priority
	// Tokens is the estimated number of tokens that is charged when the request starts.
	Tokens float64
	// Since is when the request was queued.
	Since time.Duration
	// Deadline is when the request expires if it has not started.
	Deadline time.Duration
	// Request holds what the caller of this package needs to start the request. This package does not read it.
	Request T
}

// Account holds the usage and the queue of one customer at this host.
type Account[T any] struct {
	Customer string
	Share    int
	// VirtualTime is the number of tokens charged to the customer, divided by its share. The customer with the lowest
	// virtual time is served first.
	VirtualTime float64
	// Running is the number of requests in flight.
	Running int
	// Queue is ordered by priority, then by arrival. It is replaced by changed copies and never modified.
	Queue []QueuedRequest[T]
}

// active reports whether the customer has requests in flight or queued.
func (a Account[T]) active() bool { return a.Running > 0 || len(a.Queue) > 0 }

// State holds the accounts of a host. It is an immutable value; its methods return changed copies.
type State[T any] struct {
	accounts *immutable.SortedMap[string, Account[T]]
	// queueLength is the number of queued requests of all customers.
	queueLength int
	// completionRate is the exponentially decayed number of completed requests per second, as of lastCompletion,
	// which is when the last request ended.
	completionRate float64
	lastCompletion time.Duration
}

// NewState returns a State without accounts.
func NewState[T any]() State[T] {
	return State[T]{accounts: immutable.NewSortedMap[string, Account[T]](nil)}
}

// Account returns the account of a customer, or false if there is none.
func (s State[T]) Account(customer string) (Account[T], bool) { return s.accounts.Get(customer) }

// Accounts returns all accounts in the order of the customer names.
func (s State[T]) Accounts() []Account[T] {
	var r []Account[T]
	for i := s.accounts.Iterator(); !i.Done(); {
		_, a, _ := i.Next()
		r = append(r, a)
	}
	return r
}

// QueueLength returns the number of queued requests of all customers.
func (s State[T]) QueueLength() int { return s.queueLength }

// withAccount returns the state with an account added or replaced.
func (s State[T]) withAccount(a Account[T]) State[T] {
	s.accounts = s.accounts.Set(a.Customer, a)
	return s
}

// activatedAccount returns the account of a customer, ready to start or queue a request. The virtual time of an idle
// account is raised to the minimum of the active accounts, so that a customer cannot save up capacity while it is
// idle.
func (s State[T]) activatedAccount(customer string, share int) Account[T] {
	a, _ := s.accounts.Get(customer)
	a.Customer, a.Share = customer, max(1, share)
	if !a.active() {
		a.VirtualTime = math.Max(a.VirtualTime, s.minVirtualTime())
	}
	return a
}

// minVirtualTime returns the lowest virtual time of the active accounts, or 0 if no account is active.
func (s State[T]) minVirtualTime() float64 {
	l := math.Inf(1)
	for _, a := range s.Accounts() {
		if a.active() {
			l = math.Min(l, a.VirtualTime)
		}
	}
	if math.IsInf(l, 1) {
		return 0
	}
	return l
}

// WithStarted returns the state after a request with an estimated number of tokens has started: the tokens are
// charged to the customer.
func (s State[T]) WithStarted(customer string, share int, tokens float64) State[T] {
	a := s.activatedAccount(customer, share)
	a.Running++
	a.VirtualTime += tokens / float64(a.Share)
	return s.withAccount(a)
}

// WithQueued inserts a request after the queued requests of its customer that have the same or a higher priority. ok
// is false if the queue already holds MaxQueue requests.
func (s State[T]) WithQueued(w QueuedRequest[T]) (next State[T], ok bool) {
	a := s.activatedAccount(w.Customer, w.Share)
	if len(a.Queue) >= MaxQueue {
		return s, false
	}
	i := len(a.Queue)
	for i > 0 && a.Queue[i-1].Priority < w.Priority {
		i--
	}
	a.Queue = slices.Insert(slices.Clone(a.Queue), i, w)
	s.queueLength++
	return s.withAccount(a), true
}

// priorityLead returns how much virtual time a customer with a request of the priority may be ahead of the others and
// still be served first, 1,000 tokens per share for each step of priority. Urgent requests are short, so that they
// may go first until their customer has used up this lead.
func priorityLead(p model.Priority) float64 {
	const tokens = 1_000
	return float64(p) * tokens
}

// dispatchTime returns the virtual time less the lead of the first queued request. The customer with the lowest
// dispatch time is served first. The queue must not be empty.
func (a Account[T]) dispatchTime() float64 { return a.VirtualTime - priorityLead(a.Queue[0].Priority) }

// GoesFirst reports whether a new request would be served before all queued requests that compete with it for the
// same capacity, as reported by competes.
func (s State[T]) GoesFirst(customer string, share int, p model.Priority, competes func(QueuedRequest[T]) bool) bool {
	d := s.activatedAccount(customer, share).VirtualTime - priorityLead(p)
	return !slices.ContainsFunc(s.Accounts(), func(a Account[T]) bool {
		if len(a.Queue) == 0 {
			return false
		}
		if a.Customer == customer {
			return a.Queue[0].Priority >= p && slices.ContainsFunc(a.Queue, competes)
		}
		return a.dispatchTime() < d && slices.ContainsFunc(a.Queue, competes)
	})
}

// Dequeue removes the first request that may start now from its queue and charges it to its customer. Customers are
// served in the order of their dispatch time. competes reports whether two requests need the same capacity. mayStart
// reports whether a request may start. outOfTurn is set if a competing request of an earlier customer stays queued;
// the request may then take only capacity that is open to every request, with no overcommitment and no capacity that
// is reserved for higher priorities. ok is false if no request may start.
func (s State[T]) Dequeue(mayStart func(w QueuedRequest[T], outOfTurn bool) bool, competes func(a, b QueuedRequest[T]) bool) (next State[T], w QueuedRequest[T], ok bool) {
	q := slices.DeleteFunc(s.Accounts(), func(a Account[T]) bool { return len(a.Queue) == 0 })
	slices.SortStableFunc(q, func(a, b Account[T]) int { return cmp.Compare(a.dispatchTime(), b.dispatchTime()) })
	for k, a := range q {
		i := slices.IndexFunc(a.Queue, func(w QueuedRequest[T]) bool {
			b := slices.ContainsFunc(q[:k], func(o Account[T]) bool { return competes(o.Queue[0], w) })
			return mayStart(w, b)
		})
		if i >= 0 {
			w = a.Queue[i]
			s = s.withoutQueued(a, i)
			return s.WithStarted(w.Customer, w.Share, w.Tokens), w, true
		}
	}
	return s, w, false
}

// withoutQueued returns the state without the request at an index of the account's queue.
func (s State[T]) withoutQueued(a Account[T], index int) State[T] {
	a.Queue = slices.Delete(slices.Clone(a.Queue), index, index+1)
	s.queueLength--
	return s.withAccount(a)
}

// WithCancelled removes a queued request. ok is false if the customer has no queued request with the ID.
func (s State[T]) WithCancelled(customer, id string) (next State[T], ok bool) {
	a, _ := s.accounts.Get(customer)
	i := slices.IndexFunc(a.Queue, func(w QueuedRequest[T]) bool { return w.ID == id })
	if i < 0 {
		return s, false
	}
	return s.withoutQueued(a, i), true
}

// WithFinished ends a request in flight at the time now, and corrects its charge from the estimated to the actual
// number of tokens.
func (s State[T]) WithFinished(customer string, estimate, tokens float64, now time.Duration) State[T] {
	a, ok := s.accounts.Get(customer)
	if !ok {
		return s
	}
	a.Running = max(0, a.Running-1)
	a.VirtualTime += (tokens - estimate) / float64(max(1, a.Share))
	s = s.withAccount(a)
	s.completionRate = s.completionRate*decay(now-s.lastCompletion) + 1/rateWindow.Seconds()
	s.lastCompletion = now
	return s
}

// rateWindow is the time constant of the average of completions per second.
const rateWindow = 5 * time.Second

// decay returns the weight of completions that are d old.
func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / rateWindow.Seconds()) }

// EstimateWait estimates how long a new request of a customer would be queued, from the recent rate of completions
// and the customer's share among the customers with queued requests. It returns 0 if the customer has no queued
// request of the same or a higher priority, or if nothing has completed yet.
func (s State[T]) EstimateWait(customer string, share int, priority model.Priority, now time.Duration) time.Duration {
	r := s.completionRate * decay(now-s.lastCompletion)
	a, _ := s.accounts.Get(customer)
	h := 0
	for _, w := range a.Queue {
		if w.Priority >= priority {
			h++
		}
	}
	if h == 0 || r <= 0 {
		return 0
	}
	t := max(1, share)
	for _, o := range s.Accounts() {
		if o.Customer != customer && len(o.Queue) > 0 {
			t += o.Share
		}
	}
	p := r * float64(max(1, share)) / float64(t)
	return time.Duration(float64(h+1) / p * float64(time.Second))
}

// WithoutExpired removes the queued requests whose deadline has passed and returns the state without them and the
// removed requests.
func (s State[T]) WithoutExpired(now time.Duration) (next State[T], expired []QueuedRequest[T]) {
	if s.queueLength == 0 {
		return s, nil
	}
	for _, a := range s.Accounts() {
		k := slices.DeleteFunc(slices.Clone(a.Queue), func(w QueuedRequest[T]) bool { return now >= w.Deadline })
		if len(k) == len(a.Queue) {
			continue
		}
		for _, w := range a.Queue {
			if now >= w.Deadline {
				expired = append(expired, w)
			}
		}
		s.queueLength -= len(a.Queue) - len(k)
		a.Queue = k
		s = s.withAccount(a)
	}
	return s, expired
}
