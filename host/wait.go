package host

import (
	"context"
	"sync"
)

// waits hands answers to the callers that wait for them, by id.
type waits struct {
	lock sync.Mutex
	byID map[string]chan any
}

func (w *waits) add(id string) chan any {
	c := make(chan any, 1)
	w.lock.Lock()
	w.byID[id] = c
	w.lock.Unlock()
	return c
}

// answer hands a value over; one that nobody waits for is dropped.
func (w *waits) answer(id string, value any) {
	w.lock.Lock()
	c, ok := w.byID[id]
	delete(w.byID, id)
	w.lock.Unlock()
	if ok {
		c <- value
	}
}

// remove gives up a wait; ok is false when the answer has come meanwhile.
func (w *waits) remove(id string) (ok bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	_, ok = w.byID[id]
	delete(w.byID, id)
	return ok
}

// await posts an event and waits for its answer. When ctx ends first, gone tells whether no answer will
// be handed over any more.
func await[T any](ctx context.Context, h *Host, id string, post func()) (value T, gone bool, err error) {
	c := h.waits.add(id)
	post()
	select {
	case v := <-c:
		return v.(T), false, nil
	case <-ctx.Done():
	}
	if h.waits.remove(id) {
		return value, true, ctx.Err()
	}
	return (<-c).(T), false, nil
}
