package host

import (
	"context"
	"sync"
)

// pendingReplies maps the ID of each call that waits for the reducer to the channel on which the caller gets its reply.
type pendingReplies struct {
	lock     sync.Mutex
	channels map[string]chan any
}

// add registers a call and returns the channel for its reply.
func (p *pendingReplies) add(id string) chan any {
	c := make(chan any, 1)
	p.lock.Lock()
	p.channels[id] = c
	p.lock.Unlock()
	return c
}

// deliver sends a reply to the caller. It drops the reply when no call with the ID is registered.
func (p *pendingReplies) deliver(id string, value any) {
	p.lock.Lock()
	c, ok := p.channels[id]
	delete(p.channels, id)
	p.lock.Unlock()
	if ok {
		c <- value
	}
}

// remove unregisters a call. It returns false when deliver has already taken the call, so that its reply will arrive
// on the channel.
func (p *pendingReplies) remove(id string) (ok bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	_, ok = p.channels[id]
	delete(p.channels, id)
	return ok
}

// awaitReply calls post, which posts an event with the ID, and waits for the reducer's reply. When ctx ends first, it
// returns ctx's error with abandoned set, and a later reply is dropped. A reply that comes while ctx ends is returned.
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
