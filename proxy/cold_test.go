package proxy_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/relay"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

// startColdHelping is like startHelping with a limit of cold endpoints.
func startColdHelping(t testing.TB, answer func(context.Context) relay.Reply) *helping {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := startLimitedHelping(t, l, answer, warmup.Limits{Overage: 1.5, Slack: 5})
	h.set.SetColdLimits(map[string]pick.ColdLimit{"s": {Rate: 10, Time: time.Second}})
	return h
}

// turnCold lets the host hear that the endpoint is cold.
func (h *helping) turnCold() {
	r := endpoint
	r.Sequence, r.ColdLeft = 2, time.Second
	h.set.Merge([]fleet.Report{r}, nil)
}

// coldDuringPause makes the endpoint cold while a call is paused.
type coldDuringPause struct {
	helping *helping
	link    pausedLink
}

func (d coldDuringPause) run() {
	<-d.link.paused
	time.Sleep(50 * time.Millisecond) // until the helper waits for the body
	d.helping.turnCold()
	close(d.link.goOn)
}

// Guards against a request that is sent to a cold endpoint since its body was still under way when the helper heard that it is cold.
func TestCallIsDeclinedIfItsEndpointTurnsColdWhileItsBodyArrives(t *testing.T) {
	i := is.New(t)
	h := startColdHelping(t, answering(bytes.NewBufferString("")))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	defer l.Close() //nolint:errcheck // the test is over
	p := pausedLink{l, h.address, make(chan struct{}), make(chan struct{})}
	go p.run()
	d := coldDuringPause{h, p}
	go d.run()
	a := attempt()
	a.Body = bytes.Repeat([]byte("x"), 64<<10)
	r, n := client().Send(context.Background(), helper(l.Addr().String()), a)
	i.Equal(n.Result, relay.Declined)
	i.Equal(n.Reason, "endpoint cold")
	i.Equal(r.Verdict, relay.NotRun)
	i.Equal(h.sender.count(), 0)
}

// Guards against a request that a helper sends to an endpoint which has become cold while the connection was opened, and against an origin
// that takes what wasn't sent for something that may have run.
func TestHelperSendsNothingToEndpointThatTurnsColdAfterItHasBegun(t *testing.T) {
	i := is.New(t)
	var h *helping
	h = startColdHelping(t, func(context.Context) relay.Reply {
		a := h.sender.attempts[0]
		before := a.MaySend != nil && a.MaySend()
		h.turnCold() // while the connection opens
		if !before || a.MaySend() {
			return relay.Reply{Verdict: relay.Unknown}
		}
		return relay.Reply{Verdict: relay.NotRun, Confidence: -1}
	})
	r, n := client().Send(context.Background(), helper(h.address), attempt())
	i.Equal(n.Result, relay.Delivered)
	i.Equal(r.Verdict, relay.NotRun)
	i.Equal(r.Status, 0)
}
