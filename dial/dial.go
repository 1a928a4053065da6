// Package dial opens TCP connections that fail within seconds when the peer stops responding, and pools connections
// to endpoints for reuse.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// connectTimeout bounds the opening of a connection.
	connectTimeout = 200 * time.Millisecond
	// userTimeout is how long sent bytes may remain unacknowledged before the connection fails.
	userTimeout = 1200 * time.Millisecond
	// probeIdle, probeInterval and probeCount configure the TCP keep-alive probes on an idle connection: the time
	// before the first probe, the time between probes, and the number of unanswered probes after which the
	// connection fails.
	probeIdle     = 400 * time.Millisecond
	probeInterval = 300 * time.Millisecond
	probeCount    = 3
	// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 0x12
)

var dialer = net.Dialer{
	Timeout:         connectTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	Control: func(_, _ string, c syscall.RawConn) error {
		var e error
		err := c.Control(func(fd uintptr) {
			e = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return e
	},
}

// Connect opens a connection to an address of the form host:port. It fails when the connection isn't open within
// connectTimeout.
func Connect(address string) (net.Conn, error) { return ConnectContext(context.Background(), address) }

// ConnectContext is like Connect, but also fails when ctx ends before the connection is open.
func ConnectContext(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}
