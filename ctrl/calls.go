package ctrl

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/accept"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/poison"
)

// pendingCalls maps the ids of calls of Host.Do to the channels on which they wait for replies. It is safe for
// concurrent use.
type pendingCalls struct {
	lock    sync.Mutex
	last    uint64
	waiting map[uint64]chan ctlrpc.OrderReply
}

// add registers a call and returns its id and the channel that gets the reply.
func (t *pendingCalls) add() (uint64, chan ctlrpc.OrderReply) {
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

func (t *pendingCalls) remove(id uint64) {
	t.lock.Lock()
	defer t.lock.Unlock()
	delete(t.waiting, id)
}

// complete passes a reply to its call, unless the call has been removed.
func (t *pendingCalls) complete(a Respond) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if c, ok := t.waiting[a.CallID]; ok {
		c <- a.Reply
		delete(t.waiting, a.CallID)
	}
}

// forwardCall forwards an order to the leader and completes the pending call with the leader's reply. If the leader
// can't be reached the reply has the status Unavailable.
type forwardCall struct {
	host   *Host
	effect Forward
}

func (f forwardCall) run() {
	var r ctlrpc.OrderReply
	err := f.host.links.order(Address(f.effect.To), f.effect.Order, &r, orderTimeout)
	if err != nil {
		f.host.log.WithError(err).WithField("leader", f.effect.To).Warn("control: forwarding an order to the leader failed")
	}
	f.host.calls.complete(Respond{CallID: f.effect.CallID, Reply: r})
}

// Service implements the Control RPC service for net/rpc.
type Service struct{ host *Host }

// Exchange passes an entry host's request to Host.Exchange and returns its reply.
func (s *Service) Exchange(q ctlrpc.ExchangeRequest, reply *ctlrpc.ExchangeReply) error {
	r, err := s.host.Exchange(q)
	*reply = r
	return err
}

// Order executes an order with Host.Do and returns the reply.
func (s *Service) Order(o ctlrpc.Order, reply *ctlrpc.OrderReply) error {
	*reply = s.host.Do(o)
	return nil
}

// Quorum queues control log messages for Reduce.
func (s *Service) Quorum(m ctlrpc.Messages, reply *ctlrpc.Ack) error {
	err := s.host.post(MessagesReceived{Messages: m.Messages})
	reply.OK = err == nil
	return err
}

// Note queues the gossip of another control host for Reduce.
func (s *Service) Note(n ctlrpc.Gossip, reply *ctlrpc.Ack) error {
	if s.host.isStopped() {
		return ErrStopped
	}
	s.host.reports.AddGossip(Relayed, n)
	reply.OK, reply.Control = true, s.host.state.Load().StartID
	return nil
}

// Leader tells whether this host has contact with a leader.
func (s *Service) Leader(_ ctlrpc.Ack, reply *ctlrpc.LeaderReply) error {
	reply.Current = s.host.Current() && !s.host.isStopped()
	return nil
}

// Helpers names entry hosts through which another one may send requests.
func (s *Service) Helpers(q ctlrpc.HelperRequest, reply *ctlrpc.HelperReply) error {
	reply.Helpers = s.host.helpers.helpersFor(q, *s.host.state.Load())
	s.host.log.WithFields(logrus.Fields{"asked-by": q.Host, "helpers": len(reply.Helpers)}).Debug("control: named entry hosts that reach endpoints")
	return nil
}

// Quarantine returns the rules by which requests are held back.
func (s *Service) Quarantine(_ ctlrpc.Ack, reply *ctlrpc.QuarantineList) error {
	reply.Rules = s.host.state.Load().Poison.Rules()
	return nil
}

// Lift withdraws the rule of a key. The reply is negative if there is none.
func (s *Service) Lift(k poison.Key, reply *ctlrpc.Ack) error {
	if reply.OK = s.host.state.Load().Poison.Case(k).InForce(); !reply.OK {
		return nil
	}
	if err := s.host.post(PoisonLifted{Key: k}); err != nil {
		return err
	}
	s.host.log.WithField("key", k.String()).Warn("control: an operator lifts a rule, requests with the key are no longer held back")
	return nil
}

// acceptor accepts RPC connections from other hosts until its listener is closed.
type acceptor struct {
	listener *accept.Listener
	server   *rpc.Server
}

func (a acceptor) run() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		s := connection{c, a.server}
		go s.run()
	}
}

// connection serves RPC calls on one connection.
type connection struct {
	conn   net.Conn
	server *rpc.Server
}

func (s connection) run() { s.server.ServeConn(s.conn) }
