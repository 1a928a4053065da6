package ctrl

import "time"

const (
	// leastReplyInterval is the least time between two replies to an entry host that hold changes other than a configuration.
	// Hundreds of endpoints that change at once then cost each host some replies, not one for each of them.
	leastReplyInterval = 100 * time.Millisecond
	// urgentReplyPart divides that time for a reply that tells that an endpoint has become cold: until then hosts find it idle and send
	// more than it takes.
	urgentReplyPart = 5
	// urgentReplyLimit is the time between replies from which on this host is too far behind its work for such replies.
	urgentReplyLimit = 3 * leastReplyInterval / 2
	// mostReplyInterval bounds that time while this host is behind its work. It leaves an entry host time before it takes this
	// host for lost.
	mostReplyInterval = 450 * time.Millisecond
	// replyDelayFactor is the multiple of the delay of this host's own work by which replies are delayed, and gossipDelayFactor
	// that for gossip, which carries what entry hosts report to other control hosts.
	replyDelayFactor  = 3
	gossipDelayFactor = 1
	// mostGossipInterval bounds the time between two messages of gossip that isn't urgent.
	mostGossipInterval = 200 * time.Millisecond
)

// ReplyInterval returns the least time between two replies to an entry host. A host that is behind its work for the control log
// answers entry hosts less often first, since they ask again only after a reply, and the log has the rest of the processor.
func (s Strain) ReplyInterval() time.Duration {
	return min(mostReplyInterval, leastReplyInterval+replyDelayFactor*s.delay())
}

// UrgentReplyAt returns from when on an entry host is told that an endpoint has become cold. The last reply to it was sent at sent, and the last
// one for that reason at urgent. Hosts get at most one for that reason in leastReplyInterval, and none before others while this host is behind
// its work.
func (s Strain) UrgentReplyAt(sent, urgent time.Duration) time.Duration {
	v := s.ReplyInterval()
	if v > urgentReplyLimit {
		return sent + v
	}
	return max(sent+v/urgentReplyPart, urgent+leastReplyInterval)
}

// GossipInterval returns the time between two messages of gossip that isn't urgent.
func (s Strain) GossipInterval() time.Duration {
	return min(mostGossipInterval, gossipInterval+gossipDelayFactor*s.delay())
}

// delay returns how far the host is behind its work for the control log.
func (s Strain) delay() time.Duration { return max(s.TickLate, s.EventWait) }
