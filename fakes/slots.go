package fakes

import (
	"context"
	"slices"
	"sync"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// slots limits the number of requests that run at the same time. Others wait, in the order of their priority and then
// of their arrival.
type slots struct {
	lock    sync.Mutex
	free    int
	running int
	waiting []*waiter
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority model.Priority
	// ready is closed when the waiter gets a slot.
	ready chan struct{}
}

// newSlots returns slots for the given number of requests, all free.
func newSlots(capacity int) *slots { return &slots{free: capacity} }

// counts returns the number of requests that run and that wait.
func (s *slots) counts() (running, waiting int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.running, len(s.waiting)
}

// acquire takes a slot, or waits for one until the context ends and returns its error.
func (s *slots) acquire(ctx context.Context, p model.Priority) error {
	s.lock.Lock()
	if s.free > 0 {
		s.free--
		s.running++
		s.lock.Unlock()
		return nil
	}
	w := &waiter{priority: p, ready: make(chan struct{})}
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].priority < p {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, w)
	s.lock.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return s.cancelWait(ctx, w)
	}
}

// cancelWait removes a waiter and returns the context's error. If the waiter has got a slot meanwhile, that slot is
// released.
func (s *slots) cancelWait(ctx context.Context, w *waiter) error {
	s.lock.Lock()
	i := slices.Index(s.waiting, w)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	s.lock.Unlock()
	if i < 0 {
		s.release()
	}
	return ctx.Err()
}

// release frees a slot and hands it to the first waiter, if there is one.
func (s *slots) release() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.running--
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	w := s.waiting[0]
	s.waiting = s.waiting[1:]
	s.running++
	close(w.ready)
}
