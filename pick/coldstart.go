package pick

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/reach"
)

// start is what the reports of an endpoint's newest start say about its warm-up.
type start struct {
	born, sequence int64
	left           time.Duration
	// reportedAt is when the newest report was heard.
	reportedAt time.Duration
	// heardAt is when the start was heard of first, and knownAt when its endpoint was known last.
	heardAt, knownAt time.Duration
	// refusals counts the connections that the endpoint's host refused one after the other, up to restartRefusals, since the start was
	// last known to run. The last of them was tried from refusalBegan to refusalEnded.
	refusals                   int
	refusalBegan, refusalEnded time.Time
	// refusedAt is when the last one was refused since there are that many, or 0: the start has probably ended.
	refusedAt time.Duration
	// coldUntil is until when an answer of the endpoint has said that it is cold, or 0.
	coldUntil time.Duration
}

// note takes over what a report says about the warm-up of an endpoint. A report that is older than one before says nothing. known is
// set if the endpoint wasn't removed before.
func (c *coldState) note(r fleet.Report, known bool) {
	if c.now == nil {
		return
	}
	o, ok := c.starts[r.ID]
	switch {
	case !ok, r.Born > o.born, r.Born == 0 && o.born == 0 && !known && r.Sequence < o.sequence:
		c.starts[r.ID] = &start{born: r.Born, sequence: r.Sequence, left: r.ColdLeft, reportedAt: c.now(), heardAt: c.now(), knownAt: c.now()}
	case r.Born == o.born && r.Sequence > o.sequence:
		o.sequence, o.left, o.reportedAt = r.Sequence, r.ColdLeft, c.now()
		o.runs()
	}
}

// refused records that the endpoint's host refused a connection.
func (o *start) refused(began, ended time.Time, now time.Duration) {
	if o.refusals > 0 && !began.After(o.refusalEnded) {
		return // tried at the same time as the one before
	}
	o.refusals, o.refusalBegan, o.refusalEnded = min(o.refusals+1, restartRefusals), began, ended
	if o.refusals == restartRefusals {
		o.refusedAt = now
	}
}

// runs records that the start hasn't ended.
func (o *start) runs() { o.refusals, o.refusedAt = 0, 0 }

// RecordCold records that an endpoint has said how much longer it stays cold, or nothing for 0.
func (s *Set) RecordCold(id string, left time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.cold.told(id, left)
}

// ConfirmStart records that an endpoint has answered a request that was sent at a time on a connection that opened at another one. If
// it opened before a connection was refused, and the request was sent after that, the refusal wasn't the end of the start.
func (s *Set) ConfirmStart(id string, opened, sent time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if o := s.cold.starts[id]; o != nil && o.refusals > 0 && opened.Before(o.refusalBegan) && sent.After(o.refusalEnded) {
		o.runs()
	}
}

// told records that an answer of an endpoint says that it stays cold for a time.
func (c *coldState) told(id string, left time.Duration) {
	if o := c.starts[id]; o != nil && left > 0 {
		o.coldUntil = max(o.coldUntil, c.now()+left)
	}
}

// startIsCold reports whether the newest start of an endpoint isn't known to be warm.
func (s *Set) startIsCold(n *endpoint, l ColdLimit) bool {
	o, ok := s.cold.starts[n.report.ID]
	if !ok {
		return true
	}
	t := s.cold.at
	if s.isStale(o, n, l) {
		o.left = 0
	}
	switch {
	case o.left > 0, t < o.coldUntil:
		return true
	case o.left == fleet.ColdUnknown && t < o.heardAt+l.Time:
		return true
	}
	// A refused connection may be the end of the start. Where the link is cut it tells nothing about the endpoint.
	if o.refusedAt == 0 || t >= o.refusedAt+restartTime+l.Time {
		return false
	}
	k := s.links[n.pool()].State()
	return k != reach.Cut && k != reach.Returning
}

// isStale reports whether the newest report of a start says that the endpoint is cold, and is known to none of the control hosts any more:
// the one that had it has ended. The others hold an older one that says warm, and pass on later ones only if they say something else.
func (s *Set) isStale(o *start, n *endpoint, l ColdLimit) bool {
	c := &s.cold
	return o.left > 0 && n.report.ColdLeft == 0 && n.report.Born == o.born && c.at < c.controlRepliedAt+maxControlSilence && c.at >= o.reportedAt+o.left+l.Time+staleTime
}
