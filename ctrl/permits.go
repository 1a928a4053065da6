package ctrl

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

// permitRequest returns what the lender of permits has to know of what an entry host asks. The rank of this control host is the place
// of its address among those in the control log. One that isn't among them lends nothing, and neither does one that isn't current at now: it may
// know an old number of control hosts.
func (s State) permitRequest(host string, start int64, w ctlrpc.WarmUp, now time.Duration) warmup.Request {
	q := warmup.Request{Host: host, Start: start, Wishes: w.Wishes, Limits: s.ColdLimits, Rank: -1}
	if len(w.Wishes) == 0 || !s.At(now).Current() {
		return q
	}
	q.Controls, q.Rank = s.lenders(), slices.Index(s.ControlAddresses(), Address(s.Node))
	return q
}

// LendPermits returns the permits of an entry host that exchanges nothing else with this control host. now is the time since the start of
// the host.
func (t *ReplyBuilder) LendPermits(s State, q ctlrpc.PermitRequest, now time.Duration) ctlrpc.PermitReply {
	t.lock.Lock()
	defer t.lock.Unlock()
	return ctlrpc.PermitReply{Control: s.StartID, Permits: t.permits.Lend(s.permitRequest(q.Host, q.Start, q.WarmUp, now), now)}
}

// PermitsLent returns the number of permits that are lent.
func (t *ReplyBuilder) PermitsLent(now time.Duration) int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.permits.Held(now)
}

// Permits lends permits for cold endpoints to an entry host.
func (s *Service) Permits(q ctlrpc.PermitRequest, reply *ctlrpc.PermitReply) error {
	h := s.host
	if h.isStopped() {
		return ErrStopped
	}
	*reply = h.replies.LendPermits(*h.state.Load(), q, h.now())
	h.logPermits(q.Host, q.WarmUp, reply.Permits)
	return nil
}

// logPermits logs what an entry host has asked for and what was lent to it.
func (h *Host) logPermits(host string, w ctlrpc.WarmUp, permits []warmup.Permit) {
	if len(w.Wishes) == 0 || !h.log.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	l := make([]string, 0, len(permits))
	for _, p := range permits {
		l = append(l, p.Endpoint)
	}
	h.log.WithFields(logrus.Fields{"asked-by": host, "wishes": len(w.Wishes), "endpoints": l}).Debug("control: lends permits for cold endpoints")
}
