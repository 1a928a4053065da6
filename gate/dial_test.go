package gate_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/gate"
)

// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT.
const tcpUserTimeout = 0x12

// TestConnectionToLostMachineEnds guards against requests that wait for ever, or for the quarter of an hour after which Linux
// gives up, for an endpoint whose host is gone: silence of the endpoint alone doesn't end them.
func TestConnectionToLostMachineEnds(t *testing.T) {
	const bound = 2 * time.Minute
	i := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	defer l.Close() //nolint:errcheck // the test is over
	c, err := gate.DialEndpoint(t.Context(), "tcp", l.Addr().String())
	i.NoErr(err)
	defer c.Close() //nolint:errcheck // the test is over
	r, err := c.(syscall.Conn).SyscallConn()
	i.NoErr(err)
	option := func(level, n int) int {
		v := 0
		var e error
		i.NoErr(r.Control(func(fd uintptr) { v, e = syscall.GetsockoptInt(int(fd), level, n) }))
		i.NoErr(e)
		return v
	}
	i.Equal(option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE), 1)
	u := time.Duration(option(syscall.IPPROTO_TCP, tcpUserTimeout)) * time.Millisecond
	i.True(u > 0) // bytes that are never acknowledged
	i.True(u <= bound)
	p := option(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE) + option(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)*option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
	i.True(time.Duration(p)*time.Second <= bound) // a connection without bytes under way
}
