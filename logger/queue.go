package logger

const (
	// roomLines and roomBytes bound the lines that wait to be written: those at the warning level or above, and apart from them
	// those below.
	roomLines = 2048
	roomBytes = 1 << 20
)

// sized is something with a size in bytes.
type sized interface{ size() int }

// queue is a bounded queue, first in, first out. The zero value is empty.
type queue[T sized] struct {
	// items holds roomLines items at most.
	items []T
	// bytes is the size of all items, roomBytes at most.
	bytes int
}

// push adds an item at the end, or reports false if there is no room for it.
func (q *queue[T]) push(v T) bool {
	if len(q.items) >= roomLines || q.bytes+v.size() > roomBytes {
		return false
	}
	q.items = append(q.items, v)
	q.bytes += v.size()
	return true
}

// empty reports whether the queue has no item.
func (q *queue[T]) empty() bool { return len(q.items) == 0 }

// first returns the first item of a queue that isn't empty.
func (q *queue[T]) first() T { return q.items[0] }

// pop removes and returns the first item of a queue that isn't empty.
func (q *queue[T]) pop() T {
	var none T
	v := q.items[0]
	q.items[0] = none // the array keeps nothing alive
	q.items = q.items[1:]
	q.bytes -= v.size()
	return v
}
