package entry_test

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/budget"
	"github.com/hickoryshelf/hickoryshelf/clock"
	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/entry"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/relay"
	"github.com/hickoryshelf/hickoryshelf/speed"
	"github.com/hickoryshelf/hickoryshelf/table"
)

// hostOptions are what differs between the entry hosts of the tests.
type hostOptions struct {
	// port is the peer port of the control hosts, and seeds are their addresses.
	port  uint16
	seeds []string
	// decode makes a table of a document. Nil means a table without a version.
	decode func(document []byte) (table.Table, error)
	// applyTime is how old a confirmation of the table may be for a denial. 0 means the default.
	applyTime time.Duration
	// suspended is the time for which the machine was suspended, or nil for that of the system.
	suspended clock.Source
	// centreDrain is the setting of that name.
	centreDrain conf.Duration
	// ask asks other entry hosts, or is nil.
	ask func(address string) (ctlrpc.Directory, error)
	// speeds is set if hosts share the speed of endpoints, and log is where the lines go, or nil.
	speeds *speed.Meter
	log    io.Writer
}

// newEntry starts an entry host without endpoints. The caller stops it.
func newEntry(o hostOptions) (*entry.Entry, *relay.Relay) {
	if o.decode == nil {
		o.decode = func([]byte) (table.Table, error) { return table.Table{}, nil }
	}
	g := logrus.New()
	g.SetOutput(io.Discard)
	if o.log != nil {
		g.SetOutput(o.log)
	}
	m := metrics.NewSet()
	s := pick.NewSet("a")
	b := budget.NewHost(budget.Limits{Ratio: 0.9, Slack: 58, Window: time.Second})
	r := relay.New(relay.Options{Endpoints: s, Budget: b, Log: g, Metrics: m, ApplyTime: o.applyTime, Suspended: o.suspended, Speeds: o.speeds})
	e := entry.New(entry.Options{
		Settings: conf.Node{Name: "e", PeerPort: o.port, Seeds: o.seeds, Bounds: conf.Bounds{CentreDrain: o.centreDrain}}, Relay: r, Set: s, Pools: []*dial.Pool{dial.NewPool()}, AskDirectory: o.ask,
		Decode: o.decode, Log: g, Metrics: m,
	})
	return e, r
}
