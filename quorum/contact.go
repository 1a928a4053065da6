package quorum

import "time"

// latestTimeOf returns a time on this node's clock at or after that at which the leader's clock showed stamp, if it showed the
// stamp of the anchor at its time or earlier.
func (a anchor) latestTimeOf(stamp time.Duration) time.Duration {
	d := stamp - a.stamp
	return a.at + d + max(d, -d)/driftDivisor
}

// withContact returns a copy with the contact with the leader that a message of it is. A message that waited on its way is contact
// as of when it was sent, as far as quicker ones of the leader show that: the leader may have stepped down since. The time is never
// too early, so that the promise to the leader holds, not to vote for another one within Timing.Election. The deadline leaves time
// for newer messages that wait too. A time before this node sent the reply that the message returns shows that the leader's clock
// stood, as that of a virtual machine that is held up does; the message counts as sent now then.
func (s State) withContact(m Message, now time.Duration) State {
	c := now
	if s.received.term == m.Term {
		c = min(now, s.received.latestTimeOf(m.Stamp))
	}
	if r := m.ReplyStamp - s.origin; r > c && r <= now {
		c = now
	}
	if c == now {
		s.received = anchor{term: m.Term, stamp: m.Stamp, at: now}
	}
	s.lastContact = max(s.lastContact, c)
	s = s.withDeadline(s.lastContact)
	s.deadline = max(s.deadline, now+(s.deadline-s.lastContact)/campaignDivisor)
	return s
}
