package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/caller"
	"github.com/hickoryshelf/hickoryshelf/intake"
)

// gateConnections is the number of connections that the gate of a test admits.
const gateConnections = 4

// gateServer serves on a gate. It answers requests to /wait once release is closed, and others at once.
type gateServer struct {
	server  *http.Server
	gate    *caller.Gate
	release chan struct{}
}

// startGate starts a server and returns it with its address.
func startGate(t *testing.T, a *intake.Account) (s *gateServer, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := logrus.New()
	g.SetOutput(io.Discard)
	s = &gateServer{release: make(chan struct{})}
	s.gate = caller.NewGate(caller.GateOptions{Listener: l, Name: "callers", Connections: gateConnections, Intake: a, Log: g, Metrics: metrics.NewSet()})
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, ConnState: s.gate.Track}
	go s.run()
	t.Cleanup(func() { _ = s.server.Close() }) // the test is over
	return s, l.Addr().String()
}

func (s *gateServer) run() { _ = s.server.Serve(s.gate) } // returns once the server is closed

func (s *gateServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/wait" {
		<-s.release
	}
	_, _ = io.WriteString(w, "answer")
}

// send opens a connection and sends a text.
func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // the test is over
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Log(err) // the gate may have closed it
	}
	return c
}

// isServed reports whether a whole answer comes.
func isServed(c net.Conn) bool {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	b, err := io.ReadAll(r.Body)
	return err == nil && string(b) == "answer"
}

// request returns a request for a path.
func request(path string) string { return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path) }

// Guards against connections without a request that keep newcomers out, and against requests in flight that are cut for newcomers.
func TestCrowdOfConnectionsLeavesRoomForRequests(t *testing.T) {
	i := is.New(t)
	s, a := startGate(t, nil)
	w := send(t, a, request("/wait"))
	time.Sleep(50 * time.Millisecond) // until it is served
	for n := range 10 * gateConnections {
		send(t, a, "GET / HTTP/1.1\r\n")
		if n%gateConnections == 0 {
			i.True(isServed(send(t, a, request("/"))))
		}
	}
	i.True(s.gate.Open() <= gateConnections)
	close(s.release)
	i.True(isServed(w))
}

// Guards against connections beyond the limit while all have a request in flight.
func TestCrowdOfRequestsIsBounded(t *testing.T) {
	i := is.New(t)
	s, a := startGate(t, nil)
	var l []net.Conn
	for range gateConnections {
		l = append(l, send(t, a, request("/wait")))
	}
	time.Sleep(50 * time.Millisecond) // until they are served
	i.True(!isServed(send(t, a, request("/"))))
	close(s.release)
	for _, c := range l {
		i.True(isServed(c))
	}
}

// Guards against heads whose memory isn't counted while they come, or stays counted when their connections end.
func TestCrowdOfHeadsIsCounted(t *testing.T) {
	i := is.New(t)
	a := intake.NewAccount(intake.Limits{Bytes: 1 << 20})
	_, d := startGate(t, a)
	c := send(t, d, "GET / HTTP/1.1\r\nX-A: "+strings.Repeat("a", 20<<10))
	time.Sleep(50 * time.Millisecond) // until it was read
	i.True(a.Taken() >= 300<<10)
	i.NoErr(c.Close())
	time.Sleep(50 * time.Millisecond) // until the server has noticed
	i.Equal(a.Taken(), int64(0))
	c = send(t, d, "GET / HTTP/1.1\r\n"+strings.Repeat("a: b\r\n", 600)) // takes about 65 KB
	time.Sleep(50 * time.Millisecond)                                    // until it was read
	i.True(a.Taken() >= 65<<10)
	i.NoErr(c.Close())
	time.Sleep(50 * time.Millisecond) // until the server has noticed
	i.Equal(a.Taken(), int64(0))
	i.True(!isServed(send(t, d, "GET / HTTP/1.1\r\nHost: h\r\nX-A: "+strings.Repeat("a", 100<<10)+"\r\n\r\n"))) // more than all heads may take
	i.Equal(a.Taken(), int64(0))
	i.True(isServed(send(t, d, "GET / HTTP/1.1\r\nHost: h\r\nX-A: "+strings.Repeat("a", 20<<10)+"\r\n\r\n")))
	i.Equal(a.Taken(), int64(0))
}

// Guards against requests that are dropped although the newcomer is then refused, and against a small limit that keeps all newcomers out.
func TestCrowdOfNewcomersDropsNoMoreThanItReplaces(t *testing.T) {
	i := is.New(t)
	a := intake.NewAccount(intake.Limits{Bytes: 1 << 20})
	s, d := startGate(t, a)
	dropped := make(chan struct{}, gateConnections)
	for range gateConnections {
		send(t, d, request("/wait"))
		defer a.Open(intake.Options{Drop: func() { dropped <- struct{}{} }}).Close()
	}
	time.Sleep(1200 * time.Millisecond) // until the requests count as stalled
	send(t, d, request("/wait"))
	time.Sleep(50 * time.Millisecond) // until it is served
	i.True(!isServed(send(t, d, request("/"))))
	i.Equal(s.gate.Open(), gateConnections+1)
	i.Equal(len(dropped), 1)
	close(s.release)
}

// Guards against idle connections of an address with many callers that are closed in place of heads that have stalled.
func TestCrowdOfStalledHeadsIsClosedBeforeIdleConnections(t *testing.T) {
	i := is.New(t)
	_, a := startGate(t, nil)
	var l []net.Conn
	for range gateConnections - 1 {
		c := send(t, a, request("/"))
		i.True(isServed(c))
		l = append(l, c)
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	s, err := d.Dial("tcp", a)
	i.NoErr(err)
	defer s.Close() //nolint:errcheck // the test ends
	_, err = io.WriteString(s, "GET / HTTP/1.1\r\n")
	i.NoErr(err)
	time.Sleep(1200 * time.Millisecond) // until the head counts as stalled
	i.True(isServed(send(t, a, request("/"))))
	for _, c := range l {
		_, err := io.WriteString(c, request("/"))
		i.NoErr(err)
		i.True(isServed(c))
	}
}
