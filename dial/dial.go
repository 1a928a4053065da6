// Package dial makes TCP connections that notice a silent peer, and keeps connections to endpoints for
// further requests.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// connectTimeout bounds the making of a connection.
	connectTimeout = 200 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the connection fails.
	userTimeout = 1200 * time.Millisecond
	// probeIdle, probeEvery and probeCount are those of keep-alive probes on a quiet connection.
	probeIdle     = 400 * time.Millisecond
	probeInterval = 300 * time.Millisecond
	probeCount    = 3
	// tcpUserTimeout is TCP_USER_TIMEOUT.
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

// Connect makes a connection to an address.
func Connect(address string) (net.Conn, error) { return ConnectContext(context.Background(), address) }

// ConnectContext makes a connection to an address unless the context ends first.
func ConnectContext(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}
