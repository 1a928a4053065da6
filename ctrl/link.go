package ctrl

import (
	"sync"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	// linkQueueSize is the number of control log messages that may wait for one host. Further ones are dropped.
	linkQueueSize = 512
	// callTimeout bounds one call with gossip between control hosts.
	callTimeout = 700 * time.Millisecond
	// retryDelay is the pause of a send loop after a failed call.
	retryDelay = 60 * time.Millisecond
	// gossipInterval is the interval at which gossip that waits is sent while this host isn't behind its work.
	gossipInterval = 40 * time.Millisecond
)

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
			log:    peerConn{host: l.host, address: address, purpose: "log"},
			orders: peerConn{host: l.host, address: address, purpose: "orders", shared: true}, notes: peerConn{host: l.host, address: address, purpose: "gossip"},
		}
		l.byAddress[address] = k
		m, n := newMessageLoop(k), gossipLoop{k}
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
		k.orders.disconnect(nil)
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

// gossip queues a gossip message for all other control hosts, which is sent at once if it is urgent.
func (l *links) gossip(n ctlrpc.Gossip, urgent bool) {
	for _, a := range l.otherHosts() {
		if o := l.link(a).outbox; urgent {
			o.addAtOnce(n)
		} else {
			o.add(n)
		}
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
	e := false // the time has expired
	for i, a := range o {
		if !e {
			select {
			case <-w[i]:
				continue
			case <-t.C:
				e = true
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

// order sends an order to a host; see peerConn.call.
func (l *links) order(address string, o ctlrpc.Order, reply *ctlrpc.OrderReply, timeout time.Duration) error {
	return l.link(address).orders.call("Order", o, reply, timeout)
}

// link holds the connections to one control host with its queues. The control log and orders have connections of their own,
// so that they don't wait for gossip, and a call that fails breaks off no others than its like.
type link struct {
	host     *Host
	address  string
	messages chan quorum.Message
	outbox   *outbox
	log      peerConn
	orders   peerConn
	notes    peerConn
}

// gossipLoop sends what waits in the outbox, in one call for each interval, or at once if something is urgent. What a failed
// call held is sent again. The first call to each process of the other host is followed by one with all confirmed reports
// and all evidence about requests that end endpoints.
type gossipLoop struct{ link *link }

func (l gossipLoop) run() {
	k := l.link
	h := k.host
	t := time.NewTimer(gossipInterval)
	defer t.Stop()
	f := fullSync{}
	for {
		t.Reset(h.strain.recent(h.sinceStart()).GossipInterval())
		select {
		case <-t.C:
		case <-k.outbox.urgent:
		case <-k.host.stop:
			return
		}
		b := k.outbox.take()
		n := b.gossip(k.host.now())
		if f.due {
			s := k.host.state.Load()
			n.Reports = append(n.Reports, s.ConfirmedReports()...)
			n.Poison = n.Poison.Plus(s.Poison.Report(s.Now))
		}
		if len(n.Reports) == 0 && len(n.Hosts) == 0 && n.Poison.Empty() {
			continue
		}
		var d ctlrpc.Ack
		err := k.notes.call("Note", n, &d, callTimeout)
		f = f.after(d, err)
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
