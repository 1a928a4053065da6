package memory

import (
	"errors"
	"io"
)

const (
	// minBufferBytes is the smallest storage of a buffer, and growthPart the part by which the storage grows beyond what
	// is needed: a quarter.
	minBufferBytes = 512
	growthPart     = 4
)

// Buffer collects bytes of an answer and takes its storage from an account. It is not safe for concurrent use.
type Buffer struct {
	share   *Share
	content []byte
	// extra is what Count has added, in bytes.
	extra int64
}

// NewBuffer returns an empty buffer for an answer of an endpoint. Release has to be called.
func (a *Account) NewBuffer(owner string) *Buffer { return &Buffer{share: a.NewShare(owner)} }

// Bytes returns the content. It is valid until Clear is called.
func (b *Buffer) Bytes() []byte { return b.content }

// Len returns the length of the content in bytes.
func (b *Buffer) Len() int { return len(b.content) }

// grow makes room for a number of bytes behind the content, or returns a *FullError.
func (b *Buffer) grow(bytes int) error {
	n := len(b.content) + bytes
	if n <= cap(b.content) {
		return nil
	}
	n = max(minBufferBytes, n+n/growthPart)
	if err := b.share.Resize(b.extra + int64(n)); err != nil {
		return err
	}
	c := make([]byte, len(b.content), n)
	copy(c, b.content)
	b.content = c
	return nil
}

// Count adds bytes that are kept with the content, such as header fields. It returns a *FullError and adds nothing if the account
// has no room for them.
func (b *Buffer) Count(bytes int64) error {
	if err := b.share.Resize(b.extra + bytes + int64(cap(b.content))); err != nil {
		return err
	}
	b.extra += bytes
	return nil
}

// Append adds bytes. It returns a *FullError and adds nothing if the account has no room for them.
func (b *Buffer) Append(bytes []byte) error {
	if err := b.grow(len(bytes)); err != nil {
		return err
	}
	b.content = append(b.content, bytes...)
	return nil
}

// Fill reads until the end of r, or until the content has limit bytes. It returns a *FullError if the account has no room; the
// rest can still be read from r then. Other errors are those of r.
func (b *Buffer) Fill(r io.Reader, limit int) error {
	for len(b.content) < limit {
		if err := b.grow(1); err != nil {
			return err
		}
		l := len(b.content)
		n, err := r.Read(b.content[l:min(cap(b.content), limit)])
		b.content = b.content[:l+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Clear empties the buffer for the next use. It keeps storage that isn't counted only.
func (b *Buffer) Clear() {
	if cap(b.content) > FreeBytes {
		b.Release()
		return
	}
	b.content = b.content[:0]
}

// Release gives the storage back.
func (b *Buffer) Release() {
	b.content, b.extra = nil, 0
	b.share.Release()
}
