package itest_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/fakes"
	"github.com/hickoryshelf/hickoryshelf/itest"
)

// TestPlannedStop guards against requests that are broken off or refused during a planned stop. Two hosts are stopped one
// after the other behind a load balancer that follows readiness. All requests in flight or arriving during the stops must
// be answered in full. Each answer takes longer than the drain delay.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	c := itest.StartCluster(t, binary, itest.NineHosts())
	o := fakes.EngineOptions{Versions: []string{itest.SmallVersion}, Interval: 25 * time.Millisecond, Capacity: 400}
	c.StartEngine("engine-1", "bern-halle", o)
	c.StartEngine("engine-2", "olten-halle", o)
	c.Configure(c.Hosts[0])
	c.WaitEndpoints(2)
	b := newBalancer(c)
	defer b.close()
	stop := time.Now().Add(9 * time.Second)
	var g sync.WaitGroup
	var l sync.Mutex
	var f error
	n := 0
	for range 200 {
		g.Go(func() {
			for time.Now().Before(stop) {
				a, err := streamText(x, b.pick(), "question", 100)
				l.Lock()
				f = errors.Join(f, err, checkTokens(a, 100))
				n++
				l.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	i.NoErr(c.Terminate(c.Hosts[0])) // a voter that may be the leader
	i.NoErr(c.Terminate(c.Hosts[4]))
	g.Wait()
	i.NoErr(f)
	t.Logf("%d requests, none broken off", n)
	i.True(n >= 500)
}

// balancer is a load balancer that sends requests only to ready hosts, as the one of the platform does.
type balancer struct {
	cluster *itest.Cluster
	lock    sync.Mutex
	ready   []*itest.Host
	stop    chan struct{}
}

// newBalancer returns a running balancer. Until its first check it assumes that all hosts are ready.
func newBalancer(c *itest.Cluster) *balancer {
	b := &balancer{cluster: c, ready: c.Hosts, stop: make(chan struct{})}
	go b.loop()
	return b
}

func (b *balancer) close() { close(b.stop) }

// pick returns a random ready host.
func (b *balancer) pick() *itest.Host {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.ready[rand.IntN(len(b.ready))]
}

// loop checks the readiness of all hosts every 100 ms. While no host is ready, it keeps the last ready ones.
func (b *balancer) loop() {
	for {
		var r []*itest.Host
		for _, h := range b.cluster.Hosts {
			if itest.GetStatusCode(h, "/readyz") == 200 {
				r = append(r, h)
			}
		}
		b.lock.Lock()
		if len(r) > 0 {
			b.ready = r
		}
		b.lock.Unlock()
		select {
		case <-b.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
