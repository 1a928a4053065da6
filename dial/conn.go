package dial

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// queueCheckInterval is the interval at which a connection is checked whose peer hasn't acknowledged all that was written.
	queueCheckInterval = 200 * time.Millisecond
	// maxLostProbes is the number of unanswered probes of a closed window from which the peer counts as silent, and maxAckAge the
	// longest time without any packet of it.
	maxLostProbes = 2
	maxAckAge     = 30 * time.Second
)

// conn is a connection that fails within seconds when its peer stops responding, later while a request is under way, but not while the
// peer responds and merely reads nothing: Linux applies the user timeout to that as well. It is safe for concurrent use.
type conn struct {
	net.Conn
	raw  syscall.RawConn
	lock sync.Mutex
	// timer calls check. It is set while checking is set: from the first write until all was acknowledged.
	timer    *time.Timer
	checking bool
	// writing is the number of calls of Write in progress.
	writing int
	// patient is set while the user timeout is off.
	patient bool
	// busy is set while the user timeout is that of a request under way. It becomes wanted, at once if that is true, and otherwise once
	// the peer has acknowledged all that was written.
	busy, wanted bool
}

// newConn returns a conn for an open connection whose user timeout is on. It returns an error if the connection was closed.
func newConn(t *net.TCPConn) (*conn, error) {
	r, err := t.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: ProveEnd(t), raw: r}, nil
}

// SyscallConn returns access to the socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Write writes to the connection. It blocks while the peer reads nothing and the buffers are full.
func (c *conn) Write(b []byte) (int, error) {
	c.beginWrite()
	defer c.endWrite()
	return c.Conn.Write(b)
}

// beginWrite makes checks run until what is written was acknowledged.
func (c *conn) beginWrite() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.writing++
	if !c.checking {
		c.checking = true
		c.scheduleCheck()
	}
}

func (c *conn) endWrite() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.writing--
}

// scheduleCheck makes check run after queueCheckInterval. The caller holds the lock.
func (c *conn) scheduleCheck() {
	if c.timer == nil {
		c.timer = time.AfterFunc(queueCheckInterval, c.check)
		return
	}
	c.timer.Reset(queueCheckInterval)
}

// check turns the user timeout off while the peer's window is closed, and on otherwise. It goes on until the peer has acknowledged all
// that was written, or the connection is closed.
func (c *conn) check() {
	c.lock.Lock()
	defer c.lock.Unlock()
	q, err := c.queue()
	if err != nil {
		c.checking = false // the connection is closed
		return
	}
	if p := q.windowClosed() && !q.silent(); p != c.patient {
		c.setPatient(p)
	}
	c.checking = c.writing > 0 || !q.empty()
	if c.checking {
		c.scheduleCheck()
		return
	}
	_ = c.applyBusy() // fails only on a closed connection
}

// setPatient turns the user timeout off or on. If the socket refuses that, the next check tries again.
func (c *conn) setPatient(patient bool) {
	if setUserTimeout(c.raw, timeoutOf(patient, c.busy)) == nil {
		c.patient = patient
	}
}

// setBusy sets whether a request is under way. It returns an error if the connection was closed.
func (c *conn) setBusy(busy bool) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.wanted = busy
	if c.checking && !busy {
		return nil // check applies it
	}
	return c.applyBusy()
}

// applyBusy sets the user timeout that is wanted. The caller holds the lock.
func (c *conn) applyBusy() error {
	if c.busy == c.wanted {
		return nil
	}
	err := setUserTimeout(c.raw, timeoutOf(c.patient, c.wanted))
	if err == nil {
		c.busy = c.wanted
	}
	return err
}

// timeoutOf returns the user timeout of a connection; 0 turns it off.
func timeoutOf(patient, busy bool) time.Duration {
	switch {
	case patient:
		return 0
	case busy:
		return busyTimeout
	}
	return userTimeout
}

// queue returns what was written and isn't acknowledged, or an error if the connection is closed.
func (c *conn) queue() (q sendQueue, err error) {
	var e error
	err = c.raw.Control(func(fd uintptr) {
		var i *unix.TCPInfo
		if i, e = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); e == nil {
			q = sendQueue{info: *i}
		}
	})
	if err != nil {
		return q, err
	}
	return q, e
}

// sendQueue is the state of what was written to a connection.
type sendQueue struct{ info unix.TCPInfo }

// empty reports whether the peer has acknowledged everything.
func (q sendQueue) empty() bool { return q.info.Unacked == 0 && q.info.Notsent_bytes == 0 }

// windowClosed reports whether the peer takes no more bytes, or too few to send any.
func (q sendQueue) windowClosed() bool {
	return !q.empty() && (q.info.Snd_wnd == 0 || q.info.Unacked == 0)
}

// silent reports whether the peer doesn't answer the probes of its closed window.
func (q sendQueue) silent() bool {
	return q.info.Probes >= maxLostProbes || time.Duration(q.info.Last_ack_recv)*time.Millisecond > maxAckAge
}
