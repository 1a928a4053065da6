package host

import "time"

// batcher queues values and passes all values that are queued at a time to handle, as one batch.
type batcher[T any] struct {
	queue  chan T
	done   chan struct{}
	handle func(batch []T)
	// ended is closed once the last batch was handled.
	ended chan struct{}
}

// newBatcher starts a batcher that stops when done is closed. The queue holds up to capacity values, and a batch has
// at most as many.
func newBatcher[T any](done chan struct{}, capacity int, handle func(batch []T)) *batcher[T] {
	b := &batcher[T]{queue: make(chan T, capacity), done: done, handle: handle, ended: make(chan struct{})}
	go b.loop()
	return b
}

// tryPut queues a value without waiting. It returns false when the queue is full.
func (b *batcher[T]) tryPut(value T) bool {
	select {
	case b.queue <- value:
		return true
	default:
		return false
	}
}

// put queues a value and waits while the queue is full. The value is dropped when the batcher stops.
func (b *batcher[T]) put(value T) {
	select {
	case b.queue <- value:
	case <-b.done:
	}
}

// awaitEnd waits until the last batch was handled, after done was closed. It returns false if limit fires before.
func (b *batcher[T]) awaitEnd(limit <-chan time.Time) bool {
	select {
	case <-b.ended:
		return true
	case <-limit:
		return false
	}
}

// loop passes batches to handle, one at a time, until done is closed.
func (b *batcher[T]) loop() {
	defer close(b.ended)
	for {
		select {
		case <-b.done:
			return
		case v := <-b.queue:
			b.handle(b.collect(v))
		}
	}
}

// collect returns first and the values queued behind it, at most as many as the queue can hold.
func (b *batcher[T]) collect(first T) []T {
	r := []T{first}
	for len(r) < cap(b.queue) {
		select {
		case v := <-b.queue:
			r = append(r, v)
		default:
			return r
		}
	}
	return r
}
