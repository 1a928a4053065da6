package dial_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/dial"
)

// listenWithFullQueue returns the address of a socket whose queue of new connections is full, so that the kernel drops
// further opening packets, and a function that accepts the queued connections.
func listenWithFullQueue(t *testing.T) (address string, drain func()) {
	t.Helper()
	f, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(f) })
	if err := syscall.Bind(f, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(f, 0); err != nil {
		t.Fatal(err)
	}
	s, err := syscall.Getsockname(f)
	if err != nil {
		t.Fatal(err)
	}
	a := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: s.(*syscall.SockaddrInet4).Port}
	n := 0
	for ; n < 4; n++ {
		c, err := net.DialTimeout("tcp", a.String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	return a.String(), func() {
		for range n {
			if q, _, err := syscall.Accept(f); err == nil {
				_ = syscall.Close(q)
			}
		}
	}
}

// TestLostOpeningPacketIsRepeatedAtOnce checks that a connection opens soon after its peer answers. The kernel would
// repeat a lost opening packet after a second, longer than many callers wait.
func TestLostOpeningPacketIsRepeatedAtOnce(t *testing.T) {
	i := is.New(t)
	a, f := listenWithFullQueue(t)
	time.AfterFunc(20*time.Millisecond, f)
	b := time.Now()
	c, err := dial.Connect(a)
	i.NoErr(err)
	i.True(time.Since(b) < 200*time.Millisecond)
	i.NoErr(c.Close())
}
