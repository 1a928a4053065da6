package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// Traffic counts the bytes of connections between hosts. It is safe for concurrent use.
type Traffic struct {
	in  atomic.Int64
	out atomic.Int64
}

// In returns the bytes received.
func (t *Traffic) In() int64 { return t.in.Load() }

// Out returns the bytes sent.
func (t *Traffic) Out() int64 { return t.out.Load() }

// wrap returns c with its bytes counted and its writes bounded by writeTimeout.
func (t *Traffic) wrap(c net.Conn) net.Conn { return &countingConn{Conn: c, traffic: t} }

// countingConn counts the bytes of a connection and bounds the time of each write.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads from the connection and counts the bytes received.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write writes to the connection within writeTimeout and counts the bytes sent.
func (c *countingConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(int64(n))
	return n, err
}
