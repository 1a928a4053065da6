package itest

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// silentDialTimeout is how long an opening packet to a silent socket is waited for until its queue counts as full.
const silentDialTimeout = 50 * time.Millisecond

// SilentSocket is a bound socket whose queue of new connections is full, so that the kernel drops further opening packets,
// as if nothing stood at its address.
type SilentSocket struct {
	// Address is the address of the socket, in the form IP:PORT.
	Address string
	socket  int
	queued  int
}

// NewSilentSocket binds a silent socket to a loopback address. Port 0 chooses a free port. The socket is closed when the
// test ends.
func NewSilentSocket(t *testing.T, ip [4]byte, port int) *SilentSocket {
	t.Helper()
	f, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(f) })
	if err := syscall.Bind(f, &syscall.SockaddrInet4{Addr: ip, Port: port}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(f, 0); err != nil {
		t.Fatal(err)
	}
	n, err := syscall.Getsockname(f)
	if err != nil {
		t.Fatal(err)
	}
	a := net.TCPAddr{IP: ip[:], Port: n.(*syscall.SockaddrInet4).Port}
	s := &SilentSocket{Address: a.String(), socket: f}
	for {
		c, err := net.DialTimeout("tcp", s.Address, silentDialTimeout)
		if err != nil {
			return s
		}
		t.Cleanup(func() { _ = c.Close() })
		s.queued++
	}
}

// Drain accepts the queued connections and closes them, so that the kernel answers opening packets again.
func (s *SilentSocket) Drain() {
	for range s.queued {
		if c, _, err := syscall.Accept(s.socket); err == nil {
			_ = syscall.Close(c)
		}
	}
}
