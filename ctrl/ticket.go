package ctrl

import (
	"sync"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
)

// tickets are orders that wait for their receipts.
type tickets struct {
	lock    sync.Mutex
	last    uint64
	waiting map[uint64]chan ctlrpc.OrderReply
}

func (t *tickets) open() (uint64, chan ctlrpc.OrderReply) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.waiting == nil {
		t.waiting = map[uint64]chan ctlrpc.OrderReply{}
	}
	t.last++
	c := make(chan ctlrpc.OrderReply, 1)
	t.waiting[t.last] = c
	return t.last, c
}

func (t *tickets) close(ticket uint64) {
	t.lock.Lock()
	defer t.lock.Unlock()
	delete(t.waiting, ticket)
}

func (t *tickets) answer(a Answer) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if c, ok := t.waiting[a.Ticket]; ok {
		c <- a.Receipt
		delete(t.waiting, a.Ticket)
	}
}

// forward passes an order on to the leader.
type forward struct {
	host *Host
	pass PassOn
}

func (f forward) run() {
	var r ctlrpc.OrderReply
	err := f.host.links.call(Address(f.pass.To), "Order", f.pass.Order, &r, orderTimeout)
	if err != nil {
		f.host.log.WithError(err).WithField("leader", f.pass.To).Warn("control: the leader could not be asked")
	}
	f.host.tickets.answer(Answer{Ticket: f.pass.Ticket, Receipt: r})
}

// joiner asks to take part in the log while this host isn't part of it or hears no leader.
type joiner struct{ host *Host }

func (j joiner) run() {
	t := time.NewTicker(joinEvery)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-t.C:
		case <-j.host.stop:
			return
		}
		s := j.host.state.Load()
		if s.Log.Peers.Has(s.Node) && s.LeaderSilence() < joinAfter {
			continue
		}
		j.ask(s, i)
	}
}

func (j joiner) ask(s *State, i int) {
	a := append(s.Controls(), j.host.settings.SeedPeers()...)
	p := a[i%len(a)]
	if p == Address(s.Node) {
		return
	}
	var r ctlrpc.OrderReply
	err := j.host.links.call(p, "Order", ctlrpc.Order{Verb: ctlrpc.Join, Node: s.Node}, &r, joinEvery)
	if err != nil || r.Status != ctlrpc.Accepted {
		j.host.log.WithError(err).WithField("control", p).Debug("control: could not join there yet")
	}
}

// Service is the receiver of net/rpc calls.
type Service struct{ host *Host }

// Exchange takes an entry host's report and returns news.
func (s *Service) Exchange(q ctlrpc.ExchangeRequest, reply *ctlrpc.ExchangeReply) error {
	*reply = s.host.Exchange(q)
	return nil
}

// Order carries out an order.
func (s *Service) Order(o ctlrpc.Order, reply *ctlrpc.OrderReply) error {
	*reply = s.host.Do(o)
	return nil
}

// Quorum takes messages of the control log.
func (s *Service) Quorum(m ctlrpc.Messages, reply *ctlrpc.Ack) error {
	s.host.post(Messages{Messages: m.Messages})
	reply.OK = true
	return nil
}

// Note takes what another control host was told.
func (s *Service) Note(n ctlrpc.Gossip, reply *ctlrpc.Ack) error {
	s.host.post(Noted{Note: n})
	reply.OK = true
	return nil
}
