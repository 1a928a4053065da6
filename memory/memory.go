// Package memory bounds the memory that a host spends on what endpoints have sent and no caller has taken yet. Each answer has
// bounds of its own; an Account bounds those of all requests in flight together.
package memory

import (
	"fmt"
	"net/http"
	"sync"
)

const (
	// FreeBytes is how much of an answer isn't counted, so that small answers need no lock.
	FreeBytes = 16 << 10
	// stepBytes is what a share takes at a time, so that an answer that grows needs few locks.
	stepBytes = 16 << 10
	// fieldBytes is what a header field takes besides its name and value.
	fieldBytes = 120
	// accountPart is the part of a process's memory that an account has, and ownerPart the part of an account that the
	// answers of one endpoint may take: an eighth and a quarter.
	accountPart = 8
	ownerPart   = 4
	// defaultMemoryMB is the memory of a process whose memory isn't known.
	defaultMemoryMB = 256
)

// Account counts the bytes that are kept of answers. It is safe for concurrent use. A nil Account has no bound.
type Account struct {
	// limit bounds taken, and ownerLimit each of owners, in bytes.
	limit, ownerLimit int64
	lock              sync.Mutex
	// taken is the sum of owners.
	taken int64
	// owners holds the bytes of each endpoint that has any.
	owners map[string]int64
}

// NewAccount returns the account of a process with an amount of memory; 0 means that it isn't known.
func NewAccount(memoryMB int64) *Account { return NewAccountOf(memoryMB, ownerPart) }

// NewAccountOf returns the account of a process with an amount of memory, of which the answers of one endpoint may take a part: 2
// means a half. It suits answers that have bounds of their own, so that sound ones may need more than a quarter.
func NewAccountOf(memoryMB, part int64) *Account {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	l := memoryMB << 20 / accountPart
	return &Account{limit: l, ownerLimit: l / part, owners: map[string]int64{}}
}

// HeaderBytes returns about how much memory the header fields of an answer take.
func HeaderBytes(h http.Header) int64 {
	n := 0
	for k, l := range h {
		n += fieldBytes + len(k)
		for _, v := range l {
			n += len(v)
		}
	}
	return int64(n)
}

// FullError means that an answer takes more than is left for it. The answer is given up or passed on as it arrives.
type FullError struct {
	Owner string
	// Bytes is what the answer would have taken, and Taken what all answers take.
	Bytes, Taken int64
	// Own is set if the answers of this one endpoint have reached their limit, and not those of all endpoints together.
	Own bool
}

// Error says how much was wanted, and what to do.
func (e *FullError) Error() string {
	return fmt.Sprintf("an answer of %s needs %d bytes of memory, and all answers have %d; look at what the endpoint sends, or raise memory-mb", e.Owner, e.Bytes, e.Taken)
}

// Taken returns the bytes that are counted.
func (a *Account) Taken() int64 {
	if a == nil {
		return 0
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.taken
}

// change counts more bytes of an owner, or fewer. It returns a *FullError and counts nothing if there would be too many.
func (a *Account) change(owner string, bytes int64) error {
	a.lock.Lock()
	defer a.lock.Unlock()
	o := a.owners[owner] + bytes
	if bytes > 0 && (o > a.ownerLimit || a.taken+bytes > a.limit) {
		return &FullError{Owner: owner, Bytes: bytes, Taken: a.taken, Own: o > a.ownerLimit}
	}
	a.taken += bytes
	a.owners[owner] = o
	if o == 0 {
		delete(a.owners, owner)
	}
	return nil
}

// Share is what one answer takes from an account. It is not safe for concurrent use.
type Share struct {
	account *Account
	owner   string
	taken   int64
}

// NewShare returns an empty share for an answer of an endpoint. Release has to be called.
func (a *Account) NewShare(owner string) *Share { return &Share{account: a, owner: owner} }

// Resize says how many bytes the answer takes from now on. It returns a *FullError and changes nothing if they are too many.
func (s *Share) Resize(bytes int64) error {
	n := (max(0, bytes-FreeBytes) + stepBytes - 1) / stepBytes * stepBytes
	if s.account == nil || n == s.taken {
		return nil
	}
	if err := s.account.change(s.owner, n-s.taken); err != nil {
		return err
	}
	s.taken = n
	return nil
}

// Release gives all bytes back. The share can be used again.
func (s *Share) Release() { _ = s.Resize(0) } // giving back doesn't fail
