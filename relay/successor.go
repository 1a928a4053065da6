package relay

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/pick"
)

// successorInterval is the interval at which another endpoint is looked for while that of an attempt stays silent.
const successorInterval = 300 * time.Millisecond

// tieWait is how long the event of a silent endpoint waits for one of its successor that may have come at the same time, as a host that
// was held up reads them in any order.
const tieWait = 2 * time.Millisecond

// errSuperseded means that an attempt was given up because another one goes on with the answer.
var errSuperseded = errors.New("the endpoint is silent, and another one goes on with the answer")

// errNotBegun means that the second endpoint of a request was given up because it is silent too.
var errNotBegun = errors.New("the endpoint has not begun an answer in time; another one is looked for")

// errNoEvent means that the second endpoint of a request was given up because it has begun a stream and is silent then.
var errNoEvent = errors.New("the endpoint has begun a stream and sent no event in time; another one is looked for")

// next waits for the next signal of the attempt. While the attempt is silent, it makes another attempt beside it, the
// successor, and gives this one up only once the successor goes on with the answer: it then returns errSuperseded.
func (u *upstreamAttempt) next(w *silence) signal {
	if len(u.received) > 0 {
		g := u.received[0]
		u.received = u.received[1:]
		return g
	}
	for {
		s := u.job.successor
		select {
		case g := <-u.signals:
			u.replied = true
			if u.isOvertaken(g, w) {
				return u.superseded()
			}
			return g
		case <-w.timer.C:
			if w.check() && s == nil {
				u.job.seekSuccessor(u, w)
			}
		case t := <-u.unheard:
			u.handleUnheard(t, w)
		case t := <-s.hostUnheard():
			s.failUnheard(t, w)
		case g := <-s.incoming():
			if s.goesOn(g, w) {
				return u.superseded()
			}
		case <-s.late():
			s.overdue(w)
		}
	}
}

// isOvertaken reports whether the successor has sent an event too when that of a silent endpoint is taken. The successor then goes on: a
// request that has run at another endpoint must not run on at the one before.
func (u *upstreamAttempt) isOvertaken(g signal, w *silence) bool {
	if u.job.successor == nil || g.outcome != nil || g.err != nil || !hasData(g.event) {
		return false
	}
	t := time.NewTimer(tieWait)
	defer t.Stop()
	for u.job.successor != nil {
		s := u.job.successor
		select {
		case g := <-s.incoming():
			if s.goesOn(g, w) {
				return true
			}
		case <-t.C:
			return u.hasOvertaken(w)
		}
	}
	return false
}

// hasOvertaken takes what has come of the successor without waiting, and reports whether it goes on: the host may have been held up again.
func (u *upstreamAttempt) hasOvertaken(w *silence) bool {
	for s := u.job.successor; s != nil; s = u.job.successor {
		select {
		case g := <-s.incoming():
			if s.goesOn(g, w) {
				return true
			}
		default:
			return false
		}
	}
	return false
}

// superseded cancels the attempt, which makes the successor the only one.
func (u *upstreamAttempt) superseded() signal {
	u.log().WithField("successor", u.job.successor.choice.ID).Info("attempt: given up, another endpoint goes on")
	u.cancel()
	o := &outcome{reply: Reply{Verdict: Unknown, Confidence: -1, Cause: errSuperseded}}
	if u.hostSilent && !u.replied {
		o.hop.Result = Lost
	}
	return signal{outcome: o, err: errSuperseded}
}

// incoming returns the channel of the attempt's signals. A nil attempt has none.
func (u *upstreamAttempt) incoming() <-chan signal {
	if u == nil {
		return nil
	}
	return u.signals
}

// late returns the channel that signals that a successor is overdue.
func (u *upstreamAttempt) late() <-chan time.Time {
	if u == nil {
		return nil
	}
	return u.patience.C
}

// hostUnheard returns the channel that signals that the host between of a successor doesn't say whether it has begun.
func (u *upstreamAttempt) hostUnheard() <-chan time.Time {
	if u == nil {
		return nil
	}
	return u.unheard
}

// signalUnheard signals that the host between doesn't say whether it has begun.
func (u *upstreamAttempt) signalUnheard() {
	select {
	case u.unheard <- time.Now():
	default: // signalled already
	}
}

// isHostSilent reports whether a signal of unheard from a time says that the host between is silent. If the host has answered since,
// it isn't; nor does the signal tell it if this host was held up, as an answer may wait to be read. It comes again then.
func (u *upstreamAttempt) isHostSilent(at time.Time) bool {
	return !u.replied && time.Since(at) <= maxCheckLag
}

// recordHostSilent records that the host between doesn't say whether it has begun, so that other requests avoid it.
func (u *upstreamAttempt) recordHostSilent() {
	j := u.job
	u.hostSilent = true
	j.relay.Helpers.Fail(u.helper.Host, time.Now())
	j.refuseBy(u.helper.Host)
}

// handleUnheard makes another attempt beside one whose host between is silent.
func (u *upstreamAttempt) handleUnheard(at time.Time, w *silence) {
	if !u.isHostSilent(at) {
		return
	}
	u.recordHostSilent()
	if u.job.successor == nil {
		u.job.seekSuccessor(u, w)
	}
}

// failUnheard drops a successor whose host between is silent: the attempt beside it is still open. If the request may not be sent
// again, the successor has the time of other ones.
func (u *upstreamAttempt) failUnheard(at time.Time, w *silence) {
	switch {
	case !u.isHostSilent(at):
	case u.isLast():
		u.recordHostSilent()
	default:
		u.failSuccessor(u.giveUpUnheard(), w)
	}
}

// isLast reports whether the request may not be sent again after a successor that doesn't go on yet.
func (u *upstreamAttempt) isLast() bool {
	j := u.job
	return j.rerunLimit(u.uncounted()+j.current.uncounted()) != "" || j.sendLimit() != ""
}

// giveUpUnheard cancels an attempt whose host between is silent, and returns its outcome.
func (u *upstreamAttempt) giveUpUnheard() signal {
	u.recordHostSilent()
	u.cancel()
	return u.lateSignal()
}

// seekSuccessor makes another attempt beside a silent one if the request may be sent again and an endpoint takes it.
func (j *job) seekSuccessor(u *upstreamAttempt, w *silence) {
	if j.context.Err() != nil || time.Until(j.deadline) <= 0 {
		return // the attempt ends with its context
	}
	s, why := j.newSuccessor(u)
	if s != nil {
		j.successor = s
		s.start()
	}
	if w.logged && s == nil {
		return
	}
	w.logged = true
	e := u.log().WithFields(logrus.Fields{"silent": w.length().Milliseconds(), "link-lost": u.linkLost, "host-silent": u.hostSilent, "last-event": j.lastEventID})
	if s == nil {
		e.WithField("spent", why).Warn("attempt: the endpoint is silent, no other one can go on")
		return
	}
	e.WithField("successor", s.choice.ID).Info("attempt: the endpoint is silent, another one is asked")
}

// newSuccessor returns an attempt that may be made beside u, or why there is none. The retry budget is asked last, so that
// nothing is taken from it in vain.
func (j *job) newSuccessor(u *upstreamAttempt) (s *upstreamAttempt, why string) {
	if why = j.rerunLimit(u.uncounted()); why != "" {
		return nil, why
	}
	if why = j.sendLimit(); why != "" {
		return nil, why
	}
	if _, h := j.relay.Poison.Held(j.keys, j.account, j.relay.sinceStart()); h {
		return nil, "held back"
	}
	if u.linkLost {
		j.unreached[u.choice.ID] = true
	}
	n := j.endpointRequest()
	if j.tryWay(&n, 0) != foundWay {
		return nil, "no way"
	}
	if !u.linkLost {
		n = j.preferOthers(n, u)
	}
	if s, why = j.chooseSuccessor(n, u.uncounted()); s == nil {
		j.releaseWay(n)
		return nil, why
	}
	return s, ""
}

// chooseSuccessor chooses the endpoint of a successor. uncounted is the number of attempts beside
// it that the job's runs don't count yet.
func (j *job) chooseSuccessor(q pick.Request, uncounted int) (s *upstreamAttempt, why string) {
	switch {
	case q.Way == pick.Relayed && j.hops >= maxHops:
		return nil, "hops"
	case !j.hasEndpoint(q):
		j.beginSearchRound()
		return nil, "no endpoint"
	}
	c, v := j.choose(q)
	if v != done {
		return nil, v.String()
	}
	return j.newSuccessorAt(q, c, j.startTimeout(c.Wait, uncounted)), ""
}

// newSuccessorAt returns a successor that goes to a chosen endpoint and has a time to begin.
func (j *job) newSuccessorAt(q pick.Request, c pick.Choice, patience time.Duration) *upstreamAttempt {
	s := &upstreamAttempt{job: j, choice: c, way: q.Way, helper: j.helperOf(q), work: q.Work, sent: time.Now()}
	j.prepare(s)
	s.patience, s.due = time.NewTimer(patience), s.sent.Add(patience)
	return s
}

// withTried returns a request that doesn't go to an endpoint.
func withTried(q pick.Request, id string) pick.Request {
	q.Tried = maps.Clone(q.Tried)
	q.Tried[id] = true
	return q
}

// preferOthers returns a request that doesn't go to the endpoint of u, unless it is the only one left and either the host between is
// what is silent, or this is a later retry round: its connection may hang while it accepts new ones.
func (j *job) preferOthers(q pick.Request, u *upstreamAttempt) pick.Request {
	o := withTried(q, u.choice.ID)
	if _, ok := j.relay.Endpoints.Wait(o, time.Now()); !ok && (u.hostSilent || j.retryRounds+j.searchRounds > 0) {
		return q
	}
	return o
}

// beginSearchRound makes all endpoints eligible for a successor again, up to maxRetryRounds times.
func (j *job) beginSearchRound() {
	if j.searchRounds < maxRetryRounds {
		j.searchRounds++
		j.tried, j.unreached = map[string]bool{}, map[string]bool{}
	}
}

// goesOn takes a signal of the successor and reports whether the successor goes on with the answer: it has sent an event of a
// stream, or has begun another answer. If it can't go on, it is dropped, and another one is looked for when w is next checked.
func (u *upstreamAttempt) goesOn(g signal, w *silence) bool {
	u.replied = true
	switch {
	case g.outcome != nil && u.usable(g.outcome):
		u.keepHead(g)
		return !u.isEvents(g.outcome.reply)
	case g.outcome != nil, g.err != nil && !u.isWhole(g.err):
		u.failSuccessor(g, w)
		return false
	case g.err == nil && !hasData(g.event):
		return false
	case g.err == nil && !u.mayGoOnWith(g.event):
		u.failSuccessor(signal{err: errNotContinued}, w)
		return false
	}
	u.received = append(u.received, signal{event: bytes.Clone(g.event), err: g.err})
	return true
}

// keepHead keeps the head of a successor's answer until the successor goes on. It has a time for the first event of a stream.
func (u *upstreamAttempt) keepHead(g signal) {
	u.recordHead(g.outcome)
	u.received = append(u.received, g)
	u.waitFor(u.eventTimeout())
}

// waitFor makes the successor overdue after d.
func (u *upstreamAttempt) waitFor(d time.Duration) {
	u.due = time.Now().Add(d)
	u.patience.Reset(d)
}

// eventTimeout returns how long a successor that has begun a stream may take from now on to send its first event.
func (u *upstreamAttempt) eventTimeout() time.Duration {
	j := u.job
	t, _ := j.silenceTimeout(u.uncounted() + j.current.uncounted())
	return max(t, firstEventTimeout(u.choice.Wait)-time.Since(u.sent))
}

// isWhole reports whether a successor's stream that ends without an event is a whole answer: the caller has received nothing that
// would have to go on.
func (u *upstreamAttempt) isWhole(end error) bool {
	return errors.Is(end, io.EOF) && !u.job.answerBegun
}

// mayGoOnWith reports whether the first event of a successor that has begun a stream may be passed on. The silent endpoint may
// have begun its answer since.
func (u *upstreamAttempt) mayGoOnWith(e []byte) bool {
	j := u.job
	u.continues = j.answerBegun
	return (!j.answerBegun || j.mayContinue(u.received[0].outcome.reply)) && u.mayFollow(e)
}

// usable reports whether the answer of a successor may be passed on.
func (u *upstreamAttempt) usable(o *outcome) bool {
	j := u.job
	return o.hop.Result == Delivered && o.reply.Verdict == Ran && (!j.answerBegun || j.mayContinue(o.reply))
}

// failSuccessor records why the successor can't go on with the answer.
func (u *upstreamAttempt) failSuccessor(g signal, w *silence) {
	j := u.job
	j.successor = nil
	defer u.close()
	w.checkIn(0)
	if g.outcome != nil {
		u.handleOutcome(g.outcome)
		return
	}
	u.recordCut(g.err)
}

// recordCut records that an attempt beside another one broke off or was given up behind its head, and returns how the request would
// continue. That the request has ended tells nothing of the endpoint.
func (u *upstreamAttempt) recordCut(cause error) nextStep {
	j := u.job
	j.runs++
	if j.context.Err() != nil {
		return ended
	}
	u.tallyFault(false, u.wait)
	u.handleBreak(cause)
	return rerun
}

// overdue drops a successor that has not begun its answer in time, or has sent no event of its stream in time, unless the limits allow
// no other one. If this host was held up, what the successor has sent is read first.
func (u *upstreamAttempt) overdue(w *silence) {
	switch {
	case time.Since(u.due) > maxCheckLag:
		u.waitFor(linkCheckInterval)
	case u.isLast(), !u.job.takeRetry():
		u.waitFor(successorInterval)
	default:
		u.cancel()
		u.failSuccessor(u.lateSignal(), w)
	}
}

// lateSignal returns the signal in place of the one that an attempt didn't send in time: its outcome, or an event.
func (u *upstreamAttempt) lateSignal() signal {
	if len(u.received) > 0 {
		return signal{err: errNoEvent}
	}
	o := &outcome{reply: Reply{Verdict: Unknown, Confidence: -1, Cause: errNotBegun}}
	if u.hostSilent && !u.replied {
		o.hop.Result = Lost
	}
	return signal{outcome: o}
}

// dropSuccessor cancels the successor, if there is one. It may have run.
func (j *job) dropSuccessor(why string) {
	s := j.successor
	if s == nil {
		return
	}
	j.successor = nil
	j.runs++
	j.mayHaveRun = true
	s.log().WithField("why", why).Info("attempt: dropped beside another one")
	s.close()
}
