package dial_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/dial"
)

// listen returns the address of a listener and a channel of the connections that it accepts.
func listen(t *testing.T) (string, chan net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	c := make(chan net.Conn, 16)
	s := acceptor{l, c}
	go s.run()
	return l.Addr().String(), c
}

type acceptor struct {
	listener net.Listener
	conns    chan net.Conn
}

func (a acceptor) run() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.conns <- c
	}
}

// accepted returns the other end of a connection. It closes those that were given up while they were opened.
func accepted(l chan net.Conn, c net.Conn) net.Conn {
	for {
		s := <-l
		if s.RemoteAddr().String() == c.LocalAddr().String() {
			return s
		}
		_ = s.Close() // nothing uses it
	}
}

// get returns a connection to the address from the pool, with a limit of two open connections.
func get(t *testing.T, p *dial.Pool, a string) *dial.Conn {
	t.Helper()
	c, err := p.Get(context.Background(), a, 2)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestPoolReusesIdleConnection checks that Get returns the connection given to Put and marks it as reused.
func TestPoolReusesIdleConnection(t *testing.T) {
	i := is.New(t)
	a, _ := listen(t)
	p := dial.NewPool()
	c := get(t, p, a)
	i.True(!c.Reused)
	p.Put(c, 0)
	d := get(t, p, a)
	i.True(d == c)
	i.True(d.Reused)
}

// TestPoolDiscardsUnusableConnections checks that Get opens a new connection when the endpoint has closed the idle one
// or has sent unexpected data on it.
func TestPoolDiscardsUnusableConnections(t *testing.T) {
	for n, f := range map[string]func(net.Conn){
		"closed by the endpoint":   func(c net.Conn) { _ = c.Close() },
		"bytes after the response": func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) },
	} {
		t.Run(n, func(t *testing.T) {
			i := is.New(t)
			a, s := listen(t)
			p := dial.NewPool()
			c := get(t, p, a)
			p.Put(c, 0)
			f(<-s)
			time.Sleep(20 * time.Millisecond)
			d := get(t, p, a)
			i.True(d != c)
			i.True(!d.Reused)
		})
	}
}

// TestPoolDiscardsConnectionBeforeEndpointTimeout checks that the pool doesn't reuse a connection that the endpoint may
// be about to close. The endpoint's timeout is shorter than idleMargin, so Put closes the connection at once.
func TestPoolDiscardsConnectionBeforeEndpointTimeout(t *testing.T) {
	i := is.New(t)
	a, _ := listen(t)
	p := dial.NewPool()
	c := get(t, p, a)
	p.Put(c, 500*time.Millisecond)
	i.True(get(t, p, a) != c)
}

// TestPoolLimitsOpenConnections checks that Get fails at the limit and succeeds again after a connection is dropped.
func TestPoolLimitsOpenConnections(t *testing.T) {
	i := is.New(t)
	a, _ := listen(t)
	p := dial.NewPool()
	c := get(t, p, a)
	get(t, p, a)
	_, err := p.Get(context.Background(), a, 2)
	i.Equal(err, dial.ErrPoolFull)
	p.Drop(c)
	get(t, p, a)
}

// Guards against reading on behind a refusal of the meter: a reader of lines may skip an error at the end of its buffer.
func TestConnectionThatSentTooMuchIsReadNoMore(t *testing.T) {
	i := is.New(t)
	a, l := listen(t)
	c := get(t, dial.NewPool(), a)
	s := accepted(l, c)
	r, n := errors.New("no room"), 0
	c.Allow(1<<20, func(int64) error {
		if n++; n == 1 {
			return r
		}
		return nil
	})
	_, err := s.Write([]byte("a"))
	i.NoErr(err)
	_, err = c.Reader.ReadByte() // what was read is still passed on
	i.NoErr(err)
	_, err = c.Reader.ReadByte()
	i.Equal(err, r)
	_, err = s.Write([]byte("b"))
	i.NoErr(err)
	_, err = c.Reader.ReadByte()
	i.Equal(err, r)
	i.Equal(n, 1)
}

// sweeper closes expired connections until stop is closed.
type sweeper struct {
	pool *dial.Pool
	stop chan struct{}
}

func (s sweeper) run() {
	for {
		select {
		case <-s.stop:
			return
		default:
			s.pool.CloseExpired()
		}
	}
}

// Guards against connections that the sweep of idle ones, or making room for a new one, closes as they are handed out.
func TestHandedOutConnectionStaysOpen(t *testing.T) {
	i := is.New(t)
	a, l := listen(t)
	p := dial.NewPool()
	w := sweeper{p, make(chan struct{})}
	go w.run()
	defer close(w.stop)
	var s net.Conn
	u := 0
	for n := range 300 {
		c, err := p.Get(context.Background(), a, 2)
		i.NoErr(err)
		if !c.Reused {
			s = accepted(l, c)
		} else {
			u++
		}
		if o, err := p.GetNew(context.Background(), a, 2); err == nil {
			_ = accepted(l, o).Close() // nothing uses it
			p.Drop(o)
		}
		time.Sleep(time.Millisecond) // past the time at which it would have expired
		_, err = s.Write([]byte{byte(n)})
		i.NoErr(err)
		b, err := c.Reader.ReadByte()
		i.NoErr(err)
		i.Equal(b, byte(n))
		p.Put(c, 700*time.Millisecond+time.Duration(n%10)*50*time.Microsecond) // the pool keeps it for up to 450 us
	}
	t.Logf("%d of 300 connections were used again", u)
	i.True(u > 0)
}
