package dial_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/dial"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 16 << 20

// lateEnd is the time from which an end counts as late: well above the time for which it may be held back, also beside load.
const lateEnd = 2 * time.Second

// upload writes to a connection whose other end reads nothing, and closes done with the last write.
type upload struct {
	conn net.Conn
	done chan struct{}
}

func (u upload) run() {
	defer close(u.done)
	_, _ = u.conn.Write(make([]byte, uploadBytes)) // fails once the connection is reset or closed
}

// Guards against the end of a connection that is taken for the end of an answer: a write got the news of the reset, so that reads see the
// same as at an end.
func TestResetThatAWriteReportsIsNoEnd(t *testing.T) {
	for n, end := range map[string]func(*net.TCPConn) error{
		"reset":                    func(*net.TCPConn) error { return nil },
		"end of its half, a reset": (*net.TCPConn).CloseWrite,
	} {
		t.Run(n, func(t *testing.T) {
			i := is.New(t)
			a, l := listen(t)
			c := get(t, dial.NewPool(), a)
			defer c.Close() //nolint:errcheck // the test ends
			s := accepted(l, c).(*net.TCPConn)
			u := upload{c, make(chan struct{})}
			go u.run()
			_, err := io.ReadFull(s, make([]byte, 1))
			i.NoErr(err)
			_, err = io.WriteString(s, "part")
			i.NoErr(err)
			i.NoErr(end(s))
			i.NoErr(s.SetLinger(0))
			i.NoErr(s.Close())
			<-u.done
			b, err := io.ReadAll(c.Reader)
			i.Equal(string(b), "part")
			i.True(errors.Is(err, syscall.ECONNRESET))
		})
	}
}

// Guards against answers that are lost or late because they end while their request is still being written.
func TestEndBesideAWriteIsAnEnd(t *testing.T) {
	for n, read := range map[string]func(*net.TCPConn){
		"the peer reads on":           func(s *net.TCPConn) { _, _ = io.Copy(io.Discard, s) },
		"the peer reads nothing more": func(*net.TCPConn) {},
	} {
		t.Run(n, func(t *testing.T) {
			i := is.New(t)
			a, l := listen(t)
			c := get(t, dial.NewPool(), a)
			s := accepted(l, c).(*net.TCPConn)
			defer s.Close() //nolint:errcheck // the test ends
			u := upload{c, make(chan struct{})}
			go u.run()
			_, err := io.ReadFull(s, make([]byte, 1))
			i.NoErr(err)
			_, err = io.WriteString(s, "whole")
			i.NoErr(err)
			i.NoErr(s.CloseWrite())
			begin := time.Now()
			r := reading{s, read, make(chan struct{})}
			go r.run()
			b, err := io.ReadAll(c.Reader)
			i.NoErr(err)
			i.Equal(string(b), "whole")
			i.True(time.Since(begin) < lateEnd)
			i.NoErr(c.Close())
			<-u.done
			<-r.done
		})
	}
}

// reading reads from a connection in its own way.
type reading struct {
	conn *net.TCPConn
	read func(*net.TCPConn)
	done chan struct{}
}

func (r reading) run() {
	defer close(r.done)
	r.read(r.conn)
}

// Guards against a write whose deadline passed, which has taken no news, and that makes an end a reset.
func TestEndAfterALateWriteIsAnEnd(t *testing.T) {
	i := is.New(t)
	a, l := listen(t)
	c := get(t, dial.NewPool(), a)
	defer c.Close() //nolint:errcheck // the test ends
	s := accepted(l, c).(*net.TCPConn)
	i.NoErr(c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err := c.Write(make([]byte, uploadBytes))
	i.True(err != nil)
	_, err = io.WriteString(s, "whole")
	i.NoErr(err)
	i.NoErr(s.CloseWrite())
	b, err := io.ReadAll(c.Reader)
	i.NoErr(err)
	i.Equal(string(b), "whole")
	i.NoErr(s.Close())
}

// Guards against the end of a connection that is taken for the end of an answer by a reader that has skipped the error of the read before: the
// kernel reports a reset once, and reads see the same as at an end then.
func TestReadsAfterAResetSeeNoEnd(t *testing.T) {
	i := is.New(t)
	a, l := listen(t)
	c := get(t, dial.NewPool(), a)
	defer c.Close() //nolint:errcheck // the test ends
	s := accepted(l, c).(*net.TCPConn)
	i.NoErr(s.SetLinger(0))
	i.NoErr(s.Close())
	for range 3 {
		_, err := c.Read(make([]byte, 1))
		i.True(errors.Is(err, syscall.ECONNRESET))
	}
}
