package proxy

import (
	"maps"
	"sync"
	"time"
)

// callRetention is how long a call is remembered after it was revoked, and after its deadline once it has begun. It is longer than a frame
// can be delayed.
const callRetention = 30 * time.Second

// register remembers which calls have begun and which must not begin. It is safe for concurrent use.
type register struct {
	lock sync.Mutex
	// begun and revoked hold until when a call is remembered at least.
	begun, revoked map[string]time.Time
	swept          time.Time
}

// newRegister returns a register without calls.
func newRegister() *register {
	return &register{begun: map[string]time.Time{}, revoked: map[string]time.Time{}}
}

// sweep forgets calls every callRetention. The caller holds the lock.
func (r *register) sweep(now time.Time) {
	if now.Sub(r.swept) < callRetention {
		return
	}
	f := func(_ string, until time.Time) bool { return now.After(until) }
	maps.DeleteFunc(r.begun, f)
	maps.DeleteFunc(r.revoked, f)
	r.swept = now
}

// isKnown reports whether a call is remembered.
func isKnown(calls map[string]time.Time, id string) bool {
	_, ok := calls[id]
	return ok
}

// begin records that a call begins, whose origin asks about it until its deadline. It returns false if the call was revoked, or has begun
// before.
func (r *register) begin(id string, now, deadline time.Time) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.sweep(now)
	if isKnown(r.begun, id) || isKnown(r.revoked, id) {
		return false
	}
	r.begun[id] = deadline.Add(callRetention)
	return true
}

// revoke keeps a call from beginning. It returns false if the call has begun.
func (r *register) revoke(id string, now time.Time) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.sweep(now)
	if isKnown(r.begun, id) {
		return false
	}
	r.revoked[id] = now.Add(callRetention)
	return true
}
