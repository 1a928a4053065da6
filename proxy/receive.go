package proxy

import (
	"errors"
	"io"
	"net"
	"slices"

	"github.com/hickoryshelf/hickoryshelf/intake"
)

// freeCallBytes is the longest frame of a call that isn't counted, and callCopies how often the bytes of a longer one are in memory
// besides the pieces in which it comes: joined, as the fields of the call, and as garbage of decoding it.
const (
	freeCallBytes = 4 << 10
	callCopies    = 3
)

// address returns the IP of the other host, or an empty text.
func (c *connection) address() string {
	h, _, _ := net.SplitHostPort(c.conn.RemoteAddr().String()) // empty if it has another form
	return h
}

// drop closes the connection for want of memory. The other host asks on another one whether its request has begun.
func (c *connection) drop() { _ = c.conn.Close() }

// readCall reads the first frame of a call. A long one takes memory only as it comes, since anything may connect.
func (c *connection) readCall() (kind, []byte, error) {
	k, n, err := readHead(c.reader, maxHeadBytes)
	if err != nil {
		return 0, nil, err
	}
	if n <= freeCallBytes {
		b := make([]byte, n)
		_, err := io.ReadFull(c.reader, b)
		return k, b, err
	}
	var l [][]byte
	r := io.LimitReader(c.reader, int64(n))
	for left := int64(n); left > 0 && err == nil; {
		p := make([]byte, min(left, freeCallBytes))
		if err = c.share.Take((1 + callCopies) * int64(len(p))); err == nil {
			_, err = io.ReadFull(r, p)
		}
		c.share.Receive(len(p))
		left -= int64(len(p))
		l = append(l, p)
	}
	if err != nil {
		return 0, nil, err
	}
	return k, slices.Concat(l...), nil
}

// readBody reads the body of a request. If there is no memory for it, readBody reads the rest without keeping it, and skipped is set.
func (c *connection) readBody(bodyBytes int) (b [][]byte, skipped bool, err error) {
	r := &io.LimitedReader{R: c.reader, N: int64(bodyBytes)}
	b, err = c.share.ReadBody(r, int64(bodyBytes))
	var d *intake.DroppedError
	if errors.As(err, &d) {
		c.share.Release()
		_, err = io.CopyN(io.Discard, r, r.N) // fails if another call has dropped this one, which closed the connection
		return nil, err == nil, err
	}
	if err == nil && r.N > 0 {
		err = io.ErrUnexpectedEOF
	}
	return b, false, err
}
