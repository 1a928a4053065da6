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

// speedControl is a fake control host that knows one endpoint and its speed, and keeps the requests.
type speedControl struct {
	lock     *sync.Mutex
	requests *[]ctlrpc.ExchangeRequest
}

// Exchange answers with the endpoint and its factor.
func (c speedControl) Exchange(q ctlrpc.ExchangeRequest, n *ctlrpc.ExchangeReply) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	*c.requests = append(*c.requests, q)
	n.Control, n.Current, n.FleetNew, n.FleetRevision = "c", true, true, 1
	n.Reports = []fleet.Report{{ID: "e", Born: 5, Service: "s", Sequence: 1}}
	n.Speeds.Factors = map[string]speed.Factor{"e": {Born: 5, Steps: [speed.Bands]int8{35, 35, 35, 35}}}
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

func (b *lockedBuffer) contains(text string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return strings.Contains(b.buffer.String(), text)
}

// Guards against a host that reports or uses speeds though its settings don't ask for it, and against one that does neither though
// they do.
func TestSpeedsAreExchangedOnlyIfAsked(t *testing.T) {
	for _, shared := range []bool{false, true} {
		t.Run(fmt.Sprint(shared), func(t *testing.T) {
			i := is.New(t)
			c := speedControl{&sync.Mutex{}, &[]ctlrpc.ExchangeRequest{}}
			s := rpc.NewServer()
			i.NoErr(s.RegisterName(ctlrpc.ServiceName, c))
			ip, port := slowAddress(0), reservePort(t, controlHosts)
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			i.NoErr(err)
			t.Cleanup(func() { _ = l.Close() })
			a := controlServer{s, l}
			go a.run()
			var b lockedBuffer
			o := hostOptions{port: port, seeds: []string{ip + ":1"}, log: &b}
			if shared {
				o.speeds = speed.NewMeter()
				for range 20 {
					o.speeds.Observe(speed.Sample{Kind: speed.Gap, Work: "w", Endpoint: "e", Born: 5, Factor: 1, Took: 0.03}, time.Now())
				}
			}
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
			c.lock.Lock()
			defer c.lock.Unlock()
			n := 0
			for _, q := range *c.requests {
				i.Equal(q.Known.SharesSpeeds, shared)
				n += len(q.Report.Speeds)
			}
			i.Equal(n > 0, shared)
			i.Equal(b.contains("endpoint's speed changed"), shared)
		})
	}
}
