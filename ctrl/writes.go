package ctrl

import "sync"

// WriteQueue holds the writes of the control log that wait for the disk. Each belongs to a generation of the log: all that
// follows from what was read from the disk at the same time. A failed write begins another generation. What the log of an
// earlier one still wants to write or to send, before it knows of the failure, follows from entries that the disk doesn't hold,
// so that it is dropped. A WriteQueue is safe for concurrent use.
type WriteQueue struct {
	lock       sync.Mutex
	generation uint64
	// writes are all of the current generation.
	writes []Write
	wake   chan struct{}
}

// NewWriteQueue returns an empty queue of generation 0.
func NewWriteQueue() *WriteQueue { return &WriteQueue{wake: make(chan struct{}, 1)} }

// Add queues a write, unless it belongs to an earlier generation. The queue has no limit of its own: the control log appends
// only as far as other hosts answer, which bounds the number of waiting writes.
func (q *WriteQueue) Add(w Write) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if w.Generation != q.generation {
		return
	}
	q.writes = append(q.writes, w)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Take empties the queue and returns its writes.
func (q *WriteQueue) Take() []Write {
	q.lock.Lock()
	defer q.lock.Unlock()
	w := q.writes
	q.writes = nil
	return w
}

// Advance begins another generation, which it returns, and drops what waits.
func (q *WriteQueue) Advance() uint64 {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.writes = nil
	q.generation++
	return q.generation
}
