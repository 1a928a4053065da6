package itest

import (
	"errors"
	"math"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// randomWord is the address at which a packet filter reads a random number in place of a packet's bytes.
const randomWord = 1<<32 - 0x1000 + 56 // SKF_AD_OFF + SKF_AD_RANDOM

// LosePackets makes the kernel drop a share of the packets, from 0 to 1 and drawn at random, that arrive for a connection,
// unanswered. It returns the error of the socket.
func LosePackets(c net.Conn, share float64) error {
	if share <= 0 || share >= 1 {
		return DropPackets(c, share >= 1)
	}
	r, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	f := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: randomWord},
		{Code: unix.BPF_JMP | unix.BPF_JGE | unix.BPF_K, Jf: 1, K: uint32(share * math.MaxUint32)},
		{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32}, // keep all bytes
		{Code: unix.BPF_RET | unix.BPF_K},                    // keep none
	}
	var e error
	err = r.Control(func(fd uintptr) {
		e = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(f)), Filter: &f[0]})
	})
	return errors.Join(err, e)
}
