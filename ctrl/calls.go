package ctrl

import (
	"sync"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
)

// pendingCalls are orders that wait for their receipts.
type pendingCalls struct {
	lock    sync.Mutex
	last    uint64
	waiting map[uint64]chan ctlrpc.Receipt
}

func (t *pendingCalls) add() (uint64, chan ctlrpc.Receipt) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.waiting == nil {
		t.waiting = map[uint64]chan ctlrpc.Receipt{}
	}
	t.last++
	c := make(chan ctlrpc.Receipt, 1)
	t.waiting[t.last] = c
	return t.last, c
}

func (t *pendingCalls) remove(id uint64) {
	t.lock.Lock()
	defer t.lock.Unlock()
	delete(t.waiting, id)
}

func (t *pendingCalls) complete(a Respond) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if c, ok := t.waiting[a.CallID]; ok {
		c <- a.Receipt
		delete(t.waiting, a.CallID)
	}
}

// forwardCall passes an order on to the leader.
type forwardCall struct {
	host   *Host
	effect Forward
}

func (f forwardCall) run() {
	var r ctlrpc.Receipt
	err := f.host.links.call(Address(f.effect.To), "Order", f.effect.Order, &r, orderTimeout)
	if err != nil {
		f.host.log.WithError(err).WithField("leader", f.effect.To).Warn("control: the leader could not be asked")
	}
	f.host.calls.complete(Respond{CallID: f.effect.CallID, Receipt: r})
}

// joiner asks to take part in the log while this host isn't part of it or hears no leader.
type joiner struct{ host *Host }

func (j joiner) run() {
	t := time.NewTicker(joinInterval)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-t.C:
		case <-j.host.stop:
			return
		}
		s := j.host.state.Load()
		if s.Log.Peers.Has(s.Node) && s.LeaderSilence() < joinAfterSilence {
			continue
		}
		j.join(s, i)
	}
}

func (j joiner) join(s *State, i int) {
	a := append(s.ControlAddresses(), j.host.settings.SeedPeers()...)
	p := a[i%len(a)]
	if p == Address(s.Node) {
		return
	}
	var r ctlrpc.Receipt
	err := j.host.links.call(p, "Order", ctlrpc.Order{Verb: ctlrpc.Join, Node: s.Node}, &r, joinInterval)
	if err != nil || r.Status != ctlrpc.Accepted {
		j.host.log.WithError(err).WithField("control", p).Debug("control: could not join there yet")
	}
}

// Service is the receiver of net/rpc calls.
type Service struct{ host *Host }

// Exchange takes an entry host's report and returns news.
func (s *Service) Exchange(q ctlrpc.Query, reply *ctlrpc.News) error {
	*reply = s.host.Exchange(q)
	return nil
}

// Order carries out an order.
func (s *Service) Order(o ctlrpc.Order, reply *ctlrpc.Receipt) error {
	*reply = s.host.Do(o)
	return nil
}

// Quorum takes messages of the control log.
func (s *Service) Quorum(m ctlrpc.Messages, reply *ctlrpc.Done) error {
	s.host.post(MessagesReceived{Messages: m.Messages})
	reply.OK = true
	return nil
}

// Note takes what another control host was told.
func (s *Service) Note(n ctlrpc.Note, reply *ctlrpc.Done) error {
	s.host.post(NoteReceived{Note: n})
	reply.OK = true
	return nil
}
