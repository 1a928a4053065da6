package proxy_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	drains "github.com/hickoryshelf/hickoryshelf/drain"
	"github.com/hickoryshelf/hickoryshelf/relay"
)

// drain drains the data centre of the endpoint.
func (h *helping) drain() {
	h.set.SetDrains(ctlrpc.Drains{State: drains.State{"c": {Drained: true, Index: 5}}, Index: 5}, time.Now())
}

// pausedLink passes one connection on to an address. After the first bytes of a call it waits until it may go on.
type pausedLink struct {
	listener net.Listener
	to       string
	paused   chan struct{}
	goOn     chan struct{}
}

// passedBytes is what passes before the pause: the head of a call and a part of its body.
const passedBytes = 8 << 10

func (l pausedLink) run() {
	c, err := l.listener.Accept()
	if err != nil {
		return
	}
	s, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer s.Close() //nolint:errcheck // the test is over
	b := copying{from: s, to: c}
	go b.run()
	_, _ = io.CopyN(s, c, passedBytes) // the test fails without the rest
	close(l.paused)
	<-l.goOn
	_, _ = io.Copy(s, c) // ends with the connection
}

// Guards against a request that is sent to a drained data centre since its body was still under way when the helper heard of the drain,
// and of the end of the endpoint.
func TestCallIsDeclinedIfItsDataCentreIsDrainedWhileItsBodyArrives(t *testing.T) {
	for _, removed := range []bool{false, true} {
		t.Run(fmt.Sprint(removed), func(t *testing.T) { declinesWhileBodyArrives(t, removed) })
	}
}

func declinesWhileBodyArrives(t *testing.T, removed bool) {
	i := is.New(t)
	h := startHelping(t, answering(bytes.NewBufferString("")))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	defer l.Close() //nolint:errcheck // the test is over
	p := pausedLink{l, h.address, make(chan struct{}), make(chan struct{})}
	go p.run()
	a := attempt()
	a.Body = bytes.Repeat([]byte("x"), 64<<10)
	d := drainDuringPause{h, p, removed}
	go d.run()
	r, n := client().Send(context.Background(), helper(l.Addr().String()), a)
	i.Equal(n.Result, relay.Declined)
	i.Equal(n.Reason, "data centre drained")
	i.True(n.Drained) // so that the helper is asked for other data centres
	i.Equal(r.Verdict, relay.NotRun)
	i.Equal(h.sender.count(), 0)
}

// drainDuringPause drains the data centre of the endpoint while a call is paused.
type drainDuringPause struct {
	helping *helping
	link    pausedLink
	// removed is set if the endpoint is no longer known then.
	removed bool
}

func (d drainDuringPause) run() {
	<-d.link.paused
	time.Sleep(50 * time.Millisecond) // until the helper waits for the body
	d.helping.drain()
	if d.removed {
		d.helping.set.Replace(nil)
	}
	close(d.link.goOn)
}
