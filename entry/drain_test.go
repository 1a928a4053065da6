package entry_test

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/drain"
	"github.com/hickoryshelf/hickoryshelf/table"
)

// drainingControl is a control host that tells of newer drains with its first reply, which has a configuration too, and of older ones with
// all others. It records what the entry host says that it holds.
type drainingControl struct {
	lock *sync.Mutex
	held *[]uint64
}

func (c drainingControl) Exchange(q ctlrpc.ExchangeRequest, n *ctlrpc.ExchangeReply) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	*c.held = append(*c.held, q.Known.DrainIndex)
	n.Current, n.Sure = true, true
	if q.Known.TableVersion == 0 {
		n.TableVersion, n.Document = 1, []byte("1")
		n.Drains = ctlrpc.Drains{State: drain.State{"z": {Drained: true, Index: 9}}, Index: 9}
		return nil
	}
	time.Sleep(20 * time.Millisecond)
	n.Drains = ctlrpc.Drains{State: drain.State{"y": {Drained: true, Index: 8}}, Index: 8}
	return nil
}

// indices returns what the entry host has said.
func (c drainingControl) indices() []uint64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	return slices.Clone(*c.held)
}

// Guards against a host that starts, and sends requests to a drained data centre since it takes the configuration first; against one that
// falls back to older drains; and against control hosts that send drains again and again to a host that doesn't know them.
func TestDrainsAreInForceBeforeConfiguration(t *testing.T) {
	for _, d := range []time.Duration{0, time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			i := is.New(t)
			c := drainingControl{&sync.Mutex{}, &[]uint64{}}
			p := listenService(t, c, 0, 0)
			var drained func() []string
			var ready atomic.Bool
			var early []string
			decode := func([]byte) (table.Table, error) {
				for !ready.Load() {
					time.Sleep(time.Millisecond)
				}
				early = drained()
				return table.Table{Version: 1}, nil
			}
			e, r := newEntry(hostOptions{port: p, seeds: []string{slowAddress(0) + ":1"}, decode: decode, centreDrain: conf.Duration(d)})
			t.Cleanup(e.Stop)
			drained = r.Endpoints.DrainedCentres
			ready.Store(true)
			i.True(getsReady(e))
			i.Equal(early, []string{"z"})
			for len(c.indices()) < 6 {
				time.Sleep(10 * time.Millisecond)
			}
			i.Equal(drained(), []string{"z"})
			if d > 0 {
				i.Equal(c.indices()[0], ctlrpc.HoldsNoDrains)
				i.Equal(c.indices()[5], uint64(9))
			} else {
				i.Equal(c.indices()[0], uint64(0))
			}
		})
	}
}
