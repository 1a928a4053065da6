// Package dial opens TCP connections that fail within seconds when the peer stops responding, and pools connections
// to endpoints for reuse.
package dial

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// openTimeouts are the time limits of the attempts to open a connection, in order. The kernel repeats a lost opening
// packet only after a second, while a new attempt sends another one at once.
var openTimeouts = []time.Duration{50 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond}

const (
	// userTimeout is how long sent bytes may remain unacknowledged before the connection fails.
	userTimeout = 1200 * time.Millisecond
	// busyTimeout replaces userTimeout while a request is under way: its answer may come once the link carries packets again.
	busyTimeout = 5 * time.Second
	// probeIdle, probeInterval and probeCount configure the TCP keep-alive probes on an idle connection: the time
	// before the first probe, the time between probes, and the number of unanswered probes after which the
	// connection fails. The kernel takes times in whole seconds; userTimeout ends the connection at the second unanswered probe.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
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

// setUserTimeout sets the time after which a connection with unacknowledged bytes fails; 0 leaves that to the kernel. Linux applies it
// to keep-alive probes as well, in place of their number.
func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var e error
	err := c.Control(func(fd uintptr) {
		e = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return e
}

// KeepAlive returns an accepted connection that fails within seconds when the peer stops responding, as those of a Pool do. With an
// error, which says that the socket refuses that, it returns the connection as it was.
func KeepAlive(c net.Conn) (net.Conn, error) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	if err := t.SetKeepAliveConfig(keepAlive); err != nil {
		return c, err
	}
	n, err := newConn(t)
	if err != nil {
		return c, err
	}
	if err := setUserTimeout(n.raw, userTimeout); err != nil {
		return c, err
	}
	return n, nil
}

// SetBusy says whether a request is under way on an accepted connection that KeepAlive returned: it then outlasts a longer silence
// of its link. It does nothing for other connections, and returns an error if the connection was closed.
func SetBusy(c net.Conn, busy bool) error {
	if n, ok := c.(*conn); ok {
		return n.setBusy(busy)
	}
	return nil
}

// Connect opens a connection to an address of the form host:port. It fails when the connection isn't open within the
// sum of openTimeouts. The connection fails within seconds when the peer stops responding, or reads nothing while it is sent more
// than its buffers hold.
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
