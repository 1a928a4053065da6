package gate_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/gate"
	"github.com/hickoryshelf/hickoryshelf/model"
)

// longHeadBytes is a little less than the 10 MiB that a head may have for net/http where nothing else is set, and soundHeadBytes
// the length of a sound head.
const (
	longHeadBytes  = 9 << 20
	soundHeadBytes = 12 << 10
)

// manyFields returns header fields with different names, as many as fit into a number of bytes.
func manyFields(bytes int) string {
	var b strings.Builder
	for n := 0; b.Len() < bytes; n++ {
		fmt.Fprintf(&b, "A%x:\r\n", n)
	}
	return b.String()
}

// headServer is an engine that answers each request with the same bytes and then sends nothing.
type headServer struct {
	listener net.Listener
	answer   []byte
	requests sync.WaitGroup
}

// run serves connections until the listener is closed.
func (s *headServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.requests.Go(func() { s.serve(c) })
	}
}

func (s *headServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	if _, err := c.Write(s.answer); err != nil {
		return
	}
	_, _ = c.Read(make([]byte, 1<<10)) // the host closes the connection or the test ends
}

// Guards against a host that keeps the long heads that a faulty engine sends to many requests at once.
func TestManyEndlessHeadsOfEnginesLeaveMemory(t *testing.T) {
	for n, a := range map[string]string{
		"status line":              "HTTP/1.1 200 " + strings.Repeat("a", longHeadBytes),
		"one field":                "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", longHeadBytes),
		"many fields":              "HTTP/1.1 200 OK\r\n" + manyFields(longHeadBytes),
		"whole head":               "HTTP/1.1 200 OK\r\n" + manyFields(longHeadBytes) + "\r\n",
		"interim head":             "HTTP/1.1 103 Early Hints\r\n" + manyFields(longHeadBytes),
		"sound length, unfinished": "HTTP/1.1 200 OK\r\n" + manyFields(soundHeadBytes),
		"sound length, whole":      "HTTP/1.1 200 OK\r\n" + manyFields(soundHeadBytes) + "\r\n",
		"many interim":             strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: "+strings.Repeat("a", 2000)+"\r\n\r\n", longHeadBytes/2000),
	} {
		t.Run(n, func(t *testing.T) {
			i := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			i.NoErr(err)
			s := &headServer{listener: l, answer: []byte(a)}
			go s.run()
			defer func() { _ = l.Close() }()
			g := newMemoryGate(&httptest.Server{Listener: l}, model.ClassTerms{})
			defer g.Close()
			x, f := context.WithCancel(t.Context())
			defer f()
			time.Sleep(200 * time.Millisecond) // until the connections of the case before are closed
			b := heapBytes()
			var w sync.WaitGroup
			for range manyRequests {
				w.Go(func() { g.ServeHTTP(discardWriter{http.Header{}}, chatRequest(x, true)) })
			}
			time.Sleep(1500 * time.Millisecond) // until all that comes was read
			k := heapBytes() - b
			t.Logf("%d bytes kept", k)
			i.True(k <= maxKeptBytes)
			f()
			w.Wait()
			s.requests.Wait()
		})
	}
}

// Guards against a long head that costs the request its answer, and against a bound that refuses sound heads.
func TestEngineWithLongHeadIsPassedOver(t *testing.T) {
	for _, bytes := range []int{soundHeadBytes, longHeadBytes} {
		t.Run(fmt.Sprint(bytes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := newWorld(t)
				w.add("a", func(x *exchange) {
					x.Header().Set("X-A", strings.Repeat("a", bytes))
					sound(x)
				})
				w.add("b", sound)
				r := w.stream(t.Context(), "chat")
				i.Equal(r.text, wholeText)
				i.True(r.done)
				i.Equal(w.finished["r1.0"] == core.EndedWell, bytes == soundHeadBytes)
			})
		})
	}
}

// Guards against statuses that no answer may have: 101, which nobody asked for, and those that aren't HTTP's, which net/http can't write.
// The engine keeps the connection open.
func TestStatusThatIsNoneIsNotDelivered(t *testing.T) {
	for _, n := range []string{"000", "099", "101", "600", "999"} {
		for _, not := range []string{"", gate.HeaderNotRun + ": true\r\n"} {
			for _, stream := range []bool{false, true} {
				i := is.New(t)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				i.NoErr(err)
				s := &headServer{listener: l, answer: []byte("HTTP/1.1 " + n + " Odd\r\n" + not + "Content-Length: 2\r\n\r\nno")}
				go s.run()
				g := newMemoryGate(&httptest.Server{Listener: l}, model.ClassTerms{})
				x, f := context.WithTimeout(t.Context(), 2*time.Second)
				w := httptest.NewRecorder()
				g.ServeHTTP(w, chatRequest(x, stream))
				i.NoErr(x.Err()) // it was known at once
				i.True(w.Code >= http.StatusInternalServerError && w.Code < 600)
				i.True(w.Body.String() != "no")
				i.Equal(w.Header().Get(gate.HeaderOutcome), model.OutcomeUnknown.String())
				f()
				g.Close()
				i.NoErr(l.Close())
			}
		}
	}
}
