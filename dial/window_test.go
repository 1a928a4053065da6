package dial_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/itest"
)

const (
	// peerPause is how long a peer that goes on afterwards reads nothing, and largeBytes more than the buffers of a connection
	// hold in that time.
	peerPause  = 3 * time.Second
	largeBytes = 64 << 20
	// peerLines is the number of lines that a peer sends, and peerPace the time between two.
	peerLines = 100
	peerPace  = 20 * time.Millisecond
	// peerVariable is the environment variable that makes the test binary a peer.
	peerVariable = "HICKORYSHELF_TEST_PEER"
)

// lateReader reads from a connection once peerPause is over, and sends what ended that.
type lateReader struct {
	conn net.Conn
	done chan error
	read int64
}

func (r *lateReader) run() {
	time.Sleep(peerPause)
	var err error
	r.read, err = io.Copy(io.Discard, r.conn)
	r.done <- err
}

// largeWriter writes largeBytes to a connection and sends what became of it.
type largeWriter struct {
	conn net.Conn
	done chan error
}

func (w largeWriter) run() {
	_, err := w.conn.Write(bytes.Repeat([]byte("x"), largeBytes))
	w.done <- err
}

// userTimeout returns the time after which a connection with unacknowledged bytes fails, or 0 if that is left to the kernel.
func userTimeout(c net.Conn) (d time.Duration, err error) {
	r, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	var e error
	err = r.Control(func(fd uintptr) {
		var n int
		n, e = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		d = time.Duration(n) * time.Millisecond
	})
	return d, errors.Join(err, e)
}

// Guards against connections that fail because their peer reads nothing for a while, though its kernel responds, such as that to a host
// whose caller reads slowly; and against missing for good that such a peer stops responding later.
func TestConnectionOutlastsPeerThatReadsNothing(t *testing.T) {
	for n, accepts := range map[string]bool{"opened": false, "accepted": true} {
		t.Run(n, func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			a, l := listen(t)
			o := get(t, dial.NewPool(), a)
			w, p := o.Conn, accepted(l, o)
			if accepts {
				k, err := dial.KeepAlive(p)
				i.NoErr(err)
				w, p = k, w
			}
			before, err := userTimeout(w)
			i.NoErr(err)
			i.True(before > 0)
			r, g := &lateReader{conn: p, done: make(chan error, 1)}, largeWriter{w, make(chan error, 1)}
			go r.run()
			go g.run()
			i.NoErr(<-g.done)
			itest.Eventually(t, 2*time.Second, func() error {
				if d, err := userTimeout(w); err != nil || d != before {
					return fmt.Errorf("the user timeout is %v, %w", d, err)
				}
				return nil
			})
			i.NoErr(errors.Join(w.Close(), <-r.done))
			i.Equal(r.read, int64(largeBytes))
		})
	}
}

// TestPeerProcess isn't a test: it is the peer of TestConnectionOutlastsSuspendedPeer, which reads what comes while it sends lines.
func TestPeerProcess(t *testing.T) {
	if os.Getenv(peerVariable) == "" {
		t.SkipNow()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		r := largeReader{c}
		go r.run()
	}
}

// largeReader reads largeBytes of a connection while it sends lines, and then sends how much it has read.
type largeReader struct{ conn net.Conn }

func (r largeReader) run() {
	s := lineSender{r.conn, make(chan error, 1)}
	go s.run()
	n, err := io.CopyN(io.Discard, r.conn, largeBytes)
	if errors.Join(err, <-s.done) == nil {
		_, _ = fmt.Fprintf(r.conn, "got %d\n", n) // the test misses it otherwise
	}
}

// lineSender sends lines at a pace.
type lineSender struct {
	conn net.Conn
	done chan error
}

func (s lineSender) run() {
	for n := range peerLines {
		if _, err := fmt.Fprintf(s.conn, "line %d\n", n); err != nil {
			s.done <- err
			return
		}
		time.Sleep(peerPace)
	}
	s.done <- nil
}

// startPeer starts a peer and returns its process and its address. The process ends with the test.
func startPeer(t *testing.T) (p *os.Process, address string) {
	t.Helper()
	c := exec.Command(os.Args[0], "-test.run=^TestPeerProcess$") //nolint:gosec // the test binary itself
	c.Env = append(os.Environ(), peerVariable+"=1")
	o, err := c.StdoutPipe()
	if err == nil {
		err = c.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Process.Kill() // it may have ended
		_ = c.Wait()         // the test has checked what it sent
	})
	s, err := bufio.NewReader(o).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return c.Process, strings.TrimSpace(s)
}

// Guards against connections that fail because the process of their peer is suspended for a while and then goes on: while only it sends,
// and while it is sent more than its buffers hold.
func TestConnectionOutlastsSuspendedPeer(t *testing.T) {
	for n, early := range map[string]bool{"it sends": false, "it is sent a large body": true} {
		t.Run(n, func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			p, a := startPeer(t)
			c := get(t, dial.NewPool(), a)
			defer c.Close() //nolint:errcheck // all was read
			b := c.Reader
			g := largeWriter{c, make(chan error, 1)}
			for k := range peerLines {
				l, err := b.ReadString('\n')
				i.NoErr(err)
				i.Equal(l, fmt.Sprintf("line %d\n", k))
				if k == peerLines/2 {
					i.NoErr(p.Signal(syscall.SIGSTOP))
					if early {
						go g.run()
					}
					time.Sleep(peerPause)
					i.NoErr(p.Signal(syscall.SIGCONT))
				}
			}
			if !early {
				go g.run()
			}
			i.NoErr(<-g.done)
			l, err := b.ReadString('\n')
			i.NoErr(err)
			i.Equal(l, fmt.Sprintf("got %d\n", largeBytes))
		})
	}
}
