package ctrl

import (
	"errors"
	"fmt"
	"net/rpc"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	// linkQueueSize is the number of control log messages that may wait for one host. Further ones are dropped.
	linkQueueSize = 512
	// callTimeout bounds one call between control hosts. It is larger than the time of a disk sync.
	callTimeout = 700 * time.Millisecond
	// retryDelay is the pause of a send loop after a failed call.
	retryDelay = 60 * time.Millisecond
	// gossipInterval is the interval at which gossip that waits is sent.
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
		k = &link{
			host: l.host, address: address, messages: make(chan quorum.Message, linkQueueSize), outbox: newOutbox(l.host.now),
			log: peerConn{host: l.host, address: address, purpose: "log"}, notes: peerConn{host: l.host, address: address, purpose: "gossip"},
		}
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
		k.log.disconnect(nil)
		k.notes.disconnect(nil)
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

// gossip queues a gossip message for all other control hosts.
func (l *links) gossip(n ctlrpc.Gossip) {
	for _, a := range l.otherHosts() {
		l.link(a).outbox.add(n)
	}
}

// gossipAndWait sends a gossip message to all other control hosts at once. It returns when each of them has acknowledged
// the message, at most after gossipTimeout. missing holds those that haven't.
func (l *links) gossipAndWait(n ctlrpc.Gossip) (missing []string) {
	o := l.otherHosts()
	w := make([]<-chan struct{}, len(o))
	for i, a := range o {
		w[i] = l.link(a).outbox.addUrgent(n)
	}
	t := time.NewTimer(gossipTimeout)
	defer t.Stop()
	late := false
	for i, a := range o {
		if !late {
			select {
			case <-w[i]:
				continue
			case <-t.C:
				late = true
			}
		}
		select {
		case <-w[i]:
		default:
			missing = append(missing, a)
		}
	}
	return missing
}

// call calls a method of the Control RPC service on a host, on the connection for the control log; see peerConn.call.
func (l *links) call(address, method string, args, reply any, timeout time.Duration) error {
	return l.link(address).log.call(method, args, reply, timeout)
}

// link holds the connections to one control host with its queues. The control log has a connection of its own, so that its
// messages and orders don't wait for gossip, and a call that fails breaks off no others than its like.
type link struct {
	host     *Host
	address  string
	messages chan quorum.Message
	outbox   *outbox
	log      peerConn
	notes    peerConn
}

// peerConn is a connection to a control host. It is opened at the first call.
type peerConn struct {
	host    *Host
	address string
	// purpose says in log lines what the connection is for.
	purpose string

	lock   sync.Mutex
	client *rpc.Client
	// down is whether the last call failed.
	down bool
}

// connect returns the open connection or opens one.
func (k *peerConn) connect() (*rpc.Client, error) {
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
func (k *peerConn) disconnect(c *rpc.Client) {
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
func (k *peerConn) call(method string, args, reply any, timeout time.Duration) error {
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
func (k *peerConn) recordResult(err error) {
	k.lock.Lock()
	o := k.down
	k.down = err != nil
	k.lock.Unlock()
	l := k.host.log.WithFields(logrus.Fields{"control": k.address, "for": k.purpose})
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
		if l.link.log.call("Quorum", m, &d, callTimeout) != nil {
			time.Sleep(retryDelay)
		}
	}
}

// gossipLoop sends what waits in the outbox, in one call for each interval, or at once if something is urgent. What a failed
// call held is sent again. The first call to each process of the other host is followed by one with all confirmed reports
// and all evidence about requests that end endpoints.
type gossipLoop struct{ link *link }

func (l gossipLoop) run() {
	k := l.link
	t := time.NewTicker(gossipInterval)
	defer t.Stop()
	sync := fullSync{}
	for {
		select {
		case <-t.C:
		case <-k.outbox.urgent:
		case <-k.host.stop:
			return
		}
		b := k.outbox.take()
		n := b.gossip(k.host.now())
		if sync.due {
			s := k.host.state.Load()
			n.Reports = append(n.Reports, s.ConfirmedReports()...)
			n.Poison = n.Poison.Plus(s.Poison.Report(s.Now))
		}
		if len(n.Reports) == 0 && len(n.Hosts) == 0 && n.Poison.Empty() {
			continue
		}
		var d ctlrpc.Ack
		err := k.notes.call("Note", n, &d, callTimeout)
		sync = sync.after(d, err)
		if err != nil {
			k.outbox.restore(b)
			time.Sleep(retryDelay)
			continue
		}
		b.acknowledge()
	}
}

// fullSync tells when the other control host may lack reports that were sent before.
type fullSync struct {
	// control identifies the process of the other host that acknowledged last.
	control string
	// due is set if the next call has to hold all reports.
	due bool
}

// after returns the value after a call. An older build doesn't say which process it is, so that any failure may mean
// another one.
func (f fullSync) after(a ctlrpc.Ack, err error) fullSync {
	if err != nil {
		f.due = f.due || f.control == ""
		return f
	}
	return fullSync{control: a.Control, due: a.Control != f.control}
}
