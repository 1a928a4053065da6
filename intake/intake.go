// Package intake bounds the memory that a host spends on what clients send: heads and bodies of requests. An Account counts what all
// of them take, as bytes arrive. Once it is full, requests that have stalled or arrive slowest are dropped in favour of others.
package intake

import (
	"fmt"
	"sync"
	"time"
)

//go:generate go tool stringer -type=Cause,scope -linecomment -output=enum_string.go

const (
	// bytesPart is the part of a process's memory that an account has: a quarter. The Go runtime keeps all of the heap, including what
	// answers take, within 0.6 of it.
	bytesPart = 4
	// defaultMemoryMB is the memory of a process whose memory isn't known.
	defaultMemoryMB = 256
	// roomTimeout bounds the wait for the memory of requests that were dropped. Their connections end at once, so that it is reached
	// only if the host has no processor time.
	roomTimeout = time.Second
)

// Limits bounds what requests take, in bytes.
type Limits struct {
	// Bytes is the limit of all requests together. 0 means no limit.
	Bytes int64
	// AddressBytes is the limit of the requests from one IP address, and OwnerBytes that of one client account. 0 means no limit.
	AddressBytes, OwnerBytes int64
}

// DefaultBytes returns the limit of all requests together for a process with an amount of memory; 0 means that it isn't known.
func DefaultBytes(memoryMB int64) int64 {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return memoryMB << 20 / bytesPart
}

// Cause says why a request was dropped.
type Cause int

// Causes.
const (
	// Kept means that the request was not dropped.
	Kept Cause = iota // kept
	// Stalled means that no byte had come for stallTime.
	Stalled // stalled
	// Slow means that its bytes came slowest of those that may be dropped.
	Slow // slow
	// Large means that it had taken most, among requests that began a moment ago.
	Large // large
	// NoRoom means that only requests that are complete take memory.
	NoRoom // no room
)

// scope is what a limit is for.
type scope int

const (
	allRequests scope = iota // all
	oneAddress               // address
	oneOwner                 // account
)

// DroppedError means that a request was dropped, or isn't taken, for want of memory. It has not run.
type DroppedError struct {
	Cause Cause
	// Limit names the limit that was reached: "all", "address" or "account".
	Limit string
	// Bytes is what the request had taken, and Taken what all had.
	Bytes, Taken int64
	// Age is the time since the request began, and Silence the time since its last byte.
	Age, Silence time.Duration
}

// Error says why, and what to do.
func (e *DroppedError) Error() string {
	return fmt.Sprintf("the request was dropped (%v) at the limit of memory for %s; send it again, or raise memory-mb", e.Cause, e.Limit)
}

// Account counts the memory of requests. It is safe for concurrent use. A nil Account has no limit.
type Account struct {
	limits Limits

	lock   sync.Mutex
	shares map[*Share]struct{}
	// taken is what all shares take, and byAddress and byOwner those of one address and of one owner.
	taken              int64
	byAddress, byOwner map[string]int64
	// changed is closed when memory was given back or a share was dropped. It is nil if nothing waits for that.
	changed chan struct{}
}

// NewAccount returns an account of which nothing is taken.
func NewAccount(l Limits) *Account {
	return &Account{limits: l, shares: map[*Share]struct{}{}, byAddress: map[string]int64{}, byOwner: map[string]int64{}}
}

// Taken returns the bytes that all requests take.
func (a *Account) Taken() int64 {
	if a == nil {
		return 0
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.taken
}

// TakenBy returns the bytes that the requests of one client account take.
func (a *Account) TakenBy(owner string) int64 {
	if a == nil {
		return 0
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.byOwner[owner]
}

// DropWorst drops the request that would be dropped first if the limit of all were reached, to free its connection. It reports false if
// none has stalled or is slow.
func (a *Account) DropWorst() bool {
	if a == nil {
		return false
	}
	a.lock.Lock()
	v, c := a.worst(allRequests, nil, time.Now())
	ok := v != nil && (c == Stalled || c == Slow)
	if ok {
		a.drop(v, c, allRequests)
	}
	a.lock.Unlock()
	if ok {
		v.options.Drop()
	}
	return ok
}

// add counts more bytes of a share, or fewer.
func (a *Account) add(s *Share, bytes int64) {
	s.taken += bytes
	a.taken += bytes
	addTo(a.byAddress, s.options.Address, bytes)
	addTo(a.byOwner, s.owner, bytes)
}

// addTo changes a count and removes it if it becomes 0.
func addTo(m map[string]int64, key string, bytes int64) {
	if m[key] += bytes; m[key] == 0 {
		delete(m, key)
	}
}

// notify wakes what waits for a change.
func (a *Account) notify() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// limit returns the limit of a scope.
func (l Limits) limit(k scope) int64 {
	switch k {
	case oneAddress:
		return l.AddressBytes
	case oneOwner:
		return l.OwnerBytes
	}
	return l.Bytes
}

// excess returns by how much a limit would be exceeded if a share took more bytes, and which one, or 0.
func (a *Account) excess(s *Share, bytes int64) (int64, scope) {
	for _, v := range []struct {
		scope scope
		taken int64
		known bool
	}{
		{oneOwner, a.byOwner[s.owner], s.owner != ""},
		{oneAddress, a.byAddress[s.options.Address], s.options.Address != ""},
		{allRequests, a.taken, true},
	} {
		l := a.limits.limit(v.scope)
		if n := v.taken + bytes - l; v.known && l > 0 && n > 0 {
			return n, v.scope
		}
	}
	return 0, allRequests
}

// makeRoom drops requests until those that were dropped and still take memory have at least a number of bytes. It returns those that it
// has dropped, and false if the share itself is the next to be dropped, or none is left.
func (a *Account) makeRoom(s *Share, bytes int64, k scope, now time.Time) (victims []*Share, ok bool) {
	for o := range a.shares {
		if o.cause != Kept && o.isIn(k, s) {
			bytes -= o.taken
		}
	}
	for bytes > 0 {
		v, c := a.worst(k, s, now)
		if v == nil || v == s {
			a.drop(s, c, k)
			return victims, false
		}
		a.drop(v, c, k)
		victims = append(victims, v)
		bytes -= v.taken
	}
	return victims, true
}

// drop marks a share as dropped.
func (a *Account) drop(s *Share, c Cause, k scope) {
	if c == Kept {
		c = NoRoom
	}
	s.cause, s.limit, s.takenByAll = c, k, a.taken
	s.droppedAt = time.Now()
	a.notify()
}
