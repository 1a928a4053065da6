package host

import (
	"context"
	"sync"
)

// pendingReplies hands answers to the callers that wait for them, by id.
type pendingReplies struct {
	lock     sync.Mutex
	channels map[string]chan any
}

func (p *pendingReplies) add(id string) chan any {
	c := make(chan any, 1)
	p.lock.Lock()
	p.channels[id] = c
	p.lock.Unlock()
	return c
}

// deliver hands a value over; one that nobody waits for is dropped.
func (p *pendingReplies) deliver(id string, value any) {
	p.lock.Lock()
	c, ok := p.channels[id]
	delete(p.channels, id)
	p.lock.Unlock()
	if ok {
		c <- value
	}
}

// remove gives up a wait; ok is false when the answer has come meanwhile.
func (p *pendingReplies) remove(id string) (ok bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	_, ok = p.channels[id]
	delete(p.channels, id)
	return ok
}

// awaitReply posts an event and waits for its answer. When ctx ends first, gone tells whether no answer will
// be handed over any more.
func awaitReply[T any](ctx context.Context, h *Host, id string, post func()) (value T, abandoned bool, err error) {
	c := h.replies.add(id)
	post()
	select {
	case v := <-c:
		return v.(T), false, nil
	case <-ctx.Done():
	}
	if h.replies.remove(id) {
		return value, true, ctx.Err()
	}
	return (<-c).(T), false, nil
}
