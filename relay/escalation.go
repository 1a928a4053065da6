package relay

import (
	"bytes"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/shed"
	"github.com/hickoryshelf/hickoryshelf/tiers"
)

// errNoStream means that a larger model answered with something else than a stream.
var errNoStream = errors.New("the larger model's answer is no stream; the answer of the smaller one is kept")

// escalate asks for the answer of a larger model and reports whether it has sent an event: it is the job's successor then. If
// endpoints refuse, fail or are silent, others are asked while limits allow it. If none sends one, this attempt's answer is kept.
func (u *upstreamAttempt) escalate(tier, confidence int) bool {
	j := u.job
	j.dropSuccessor("a larger model is asked")
	o := j.tier
	j.tier = tier
	for v := escalate; j.mayEscalate(v); {
		s := j.largerAttempt(u)
		if s == nil {
			break
		}
		s.start()
		if v = s.awaitStream(); v == done {
			j.successor = s
			u.log().WithFields(logrus.Fields{"confidence": confidence, "next": j.model()}).Info("attempt: dropped for a larger model")
			return true
		}
		s.close()
	}
	u.log().WithFields(logrus.Fields{"confidence": confidence, "next": j.model()}).Info("attempt: kept, no endpoint answers by a larger model")
	j.tier = o
	return false
}

// mayEscalate reports whether a larger model may be asked after v. Once a first event would be late, the answer that is there is
// passed on rather than asking again after a failure.
func (j *job) mayEscalate(v nextStep) bool {
	if v == rerun && time.Since(j.request.Received) >= j.route.Objective {
		return false
	}
	return j.mayRetry(v)
}

// largerAttempt returns an attempt for the answer of a larger model, or nil if no endpoint takes it. It goes to the endpoint of u only if
// there is no other one.
func (j *job) largerAttempt(u *upstreamAttempt) *upstreamAttempt {
	n := j.endpointRequest()
	if j.tryWay(&n, 0) != foundWay {
		return nil
	}
	if o := withTried(n, u.choice.ID); j.hasEndpoint(o) {
		n = o
	}
	if !j.hasEndpoint(n) {
		j.releaseWay(n)
		return nil
	}
	c, v := j.choose(n)
	if v != done {
		j.releaseWay(n)
		return nil
	}
	return j.newSuccessorAt(n, c, firstEventTimeout(c.Wait))
}

// hasEndpoint reports whether an endpoint takes a request and is expected to begin before the deadline.
func (j *job) hasEndpoint(q pick.Request) bool {
	w, ok := j.relay.Endpoints.Wait(q, time.Now())
	return ok && time.Until(j.deadline) >= w
}

// awaitStream waits until the attempt has sent the first event of a stream and returns done. If it doesn't, awaitStream records why
// and returns what would follow.
func (u *upstreamAttempt) awaitStream() nextStep {
	w := u.newSilence(firstEventTimeout(u.choice.Wait), u.job.busyWindow())
	defer w.stop()
	g := u.awaitSignal(w)
	o := g.outcome
	switch {
	case o.hop.Result != Delivered || o.reply.Verdict != Ran:
		return u.handleOutcome(o)
	case !u.isEvents(o.reply):
		u.job.runs++
		o.reply.Cause = errNoStream
		u.recordFault(o.reply, time.Since(u.sent))
		return rerun
	}
	u.recordHead(o)
	u.received = append(u.received, g)
	return u.awaitEvent(w)
}

// awaitEvent is awaitStream after the head of the stream. A stream that ends without an event is a whole answer.
func (u *upstreamAttempt) awaitEvent(w *silence) nextStep {
	for {
		g := u.awaitSignal(w)
		switch {
		case g.err != nil && !u.isWhole(g.err):
			return u.recordCut(g.err)
		case g.err != nil || hasData(g.event):
			u.received = append(u.received, signal{event: bytes.Clone(g.event), err: g.err})
			return done
		}
	}
}

// awaitSignal waits for the next signal of the attempt. A silent endpoint gets more time while it answers other requests; then the
// attempt is cancelled, and its outcome is unknown, as it is at once if the host between doesn't say whether it has begun.
func (u *upstreamAttempt) awaitSignal(w *silence) signal {
	for {
		select {
		case g := <-u.signals:
			u.replied = true
			return g
		case t := <-u.unheard:
			if u.isHostSilent(t) {
				return u.giveUpUnheard()
			}
		case <-w.timer.C:
			if w.check() {
				u.cancel()
				return u.lateSignal()
			}
		}
	}
}

// escalationTier returns the index of the model tier that has to answer in place of the current one. It reports false
// if the answer is kept, since it is good enough or the caller named its model, or if the retry budget has no optional retry left.
func (j *job) escalationTier(r Reply) (int, bool) {
	if j.answerBegun || len(j.route.Tiers) == 0 || j.tierAsked || r.Confidence < 0 || !j.route.Idempotent() {
		return 0, false
	}
	n, ok := j.relay.chooser.Next(j.tierRequest(), j.tier, r.Confidence)
	if !ok {
		return n, false
	}
	if !j.mayTakeLarger() {
		j.noRetryReason = shed.Shed.String()
		return 0, false
	}
	if !j.takeOptionalRetry() {
		j.noRetryReason = "spare budget"
		return 0, false
	}
	return n, true
}

// recordConfidence records the confidence of an answer for the error rates of the route's tiers. A negative confidence
// means that the model reports none.
func (j *job) recordConfidence(confidence int) {
	if len(j.route.Tiers) == 0 || confidence < 0 || j.answerBegun {
		return
	}
	w := j.relay.chooser.WrongProbability(confidence)
	j.relay.errors.Update(j.route.Name, len(j.route.Tiers), func(e tiers.ErrorRates) tiers.ErrorRates {
		if j.escalatedFrom == nil {
			return e.WithFirst(j.tier, w)
		}
		return e.WithEscalation(j.escalatedFrom.tier, j.tier, j.escalatedFrom.wrong, w)
	})
	j.escalatedFrom = &judgedAnswer{tier: j.tier, wrong: w}
}
