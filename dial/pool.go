package dial

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// readBufferBytes is the size of a connection's buffer, in bytes.
	readBufferBytes = 4096
	// maxIdleTime is how long an idle connection is kept where the endpoint names no time.
	maxIdleTime = 4 * time.Second
	// idleMargin is how much sooner than the endpoint's own time an idle connection is given up.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 16
)

// ErrPoolFull is returned where an address has as many connections as it may.
var ErrPoolFull = errors.New("all connections to the endpoint are in use; another endpoint has to take the request")

// Conn is a connection to an endpoint. It is used by one request at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused is set where the connection served a request before.
	Reused  bool
	address string
	expires time.Time
}

// Pool keeps connections to endpoints.
type Pool struct {
	lock sync.Mutex
	idle map[string][]*Conn
	open map[string]int
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*Conn{}, open: map[string]int{}} }

// Get returns a kept connection that is still sound, or a new one. At most limit connections to an
// address are open; a limit of 0 means no bound.
func (p *Pool) Get(ctx context.Context, address string, limit int) (*Conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && idleAndOpen(c) {
			c.Reused = true
			return c, nil
		}
		p.Drop(c)
	}
	if !p.reserve(address, limit) {
		return nil, ErrPoolFull
	}
	n, err := ConnectContext(ctx, address)
	if err != nil {
		p.release(address)
		return nil, err
	}
	return &Conn{Conn: n, Reader: bufio.NewReaderSize(n, readBufferBytes), address: address}, nil
}

// Put keeps a connection for further requests. keep is how long the endpoint says that it stays open, or 0.
func (p *Pool) Put(c *Conn, keepAlive time.Duration) {
	if keepAlive == 0 {
		keepAlive = maxIdleTime
	}
	keepAlive = min(keepAlive-idleMargin, maxIdleTime)
	if keepAlive <= 0 || c.Reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.Drop(c)
		return
	}
	c.expires = time.Now().Add(keepAlive)
	p.lock.Lock()
	k := len(p.idle[c.address]) < maxIdlePerAddress
	if k {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.lock.Unlock()
	if !k {
		p.Drop(c)
	}
}

// Drop closes a connection.
func (p *Pool) Drop(c *Conn) {
	p.release(c.address)
	_ = c.Close() // the connection is given up; nothing depends on how its end is reported
}

// CloseExpired closes idle connections whose time is over.
func (p *Pool) CloseExpired() {
	var d []*Conn
	n := time.Now()
	p.lock.Lock()
	for a, l := range p.idle {
		var k []*Conn
		for _, c := range l {
			if n.Before(c.expires) {
				k = append(k, c)
				continue
			}
			d = append(d, c)
		}
		p.idle[a] = k
		if len(k) == 0 {
			delete(p.idle, a)
		}
	}
	p.lock.Unlock()
	for _, c := range d {
		p.Drop(c)
	}
}

func (p *Pool) pop(address string) *Conn {
	p.lock.Lock()
	defer p.lock.Unlock()
	l := p.idle[address]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	p.idle[address] = l[:len(l)-1]
	return c
}

func (p *Pool) reserve(address string, limit int) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if limit > 0 && p.open[address] >= limit {
		return false
	}
	p.open[address]++
	return true
}

func (p *Pool) release(address string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.open[address]--
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// idleAndOpen reports whether an idle connection is open and has nothing to read.
func idleAndOpen(c *Conn) bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	q := false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		_, e := syscall.Read(int(fd), b[:])
		q = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && q
}
