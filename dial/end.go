package dial

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a connection whose peer has ended its half and hasn't reset it.
const tcpCloseWait = 8

// resetWait is how long the end of what a peer sends is held back while something is being written: a peer that is gone resets the
// connection as soon as the next bytes reach it.
const resetWait = 100 * time.Millisecond

// errUnprovedEnd is returned in place of io.EOF.
var errUnprovedEnd = fmt.Errorf("the connection ended while it was written to, what was read may be a part: %w", syscall.ECONNRESET)

// endConn is a connection whose reads tell the end of what the peer sends from a reset. The kernel reports a reset once, to the read or to the
// write that comes first; if that is a write, reads return the same as at an end. It is safe for concurrent use.
type endConn struct {
	net.Conn
	raw  syscall.RawConn
	lock sync.Mutex
	// writing is the number of calls of Write in progress. idle is closed once that is 0, and nil unless it is awaited.
	writing int
	idle    chan struct{}
	// failed is set once a read or a write has failed for another reason than its deadline.
	failed bool
}

// ProveEnd returns a connection whose reads return io.EOF only if the peer has ended its half, and an error that wraps
// syscall.ECONNRESET if a read or a write that has failed, or a write in progress, may have taken the news of a reset. It returns c as it
// is if that gives no access to its socket.
func ProveEnd(c net.Conn) net.Conn {
	s, ok := c.(syscall.Conn)
	if !ok {
		return c
	}
	r, err := s.SyscallConn()
	if err != nil {
		return c // it is closed
	}
	return &endConn{Conn: c, raw: r}
}

// SyscallConn returns access to the socket.
func (c *endConn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Write writes to the connection.
func (c *endConn) Write(b []byte) (int, error) {
	c.beginWrite()
	n, err := c.Conn.Write(b)
	c.endWrite(err)
	return n, err
}

func (c *endConn) beginWrite() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.writing++
}

func (c *endConn) endWrite(err error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.writing--
	c.failed = c.failed || isFailure(err)
	if c.writing == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// isFailure reports whether a read or a write has failed for another reason than its deadline, and may have taken the news of a reset.
func isFailure(err error) bool { return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) }

// Read reads from the connection.
func (c *endConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	switch {
	case err == io.EOF && !c.hasEnded():
		err = errUnprovedEnd
	case err != io.EOF && isFailure(err):
		c.setFailed()
	}
	return n, err
}

func (c *endConn) setFailed() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.failed = true
}

// hasEnded reports, once a read has returned io.EOF, whether the peer has ended its half of the connection. A write in progress has up to
// resetWait to fail; if it goes on then, the state of the connection decides.
func (c *endConn) hasEnded() bool {
	if w := c.writeEnd(); w != nil {
		select {
		case <-w:
		case <-time.After(resetWait):
			return c.isCloseWait()
		}
	}
	return !c.hasFailed()
}

// writeEnd returns a channel that is closed once no write is in progress, or nil if none is.
func (c *endConn) writeEnd() <-chan struct{} {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.writing > 0 && c.idle == nil {
		c.idle = make(chan struct{})
	}
	return c.idle
}

func (c *endConn) hasFailed() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.failed
}

// isCloseWait reports whether the peer has ended its half of the connection and hasn't reset it since.
func (c *endConn) isCloseWait() bool {
	var i *unix.TCPInfo
	var e error
	err := c.raw.Control(func(fd uintptr) { i, e = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return err == nil && e == nil && i.State == tcpCloseWait
}
