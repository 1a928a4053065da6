package fakes

import (
	"context"
	"slices"
	"sync"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// slots bounds the requests that run at once; those that wait go by priority, then by arrival.
type slots struct {
	lock    sync.Mutex
	free    int
	running int
	waiting []*waiter
}

type waiter struct {
	priority model.Priority
	ready    chan struct{}
}

func newSlots(capacity int) *slots { return &slots{free: capacity} }

func (s *slots) counts() (running, waiting int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.running, len(s.waiting)
}

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

// cancelWait takes a waiter out; one that got its slot meanwhile gives it back.
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
