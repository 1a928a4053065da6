package itest

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
)

// reservations is how many ports ReservePort tries.
const reservations = 100

// ReservePort returns a port that stays free on all of some loopback addresses until the test ends: listeners of the test can be
// opened there any number of times, the kernel gives the port to no one else, and connections to it are refused in between.
func ReservePort(t testing.TB, ips ...string) uint16 {
	t.Helper()
	for range reservations {
		p, err := reserve(t, ips)
		if err == nil {
			return p
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			t.Fatal(err)
		}
	}
	t.Fatalf("no port is free on all of %v", ips)
	return 0
}

// reserve binds a socket to the same port of each address. It returns EADDRINUSE if the port of the first one is in use on another.
func reserve(t testing.TB, ips []string) (port uint16, err error) {
	l := make([]int, 0, len(ips))
	for _, a := range ips {
		f, p, e := bindOnly(a, port)
		if e != nil {
			err = fmt.Errorf("reserving port %d of %s: %w", port, a, e)
			break
		}
		l, port = append(l, f), p
	}
	c := func() {
		for _, f := range l {
			_ = syscall.Close(f) // nothing was sent on it
		}
	}
	if err != nil {
		c()
		return 0, err
	}
	t.Cleanup(c)
	return port, nil
}

// bindOnly binds a socket that doesn't listen, beside which sockets that share addresses may listen. Port 0 chooses a free port.
func bindOnly(ip string, port uint16) (socket int, bound uint16, err error) {
	f, err := sharingSocket()
	if err != nil {
		return 0, 0, err
	}
	a := &syscall.SockaddrInet4{Port: int(port)}
	copy(a.Addr[:], net.ParseIP(ip).To4())
	err = syscall.Bind(f, a)
	n, e := syscall.Getsockname(f)
	if err = errors.Join(err, e); err != nil {
		_ = syscall.Close(f) // nothing was sent on it
		return 0, 0, err
	}
	return f, uint16(n.(*syscall.SockaddrInet4).Port), nil
}

// sharingSocket opens a socket that shares its address with others that don't listen, as those of package net do.
func sharingSocket() (int, error) {
	f, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	if err := syscall.SetsockoptInt(f, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		_ = syscall.Close(f) // nothing was sent on it
		return 0, err
	}
	return f, nil
}
