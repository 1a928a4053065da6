package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// Traffic counts the bytes of connections between hosts.
type Traffic struct {
	in  atomic.Int64
	out atomic.Int64
}

// In returns the bytes received.
func (t *Traffic) In() int64 { return t.in.Load() }

// Out returns the bytes sent.
func (t *Traffic) Out() int64 { return t.out.Load() }

func (t *Traffic) wrap(c net.Conn) net.Conn { return &countingConn{Conn: c, traffic: t} }

// countingConn counts bytes and bounds the time of each write.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read counts what comes in.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write counts what goes out.
func (c *countingConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(int64(n))
	return n, err
}
