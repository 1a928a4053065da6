package quorum

import "time"

const (
	// noReply is the ReplyStamp of a leader that has no reply of the node.
	noReply = -time.Nanosecond
	// maxOrigin bounds the random part of the origin of ReplyStamp, in ns.
	maxOrigin = 1 << 60
	// driftDivisor divides a span of the leader's clock. The same span differs by less than the result on another node's clock.
	driftDivisor = 1000
)

// anchor says that the clock of the leader of a term showed stamp at the time at on this node's clock, or later, or that it did so
// then or earlier.
type anchor struct {
	term  uint64
	stamp time.Duration
	at    time.Duration
}

// timeOf returns a time on this node's clock at or before that at which the leader's clock showed stamp, if it showed the stamp of
// the anchor at its time or later.
func (a anchor) timeOf(stamp time.Duration) time.Duration {
	d := stamp - a.stamp
	return a.at + d - max(d, -d)/driftDivisor
}

// HeldAt returns the newest time, on this node's clock, at which the node is known to have held all entries that were committed
// by then. If a voter that restarts has forgotten the lease that it granted to the leader, the time is up to Timing.Election too
// late. ok is false if it hasn't known that since it started or its disk was opened again.
func (s State) HeldAt() (at time.Duration, ok bool) { return s.heldAt, s.held }

// withHeldAt returns a copy that is known to have held all committed entries at a time. Earlier times than the known one change
// nothing.
func (s State) withHeldAt(at time.Duration) State {
	if !s.held || at > s.heldAt {
		s.heldAt, s.held = at, true
	}
	return s
}

// confirms reports whether this node, having processed an Append, holds all that was committed when the leader sent it: the
// leader was ready then, and the node holds the entries up to its commit index. The last of these is of the leader's term, which
// tells a ready leader of an older build.
func (s State) confirms(m Message) bool {
	e, ok := s.termAt(m.Commit)
	return !m.Unready && s.Commit >= m.Commit && ok && e == m.Term
}

// withSendTime returns a lower bound of the time, on this node's clock, at which the leader sent a message, and a copy with the
// anchor for the next ones. The message was sent after the reply whose stamp it returns, and as long after earlier messages as
// the leader's clock says, however long it was on the way. ok is false if the leader has no reply of this start of the node.
// Leaders of older builds return no stamp; their messages count as sent now.
func (s State) withSendTime(m Message, now time.Duration) (n State, at time.Duration, ok bool) {
	if m.ReplyStamp == 0 {
		return s, now, true
	}
	r := m.ReplyStamp - s.origin
	if r < 0 || r > now {
		return s, 0, false
	}
	if at = s.anchor.timeOf(m.Stamp); s.anchor.term != m.Term || r > at || at > now {
		s.anchor, at = anchor{term: m.Term, stamp: m.Stamp, at: r}, r
	}
	return s, at, true
}
