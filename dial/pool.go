package dial

import (
	"bufio"
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4096
	// maxIdleTime is the maximum time that an idle connection is kept. It is also the keep-alive timeout assumed
	// for endpoints that name none.
	maxIdleTime = 4 * time.Second
	// idleMargin is how long before the endpoint's keep-alive timeout an idle connection is no longer reused, since
	// the endpoint closes the connection at the timeout.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerAddress is the maximum number of idle connections to one address.
	maxIdlePerAddress = 16
)

// ErrPoolFull is returned by Get when the limit of open connections to an address is reached.
var ErrPoolFull = errors.New("all connections to the endpoint are in use; another endpoint has to take the request")

// Conn is a connection to an endpoint. It serves one request at a time, and outlasts a longer silence of its link until Put is called.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused is true when the connection comes from the pool and has served an earlier request.
	Reused bool
	// Opened is when the connection had been opened.
	Opened time.Time
	// source is what Reader reads from.
	source  *boundedReader
	address string
	// expires is the time from which the idle connection is no longer reused.
	expires time.Time
}

// Pool keeps idle connections to endpoints for reuse. It is safe for concurrent use.
type Pool struct {
	lock sync.Mutex
	// idle holds the idle connections by address, the last used at the end.
	idle map[string][]*Conn
	// open counts the connections by address, both idle and in use.
	open map[string]int
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*Conn{}, open: map[string]int{}} }

// Get returns an idle connection that is still usable, or opens a new one. It returns ErrPoolFull when limit
// connections to the address are open; a limit of 0 means no limit. Otherwise it returns the error of opening the
// connection.
func (p *Pool) Get(ctx context.Context, address string, limit int) (*Conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && idleAndOpen(c) && SetBusy(c.Conn, true) == nil {
			c.Reused = true
			return c, nil
		}
		p.Drop(c)
	}
	return p.connect(ctx, address, limit)
}

// GetNew opens a new connection. It closes an idle one if limit connections to the address are open, and returns ErrPoolFull
// if all of them are in use.
func (p *Pool) GetNew(ctx context.Context, address string, limit int) (*Conn, error) {
	c, err := p.connect(ctx, address, limit)
	if !errors.Is(err, ErrPoolFull) {
		return c, err
	}
	o := p.pop(address)
	if o == nil {
		return nil, err
	}
	p.Drop(o)
	return p.connect(ctx, address, limit)
}

// connect opens a connection, or returns ErrPoolFull.
func (p *Pool) connect(ctx context.Context, address string, limit int) (*Conn, error) {
	if !p.reserve(address, limit) {
		return nil, ErrPoolFull
	}
	n, err := ConnectContext(ctx, address)
	if err != nil {
		p.release(address)
		return nil, err
	}
	if t, ok := n.(*net.TCPConn); ok {
		if n, err = newConn(t); err == nil {
			err = SetBusy(n, true)
		}
		if err != nil {
			p.release(address)
			_ = t.Close() // it can't be used
			return nil, err
		}
	}
	s := &boundedReader{conn: n, left: math.MaxInt64}
	return &Conn{Conn: n, Reader: bufio.NewReaderSize(s, readBufferBytes), source: s, address: address, Opened: time.Now()}, nil
}

// ErrTooLong is returned by reads of a connection that has sent more than it may.
var ErrTooLong = errors.New("the endpoint sent more than an answer may have; the connection is given up")

// boundedReader reads from a connection and fails once it has read a number of bytes.
type boundedReader struct {
	conn net.Conn
	// left is the number of bytes that may still be read, and read the number that was read since the last call of Allow.
	left, read int64
	// meter is told of read, and fails if that is too much. It may be nil.
	meter func(read int64) error
	// refused is the first error of a meter. It stays, because readers of lines may skip an error and read on.
	refused error
}

func (r *boundedReader) Read(b []byte) (int, error) {
	if r.refused != nil {
		return 0, r.refused
	}
	if r.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := r.conn.Read(b[:min(int64(len(b)), r.left)])
	r.left -= int64(n)
	r.read += int64(n)
	if err == nil && r.meter != nil {
		err = r.meter(r.read)
		r.refused = err
	}
	return n, err
}

// Allow bounds the bytes that are read from the connection from now on. What is buffered doesn't count. meter is called with the
// number of bytes that were read since, and makes this and all later reads fail with its error; it may be nil.
func (c *Conn) Allow(bytes int64, meter func(read int64) error) {
	c.source.left, c.source.read, c.source.meter = bytes, 0, meter
}

// AllowAll removes the bound.
func (c *Conn) AllowAll() { c.Allow(math.MaxInt64, nil) }

// Put returns a connection to the pool. keepAlive is how long the endpoint keeps the connection open while it is idle,
// or 0 if unknown. Put closes the connection instead when it would expire at once, has unread data or would exceed
// maxIdlePerAddress.
func (p *Pool) Put(c *Conn, keepAlive time.Duration) {
	if keepAlive == 0 {
		keepAlive = maxIdleTime
	}
	keepAlive = min(keepAlive-idleMargin, maxIdleTime)
	if keepAlive <= 0 || c.Reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil || SetBusy(c.Conn, false) != nil {
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

// PutUnused returns a connection to the pool on which nothing was sent since it came from Get. The endpoint counts its idle time from before.
func (p *Pool) PutUnused(c *Conn) {
	if c.expires.IsZero() {
		p.Put(c, 0)
		return
	}
	p.Put(c, max(1, time.Until(c.expires)+idleMargin))
}

// Drop closes a connection and no longer counts it as open.
func (p *Pool) Drop(c *Conn) {
	p.release(c.address)
	_ = c.Close() // nothing depends on whether closing a dropped connection succeeds
}

// CloseExpired closes the idle connections that are too old to be reused.
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

// pop removes and returns the idle connection to an address that was used last, or returns nil if there is none.
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

// reserve counts a new connection to an address. It returns false when limit connections are already open.
func (p *Pool) reserve(address string, limit int) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if limit > 0 && p.open[address] >= limit {
		return false
	}
	p.open[address]++
	return true
}

// release no longer counts a connection to an address as open.
func (p *Pool) release(address string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.open[address]--
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// idleAndOpen reports whether a connection is open and has no data to read. It tries to read one byte without waiting;
// data after the last response makes the connection unusable. It returns true if c gives no access to its socket.
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
