package entry_test

import (
	"bytes"
	"fmt"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/itest"
	"github.com/hickoryshelf/hickoryshelf/speed"
)

// speedControl is a fake control host that knows 40 endpoints and their speeds after a number of requests, and keeps the requests.
type speedControl struct {
	lock     *sync.Mutex
	requests *[]ctlrpc.ExchangeRequest
	factors  func(requests int) map[string]speed.Factor
}

// Exchange answers with the endpoints and their factors.
func (c speedControl) Exchange(q ctlrpc.ExchangeRequest, n *ctlrpc.ExchangeReply) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	*c.requests = append(*c.requests, q)
	n.Control, n.Current, n.FleetNew, n.FleetRevision = "c", true, true, 1
	for k := range 40 {
		n.Reports = append(n.Reports, fleet.Report{ID: fmt.Sprint("e", k), Born: 5, Service: "s", Sequence: 1})
	}
	n.Speeds.Factors = c.factors(len(*c.requests))
	return nil
}

// lockedBuffer is a buffer for the lines of a logger.
type lockedBuffer struct {
	lock   sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.lock.Lock()
	defer b.lock.Unlock()
	return strings.Count(b.buffer.String(), text)
}

// steps returns a factor at all bands of load.
func steps(n int) speed.Factor {
	return speed.Factor{Born: 5, Steps: [speed.Bands]int8{int8(n), int8(n), int8(n), int8(n)}}
}

// run lets a host exchange with the control host nine times.
func (c speedControl) run(t *testing.T, o hostOptions) {
	t.Helper()
	i := is.New(t)
	s := rpc.NewServer()
	i.NoErr(s.RegisterName(ctlrpc.ServiceName, c))
	ip, port := slowAddress(0), reservePort(t, controlHosts)
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	i.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	a := controlServer{s, l}
	go a.run()
	o.port, o.seeds = port, []string{ip + ":1"}
	e, _ := newEntry(o)
	itest.Eventually(t, 5*time.Second, func() error {
		c.lock.Lock()
		defer c.lock.Unlock()
		if len(*c.requests) < 9 {
			return fmt.Errorf("%d exchanges", len(*c.requests))
		}
		return nil
	})
	e.Stop()
	time.Sleep(300 * time.Millisecond) // the last exchange ends
}

// Guards against a host that reports or uses speeds though its settings don't ask for it, and against one that does neither though
// they do.
func TestSpeedsAreExchangedOnlyIfAsked(t *testing.T) {
	for _, shared := range []bool{false, true} {
		t.Run(fmt.Sprint(shared), func(t *testing.T) {
			i := is.New(t)
			c := speedControl{&sync.Mutex{}, &[]ctlrpc.ExchangeRequest{}, func(int) map[string]speed.Factor {
				return map[string]speed.Factor{"e0": steps(35)}
			}}
			var b lockedBuffer
			o := hostOptions{log: &b}
			if shared {
				o.speeds = speed.NewMeter()
				for range 20 {
					o.speeds.Observe(speed.Sample{Kind: speed.Gap, Work: "w", Endpoint: "e0", Born: 5, Factor: 1, Took: 0.03}, time.Now())
				}
			}
			c.run(t, o)
			c.lock.Lock()
			defer c.lock.Unlock()
			n := 0
			for _, q := range *c.requests {
				i.Equal(q.Known.SharesSpeeds, shared)
				n += len(q.Report.Speeds)
			}
			i.Equal(n > 0, shared)
			i.Equal(b.count("endpoint's speed changed") > 0, shared)
		})
	}
}

// Guards against a change that is never logged because it comes in small steps, and against a line for each endpoint where many change.
func TestChangesOfSpeedAreLoggedInBulk(t *testing.T) {
	i := is.New(t)
	c := speedControl{&sync.Mutex{}, &[]ctlrpc.ExchangeRequest{}, func(n int) map[string]speed.Factor {
		if n < 5 {
			return map[string]speed.Factor{"e0": steps(3 * n)} // 0.06 a step, 0.24 in all
		}
		r := map[string]speed.Factor{}
		for k := range 40 {
			r[fmt.Sprint("e", k)] = steps(50)
		}
		return r
	}}
	var b lockedBuffer
	c.run(t, hostOptions{log: &b, speeds: speed.NewMeter()})
	i.Equal(b.count("endpoint's speed changed"), 2)
	i.Equal(b.count("speeds of endpoints changed"), 1)
	i.Equal(b.count("count=40"), 1)
}
