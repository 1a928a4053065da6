package dial_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/dial"
)

// listen returns a listener and the connections that it accepts.
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

func get(t *testing.T, p *dial.Pool, a string) *dial.Conn {
	t.Helper()
	c, err := p.Get(context.Background(), a, 2)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

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

func TestPoolDiscardsUnusableConnections(t *testing.T) {
	for n, f := range map[string]func(net.Conn){
		"closed by the endpoint":  func(c net.Conn) { _ = c.Close() },
		"bytes behind the answer": func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) },
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

// An endpoint closes idle connections after the time that it names: they are given up before.
func TestPoolDiscardsConnectionBeforeEndpointTimeout(t *testing.T) {
	i := is.New(t)
	a, _ := listen(t)
	p := dial.NewPool()
	c := get(t, p, a)
	p.Put(c, 500*time.Millisecond)
	i.True(get(t, p, a) != c)
}

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
