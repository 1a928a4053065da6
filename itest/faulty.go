package itest

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
)

// FaultyListener is a listener whose first calls of Accept fail.
type FaultyListener struct {
	net.Listener
	cause error
	// left is the number of calls that still fail. It is below 0 once all have.
	left atomic.Int64
}

// NewFaultyListener listens on a free port of 127.0.0.1. The first calls of Accept fail with an error number of the system. The listener is
// closed when the test ends.
func NewFaultyListener(t testing.TB, failures int, cause syscall.Errno) *FaultyListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // the host under test may have closed it
	f := &FaultyListener{Listener: l, cause: &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", cause)}}
	f.left.Store(int64(failures))
	return f
}

// Accept fails as often as was asked for, and then waits for a connection.
func (f *FaultyListener) Accept() (net.Conn, error) {
	if f.left.Add(-1) >= 0 {
		return nil, f.cause
	}
	return f.Listener.Accept()
}

// Failed reports whether all calls that were to fail have failed.
func (f *FaultyListener) Failed() bool { return f.left.Load() <= 0 }
