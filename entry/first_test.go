package entry_test

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/entry"
	"github.com/hickoryshelf/hickoryshelf/relay"
	"github.com/hickoryshelf/hickoryshelf/table"
)

// versionControl is a control host that hands out a version of the configuration.
type versionControl struct {
	version int64
	current bool
	// delay is how long it takes for each reply.
	delay time.Duration
	// once is set if it replies once only.
	once bool
	// replies counts its replies.
	replies *atomic.Int64
}

func (c versionControl) Exchange(q ctlrpc.ExchangeRequest, n *ctlrpc.ExchangeReply) error {
	time.Sleep(c.delay)
	if c.once && c.replies.Load() > 0 {
		time.Sleep(never)
	}
	n.Control, n.Sure, n.Current = fmt.Sprint("c", c.version), true, c.current
	if q.Known.TableVersion < c.version {
		n.TableVersion, n.Document = c.version, []byte(fmt.Sprint(c.version))
	} else {
		time.Sleep(waitingReply)
	}
	c.replies.Add(1)
	return nil
}

func (c versionControl) Leader(_ ctlrpc.Ack, r *ctlrpc.LeaderReply) error {
	r.Current = c.current
	return nil
}

// decodeVersion returns a table without routes whose version the document gives.
func decodeVersion(d []byte) (table.Table, error) {
	v, err := strconv.ParseInt(string(d), 10, 64)
	return table.Table{Version: v}, err
}

// startBesideStale starts an entry host whose only control host isn't current and hands out the first version. It returns once that one has
// replied, with the port of the control hosts.
func startBesideStale(t *testing.T, once bool) (*entry.Entry, *relay.Relay, uint16) {
	t.Helper()
	c := versionControl{version: 1, once: once, replies: &atomic.Int64{}}
	p := listenService(t, c, 0, 0)
	e, r := newEntry(hostOptions{port: p, seeds: []string{slowAddress(0) + ":1", slowAddress(1) + ":1"}, decode: decodeVersion, applyTime: applyTime})
	t.Cleanup(e.Stop)
	for b := time.Now(); c.replies.Load() == 0 && time.Since(b) < applyTime; {
		time.Sleep(time.Millisecond)
	}
	return e, r, p
}

// Guards against entry hosts that start with an old configuration though they reach a control host that is current, since another one, which
// was cut off or replaced, answers first.
func TestFirstTableIsThatOfCurrentControlHost(t *testing.T) {
	for n, c := range map[string]versionControl{
		"newer":         {version: 2, current: true},
		"same":          {version: 1, current: true},
		"newer, slow":   {version: 2, current: true, delay: slowReply},
		"newer, slower": {version: 2, current: true, delay: 3 * time.Second},
	} {
		t.Run(n, func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			b := time.Now()
			e, r, p := startBesideStale(t, false)
			c.replies = &atomic.Int64{}
			listenService(t, c, 1, p)
			i.True(getsReady(e))
			t.Log(time.Since(b))
			i.Equal(r.Table().Version, c.version)
			i.True(c.replies.Load() > 0)                           // the current control host has replied before
			i.True(time.Since(b) < c.delay+applyTime-waitingReply) // the host didn't wait until none is found
		})
	}
}

// Guards against entry hosts that don't start in a data centre that is cut off from the control hosts with a leader, and against those that
// start with what may be old before they have looked for a current control host.
func TestTableOfStaleControlHostIsInForceOnceNoCurrentOneIsFound(t *testing.T) {
	for _, once := range []bool{false, true} {
		t.Run(fmt.Sprint("one reply only: ", once), func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			e, r, _ := startBesideStale(t, once)
			b := time.Now()
			time.Sleep(applyTime / 4)
			var s refusalSink
			r.Serve(context.Background(), &relay.Request{ID: "1", Host: "h", Path: "/none", Received: time.Now()}, &s)
			i.Equal(s.reason, relay.NoConfiguration)
			i.True(getsReady(e))
			t.Log(time.Since(b))
			i.True(time.Since(b) < 2*applyTime)
			i.Equal(r.Table().Version, int64(1))
			r.Serve(context.Background(), &relay.Request{ID: "2", Host: "h", Path: "/none", Received: time.Now()}, &s)
			i.Equal(s.reason, relay.Unconfirmed) // a newer version may allow it
		})
	}
}
