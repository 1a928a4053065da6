package host

// batcher hands what is put into it to a function, all that waits at once.
type batcher[T any] struct {
	queue  chan T
	done   chan struct{}
	handle func(batch []T)
}

// newBatcher starts a batcher that ends with done.
func newBatcher[T any](done chan struct{}, capacity int, handle func(batch []T)) *batcher[T] {
	b := &batcher[T]{queue: make(chan T, capacity), done: done, handle: handle}
	go b.loop()
	return b
}

// tryPut puts a value in, and reports false where there is no room.
func (b *batcher[T]) tryPut(value T) bool {
	select {
	case b.queue <- value:
		return true
	default:
		return false
	}
}

// put puts a value in, and waits for room.
func (b *batcher[T]) put(value T) {
	select {
	case b.queue <- value:
	case <-b.done:
	}
}

func (b *batcher[T]) loop() {
	for {
		select {
		case <-b.done:
			return
		case v := <-b.queue:
			b.handle(b.collect(v))
		}
	}
}

// collect returns the first value and those that wait behind it.
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
