package ctrl

import (
	"errors"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
)

// ErrStopped is the error of calls to a control host that has stopped. Nothing follows from them.
var ErrStopped = errors.New("the control host has stopped; ask another one")

// maxExchangeWait bounds the long poll of an exchange request.
const maxExchangeWait = time.Second

// published identifies the state at the last wake-up of waiting exchanges.
type published struct {
	version int64
	fleet   uint64
	synced  bool
	// rolloutSum adds up the serials and outcomes of all rollouts, so that it changes when a rollout starts or ends.
	rolloutSum uint64
	// poisonSum is the hash of what entry hosts have to know about requests that end endpoints.
	poisonSum uint64
	// drainIndex is that of the newest change of drains.
	drainIndex uint64
}

// notifyExchanges wakes the waiting exchanges when the configuration, the fleet, the synced flag, a rollout or a drain changed.
func (h *Host) notifyExchanges(s State) {
	v := published{version: s.StateMachine.Document.Version, fleet: s.Fleet.Revision, synced: s.Synced, poisonSum: s.sharedPoisonSum, drainIndex: s.StateMachine.Drains.Index()}
	for _, r := range s.StateMachine.Rollouts {
		v.rolloutSum += r.Serial + uint64(r.Outcome)
	}
	if v == h.published {
		return
	}
	h.published = v
	h.lock.Lock()
	defer h.lock.Unlock()
	close(h.changed)
	h.changed = make(chan struct{})
}

// stateAndChange returns the current state and a channel that is closed at the next change.
func (h *Host) stateAndChange() (State, chan struct{}) {
	h.lock.Lock()
	defer h.lock.Unlock()
	return *h.state.Load(), h.changed
}

// Exchange queues an entry host's report for Reduce and returns the changes that the entry host doesn't hold yet. It
// returns at once if the entry host lacks a configuration or a change of drains, or asks this process for the first time. Other changes wait until
// the reply before is Strain.ReplyInterval ago, or a part of that if an endpoint has become cold. Without changes it returns after q.Wait, at most maxExchangeWait. It returns ErrStopped
// once the host has stopped: an empty reply would say that there are no other entry hosts.
func (h *Host) Exchange(q ctlrpc.ExchangeRequest) (ctlrpc.ExchangeReply, error) {
	if h.isStopped() {
		return ctlrpc.ExchangeReply{}, ErrStopped
	}
	h.strain.exchanged(q.Known.Control == "", h.sinceStart())
	h.reports.AddHost(Direct, q.Report)
	for _, r := range q.Leaving {
		h.reports.AddEndpoint(Direct, r)
	}
	b := h.strain.recent(h.sinceStart())
	v := b.ReplyInterval()
	p := time.NewTimer(max(0, h.replies.SentAt(q.Report.Host)+v-h.now())) // from then on changes are sent
	defer p.Stop()
	t := time.NewTimer(max(min(q.Wait, maxExchangeWait), v-leastReplyInterval))
	defer t.Stop()
	u := time.NewTimer(max(0, b.UrgentReplyAt(h.replies.SentAt(q.Report.Host), h.replies.urgentAt(q.Report.Host))-h.now())) // from then on, that an endpoint became cold is sent
	defer u.Stop()
	w, y := true, true // changes wait, and that an endpoint became cold
	for {
		s, c := h.stateAndChange()
		if isUrgent(s, q.Known) || !w && hasChanges(s, q.Known) {
			return h.reply(s, q), nil
		}
		if !y && s.coldRevision > q.Known.FleetRevision {
			r := h.reply(s, q)
			h.replies.noteUrgent(q.Report.Host, h.now())
			return r, nil
		}
		select {
		case <-c:
		case <-p.C:
			w = false
		case <-u.C:
			y = false
		case <-t.C:
			s, _ = h.stateAndChange()
			return h.reply(s, q), nil
		case <-h.stop:
			return ctlrpc.ExchangeReply{}, ErrStopped
		}
	}
}

// reply builds the reply to an exchange request. Whether this host is current counts as of now, also if the event loop is behind.
func (h *Host) reply(s State, q ctlrpc.ExchangeRequest) ctlrpc.ExchangeReply {
	b := h.sinceStart()
	r := h.replies.Build(s, q, h.now())
	h.logPermits(q.Report.Host, q.Report.WarmUp, r.Permits)
	n := s.At(h.now())
	r.Current, r.Position = n.Current(), n.Position()
	h.strain.replied(h.sinceStart()-b, h.sinceStart())
	return r
}

// isUrgent reports whether an entry host lacks the newest configuration or change of drains, or holds nothing from this process.
func isUrgent(s State, k ctlrpc.EntryState) bool {
	return s.Synced && s.StateMachine.Document.Version > k.TableVersion || k.Control != s.StartID || s.hasNewerDrains(k)
}

// hasChanges reports whether the state has another fleet than an entry host holds, or other evidence about requests that end
// endpoints.
func hasChanges(s State, k ctlrpc.EntryState) bool {
	return k.FleetRevision != s.Fleet.Revision || k.PoisonSum != s.sharedPoisonSum
}
