// Package dial opens TCP connections that fail within seconds when the peer stops responding, and pools connections
// to endpoints for reuse.
package dial

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// openTimeouts are the time limits of the attempts to open a connection, in order. The kernel repeats a lost opening
// packet only after a second, while a new attempt sends another one at once.
var openTimeouts = []time.Duration{50 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond}

const (
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

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

var dialer = NewDialer(keepAlive, userTimeout)

// NewDialer returns a dialer of connections that send keep-alive probes while they are idle, and that fail once sent bytes have
// been unacknowledged for a time.
func NewDialer(k net.KeepAliveConfig, unacknowledged time.Duration) *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: k,
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, unacknowledged) },
	}
}

// setUserTimeout sets the time after which a connection with unacknowledged bytes fails. Linux applies it to keep-alive
// probes as well, in place of their number.
func setUserTimeout(c syscall.RawConn, t time.Duration) error {
	var e error
	err := c.Control(func(fd uintptr) {
		e = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(t.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return e
}

// KeepAlive makes an accepted connection fail within seconds when the peer stops responding, as those that Connect opens
// do. It returns an error if the socket refuses that.
func KeepAlive(c net.Conn) error {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := t.SetKeepAliveConfig(keepAlive); err != nil {
		return err
	}
	r, err := t.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(r, userTimeout)
}

// Connect opens a connection to an address of the form host:port. It fails when the connection isn't open within the
// sum of openTimeouts.
func Connect(address string) (net.Conn, error) { return ConnectContext(context.Background(), address) }

// ConnectContext is like Connect, but also fails when ctx ends before the connection is open. Any error but a timeout
// ends the attempts, since the peer has answered then.
func ConnectContext(ctx context.Context, address string) (net.Conn, error) {
	var c net.Conn
	var err error
	for _, t := range openTimeouts {
		c, err = open(ctx, address, t)
		if err == nil || ctx.Err() != nil || !isTimeout(err) {
			return c, err
		}
	}
	return nil, err
}

// open makes one attempt to open a connection.
func open(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	x, f := context.WithTimeout(ctx, timeout)
	defer f()
	return dialer.DialContext(x, "tcp", address)
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
