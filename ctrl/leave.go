package ctrl

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	// leaveInterval is the pause between two leave orders of a host that stops.
	leaveInterval = 50 * time.Millisecond
	// leaveShare is the fraction of the grace period for which a host that stops waits until another one has its vote. While
	// there is no leader its vote may be needed to elect one.
	leaveShare = 0.5
)

// Leave hands this host's vote over before a planned stop: it tells the leader and returns once another control host has
// the vote or none can take it, at most after leaveShare of the grace period. The host goes on to serve until Stop. It may start
// again later and then joins as another learner.
func (h *Host) Leave() {
	h.leaving.Store(true)
	n := h.state.Load().Node
	b := time.Now()
	w := time.Duration(leaveShare * float64(h.settings.Bounds.Grace.Std()))
	for ok := false; !ok && time.Since(b) < w; {
		if ok = h.state.Load().hasLeft() || h.Do(ctlrpc.Order{Verb: ctlrpc.Leave, Node: n}).Status == ctlrpc.Accepted; !ok {
			time.Sleep(leaveInterval)
		}
	}
	s := h.state.Load()
	h.log.WithFields(logrus.Fields{"voters": s.Log.Peers.Voters, "took": time.Since(b).Milliseconds()}).Info("control: asked to be replaced as a voter before the stop")
}

// hasLeft reports whether this host knows that it is no member of the control log any more.
func (s State) hasLeft() bool {
	return s.Log.Role != quorum.Leader && !s.Log.Peers.Has(s.Node) && !s.Log.PeersPending()
}
