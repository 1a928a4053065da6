package caller

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hickoryshelf/hickoryshelf/intake"
)

const (
	// freeHeadBytes is how much of a head isn't counted, and headWeight the memory, in bytes, that a byte of a longer head takes at most
	// while it is read: a field of a few bytes is two strings, a slice and an entry of a map.
	freeHeadBytes = 512
	headWeight    = 20
	// headStepBytes is how many bytes of a head are counted at a time.
	headStepBytes = 512
)

// gateConn is a connection that a Gate has accepted.
type gateConn struct {
	net.Conn
	gate    *Gate
	address string
	// phase is what the connection does, and since when it does so. The lock of the gate guards them.
	phase phase
	since time.Time
	// between is set while no request is in flight. head is the number of bytes that came meanwhile, and counted how many of them share
	// has taken memory for. The goroutine that reads heads owns head and counted.
	between       atomic.Bool
	head, counted int64
	share         atomic.Pointer[intake.Share]
	closed        atomic.Bool
}

// newGateConn returns a connection that awaits its first head.
func newGateConn(n net.Conn, g *Gate) *gateConn {
	c := &gateConn{Conn: n, gate: g, since: time.Now()}
	c.address, _, _ = net.SplitHostPort(n.RemoteAddr().String()) // empty if it has another form
	c.between.Store(true)
	return c
}

// Read reads what comes, and counts it if it belongs to a head.
func (c *gateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || !c.between.Load() {
		return n, err
	}
	if c.head == 0 {
		c.gate.setReading(c)
	}
	c.head += int64(n)
	if c.takeHead(n) != nil {
		c.gate.count("head-dropped")
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: net.ErrClosed}
	}
	return n, err
}

// takeHead takes memory for the bytes of a head.
func (c *gateConn) takeHead(n int) error {
	if c.head <= freeHeadBytes {
		return nil
	}
	s := c.share.Load()
	if s == nil {
		s = c.gate.options.Intake.Open(intake.Options{Address: c.address, Drop: c.drop})
		if s == nil {
			return nil
		}
		c.share.Store(s)
		c.counted = freeHeadBytes
		if c.closed.Load() {
			s.Close()
		}
	}
	s.Receive(n)
	k := (c.head - c.counted + headStepBytes - 1) / headStepBytes
	if k <= 0 {
		return nil
	}
	c.counted += k * headStepBytes
	return s.Take(k * headStepBytes * headWeight)
}

// endHead gives back what the head took, as its request is in flight.
func (c *gateConn) endHead() {
	c.between.Store(false)
	c.head = 0
	c.share.Swap(nil).Close()
}

// drop closes the connection for want of memory, unless a request is in flight.
func (c *gateConn) drop() {
	if c.gate.beginClose(c) {
		_ = c.Conn.Close() // the caller sees the connection end
	}
}

// isClosing reports whether the gate closes the connection, so that requests on it aren't served.
func (c *gateConn) isClosing() bool {
	c.gate.lock.Lock()
	defer c.gate.lock.Unlock()
	return c.phase == closing
}

// Close closes the connection.
func (c *gateConn) Close() error {
	c.closed.Store(true)
	c.share.Swap(nil).Close()
	c.gate.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing, which net/http does before it closes a connection whose request it hasn't read.
func (c *gateConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets what closing the connection does with bytes that the caller hasn't acknowledged; see net.TCPConn.SetLinger.
func (c *gateConn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}
