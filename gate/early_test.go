package gate_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/gate"
)

const (
	// earlyTries is the number of requests.
	earlyTries = 20
	// earlyBytes is more than the buffers of a connection hold.
	earlyBytes = 4 << 20
)

// earlyServer is an engine that answers each request before it has read it, and resets the connection.
type earlyServer struct {
	listener net.Listener
	answer   string
}

func (s *earlyServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		v := earlyConn{s, c.(*net.TCPConn)}
		go v.run()
	}
}

// earlyConn answers one request.
type earlyConn struct {
	server *earlyServer
	conn   *net.TCPConn
}

func (c earlyConn) run() {
	defer c.conn.Close()              //nolint:errcheck // an error while closing doesn't affect the test
	_ = c.conn.SetReadBuffer(4 << 10) // fails only on a closed connection
	if _, err := http.ReadRequest(bufio.NewReader(c.conn)); err != nil {
		return
	}
	_, _ = io.WriteString(c.conn, c.server.answer) // the host may have left
	time.Sleep(30 * time.Millisecond)
	_ = c.conn.SetLinger(0) // fails only on a closed connection
}

// Guards against a part of an answer that is taken for a whole one: the engine resets the connection while the request is still being
// written, and the kernel reports that to the write alone.
func TestConnectionToEngineTellsAResetFromAnEnd(t *testing.T) {
	i := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	defer l.Close() //nolint:errcheck // the test is over
	s := &earlyServer{l, "HTTP/1.1 404 Not Found\r\n\r\nPARTIAL"}
	go s.run()
	x := &http.Transport{DialContext: gate.DialEndpoint, DisableKeepAlives: true}
	n := 0
	for range earlyTries {
		q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String()+"/", bytes.NewReader(make([]byte, earlyBytes)))
		i.NoErr(err)
		r, err := x.RoundTrip(q)
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(r.Body); err == nil {
			n++
		}
		i.NoErr(r.Body.Close())
	}
	i.Equal(n, 0) // parts that seem whole
}
