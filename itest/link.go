package itest

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// DropPackets makes the kernel drop all packets that arrive for a connection, unanswered, or no longer do so.
// It returns the error of the socket.
func DropPackets(c net.Conn, drop bool) error {
	r, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var e error
	err = r.Control(func(fd uintptr) {
		if !drop {
			e = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		f := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K} // keep 0 bytes
		e = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &f})
	})
	return errors.Join(err, e)
}
