package dial_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/itest"
)

// linkPause is how long a link that goes on afterwards carries nothing.
const linkPause = 2500 * time.Millisecond

// cutLink makes the link between the ends of a connection carry nothing, in either direction, or carry packets again.
func cutLink(t *testing.T, a, b net.Conn, cut bool) {
	t.Helper()
	if err := errors.Join(itest.DropPackets(a, cut), itest.DropPackets(b, cut)); err != nil {
		t.Fatal(err)
	}
}

// Guards against answers that are lost because the link to their endpoint, or between two hosts, carries nothing for a while and then
// goes on: before the answer, and while the request is under way.
func TestConnectionInUseOutlastsSilentLink(t *testing.T) {
	for n, late := range map[string]bool{"the answer is awaited": false, "the request is under way": true} {
		t.Run(n, func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			a, l := listen(t)
			c := get(t, dial.NewPool(), a)
			s := accepted(l, c)
			if !late {
				exchange(t, c, s, "request")
			}
			cutLink(t, c.Conn, s, true)
			if late {
				_, err := io.WriteString(c, "request")
				i.NoErr(err)
			}
			time.Sleep(linkPause)
			cutLink(t, c.Conn, s, false)
			if late {
				receive(t, s, "request")
			}
			exchange(t, s, c, "answer")
		})
	}
}

// exchange writes a text to one end of a connection and reads it at the other.
func exchange(t *testing.T, from io.Writer, to net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(from, text); err != nil {
		t.Fatal(err)
	}
	receive(t, to, text)
}

// receive reads a text from a connection.
func receive(t *testing.T, c net.Conn, text string) {
	t.Helper()
	b := make([]byte, len(text))
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, b); err != nil || string(b) != text {
		t.Fatalf("read %q, %v", b, err)
	}
}

// Guards against requests that are sent on an idle connection whose link carries nothing any more.
func TestIdleConnectionOfSilentLinkIsNotUsed(t *testing.T) {
	const (
		// contactTime is when callers of a host that is cut off have to be served again, and detourTime is left of it for
		// another way.
		contactTime = 3 * time.Second
		detourTime  = 500 * time.Millisecond
		bound       = contactTime - detourTime
	)
	i := is.New(t)
	a, l := listen(t)
	p := dial.NewPool()
	c := get(t, p, a)
	s := accepted(l, c)
	exchange(t, c, s, "request")
	exchange(t, s, c, "answer")
	p.Put(c, 0)
	cutLink(t, c.Conn, s, true)
	time.Sleep(bound)
	d := get(t, p, a)
	i.True(d != c)
}
