package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/itest"
)

const (
	// applyTime is how soon a change of the configuration has to be in force at hosts that reach the control hosts, and exchangeMargin is kept of it for
	// the exchange that brings it.
	applyTime      = 2 * time.Second
	exchangeMargin = 300 * time.Millisecond
	// returnHosts is the number of entry hosts of each case, which are alone with their control hosts.
	returnHosts = 8
)

// switchControl is a control host that can lose its leader, stop to reply and close its connections.
type switchControl struct {
	address       string
	current, mute atomic.Bool
	// repliedAt is when it last replied to an exchange, and currentAt when it last did so as a current one, in Unix nanoseconds.
	repliedAt, currentAt atomic.Int64
	// controls and neighbours are what it names in its replies.
	controls, neighbours []string

	lock     sync.Mutex
	listener net.Listener
	conns    []net.Conn
}

// switchCalls holds the methods that entry hosts call.
type switchCalls struct{ control *switchControl }

// Exchange replies as a control host without changes does.
func (c switchCalls) Exchange(_ ctlrpc.ExchangeRequest, n *ctlrpc.ExchangeReply) error {
	c.control.awaitReplies()
	time.Sleep(waitingReply)
	c.control.awaitReplies()
	n.Control, n.Current = c.control.address, c.control.current.Load()
	n.Controls, n.Neighbours = c.control.controls, c.control.neighbours
	c.control.repliedAt.Store(time.Now().UnixNano())
	if n.Current {
		c.control.currentAt.Store(time.Now().UnixNano())
	}
	return nil
}

// Leader tells whether the control host has a leader.
func (c switchCalls) Leader(_ ctlrpc.Ack, r *ctlrpc.LeaderReply) error {
	c.control.awaitReplies()
	r.Current = c.control.current.Load()
	return nil
}

// awaitReplies returns once the control host may reply.
func (c *switchControl) awaitReplies() {
	for c.mute.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

// open listens at the control host's address.
func (c *switchControl) open() error {
	n, err := net.Listen("tcp", c.address)
	if err != nil {
		return err
	}
	c.lock.Lock()
	c.listener = n
	c.lock.Unlock()
	a := switchAccepts{c, n, rpc.NewServer()}
	if err := a.server.RegisterName(ctlrpc.ServiceName, switchCalls{c}); err != nil {
		return err
	}
	go a.run()
	return nil
}

// shut closes the listener and all connections.
func (c *switchControl) shut() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.listener != nil {
		_ = c.listener.Close()
	}
	for _, n := range c.conns {
		_ = n.Close()
	}
	c.conns = nil
}

// switchAccepts accepts the connections of a switchControl.
type switchAccepts struct {
	control  *switchControl
	listener net.Listener
	server   *rpc.Server
}

func (a switchAccepts) run() {
	for {
		n, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.control.lock.Lock()
		a.control.conns = append(a.control.conns, n)
		a.control.lock.Unlock()
		s := switchConn{a.server, n}
		go s.run()
	}
}

// switchConn serves one connection.
type switchConn struct {
	server *rpc.Server
	conn   net.Conn
}

func (s switchConn) run() { s.server.ServeConn(s.conn) }

// unsound says what is wrong with a control host.
type unsound int

const (
	refuses   unsound = iota // nothing listens at its address
	silent                   // opening packets are not answered
	mute                     // it accepts connections and never replies
	noFailure                // nothing
)

// returnCase is a set of control hosts with one entry host.
type returnCase struct {
	controls int
	// others says what is wrong with some control hosts besides the one that the entry host uses.
	others []unsound
	// fail breaks the control host in use and, it may be, the rest. It returns once at least one of the rest is current.
	fail func(used *switchControl, rest []*switchControl) error
}

// play returns how long the entry host takes until one of the rest, which are current, has replied to it.
func (c returnCase) play(t *testing.T) (time.Duration, error) {
	l, err := c.start(t)
	if err != nil {
		return 0, err
	}
	u, r, ok := usedOf(l)
	if !ok {
		return 0, fmt.Errorf("the entry host reaches none of %d control hosts", len(l))
	}
	if err := c.fail(u, r); err != nil {
		return 0, err
	}
	b := time.Now()
	for time.Since(b) < 5*applyTime {
		for _, s := range r {
			if s.currentAt.Load() > b.UnixNano() {
				return time.Since(b), nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(b), nil
}

// start starts the entry host and its control hosts and returns those that are sound.
func (c returnCase) start(t *testing.T) (sound []*switchControl, err error) {
	t.Helper()
	p := reservePort(t, c.controls)
	var a []string
	n := c.controls - len(c.others)
	for k := range c.controls {
		x := [4]byte{127, 0, 0, byte(k + 1)}
		a = append(a, net.IP(x[:]).String()+":1")
		f := noFailure
		if k >= n {
			f = c.others[k-n]
		}
		if f == silent {
			itest.NewSilentSocket(t, x, int(p))
		}
		if f == silent || f == refuses {
			continue
		}
		s := &switchControl{address: (&net.TCPAddr{IP: x[:], Port: int(p)}).String()}
		s.current.Store(true)
		s.mute.Store(f == mute)
		if err := s.open(); err != nil {
			return nil, err
		}
		t.Cleanup(s.shut)
		t.Cleanup(func() { s.mute.Store(false) })
		if f == noFailure {
			sound = append(sound, s)
		}
	}
	e, _ := newEntry(hostOptions{port: p, seeds: a})
	t.Cleanup(e.Stop)
	return sound, nil
}

// usedOf waits until the entry host has used one of the control hosts for a while, and returns that one and the rest.
func usedOf(l []*switchControl) (used *switchControl, rest []*switchControl, ok bool) {
	for b := time.Now(); time.Since(b) < 10*time.Second && used == nil; time.Sleep(waitingReply) {
		for _, c := range l {
			if c.repliedAt.Load() != 0 {
				used = c
			}
		}
	}
	for _, c := range l {
		if c != used {
			rest = append(rest, c)
		}
	}
	return used, rest, used != nil
}

// loseLeader makes the control host in use lose its leader for good, and the rest until they have elected one.
func loseLeader(used *switchControl, rest []*switchControl) error {
	used.current.Store(false)
	setCurrent(rest, false)
	time.Sleep(time.Second + rand.N(500*time.Millisecond))
	setCurrent(rest, true)
	return nil
}

// hang makes the control host in use stop to reply.
func hang(used *switchControl, _ []*switchControl) error {
	used.mute.Store(true)
	return nil
}

// loseLeaderAndHang makes the control host in use lose its leader, and stop to reply just before the rest have elected one.
func loseLeaderAndHang(used *switchControl, rest []*switchControl) error {
	err := loseLeader(used, rest)
	used.mute.Store(true)
	return err
}

// unreachableTime is how long no control host is reachable.
const unreachableTime = 6 * time.Second

// shutAll makes all control hosts unreachable for a while. The one that was in use comes back mute, and the rest with a leader.
func shutAll(used *switchControl, rest []*switchControl) error {
	l := append([]*switchControl{used}, rest...)
	for _, c := range l {
		c.shut()
	}
	used.mute.Store(true)
	time.Sleep(unreachableTime + rand.N(time.Second))
	for _, c := range l {
		if err := c.open(); err != nil {
			return err
		}
	}
	return nil
}

func setCurrent(l []*switchControl, current bool) {
	for _, c := range l {
		c.current.Store(current)
	}
}

// returnCases returns what may happen to the control hosts of an entry host.
func returnCases() map[string]returnCase {
	m := map[string]returnCase{}
	for _, n := range []int{3, 4} {
		for f, o := range map[string]unsound{"refuses": refuses, "silent": silent, "mute": mute} {
			m[fmt.Sprintf("leader lost, one of %d %s", n, f)] = returnCase{n, []unsound{o}, loseLeader}
		}
	}
	m["leader lost, then no reply, one of 4 mute"] = returnCase{4, []unsound{mute}, loseLeaderAndHang}
	m["no reply, two of 5 mute"] = returnCase{5, []unsound{mute, mute}, hang}
	m["no reply, one silent and one mute of 4"] = returnCase{4, []unsound{silent, mute}, hang}
	m["all unreachable, one of 3 refuses"] = returnCase{3, []unsound{refuses}, shutAll}
	m["all unreachable, one of 4 silent"] = returnCase{4, []unsound{silent}, shutAll}
	return m
}

// Guards against entry hosts that are without a current control host for longer than a change may take to be in force, though they
// can reach one: their pauses between two searches grew beyond that time, and a search asked only some control hosts.
func TestEntryHostReturnsToCurrentControlHostWithinApplyTime(t *testing.T) {
	for n, c := range returnCases() {
		t.Run(n, func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			var w sync.WaitGroup
			d, f := make([]time.Duration, returnHosts), make([]error, returnHosts)
			for k := range returnHosts {
				w.Go(func() { d[k], f[k] = c.play(t) })
			}
			w.Wait()
			for _, err := range f {
				i.NoErr(err)
			}
			l := 0
			for _, x := range d {
				if x >= applyTime-exchangeMargin {
					l++
				}
			}
			t.Logf("%d of %d hosts late, the last one after %v", l, returnHosts, slices.Max(d).Round(time.Millisecond))
			i.Equal(l, 0) // hosts that took longer than a change may take
		})
	}
}
