package itest

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"
)

// Sizes and places, in bytes, in messages that ask the kernel for one socket (struct inet_diag_req_v2) and answer that
// (struct inet_diag_msg), each after its header.
const (
	headerBytes  = 16
	requestBytes = 56
	// idAt is the place of the addresses and ports in the request, and inodeAt that of the inode in the answer.
	idAt        = 8
	inodeAt     = 68
	answerBytes = 72
	// sourceAt, targetAt and cookieAt are places after idAt.
	sourceAt, targetAt, cookieAt = 4, 20, 40
)

// errNoSocket is the error of a question for a socket that doesn't exist.
var errNoSocket = errors.New("no such socket; its process has closed it")

// dialer returns the process of the deployment that opened an accepted connection, or nil if none did or it has ended.
func (d *Deployment) dialer(c net.Conn) *Process {
	i, err := inodeOf(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if err != nil {
		return nil
	}
	for _, p := range d.processes() {
		if c := p.cmd.Load(); c != nil && holdsSocket(c.Process.Pid, i) {
			return p
		}
	}
	return nil
}

// inodeOf asks the kernel for the inode of the TCP socket with a local and a remote address.
func inodeOf(local, remote *net.TCPAddr) (uint32, error) {
	s, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0, err
	}
	defer unix.Close(s) //nolint:errcheck // nothing depends on it
	if err := unix.Sendto(s, socketRequest(local, remote), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, err
	}
	b := make([]byte, unix.Getpagesize())
	n, _, err := unix.Recvfrom(s, b, 0)
	if err != nil {
		return 0, err
	}
	if n < headerBytes+answerBytes || binary.NativeEndian.Uint16(b[4:]) != unix.SOCK_DIAG_BY_FAMILY {
		return 0, errNoSocket
	}
	return binary.NativeEndian.Uint32(b[headerBytes+inodeAt:]), nil
}

// socketRequest returns the message that asks for a socket.
func socketRequest(local, remote *net.TCPAddr) []byte {
	b := make([]byte, headerBytes+requestBytes)
	binary.NativeEndian.PutUint32(b, uint32(len(b)))
	binary.NativeEndian.PutUint16(b[4:], unix.SOCK_DIAG_BY_FAMILY)
	binary.NativeEndian.PutUint16(b[6:], unix.NLM_F_REQUEST)
	q := b[headerBytes:]
	q[0], q[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(q[4:], ^uint32(0)) // in any state
	i := q[idAt:]
	binary.BigEndian.PutUint16(i, uint16(local.Port))
	binary.BigEndian.PutUint16(i[2:], uint16(remote.Port))
	copy(i[sourceAt:], local.IP.To4())
	copy(i[targetAt:], remote.IP.To4())
	binary.NativeEndian.PutUint64(i[cookieAt:], ^uint64(0)) // no particular one
	return b
}

// holdsSocket reports whether a process has a descriptor of the socket with an inode.
func holdsSocket(pid int, inode uint32) bool {
	f := fmt.Sprintf("/proc/%d/fd", pid)
	d, err := os.Open(f)
	if err != nil {
		return false
	}
	defer d.Close()            //nolint:errcheck // it is only read
	l, _ := d.Readdirnames(-1) // those read before an error count
	w := fmt.Sprintf("socket:[%d]", inode)
	return slices.ContainsFunc(l, func(n string) bool {
		t, err := os.Readlink(filepath.Join(f, n))
		return err == nil && t == w
	})
}
