package entry_test

import (
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/budget"
	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/entry"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/relay"
	"github.com/hickoryshelf/hickoryshelf/table"
)

const (
	// waitingReply is how long a control host waits with a reply that holds no changes.
	waitingReply = 150 * time.Millisecond
	// leaderlessTime is how long no control host has a leader.
	leaderlessTime = 10 * time.Second
)

// countingControl is a control host that counts connections and exchanges.
type countingControl struct {
	listener               net.Listener
	server                 *rpc.Server
	current                *atomic.Bool
	connections, exchanges *atomic.Int64
	// silent is set while no exchange gets a reply.
	silent *atomic.Bool
}

// Exchange replies as a control host without changes does.
func (c countingControl) Exchange(_ ctlrpc.ExchangeRequest, n *ctlrpc.ExchangeReply) error {
	c.exchanges.Add(1)
	time.Sleep(waitingReply)
	for c.silent.Load() {
		time.Sleep(waitingReply)
	}
	n.Current = c.current.Load()
	return nil
}

func (c countingControl) run() {
	for {
		n, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.connections.Add(1)
		s := countedConn{c, n}
		go s.run()
	}
}

// countedConn serves one connection of a countingControl.
type countedConn struct {
	control countingControl
	conn    net.Conn
}

func (c countedConn) run() { c.control.server.ServeConn(c.conn) }

// startCounting starts an entry host and five control hosts, none of which has a leader.
func startCounting(t *testing.T) countingControl {
	t.Helper()
	i := is.New(t)
	c := countingControl{current: &atomic.Bool{}, connections: &atomic.Int64{}, exchanges: &atomic.Int64{}, silent: &atomic.Bool{}}
	var p uint16
	var l []string
	for _, a := range []string{"127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4", "127.0.0.5"} {
		n, err := net.Listen("tcp", (&net.TCPAddr{IP: net.ParseIP(a), Port: int(p)}).String())
		i.NoErr(err)
		t.Cleanup(func() { _ = n.Close() })
		p = uint16(n.Addr().(*net.TCPAddr).Port)
		o := c
		o.listener, o.server = n, rpc.NewServer()
		i.NoErr(o.server.RegisterName(ctlrpc.ServiceName, o))
		go o.run()
		l = append(l, a+":1")
	}
	g := logrus.New()
	g.SetOutput(io.Discard)
	m := metrics.NewSet()
	s := pick.NewSet("a")
	r := relay.New(relay.Options{Endpoints: s, Budget: budget.NewHost(budget.Limits{Ratio: 0.9, Slack: 58, Window: time.Second}), Log: g, Metrics: m})
	e := entry.New(entry.Options{
		Settings: conf.Node{Name: "e", PeerPort: p, Seeds: l}, Relay: r, Set: s, Pools: []*dial.Pool{dial.NewPool()},
		Decode: func([]byte) (table.Table, error) { return table.Table{}, nil }, Log: g, Metrics: m,
	})
	t.Cleanup(e.Stop)
	return c
}

// Guards against entry hosts that open a connection for each exchange while no control host has a leader. Hundreds of them,
// each with all that it reports, took the processor time that the control hosts needed to elect one.
func TestEntryHostKeepsItsConnectionWhileNoControlHostHasALeader(t *testing.T) {
	i := is.New(t)
	c := startCounting(t)
	time.Sleep(leaderlessTime)
	t.Logf("%d connections, %d exchanges in %v", c.connections.Load(), c.exchanges.Load(), leaderlessTime)
	i.True(c.connections.Load() <= 8)                                    // at first up to three at once
	i.True(c.exchanges.Load() <= int64(leaderlessTime/waitingReply))     // no more than with a leader
	i.True(c.exchanges.Load() >= int64(leaderlessTime/(3*waitingReply))) // and the host goes on to report
	c.current.Store(true)
	n, k := c.connections.Load(), c.exchanges.Load()
	time.Sleep(5 * waitingReply)
	i.Equal(c.connections.Load(), n) // the leader is back, and the connection is still of use
	i.True(c.exchanges.Load() > k)
}

// Guards against entry hosts that open connections faster than control hosts short of processor time can answer them.
func TestEntryHostTriesSilentControlHostsLessAndLess(t *testing.T) {
	i := is.New(t)
	c := startCounting(t)
	c.silent.Store(true)
	t.Cleanup(func() { c.silent.Store(false) })
	time.Sleep(leaderlessTime)
	t.Logf("%d connections, %d exchanges in %v", c.connections.Load(), c.exchanges.Load(), leaderlessTime)
	i.True(c.exchanges.Load() <= 8)
}
