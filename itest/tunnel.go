package itest

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryshelf/hickoryshelf/dial"
)

//go:generate go tool stringer -type=Cut -linecomment -output=enum_string.go

// Cut is a way in which a host is partitioned from endpoints.
type Cut int

// Ways in which a Tunnel is cut.
const (
	// Open means that all connections work.
	Open Cut = iota // open
	// Silent means that what is sent gets no answer, on open connections and for new ones.
	Silent // silent
	// Reset means that open connections are reset and new ones refused.
	Reset // reset
	// RefuseNew means that open connections go on, and new ones are refused.
	RefuseNew // refuse-new
	// OpenSilent means that connections open, as behind a proxy, and that what is sent gets no answer on any of them.
	OpenSilent // open-silent
	// OpenReset means that connections open and are reset at once, and that open ones are reset.
	OpenReset // open-reset
)

// Tunnel forwards the connections of one host to endpoints. It listens on an IP of its own, at the ports of the endpoints.
type Tunnel struct {
	t  testing.TB
	IP string
	// source is the IP of its connections to endpoints, which tells them which host it is. On its own IP they could take the
	// ports that it listens on.
	source string
	// target is the IP of the endpoints.
	target string

	lock sync.Mutex
	// changed is signalled after each change of a cut.
	changed *sync.Cond
	// cut is that of new ports.
	cut   Cut
	ports map[int]*tunnelPort
}

// tunnelPort is the listener of a tunnel for one endpoint.
type tunnelPort struct {
	port int
	cut  Cut
	// open holds the host's connections.
	open map[net.Conn]bool
	// listener is nil while new connections are refused.
	listener io.Closer
	// held is the connection that fills the queue of a listener that answers nothing.
	held net.Conn
}

// NewTunnel returns an open tunnel without ports.
func NewTunnel(t testing.TB, ip, source, target string) *Tunnel {
	u := &Tunnel{t: t, IP: ip, source: source, target: target, ports: map[int]*tunnelPort{}}
	u.changed = sync.NewCond(&u.lock)
	t.Cleanup(u.close)
	return u
}

// AddPort forwards a port of the endpoints' IP from now on.
func (u *Tunnel) AddPort(port int) {
	u.lock.Lock()
	defer u.lock.Unlock()
	p := &tunnelPort{port: port, cut: u.cut, open: map[net.Conn]bool{}}
	u.ports[port] = p
	u.listen(p)
}

// Set cuts the tunnel or opens it again, for some ports or, without any, for all.
func (u *Tunnel) Set(c Cut, ports ...int) {
	u.lock.Lock()
	defer u.lock.Unlock()
	if len(ports) == 0 {
		u.cut = c
	}
	for n, p := range u.ports {
		if len(ports) > 0 && !slices.Contains(ports, n) {
			continue
		}
		p.cut = c
		u.listen(p)
		if c == Reset || c == OpenReset {
			p.resetAll()
		}
	}
	u.changed.Broadcast()
}

// resetAll resets all open connections.
func (p *tunnelPort) resetAll() {
	for c := range p.open {
		_ = c.(*net.TCPConn).SetLinger(0) // closing a connection then resets it
		_ = c.Close()                     // it may have ended before
	}
}

const (
	// bindTime is how long a port may stay in use after its listener was closed. A process that is being started holds
	// copies of all sockets until it runs its own program.
	bindTime = time.Second
	// bindPause is the pause between two attempts to listen.
	bindPause = 2 * time.Millisecond
)

// listen replaces the listener of a port by one that fits the cut.
func (u *Tunnel) listen(p *tunnelPort) {
	p.close()
	f := func() error { return nil }
	switch p.cut {
	case Open, OpenSilent, OpenReset:
		f = func() error { return u.listenOpen(p) }
	case Silent:
		f = func() error { return p.listenSilently(u.IP) }
	}
	err := f()
	for b := time.Now(); errors.Is(err, syscall.EADDRINUSE) && time.Since(b) < bindTime; err = f() {
		p.close()
		time.Sleep(bindPause)
	}
	if err != nil {
		u.t.Error(err)
	}
}

// listenOpen listens and forwards all connections.
func (u *Tunnel) listenOpen(p *tunnelPort) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", u.IP, p.port))
	if err != nil {
		return err
	}
	p.listener = l
	f := portForwarder{u, p, l, fmt.Sprintf("%s:%d", u.target, p.port)}
	go f.run()
	return nil
}

// close closes the listener.
func (p *tunnelPort) close() {
	if p.listener != nil {
		_ = p.listener.Close() // nothing depends on it
	}
	if p.held != nil {
		_ = p.held.Close() // nothing was sent on it
	}
	p.listener, p.held = nil, nil
}

// rawListener is a listening socket from which nothing is accepted.
type rawListener int

// Close closes the socket.
func (r rawListener) Close() error { return syscall.Close(int(r)) }

// listenSilently listens with a queue that is full, so that opening packets get no answer.
func (p *tunnelPort) listenSilently(ip string) error {
	f, err := sharingSocket()
	if err != nil {
		return err
	}
	p.listener = rawListener(f)
	a := &syscall.SockaddrInet4{Port: p.port}
	copy(a.Addr[:], net.ParseIP(ip).To4())
	if err := syscall.Bind(f, a); err != nil {
		return err
	}
	if err := syscall.Listen(f, 0); err != nil {
		return err
	}
	p.held, err = net.DialTimeout("tcp", fmt.Sprintf("%s:%d", ip, p.port), time.Second)
	return err
}

// portForwarder accepts the connections of one port.
type portForwarder struct {
	tunnel   *Tunnel
	port     *tunnelPort
	listener net.Listener
	target   string
}

func (f portForwarder) run() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		if f.tunnel.resets(f.port) {
			_ = c.(*net.TCPConn).SetLinger(0) // closing the connection then resets it
			_ = c.Close()                     // nothing was read from it
			continue
		}
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(f.tunnel.source)}}
		s, err := d.Dial("tcp", f.target)
		if err != nil {
			_ = c.(*net.TCPConn).SetLinger(0) // the endpoint refused it
			_ = c.Close()                     // nothing was read from it
			continue
		}
		f.tunnel.track(f.port, c)
		s = dial.ProveEnd(s)
		a, b := copier{f.tunnel, f.port, c, s}, copier{f.tunnel, f.port, s, c}
		go a.run()
		go b.run()
	}
}

// track counts a connection of the host as open.
func (u *Tunnel) track(p *tunnelPort, c net.Conn) {
	u.lock.Lock()
	defer u.lock.Unlock()
	p.open[c] = true
}

// copyBytes is the size of the pieces that are copied.
const copyBytes = 16 << 10

// copier copies what one side of a connection sends to the other.
type copier struct {
	tunnel   *Tunnel
	port     *tunnelPort
	from, to net.Conn
}

func (c copier) run() {
	b := make([]byte, copyBytes)
	var err error
	for err == nil {
		var n int
		n, err = c.from.Read(b)
		c.tunnel.awaitSound(c.port)
		if _, e := c.to.Write(b[:n]); err == nil {
			err = e
		}
	}
	c.tunnel.lock.Lock()
	defer c.tunnel.lock.Unlock()
	delete(c.port.open, c.from)
	delete(c.port.open, c.to)
	if !errors.Is(err, io.EOF) {
		resetOnClose(c.from)
		resetOnClose(c.to)
	}
	_ = c.from.Close() // either side has ended
	_ = c.to.Close()
}

// resetOnClose makes closing a connection reset it, as its other side was. It does nothing for those that dial.ProveEnd returns.
func resetOnClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only on a closed connection
	}
}

// awaitSound waits while a port is silent.
func (u *Tunnel) awaitSound(p *tunnelPort) {
	u.lock.Lock()
	defer u.lock.Unlock()
	for p.cut == Silent || p.cut == OpenSilent {
		u.changed.Wait()
	}
}

// resets reports whether new connections to a port are reset.
func (u *Tunnel) resets(p *tunnelPort) bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	return p.cut == OpenReset
}

// close ends the tunnel.
func (u *Tunnel) close() {
	u.Set(Reset)
}
