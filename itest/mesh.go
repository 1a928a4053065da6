package itest

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// LinkFault is a fault on the link of two processes, in one direction. One of the two is a control host.
type LinkFault struct {
	From, To *Process
	// Share is that of the packets that are lost, from 0 to 1. With 1 the link is cut in that direction.
	Share float64
}

// Mesh carries the connections to control hosts. It knows from which process each comes, so that packets can be lost
// between any two processes in either direction. The kernel drops them unanswered, so senders see what they see of a real
// link: bytes that stay unacknowledged.
type Mesh struct {
	t          testing.TB
	deployment *Deployment

	lock   sync.Mutex
	faults map[*LinkFault]bool
	open   map[*meshConn]bool
	// accepted counts the connections from one process to another.
	accepted map[[2]*Process]int
	// listeners are closed at the end.
	listeners []net.Listener
	closed    bool
}

// meshConn is a connection of one process to a control host.
type meshConn struct {
	from, to *Process
	// near is connected to from, and far to to.
	near, far net.Conn
	// silent is set once the connection carries nothing any more.
	silent bool
}

func newMesh(d *Deployment) *Mesh {
	return &Mesh{t: d.t, deployment: d, faults: map[*LinkFault]bool{}, open: map[*meshConn]bool{}, accepted: map[[2]*Process]int{}}
}

// meshKeepAlive finds connections whose process has ended while the link was cut.
var meshKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// refusalDelay is the time after which opening a connection fails on a link that is cut. All attempts of a host take about
// as long.
const refusalDelay = 200 * time.Millisecond

// listen accepts the connections of other processes to a control host.
func (m *Mesh) listen(p *Process) {
	c := net.ListenConfig{KeepAliveConfig: meshKeepAlive}
	l, err := c.Listen(context.Background(), "tcp", net.JoinHostPort(p.IP, strconv.Itoa(peerPort)))
	if err != nil {
		m.t.Fatal(err)
	}
	m.lock.Lock()
	m.listeners = append(m.listeners, l)
	m.lock.Unlock()
	a := meshAcceptor{m, p, l}
	go a.run()
}

// Begin begins a fault. Of several faults on a link in one direction the largest holds.
func (m *Mesh) Begin(f *LinkFault) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.faults[f] = true
	m.applyAll()
}

// End ends a fault.
func (m *Mesh) End(f *LinkFault) {
	m.lock.Lock()
	defer m.lock.Unlock()
	delete(m.faults, f)
	m.applyAll()
}

// Sound reports whether the link of two processes loses nothing in either direction.
func (m *Mesh) Sound(a, b *Process) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.loss(a, b) == 0 && m.loss(b, a) == 0
}

// Connections returns the number of open connections from one process to another.
func (m *Mesh) Connections(from, to *Process) int {
	m.lock.Lock()
	defer m.lock.Unlock()
	n := 0
	for c := range m.open {
		if c.from == from && c.to == to {
			n++
		}
	}
	return n
}

// Accepted returns the number of connections from one process to another that were opened so far.
func (m *Mesh) Accepted(from, to *Process) int {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.accepted[[2]*Process{from, to}]
}

// Reset resets all connections between two processes.
func (m *Mesh) Reset(a, b *Process) {
	m.lock.Lock()
	defer m.lock.Unlock()
	for c := range m.open {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.reset()
		}
	}
}

// Silence makes the open connections between two processes carry nothing any more, without closing them. New ones work.
func (m *Mesh) Silence(a, b *Process) {
	m.lock.Lock()
	defer m.lock.Unlock()
	for c := range m.open {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.silent = true
			m.apply(c)
		}
	}
}

// loss returns the share of the packets that are lost from one process to another. The lock must be held.
func (m *Mesh) loss(from, to *Process) float64 {
	s := 0.0
	for f := range m.faults {
		if f.From == from && f.To == to {
			s = max(s, f.Share)
		}
	}
	return s
}

// applyAll makes all connections lose what their links lose. The lock must be held.
func (m *Mesh) applyAll() {
	for c := range m.open {
		m.apply(c)
	}
}

// apply makes a connection lose what its link loses. The lock must be held.
func (m *Mesh) apply(c *meshConn) {
	u, d := m.loss(c.from, c.to), m.loss(c.to, c.from)
	if c.silent {
		u, d = 1, 1
	}
	err := errors.Join(m.lose(c.near, u), m.lose(c.far, d))
	if err != nil && !errors.Is(err, net.ErrClosed) {
		m.t.Logf("mesh: %s to %s: %v", c.from.Name, c.to.Name, err)
	}
}

// lose makes a connection lose a share of what arrives. That none was lost before is no error.
func (m *Mesh) lose(c net.Conn, share float64) error {
	err := LosePackets(c, share)
	if share == 0 && errors.Is(err, unix.ENOENT) {
		return nil
	}
	return err
}

// reset closes both sides, which resets them.
func (c *meshConn) reset() {
	for _, s := range []net.Conn{c.near, c.far} {
		_ = s.(*net.TCPConn).SetLinger(0) // closing then resets it
		_ = s.Close()                     // it may have ended before
	}
}

// meshAcceptor accepts the connections to one control host.
type meshAcceptor struct {
	mesh     *Mesh
	to       *Process
	listener net.Listener
}

func (a meshAcceptor) run() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		o := meshOpening{a.mesh, a.to, c}
		go o.run()
	}
}

// meshOpening forwards one accepted connection, or refuses it if the link is cut.
type meshOpening struct {
	mesh *Mesh
	to   *Process
	near net.Conn
}

func (o meshOpening) run() {
	p := o.mesh.deployment.dialer(o.near)
	if p == nil {
		o.refuse()
		return
	}
	if o.mesh.cut(p, o.to) {
		time.Sleep(refusalDelay)
		o.refuse()
		return
	}
	f, err := net.Dial("tcp", net.JoinHostPort(o.to.IP, strconv.Itoa(peerListenPort)))
	if err != nil {
		o.refuse()
		return
	}
	c := &meshConn{from: p, to: o.to, near: o.near, far: f}
	if !o.mesh.add(c) {
		c.reset()
		return
	}
	u, d := meshCopier{o.mesh, c, c.near, c.far}, meshCopier{o.mesh, c, c.far, c.near}
	go u.run()
	go d.run()
}

// refuse resets the connection.
func (o meshOpening) refuse() {
	_ = o.near.(*net.TCPConn).SetLinger(0) // closing then resets it
	_ = o.near.Close()                     // nothing was read from it
}

// cut reports whether no packet passes between two processes in at least one direction.
func (m *Mesh) cut(a, b *Process) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.loss(a, b) >= 1 || m.loss(b, a) >= 1
}

// add counts a connection as open. It returns false once the mesh is closed.
func (m *Mesh) add(c *meshConn) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.closed {
		return false
	}
	m.open[c] = true
	m.accepted[[2]*Process{c.from, c.to}]++
	m.apply(c)
	return true
}

// remove ends a connection of which one side has ended.
func (m *Mesh) remove(c *meshConn) {
	m.lock.Lock()
	defer m.lock.Unlock()
	delete(m.open, c)
	c.reset()
}

// meshCopier copies what one side of a connection sends to the other.
type meshCopier struct {
	mesh     *Mesh
	conn     *meshConn
	from, to net.Conn
}

func (c meshCopier) run() {
	_, _ = io.Copy(c.to, c.from) // a side has ended
	c.mesh.remove(c.conn)
}

// close ends the mesh.
func (m *Mesh) close() {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.closed = true
	for _, l := range m.listeners {
		_ = l.Close() // nothing depends on it
	}
	for c := range m.open {
		c.reset()
	}
}
