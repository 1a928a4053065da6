package caller

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/intake"
)

const (
	// settledTime is how long a connection may take for a head before it is closed in place of idle ones.
	settledTime = time.Second
	// An eighth more connections than GateOptions.Connections, and one at least, may be open while dropped requests close theirs.
	overcommitDivisor = 8
)

// GateOptions holds what a Gate depends on.
type GateOptions struct {
	Listener net.Listener
	// Name says in logs and metrics who connects.
	Name string
	// Connections is the number of connections from which others are closed for new ones, or 0 for any number. For a moment an eighth more may be
	// open.
	Connections int
	// Intake bounds what heads take. Nil means no bound.
	Intake  *intake.Account
	Log     *logrus.Logger
	Metrics *metrics.Set
}

// Gate is a listener that bounds the number of open connections and what their heads take. Once there are too many, it closes one
// without a request in flight for each new one: one whose head has stalled, else one of the address that has most of them. It is safe for concurrent use.
type Gate struct {
	net.Listener
	options GateOptions
	log     *logrus.Entry

	lock  sync.Mutex
	conns map[*gateConn]struct{}
}

// phase is what a connection does.
type phase int

const (
	readingHead phase = iota
	idling
	serving
	closing
)

// NewGate returns a gate.
func NewGate(o GateOptions) *Gate {
	g := &Gate{Listener: o.Listener, options: o, log: o.Log.WithField("from", o.Name), conns: map[*gateConn]struct{}{}}
	o.Metrics.GetOrCreateGauge(`open_connections{from="`+o.Name+`"}`, func() float64 { return float64(g.Open()) })
	return g
}

// Open returns the number of open connections.
func (g *Gate) Open() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return len(g.conns)
}

// Accept waits for a connection.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		n, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newGateConn(n, g)
		if g.admit(c) {
			return c, nil
		}
		g.count("refused")
		_ = n.Close() // nothing was read from it
	}
}

// admit counts a connection as open, and closes another one if there are too many. It returns false if there is no room.
func (g *Gate) admit(c *gateConn) bool {
	g.lock.Lock()
	var v *gateConn
	n := len(g.conns)
	full := g.options.Connections > 0 && n >= g.options.Connections
	if full {
		if v = g.victim(time.Now()); v != nil {
			v.phase = closing
			delete(g.conns, v)
		}
	}
	if !full || v != nil {
		g.conns[c] = struct{}{}
	}
	g.lock.Unlock()
	switch {
	case !full:
		return true
	case v != nil:
		g.count("replaced")
		g.log.WithFields(logrus.Fields{"address": v.address, "open": n}).Debug("gate: a connection without a request in flight is closed for a new one")
		_ = v.Close() // the caller sees the connection end
		return true
	}
	return g.admitBeyond(c)
}

// admitBeyond admits a connection in place of a request that has stalled or is slow, if there is one. Its connection ends soon.
func (g *Gate) admitBeyond(c *gateConn) bool {
	if !g.reserve(c) {
		return false
	}
	if !g.options.Intake.DropWorst() {
		g.remove(c)
		return false
	}
	return true
}

// reserve counts a connection as open beyond Connections, while dropped requests close theirs, and reports false if there is no room for that.
func (g *Gate) reserve(c *gateConn) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	if len(g.conns) >= g.options.Connections+max(1, g.options.Connections/overcommitDivisor) {
		return false
	}
	g.conns[c] = struct{}{}
	return true
}

// victim returns the connection that is closed for a new one, or nil if all have a request in flight: one whose head takes long, else one
// of the address with most connections, there the one idle for longest, else a new one.
func (g *Gate) victim(now time.Time) *gateConn {
	l := map[string]int{}
	for c := range g.conns {
		if c.phase != serving {
			l[c.address]++
		}
	}
	var v *gateConn
	for c := range g.conns {
		if c.phase != serving && (v == nil || c.isBefore(v, l, now)) {
			v = c
		}
	}
	return v
}

// isBefore reports whether a connection is closed before another one.
func (c *gateConn) isBefore(o *gateConn, byAddress map[string]int, now time.Time) bool {
	r, q := c.rank(now), o.rank(now)
	if (r == 0) != (q == 0) {
		return r == 0
	}
	if a, b := byAddress[c.address], byAddress[o.address]; a != b {
		return a > b
	}
	if r != q {
		return r < q
	}
	return c.since.Before(o.since)
}

// rank returns 0 for a connection whose head takes long, 1 for an idle one and 2 for one whose head has just begun.
func (c *gateConn) rank(now time.Time) int {
	switch {
	case c.phase == readingHead && now.Sub(c.since) >= settledTime:
		return 0
	case c.phase == idling:
		return 1
	}
	return 2
}

// count counts a connection that was closed, and why.
func (g *Gate) count(why string) {
	g.options.Metrics.GetOrCreateCounter(`connections_closed_total{from="` + g.options.Name + `",why="` + why + `"}`).Inc()
}

// Track records the new state of a connection; see http.Server.ConnState.
func (g *Gate) Track(n net.Conn, s http.ConnState) {
	c, ok := n.(*gateConn)
	if !ok {
		return
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	if c.phase == closing {
		return
	}
	switch s {
	case http.StateActive:
		c.phase = serving
		c.endHead()
	case http.StateIdle:
		c.phase = idling
		c.since = time.Now()
		c.between.Store(true)
	}
}

// setReading says that a head has begun.
func (g *Gate) setReading(c *gateConn) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if c.phase == idling {
		c.phase, c.since = readingHead, time.Now()
	}
}

// beginClose reports whether a connection has no request in flight. Its requests aren't served from then on.
func (g *Gate) beginClose(c *gateConn) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	if c.phase == serving {
		return false
	}
	c.phase = closing
	return true
}

// remove counts a connection as closed.
func (g *Gate) remove(c *gateConn) {
	g.lock.Lock()
	defer g.lock.Unlock()
	delete(g.conns, c)
}
