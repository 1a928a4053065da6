package ctrl

import (
	"errors"
	"fmt"
	"net/rpc"
	"sync"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	// linkQueueSize is the number of control log messages that may wait for one host, and the same for gossip messages.
	// Further ones are dropped.
	linkQueueSize = 512
	// callTimeout bounds one call between control hosts. It is larger than the time of a disk sync.
	callTimeout = 700 * time.Millisecond
	// retryDelay is the pause of a send loop after a failed call.
	retryDelay = 60 * time.Millisecond
	// gossipInterval is the interval at which queued gossip messages are merged and sent.
	gossipInterval = 40 * time.Millisecond
)

// ErrTimeout is returned by a call that got no reply within its timeout.
var ErrTimeout = errors.New("no reply within the timeout; the host is down, unreachable or overloaded")

// links holds the links to the other control hosts by peer address. It is safe for concurrent use.
type links struct {
	host      *Host
	lock      sync.Mutex
	byAddress map[string]*link
}

func newLinks(h *Host) *links { return &links{host: h, byAddress: map[string]*link{}} }

// link returns the link to a host. At the first use it creates the link and starts its send loops.
func (l *links) link(address string) *link {
	l.lock.Lock()
	defer l.lock.Unlock()
	k, ok := l.byAddress[address]
	if !ok {
		k = &link{host: l.host, address: address, messages: make(chan quorum.Message, linkQueueSize), gossip: make(chan ctlrpc.Gossip, linkQueueSize)}
		l.byAddress[address] = k
		m, n := messageLoop{k}, gossipLoop{k}
		go m.run()
		go n.run()
	}
	return k
}

// close closes the connections of all links.
func (l *links) close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, k := range l.byAddress {
		k.disconnect(nil)
	}
}

// send queues messages for their receivers. Messages to a host whose queue is full are dropped; the control log sends
// them again.
func (l *links) send(m []quorum.Message) {
	for _, v := range m {
		select {
		case l.link(Address(v.To)).messages <- v:
		default:
		}
	}
}

// otherHosts returns the peer addresses of the other control hosts.
func (l *links) otherHosts() []string {
	s := l.host.state.Load()
	var r []string
	for _, a := range s.ControlAddresses() {
		if a != Address(s.Node) {
			r = append(r, a)
		}
	}
	return r
}

// gossip queues a gossip message for all other control hosts. Hosts whose queue is full don't get it.
func (l *links) gossip(n ctlrpc.Gossip) {
	for _, a := range l.otherHosts() {
		select {
		case l.link(a).gossip <- n:
		default:
		}
	}
}

// gossipAndWait sends a gossip message to all other control hosts at the same time. It returns when each of them has
// acknowledged the message or the call to it has failed, at most after gossipTimeout and the time to connect.
func (l *links) gossipAndWait(n ctlrpc.Gossip) {
	var w sync.WaitGroup
	for _, a := range l.otherHosts() {
		w.Add(1)
		c := gossipCall{l, a, n, &w}
		go c.run()
	}
	w.Wait()
}

// gossipCall sends a gossip message to one control host and then calls Done on the group.
type gossipCall struct {
	links   *links
	address string
	gossip  ctlrpc.Gossip
	group   *sync.WaitGroup
}

func (c gossipCall) run() {
	defer c.group.Done()
	var d ctlrpc.Ack
	if err := c.links.call(c.address, "Note", c.gossip, &d, gossipTimeout); err != nil {
		c.links.host.log.WithError(err).WithField("control", c.address).Warn("control: another control host was not told of a leaving endpoint")
	}
}

// call calls a method of the Control RPC service on a host; see link.call.
func (l *links) call(address, method string, args, reply any, timeout time.Duration) error {
	return l.link(address).call(method, args, reply, timeout)
}

// link is the connection to one control host with its queues. The connection is opened at the first call.
type link struct {
	host     *Host
	address  string
	messages chan quorum.Message
	gossip   chan ctlrpc.Gossip

	lock   sync.Mutex
	client *rpc.Client
	// down is whether the last call failed.
	down bool
}

// connect returns the open connection or opens one.
func (k *link) connect() (*rpc.Client, error) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.client != nil {
		return k.client, nil
	}
	c, err := dial.Connect(k.address)
	if err != nil {
		return nil, fmt.Errorf("connect to control host %s: %w; check that it is running", k.address, err)
	}
	k.client = rpc.NewClient(c)
	return k.client, nil
}

// disconnect closes the current connection if it is c, or whichever is open if c is nil.
func (k *link) disconnect(c *rpc.Client) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.client == nil || c != nil && k.client != c {
		return
	}
	if err := k.client.Close(); err != nil && !errors.Is(err, rpc.ErrShutdown) {
		k.host.log.WithError(err).Debug("control: closing a connection failed")
	}
	k.client = nil
}

// call calls a method of the Control RPC service and waits for the reply, at most for timeout. It closes the connection
// after a timeout or a transport error, but not after an error that the method itself returned.
func (k *link) call(method string, args, reply any, timeout time.Duration) error {
	c, err := k.connect()
	if err != nil {
		k.recordResult(err)
		return err
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	d := c.Go(ctlrpc.ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-d.Done:
		err = d.Error
	case <-t.C:
		err = ErrTimeout
	}
	var e rpc.ServerError
	if err != nil && !errors.As(err, &e) {
		k.disconnect(c)
	}
	k.recordResult(err)
	return err
}

// recordResult records whether a call succeeded and logs a line when the host becomes unreachable or reachable.
func (k *link) recordResult(err error) {
	k.lock.Lock()
	o := k.down
	k.down = err != nil
	k.lock.Unlock()
	l := k.host.log.WithField("control", k.address)
	switch {
	case err != nil && !o:
		l.WithError(err).Warn("control: dependency lost, another control host")
	case err == nil && o:
		l.Info("control: dependency regained, another control host")
	}
}

// messageLoop sends queued control log messages in order, all that are waiting in one call.
type messageLoop struct{ link *link }

func (l messageLoop) run() {
	for {
		var m ctlrpc.Messages
		select {
		case v := <-l.link.messages:
			m.Messages = append(m.Messages, v)
		case <-l.link.host.stop:
			return
		}
		for len(l.link.messages) > 0 {
			m.Messages = append(m.Messages, <-l.link.messages)
		}
		var d ctlrpc.Ack
		if l.link.call("Quorum", m, &d, callTimeout) != nil {
			time.Sleep(retryDelay)
		}
	}
}

// gossipLoop sends queued gossip messages, merged into one call for each interval. The first call, and each one after a
// failed call, holds all confirmed reports and all evidence about requests that end endpoints.
type gossipLoop struct{ link *link }

func (l gossipLoop) run() {
	t := time.NewTicker(gossipInterval)
	defer t.Stop()
	w := true
	for {
		select {
		case <-t.C:
		case <-l.link.host.stop:
			return
		}
		n := l.mergeQueued(w)
		if len(n.Reports) == 0 && len(n.Hosts) == 0 && n.Poison.Empty() {
			continue
		}
		var d ctlrpc.Ack
		w = l.link.call("Note", n, &d, callTimeout) != nil
		if w {
			time.Sleep(retryDelay)
		}
	}
}

// mergeQueued merges the queued gossip messages into one. Of several reports of the same incarnation of an entry host
// it keeps the last, with the tallies of all of them. With fullSync the result also holds all confirmed reports.
func (l gossipLoop) mergeQueued(fullSync bool) ctlrpc.Gossip {
	var n ctlrpc.Gossip
	h := map[string]int{}
	for len(l.link.gossip) > 0 {
		v := <-l.link.gossip
		n.Reports = append(n.Reports, v.Reports...)
		n.Poison = n.Poison.Plus(v.Poison)
		for _, r := range v.Hosts {
			if i, ok := h[r.Host]; ok && n.Hosts[i].Start == r.Start {
				r.Tallies = append(n.Hosts[i].Tallies, r.Tallies...)
				r.Poison = n.Hosts[i].Poison.Plus(r.Poison)
				n.Hosts[i] = r
				continue
			}
			h[r.Host] = len(n.Hosts)
			n.Hosts = append(n.Hosts, r)
		}
	}
	if fullSync {
		s := l.link.host.state.Load()
		n.Reports = append(n.Reports, s.ConfirmedReports()...)
		n.Poison = n.Poison.Plus(s.Poison.Report(s.Now))
	}
	return n
}
