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
	// linkQueue is how many messages and notes may wait for one host.
	linkQueue = 512
	// callTimeout bounds one call between control hosts; larger than a sync of the disk.
	callTimeout = 700 * time.Millisecond
	// redialAfter is the pause after a call failed.
	redialAfter = 60 * time.Millisecond
	// noteEvery is the interval at which notes are sent together.
	noteEvery = 40 * time.Millisecond
)

// ErrTimeout is returned by a call that got no answer in time.
var ErrTimeout = errors.New("no answer in time; the host is down, cut off or overloaded")

// links are the connections to the other control hosts.
type links struct {
	host   *Host
	lock   sync.Mutex
	byAddr map[string]*link
}

func newLinks(h *Host) *links { return &links{host: h, byAddr: map[string]*link{}} }

// to returns the link to a host, starting it where it is new.
func (l *links) to(address string) *link {
	l.lock.Lock()
	defer l.lock.Unlock()
	k, ok := l.byAddr[address]
	if !ok {
		k = &link{host: l.host, address: address, messages: make(chan quorum.Message, linkQueue), notes: make(chan ctlrpc.Gossip, linkQueue)}
		l.byAddr[address] = k
		m, n := messageLoop{k}, noteLoop{k}
		go m.run()
		go n.run()
	}
	return k
}

func (l *links) close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, k := range l.byAddr {
		k.drop(nil)
	}
}

// send queues messages; those for a host whose queue is full are dropped, and the log sends them again.
func (l *links) send(m []quorum.Message) {
	for _, v := range m {
		select {
		case l.to(Address(v.To)).messages <- v:
		default:
		}
	}
}

// others returns the peer addresses of the other control hosts.
func (l *links) others() []string {
	s := l.host.state.Load()
	var r []string
	for _, a := range s.Controls() {
		if a != Address(s.Node) {
			r = append(r, a)
		}
	}
	return r
}

// spread queues a note for all other control hosts.
func (l *links) spread(n ctlrpc.Gossip) {
	for _, a := range l.others() {
		select {
		case l.to(a).notes <- n:
		default:
		}
	}
}

// spreadNow tells all other control hosts and returns when they know or the time for it is over.
func (l *links) spreadNow(n ctlrpc.Gossip) {
	var w sync.WaitGroup
	for _, a := range l.others() {
		w.Add(1)
		c := noteCall{l, a, n, &w}
		go c.run()
	}
	w.Wait()
}

// noteCall tells one host and marks the group done.
type noteCall struct {
	links   *links
	address string
	note    ctlrpc.Gossip
	group   *sync.WaitGroup
}

func (c noteCall) run() {
	defer c.group.Done()
	var d ctlrpc.Ack
	if err := c.links.call(c.address, "Note", c.note, &d, spreadTimeout); err != nil {
		c.links.host.log.WithError(err).WithField("control", c.address).Warn("control: a leaving endpoint could not be told there")
	}
}

func (l *links) call(address, method string, args, reply any, timeout time.Duration) error {
	return l.to(address).call(method, args, reply, timeout)
}

// link is the connection to one control host.
type link struct {
	host     *Host
	address  string
	messages chan quorum.Message
	notes    chan ctlrpc.Gossip

	lock   sync.Mutex
	client *rpc.Client
	down   bool
}

// connect returns the open connection or makes one.
func (k *link) connect() (*rpc.Client, error) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.client != nil {
		return k.client, nil
	}
	c, err := dial.Connect(k.address)
	if err != nil {
		return nil, fmt.Errorf("control host %s: %w; see whether it runs", k.address, err)
	}
	k.client = rpc.NewClient(c)
	return k.client, nil
}

// drop closes a connection that failed, or any where the client is nil.
func (k *link) drop(c *rpc.Client) {
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

func (k *link) call(method string, args, reply any, timeout time.Duration) error {
	c, err := k.connect()
	if err != nil {
		k.mark(err)
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
		k.drop(c)
	}
	k.mark(err)
	return err
}

// mark writes a line when the host is lost or regained.
func (k *link) mark(err error) {
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

// messageLoop sends messages of the control log in order.
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
			time.Sleep(redialAfter)
		}
	}
}

// noteLoop sends notes together, and all that is known after the connection was lost.
type noteLoop struct{ link *link }

func (l noteLoop) run() {
	t := time.NewTicker(noteEvery)
	defer t.Stop()
	w := true
	for {
		select {
		case <-t.C:
		case <-l.link.host.stop:
			return
		}
		n := l.take(w)
		if len(n.Reports) == 0 && len(n.Hosts) == 0 {
			continue
		}
		var d ctlrpc.Ack
		w = l.link.call("Note", n, &d, callTimeout) != nil
		if w {
			time.Sleep(redialAfter)
		}
	}
}

// take merges the waiting notes; with whole, the whole fleet goes along.
func (l noteLoop) take(whole bool) ctlrpc.Gossip {
	var n ctlrpc.Gossip
	h := map[string]int{}
	for len(l.link.notes) > 0 {
		v := <-l.link.notes
		n.Reports = append(n.Reports, v.Reports...)
		for _, r := range v.Hosts {
			if i, ok := h[r.Host]; ok && n.Hosts[i].Start == r.Start {
				r.Tallies = append(n.Hosts[i].Tallies, r.Tallies...)
				n.Hosts[i] = r
				continue
			}
			h[r.Host] = len(n.Hosts)
			n.Hosts = append(n.Hosts, r)
		}
	}
	if whole {
		n.Reports = append(n.Reports, l.link.host.state.Load().Fleet.Reports()...)
	}
	return n
}
