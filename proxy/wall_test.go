package proxy_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/hickoryshelf/hickoryshelf/itest"
)

// wall forwards connections to a host, and holds back what passes on the first one or on all of them, or drops its answers on the first.
type wall struct {
	listener   net.Listener
	target     string
	dropAnswer bool
	release    chan struct{}
	// releaseAnswer holds back the answers until it is closed, unless it is nil.
	releaseAnswer chan struct{}
	// all is set if it holds back what passes on all connections.
	all bool
	// silence is how long the link to the host carries nothing back, from a moment after the first connection on.
	silence time.Duration
}

// startWall returns a wall before a host. Without dropAnswer it holds back the call until release is closed.
func startWall(t *testing.T, target string, dropAnswer bool) *wall {
	t.Helper()
	w := &wall{target: target, dropAnswer: dropAnswer, release: make(chan struct{})}
	w.start(t)
	return w
}

// startSlowWall returns a wall before a host that holds back the host's answers on the first connection for a time.
func startSlowWall(t *testing.T, target string, d time.Duration) *wall {
	t.Helper()
	w := &wall{target: target, releaseAnswer: make(chan struct{})}
	time.AfterFunc(d, func() { close(w.releaseAnswer) })
	w.start(t)
	return w
}

// start listens and lets connections pass until the end of the test.
func (w *wall) start(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.listener = l
	go w.run()
	t.Cleanup(func() { _ = w.listener.Close() }) // the test is over
}

func (w *wall) run() {
	for n := 0; ; n++ {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", w.target)
		if err != nil {
			return
		}
		x, y := copying{from: c, to: s}, copying{from: s, to: c}
		if n == 0 && w.dropAnswer {
			y.to = io.Discard
		} else if n == 0 || w.all {
			x.wait, y.wait = w.release, w.releaseAnswer
		}
		if n == 0 && w.silence > 0 {
			k := silentLink{s, w.silence}
			go k.run()
		}
		go x.run()
		go y.run()
	}
}

// silentLink makes packets to a connection disappear for a time, from callTime on.
type silentLink struct {
	conn net.Conn
	time time.Duration
}

// callTime is the time in which a call has begun.
const callTime = 100 * time.Millisecond

func (l silentLink) run() {
	time.Sleep(callTime)
	if itest.DropPackets(l.conn, true) == nil {
		time.Sleep(l.time)
		_ = itest.DropPackets(l.conn, false) // fails only on a closed connection
	}
}

// copying copies one direction of a connection, after wait is closed if it isn't nil.
type copying struct {
	from io.Reader
	to   io.Writer
	wait chan struct{}
}

func (c copying) run() {
	if c.wait != nil {
		<-c.wait
	}
	_, _ = io.Copy(c.to, c.from) // ends with the connection
}
