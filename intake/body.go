package intake

import (
	"errors"
	"io"
)

const (
	// firstBytes, nextBytes and restBytes are the sizes of the first piece of a body, of the second and of all others: small bodies take
	// little, and large ones have few pieces.
	firstBytes = 4 << 10
	nextBytes  = 16 << 10
	restBytes  = 64 << 10
	// probeBytes is how much of a body is read at most before another piece is made for it, so that none is made for a body that ends or
	// stalls.
	probeBytes = 64
)

// pieceBytes returns the size of the n-th piece of a body, from 0 on.
func pieceBytes(n int) int {
	switch n {
	case 0:
		return firstBytes
	case 1:
		return nextBytes
	}
	return restBytes
}

// bodyReader reads a body into pieces.
type bodyReader struct {
	share  *Share
	reader io.Reader
	// left is what is left of the announced length, or negative if there is none.
	left   int64
	pieces [][]byte
	probe  [probeBytes]byte
}

// ReadBody reads a body to its end, in pieces that are never copied to grow, and says that the request has arrived whole. length is the
// announced length, or negative if there is none; it only keeps pieces from being longer than the body. ReadBody returns a *DroppedError
// if the request is dropped, and other errors of r. Without an account (a nil Share) it reads as much as comes.
func (s *Share) ReadBody(r io.Reader, length int64) ([][]byte, error) {
	b := &bodyReader{share: s, reader: r, left: length}
	for {
		err := b.readPiece()
		if errors.Is(err, io.EOF) {
			return b.pieces, s.Complete()
		}
		if d := s.Dropped(); d != nil {
			return nil, d // reading has failed because of that
		}
		if err != nil {
			return nil, err
		}
	}
}

// readPiece reads the next piece. It returns io.EOF at the end of the body.
func (b *bodyReader) readPiece() error {
	n, err := b.read(b.probe[:])
	if n == 0 {
		return err
	}
	k := pieceBytes(len(b.pieces))
	if b.left >= 0 {
		k = min(k, n+int(min(b.left, restBytes)))
	}
	if err := b.share.Take(int64(k)); err != nil {
		return err
	}
	p := make([]byte, n, k)
	copy(p, b.probe[:n])
	for err == nil && len(p) < cap(p) {
		n, err = b.read(p[len(p):cap(p)])
		p = p[:len(p)+n]
	}
	b.pieces = append(b.pieces, p)
	return err
}

// read reads what comes.
func (b *bodyReader) read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.share.Receive(n)
	if b.left >= 0 {
		b.left = max(0, b.left-int64(n))
	}
	return n, err
}
