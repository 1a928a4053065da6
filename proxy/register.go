package proxy

import (
	"sync"
	"time"
)

// callRetention is how long a call is remembered. It is longer than a frame can be delayed.
const callRetention = 30 * time.Second

// register remembers which calls have begun and which must not begin. It is safe for concurrent use.
type register struct {
	lock sync.Mutex
	// begun and revoked hold the calls since swept, and olderBegun and olderRevoked those of the time before.
	begun, olderBegun     map[string]bool
	revoked, olderRevoked map[string]bool
	swept                 time.Time
}

// newRegister returns a register without calls.
func newRegister() *register {
	return &register{begun: map[string]bool{}, revoked: map[string]bool{}}
}

// sweep forgets calls that are older than callRetention. The caller holds the lock.
func (r *register) sweep(now time.Time) {
	if now.Sub(r.swept) < callRetention {
		return
	}
	r.olderBegun, r.begun = r.begun, map[string]bool{}
	r.olderRevoked, r.revoked = r.revoked, map[string]bool{}
	r.swept = now
}

// begin records that a call begins. It returns false if the call was revoked, or has begun before.
func (r *register) begin(id string, now time.Time) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.sweep(now)
	if r.begun[id] || r.olderBegun[id] || r.revoked[id] || r.olderRevoked[id] {
		return false
	}
	r.begun[id] = true
	return true
}

// revoke keeps a call from beginning. It returns false if the call has begun.
func (r *register) revoke(id string, now time.Time) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.sweep(now)
	if r.begun[id] || r.olderBegun[id] {
		return false
	}
	r.revoked[id] = true
	return true
}
