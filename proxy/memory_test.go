package proxy_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/memory"
	"github.com/hickoryshelf/hickoryshelf/proxy"
	"github.com/hickoryshelf/hickoryshelf/relay"
)

const (
	// manyRequests is the number of requests that get faulty answers at once.
	manyRequests = 200
	// mostAsked is how many of them ask the other host at a time, so that it answers each in time also beside other load. What was
	// answered stays open.
	mostAsked = 20
	// maxKeptBytes is what a host of 256 MB may keep of them: an eighth of its memory, and 64 KiB for each request.
	maxKeptBytes = 256<<20/8 + manyRequests*64<<10
)

// frame returns a frame of a kind: 3 is begun, 5 is head.
func frame(kind byte, content []byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(content))), content...)
}

// headHost is a host that answers each call with the same head, and then sends nothing.
type headHost struct {
	listener net.Listener
	frames   []byte
}

func (h headHost) run() {
	for {
		c, err := h.listener.Accept()
		if err != nil {
			return
		}
		a := headCall{h, c}
		go a.run()
	}
}

// headCall is a call on a connection.
type headCall struct {
	host headHost
	conn net.Conn
}

func (c headCall) run() {
	defer c.conn.Close() //nolint:errcheck // the test ends
	b := make([]byte, 4096)
	if _, err := c.conn.Read(b); err != nil {
		return
	}
	if _, err := c.conn.Write(c.host.frames); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.conn) // until the connection is closed
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against heads that come through another host and are kept without a bound for all requests together.
func TestManyLongHeadsThroughAnotherHostLeaveMemory(t *testing.T) {
	i := is.New(t)
	v := map[string][]string{}
	for n := range 30_000 {
		v["A"+strconv.Itoa(n)] = []string{""}
	}
	d, err := json.Marshal(map[string]any{"verdict": relay.Ran, "status": 200, "header": http.Header(v), "has-body": true})
	i.NoErr(err)
	v = nil
	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	defer l.Close() //nolint:errcheck // the test ends
	h := headHost{l, append(frame(3, nil), frame(5, d)...)}
	go h.run()
	x, f := context.WithCancel(t.Context())
	m := memory.NewAccount(256)
	c := &proxy.Client{Host: "me", Start: "1", Pool: dial.NewPool(), Memory: m}
	b := heapBytes()
	r := make([]relay.Reply, manyRequests)
	p := make([]relay.Hop, manyRequests)
	var w sync.WaitGroup
	s := make(chan struct{}, mostAsked)
	for n := range r {
		w.Go(func() {
			s <- struct{}{}
			defer func() { <-s }()
			r[n], p[n] = c.Send(x, helper(l.Addr().String()), attempt())
		})
	}
	w.Wait()
	k := heapBytes() - b
	t.Logf("%d bytes kept", k)
	i.True(k <= maxKeptBytes)
	for n, o := range p {
		i.Equal(o.Result, relay.Delivered) // the endpoint is at fault, not the other host
		i.True(r[n].Verdict == relay.Ran || r[n].Verdict == relay.Unknown)
		if r[n].Body != nil {
			i.NoErr(r[n].Body.Close())
		}
	}
	f()
	time.Sleep(10 * time.Millisecond)
	i.Equal(m.Taken(), int64(0))
}
