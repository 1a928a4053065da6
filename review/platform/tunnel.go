package main

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// tunnel is a proxy on the path from one entry host to all servers. It listens on an address of its own, at the servers' ports.
type tunnel struct {
	ip string

	lock sync.Mutex
	// cut is set while the entry host is partitioned from the servers.
	cut  bool
	open map[net.Conn]bool
}

// newTunnel returns a tunnel that passes everything on to servers.
func newTunnel(ip string, servers []*server) (*tunnel, error) {
	t := &tunnel{ip: ip, open: map[net.Conn]bool{}}
	for _, s := range servers {
		_, p, err := net.SplitHostPort(s.addr)
		if err != nil {
			return nil, err
		}
		l, err := net.Listen("tcp", net.JoinHostPort(ip, p))
		if err != nil {
			return nil, fmt.Errorf("listen for a tunnel: %w", err)
		}
		f := forwarder{t, l, s.addr}
		go f.run()
	}
	return t, nil
}

// setCut partitions the entry host from the servers, or ends that. A partition resets all channels.
func (t *tunnel) setCut(cut bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.cut = cut
	if !cut {
		return
	}
	for c := range t.open {
		reset(c)
	}
}

// reset closes a channel with a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // closing then resets it
	_ = c.Close()                     // it may have ended before
}

// track counts a channel as open. It returns false while the entry host is cut off.
func (t *tunnel) track(c net.Conn) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.cut {
		return false
	}
	t.open[c] = true
	return true
}

// forwarder passes channels on to one server.
type forwarder struct {
	tunnel   *tunnel
	listener net.Listener
	target   string
}

func (f forwarder) run() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		if !f.tunnel.track(c) {
			reset(c)
			continue
		}
		s, err := net.Dial("tcp", f.target)
		if err != nil {
			reset(c)
			continue
		}
		a, b := copier{f.tunnel, c, s}, copier{f.tunnel, s, c}
		go a.run()
		go b.run()
	}
}

// copier passes on what one side of a channel sends.
type copier struct {
	tunnel   *tunnel
	from, to net.Conn
}

func (c copier) run() {
	_, _ = io.Copy(c.to, c.from) // either side has ended
	_ = c.from.Close()
	_ = c.to.Close()
	c.tunnel.lock.Lock()
	defer c.tunnel.lock.Unlock()
	delete(c.tunnel.open, c.from)
	delete(c.tunnel.open, c.to)
}
