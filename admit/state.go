// Package admit shares capacity among customers: weighted fair queues over tokens, one queue for each
// customer, ordered by priority inside a customer.
package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// MaxQueue bounds the waiting requests of one customer at one host.
const MaxQueue = 2000

// QueuedRequest is a request in the queue.
type QueuedRequest[T any] struct {
	ID       string
	Customer string
	Share    int
	Priority model.Priority
	// Tokens is the estimate that is charged when the request starts.
	Tokens float64
	Since  time.Duration
	// Deadline is when the request is given up.
	Deadline time.Duration
	// Request is what the caller of this package needs to start the request.
	Request T
}

// Account is one customer's use of this host.
type Account[T any] struct {
	Customer string
	Share    int
	// VirtualTime is the customer's tokens divided by its share; the least goes first.
	VirtualTime float64
	// Running counts started requests.
	Running int
	// Queue is ordered by priority, then by arrival, and never written.
	Queue []QueuedRequest[T]
}

func (a Account[T]) active() bool { return a.Running > 0 || len(a.Queue) > 0 }

// State is the accounts of a host. It is a value; its methods return changed copies.
type State[T any] struct {
	accounts *immutable.SortedMap[string, Account[T]]
	// queueLength is the number of queued requests.
	queueLength int
	// completionRate is the decayed number of completed requests per second; finished is when the last one ended.
	completionRate float64
	lastCompletion time.Duration
}

// NewState returns a state without accounts.
func NewState[T any]() State[T] {
	return State[T]{accounts: immutable.NewSortedMap[string, Account[T]](nil)}
}

// Account returns a customer's account.
func (s State[T]) Account(customer string) (Account[T], bool) { return s.accounts.Get(customer) }

// Accounts returns all accounts by customer.
func (s State[T]) Accounts() []Account[T] {
	var r []Account[T]
	for i := s.accounts.Iterator(); !i.Done(); {
		_, a, _ := i.Next()
		r = append(r, a)
	}
	return r
}

// QueueLength returns the number of queued requests.
func (s State[T]) QueueLength() int { return s.queueLength }

func (s State[T]) withAccount(a Account[T]) State[T] {
	s.accounts = s.accounts.Set(a.Customer, a)
	return s
}

// activatedAccount returns the customer's account. One that comes back from idleness starts level with the others,
// so that it can't save up capacity it left unused.
func (s State[T]) activatedAccount(customer string, share int) Account[T] {
	a, _ := s.accounts.Get(customer)
	a.Customer, a.Share = customer, max(1, share)
	if !a.active() {
		a.VirtualTime = math.Max(a.VirtualTime, s.minVirtualTime())
	}
	return a
}

// minVirtualTime returns the least virtual time of the active accounts.
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

// WithStarted charges a request that starts at once.
func (s State[T]) WithStarted(customer string, share int, tokens float64) State[T] {
	a := s.activatedAccount(customer, share)
	a.Running++
	a.VirtualTime += tokens / float64(a.Share)
	return s.withAccount(a)
}

// WithQueued appends a request behind the customer's requests of the same or a higher priority; ok is
// false when the queue is full.
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

// priorityLead is how far, in tokens over its share, a customer may run ahead of the others with requests of a
// priority: urgent requests are short, so they go first until their customer has used up its priorityLead.
func priorityLead(p model.Priority) float64 {
	const tokens = 1_000
	return float64(p) * tokens
}

// dispatchTime is the virtual time that decides whose request goes first.
func (a Account[T]) dispatchTime() float64 { return a.VirtualTime - priorityLead(a.Queue[0].Priority) }

// GoesFirst reports whether a new request would go before all waiting ones that rival it for the same capacity.
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

// Dequeue takes the first request that may start now out of the queue and charges it. Customers are asked in
// the order of their virtual time. may is told whether a rival of an earlier customer goes on waiting: the
// request must not use more than the plain capacity then.
func (s State[T]) Dequeue(mayStart func(w QueuedRequest[T], behind bool) bool, competes func(a, b QueuedRequest[T]) bool) (next State[T], w QueuedRequest[T], ok bool) {
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

func (s State[T]) withoutQueued(a Account[T], index int) State[T] {
	a.Queue = slices.Delete(slices.Clone(a.Queue), index, index+1)
	s.queueLength--
	return s.withAccount(a)
}

// WithCancelled drops a queued request; ok is false when it isn't queued.
func (s State[T]) WithCancelled(customer, id string) (next State[T], ok bool) {
	a, _ := s.accounts.Get(customer)
	i := slices.IndexFunc(a.Queue, func(w QueuedRequest[T]) bool { return w.ID == id })
	if i < 0 {
		return s, false
	}
	return s.withoutQueued(a, i), true
}

// WithFinished ends a started request and corrects its charge from the estimate to the true tokens.
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

// rateWindow is the time over which completions are averaged.
const rateWindow = 5 * time.Second

func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / rateWindow.Seconds()) }

// EstimateWait predicts how long a new request of the customer waits, from the completions of late and the
// customer's part of them.
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

// WithoutExpired returns the requests whose deadline has passed and the state without them.
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
