package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/caller"
	"github.com/hickoryshelf/hickoryshelf/table"
)

const (
	// shortLimit and longLimit are the idle timeouts of the two tables that take turns.
	shortLimit, longLimit = 40 * time.Millisecond, 80 * time.Millisecond
	// idleConns is the number of connections, and idleRounds how often each of them turns busy again.
	idleConns, idleRounds = 150, 12
	// spread is how long before and after the end of its idle timeout a connection turns busy.
	spread = 600 * time.Microsecond
	// pieces and piecePause make up an answer that takes longer than both timeouts.
	pieces, piecePause = 4, 30 * time.Millisecond
)

// idleHost serves callers as an entry host does, while its table changes.
type idleHost struct {
	table  atomic.Pointer[table.Table]
	server *http.Server
	ran    sync.Map // by the path of the request
	stop   chan struct{}
}

// startIdleHost starts a host and returns its address.
func startIdleHost(t *testing.T) (h *idleHost, address string) {
	t.Helper()
	h = &idleHost{stop: make(chan struct{})}
	h.table.Store(&table.Table{Limits: table.Limits{IdleTimeout: longLimit}})
	k := caller.NewTracker(func() time.Duration { return h.table.Load().Limits.IdleTimeout })
	h.server = &http.Server{Handler: k.Guard(h), ReadHeaderTimeout: time.Second, ConnState: k.Track, ConnContext: k.ConnContext}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		close(h.stop)
		_ = h.server.Close() // the test is over
	})
	go h.run(l)
	go h.loop()
	return h, l.Addr().String()
}

func (h *idleHost) run(l net.Listener) { _ = h.server.Serve(l) } // returns once the server is closed

// loop lowers and raises the idle timeout in turn.
func (h *idleHost) loop() {
	for v := int64(1); ; v++ {
		d := shortLimit
		if v%2 == 0 {
			d = longLimit
		}
		h.table.Store(&table.Table{Version: v, Limits: table.Limits{IdleTimeout: d}})
		select {
		case <-time.After(shortLimit / 3):
		case <-h.stop:
			return
		}
	}
}

// ServeHTTP answers in pieces.
func (h *idleHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.ran.Store(r.URL.Path, true)
	c := http.NewResponseController(w)
	for n := range pieces {
		if n > 0 {
			time.Sleep(piecePause)
		}
		_, _ = fmt.Fprintf(w, "piece %d\n", n)
		_ = c.Flush() // the caller checks what has arrived
	}
}

// LogUnserved does nothing: callers count what isn't served.
func (h *idleHost) LogUnserved(*http.Request) {}

// idleCaller is a caller with one connection at a time, which turns busy as its idle timeout ends.
type idleCaller struct {
	host    *idleHost
	address string
	name    int
	group   *sync.WaitGroup
	// served counts the whole answers to such requests, refused those without any byte of an answer that didn't run, and cut the
	// others.
	served, refused, cut *atomic.Int64
}

func (c idleCaller) run() {
	defer c.group.Done()
	var n net.Conn
	var b *bufio.Reader
	for k := range idleRounds {
		if n == nil {
			var err error
			if n, err = net.Dial("tcp", c.address); err != nil {
				c.cut.Add(1)
				return
			}
			b = bufio.NewReader(n)
			if _, w := c.ask(n, b, fmt.Sprintf("/%d/%d/first", c.name, k)); !w {
				c.cut.Add(1)
				return
			}
		}
		l := []time.Duration{shortLimit, longLimit}[rand.IntN(2)]
		time.Sleep(l - spread + rand.N(2*spread))
		p := fmt.Sprintf("/%d/%d", c.name, k)
		a, w := c.ask(n, b, p)
		_, r := c.host.ran.Load(p)
		switch {
		case w && r:
			c.served.Add(1)
			continue
		case !a && !r:
			c.refused.Add(1)
		default:
			c.cut.Add(1)
		}
		_ = n.Close() // the next round opens another one
		n = nil
	}
}

// ask sends a request and reports whether an answer has begun, and whether it is whole.
func (c idleCaller) ask(n net.Conn, b *bufio.Reader, path string) (begun, whole bool) {
	if _, err := fmt.Fprintf(n, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", path); err != nil {
		return false, false
	}
	r, err := http.ReadResponse(b, nil)
	if err != nil {
		return false, false
	}
	x, err := io.ReadAll(r.Body)
	return true, err == nil && len(x) == pieces*len("piece 0\n")
}

// Guards against requests that run without a whole answer because the idle timeout, which a change of the configuration lowers,
// ends as they come or while they are in flight.
func TestIdleTimeoutCutsNoRequest(t *testing.T) {
	i := is.New(t)
	h, a := startIdleHost(t)
	var g sync.WaitGroup
	var s, r, u atomic.Int64
	for k := range idleConns {
		g.Add(1)
		c := idleCaller{host: h, address: a, name: k, group: &g, served: &s, refused: &r, cut: &u}
		go c.run()
	}
	g.Wait()
	t.Logf("%d served, %d closed before they ran, %d cut", s.Load(), r.Load(), u.Load())
	i.Equal(u.Load(), int64(0))
	i.True(s.Load() > 0 && r.Load() > 0) // requests came on both sides of the end of the timeout
}
