package intake

import (
	"sync/atomic"
	"time"
)

// Options describes a request.
type Options struct {
	// Address is the IP address that the request comes from, or empty if it isn't known.
	Address string
	// Drop makes reading the request fail. It is called at most once, from any goroutine, and must not block.
	Drop func()
}

// Share is what one request takes from an account. Its methods are called by the goroutine that reads the request. Those of a nil Share do
// nothing, but for ReadBody, which reads without a limit.
type Share struct {
	account *Account
	options Options
	began   time.Time
	// received is the number of bytes that came, and progress when the last of them did, in Unix nanoseconds.
	received, progress atomic.Int64

	// The rest is guarded by the lock of the account.
	owner    string
	taken    int64
	arriving bool
	// waiting is set while the share waits for memory, and closed once Close was called.
	waiting, closed bool
	// cause is why the request was dropped, by the limit of which scope, when, and what all requests took then.
	cause      Cause
	limit      scope
	droppedAt  time.Time
	takenByAll int64
}

// Open returns an empty share for a request that begins to arrive. Close has to be called. Open returns nil for a nil Account.
func (a *Account) Open(o Options) *Share {
	if a == nil {
		return nil
	}
	s := &Share{account: a, options: o, began: time.Now(), arriving: true}
	s.progress.Store(s.began.UnixNano())
	a.lock.Lock()
	defer a.lock.Unlock()
	a.shares[s] = struct{}{}
	return s
}

// SetOwner says which client account the request belongs to.
func (s *Share) SetOwner(owner string) {
	if s == nil {
		return
	}
	a := s.account
	a.lock.Lock()
	defer a.lock.Unlock()
	n := s.taken
	a.add(s, -n)
	s.owner = owner
	a.add(s, n)
}

// Receive says that a number of bytes has come.
func (s *Share) Receive(bytes int) {
	if s == nil {
		return
	}
	s.received.Add(int64(bytes))
	s.progress.Store(time.Now().UnixNano())
}

// Take takes a number of bytes. If a limit is reached, it drops other requests and waits until their memory was given back. It returns a
// *DroppedError if this request is dropped itself.
func (s *Share) Take(bytes int64) error {
	if s == nil {
		return nil
	}
	a := s.account
	var t <-chan time.Time
	a.lock.Lock()
	defer a.lock.Unlock()
	for s.cause == Kept && !s.closed {
		n, k := a.excess(s, bytes)
		if n <= 0 {
			a.add(s, bytes)
			return nil
		}
		if s.taken+bytes > a.limits.limit(k) {
			a.drop(s, NoRoom, k) // dropping others wouldn't help
			break
		}
		l, ok := a.makeRoom(s, n, k, time.Now())
		if t == nil {
			t = time.After(roomTimeout)
		}
		if !s.await(l, ok, t) {
			a.drop(s, NoRoom, k)
		}
	}
	return s.dropped()
}

// await drops connections without the lock, and waits for a change if one may come. It returns false if t came first.
func (s *Share) await(victims []*Share, mayCome bool, t <-chan time.Time) bool {
	if s.account.changed == nil {
		s.account.changed = make(chan struct{})
	}
	c := s.account.changed
	s.waiting = true
	s.account.lock.Unlock()
	defer func() {
		s.account.lock.Lock()
		s.waiting = false
		s.progress.Store(time.Now().UnixNano())
	}()
	for _, v := range victims {
		v.options.Drop()
	}
	if !mayCome {
		return true
	}
	select {
	case <-c:
		return true
	case <-t:
		return false
	}
}

// Complete says that the request has arrived whole, after which it isn't dropped any more. It returns a *DroppedError if it was before.
func (s *Share) Complete() error {
	if s == nil {
		return nil
	}
	s.account.lock.Lock()
	defer s.account.lock.Unlock()
	if s.cause != Kept {
		return s.dropped()
	}
	s.arriving = false
	return nil
}

// Dropped returns a *DroppedError if the request was dropped, or nil.
func (s *Share) Dropped() error {
	if s == nil {
		return nil
	}
	s.account.lock.Lock()
	defer s.account.lock.Unlock()
	if s.cause == Kept {
		return nil
	}
	return s.dropped()
}

// dropped describes why the request was dropped.
func (s *Share) dropped() error {
	return &DroppedError{
		Cause: s.cause, Limit: s.limit.String(), Bytes: s.taken, Taken: s.takenByAll, Age: s.droppedAt.Sub(s.began),
		Silence: max(0, s.droppedAt.Sub(time.Unix(0, s.progress.Load()))),
	}
}

// Release gives the memory back, for a request that goes on.
func (s *Share) Release() {
	if s == nil {
		return
	}
	s.account.lock.Lock()
	defer s.account.lock.Unlock()
	s.release()
}

func (s *Share) release() {
	if s.taken > 0 {
		s.account.add(s, -s.taken)
		s.account.notify()
	}
}

// Close gives the memory back and ends the share. It may be called again.
func (s *Share) Close() {
	if s == nil {
		return
	}
	s.account.lock.Lock()
	defer s.account.lock.Unlock()
	s.release()
	s.closed = true
	delete(s.account.shares, s)
}
