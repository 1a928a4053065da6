package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/assist"
	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/table"
)

// upstreamAttempt is one attempt of a job at one endpoint.
type upstreamAttempt struct {
	job    *job
	choice pick.Choice
	// way is the way by which the attempt goes to the endpoint.
	way pick.Way
	// helper is the host through which the attempt goes, if it isn't sent directly.
	helper assist.Choice
	// order is what is sent.
	order Attempt
	// linkLost is set if this host has lost its link to the endpoint since the last event.
	linkLost bool
	// work is the work that Choose counted as queued at the endpoint until the answer begins.
	work time.Duration
	sent time.Time
	// began is set once AnswerStarted was called, because the answer has begun or will not come.
	began bool
	// answering is set once the endpoint has begun a usable answer.
	answering bool
	// wait is the time from sending the request to the head of the answer.
	wait time.Duration
	// continues is set if the caller had begun to receive the answer before this attempt.
	continues bool
	// follows is set once such an attempt has sent an event that goes on with the answer. held holds the comments before that
	// event, up to maxHeldBytes.
	follows bool
	held    []byte
	// openEnded is set if the answer has neither a length nor chunks.
	openEnded bool
	// tally is the tally in which the answer was counted; its Serial is 0 if the answer wasn't counted. slow is set if it
	// was counted as slow.
	tally canary.Tally
	slow  bool
	// gaps is the number of times between events since the last sample of the endpoint's speed, where hosts share that.
	// firstArrival and lastArrival are when the first and the last of these events came.
	gaps                      int
	firstArrival, lastArrival time.Time
	// context is the context of the call of Sender.Send and of reading its reply.
	context context.Context
	// cancel cancels the call of Sender.Send and the reading of its reply, which stops the run at the endpoint.
	cancel context.CancelFunc
	// signals carries what run receives to the goroutine of the job, until closed is closed. ended is closed at the end of run.
	signals       chan signal
	closed, ended chan struct{}
	// unheard carries when the host between hadn't said in time whether it has begun. hostSilent is set once that is taken.
	unheard    chan time.Time
	hostSilent bool
	// replied is set once the outcome was taken from signals.
	replied bool
	// notRunBy is who states that the attempt has not run.
	notRunBy verdictSource
	// received holds the signals that were taken while the attempt was a successor.
	received []signal
	// patience fires at due, when a successor has to be dropped. It is nil for other attempts.
	patience *time.Timer
	due      time.Time
}

// begin removes the attempt's work from the queued work of the endpoint. Further calls do nothing.
func (u *upstreamAttempt) begin() {
	if !u.began {
		u.began = true
		u.job.relay.Endpoints.AnswerStarted(u.choice.ID, u.work)
	}
}

// end removes the attempt from the requests in flight at the endpoint and at the host that it goes through.
func (u *upstreamAttempt) end() {
	u.begin()
	u.job.relay.Endpoints.RequestEnded(u.choice.ID)
	if u.way == pick.Relayed {
		u.job.relay.Helpers.End(u.helper.Host)
	}
}

// uncounted returns the number of runs of the attempt that the job doesn't count yet. A nil attempt has none.
func (u *upstreamAttempt) uncounted() int {
	if u == nil || u.answering {
		return 0
	}
	return 1
}

// log returns a log entry with the fields of the request and of the attempt. backlog, estimate and took are in ms.
func (u *upstreamAttempt) log() *logrus.Entry {
	return u.job.log().WithFields(logrus.Fields{
		"endpoint": u.choice.ID, "address": u.choice.Address, "version": u.choice.Version, "model": u.job.model(), "send": u.job.sends,
		"load": u.choice.Load.Requests, "backlog": u.choice.Load.Backlog, "estimate": u.choice.Wait.Milliseconds(), "candidates": u.choice.Candidates, "relayed-by": u.helper.Host,
		"took": time.Since(u.sent).Milliseconds(),
	})
}

// handleOutcome records the outcome of the attempt, passes a usable answer on, and returns how the request continues.
func (u *upstreamAttempt) handleOutcome(o *outcome) nextStep {
	u.notRunBy = u.sourceOf(o.reply, o.hop)
	if o.hop.Result != Delivered {
		return u.handleHop(o.reply, o.hop)
	}
	j, r := u.job, o.reply
	b := u.recordHead(o)
	wait := u.wait
	if r.Body == nil && (j.callerContext.Err() != nil || time.Until(j.deadline) <= 0) {
		j.mayHaveRun = j.mayHaveRun || r.Verdict != NotRun
		u.recordTimeout()
		return ended
	}
	if o.side == nil && hasSideBody(r) {
		o.side = u.readSideBody(r)
	}
	switch r.Verdict {
	case NotRun:
		return u.handleNotRun(r, o.side, b)
	case Unknown:
		u.recordFull(r.Cause, "head")
		u.recordFault(r, wait)
		u.recordBreak(r.Cause)
		return rerun
	case Failed:
		u.recordFault(r, wait)
		j.runs++
		j.mayHaveRun = true
		u.handleSideBody(o.side)
		return rerun
	}
	if j.answerBegun && !j.mayContinue(r) {
		j.runs++
		r.Cause = errNotContinued
		u.recordFault(r, wait)
		return rerun
	}
	if !u.isEvents(r) {
		j.dropSuccessor("the endpoint answers") // that of a stream stays until the first event
	}
	j.runs++
	j.mayHaveRun, u.answering = true, true
	u.recordStart(wait, r.Status)
	if u.isEvents(r) {
		return u.relayStream(r)
	}
	return u.relayPlain(r)
}

// recordHead records once what the head of an answer, or that there is none, tells of the endpoint and of the way to it. It returns
// how long the endpoint is ejected if it wasn't reached, or 0.
func (u *upstreamAttempt) recordHead(o *outcome) (ejected time.Duration) {
	if o.recorded {
		return 0
	}
	o.recorded = true
	r := o.reply
	u.begin()
	ejected = u.recordOpening(r)
	if r.Body != nil {
		u.job.relay.Endpoints.RecordAnswer(u.choice.ID, u.way, u.sent, time.Now())
	}
	u.recordAsks(r)
	u.wait, u.openEnded = time.Since(u.sent), r.EndsWithConnection
	return ejected
}

// recordAsks records what the endpoint asks for, and logs what that changes.
func (u *upstreamAttempt) recordAsks(r Reply) {
	if r.Status == 0 && r.Asks.Rest == 0 {
		return
	}
	c := u.job.relay.Endpoints.RecordAsks(u.choice.ID, u.way, r.Asks, time.Now())
	if c.Limit {
		u.log().WithField("limit", float64(r.Asks.Limit)).Info("attempt: the endpoint names another limit")
	}
	if c.Brittle {
		u.log().WithFields(logrus.Fields{"brittle": float64(r.Asks.Brittle), "service": u.job.service.Name}).Warn("attempt: endpoints of the service fall over if they turn more requests away in a second; this host sends each no more than its places")
	}
	if c.Rest {
		u.log().WithField("rest", r.Asks.Rest.Milliseconds()).Warn("attempt: the endpoint asks for rest, it gets no requests until then")
	}
	if c.Leaving {
		u.log().Info("attempt: the endpoint says that it leaves, it gets no more requests")
	}
	if c.Returned {
		u.log().Info("attempt: the endpoint takes as many requests as before its rest")
	}
}

// handleNotRun records that the endpoint did not run the request. A reply without a status was never delivered and
// does not count as a send.
func (u *upstreamAttempt) handleNotRun(r Reply, side *sideBody, ejected time.Duration) nextStep {
	j := u.job
	u.exclude(r.Unreachable)
	u.handleSideBody(side)
	if r.WrongEndpoint {
		j.relay.Endpoints.MarkReplaced(u.choice.ID)
	}
	if r.WrongEndpoint || r.Refused && u.hasEnded() {
		u.recordEnd()
	}
	u.log().WithFields(logrus.Fields{"outcome": "not-run", "not-run-by": u.notRunBy.String(), "status": r.Status, "new-connection": r.Connected, "cause": causeText(r), "banned": ejected.Milliseconds()}).Info("attempt: the endpoint did not run the request")
	if r.Status == 0 {
		j.sends--
		j.undelivered++
		j.relay.Endpoints.ReturnPermit(u.choice) // nothing was written
		return undelivered
	}
	return resend
}

// exclude keeps further attempts of the request from the endpoint, or only direct ones if this host didn't reach it.
func (u *upstreamAttempt) exclude(unreached bool) {
	if unreached && u.way == pick.Direct {
		u.job.unreached[u.choice.ID] = true
		return
	}
	u.job.tried[u.choice.ID] = true
}

// recordFault records that the endpoint failed: it answered with a failure or its outcome is unknown.
func (u *upstreamAttempt) recordFault(r Reply, wait time.Duration) {
	j := u.job
	u.exclude(u.linkLost)
	if r.Verdict == Unknown {
		j.mayHaveRun = true
		j.runs++
	}
	u.tallyFault(r.Status != 0, wait)
	b := j.relay.Endpoints.RecordFault(u.choice.ID, u.way, time.Now())
	u.log().WithFields(logrus.Fields{"outcome": r.Verdict.String(), "status": r.Status, "new-connection": r.Connected, "cause": causeText(r), "banned": b.Milliseconds()}).Warn("attempt: the endpoint failed")
}

// recordTimeout records a fault of the endpoint if the deadline passed before it answered. If the caller has
// disconnected, the request is only counted for a rollout.
func (u *upstreamAttempt) recordTimeout() {
	w := time.Since(u.sent)
	if u.job.callerContext.Err() != nil {
		u.tallyLeaver(w)
	}
	if u.job.callerContext.Err() == nil {
		u.tallyFault(false, w)
		u.job.relay.Endpoints.RecordFault(u.choice.ID, u.way, time.Now())
		u.log().WithField("outcome", "timed-out").Warn("attempt: no answer in time")
	}
}

// recordStart records that the endpoint began a usable answer after wait. For a stream, the wait also updates the
// measured prefill time of the model.
func (u *upstreamAttempt) recordStart(wait time.Duration, status int) {
	u.recordSpeed(wait, status)
	u.tallyAnswer(false, wait)
	u.job.relay.demands.addWait(u.job.service.Name, wait, u.choice.Wait)
	if u.job.route.Kind == table.Stream && !u.onTrial() {
		u.job.relay.Prefill.Observe(u.job.model(), u.job.modelCost(u.job.model()), u.job.request.Prompt.Tokens, u.usualWait(wait), time.Duration(u.choice.Load.Backlog)*time.Millisecond)
	}
	u.job.relay.Metrics.GetOrCreateHistogram(fmt.Sprintf("attempt_wait_seconds{route=%q}", u.job.route.Name)).Update(wait.Seconds())
}

// learnDuration adds a duration to the average with a key, as the mean endpoint would have taken. A version on trial is left out, since it is compared
// with the averages.
func (u *upstreamAttempt) learnDuration(key string, d time.Duration) {
	if !u.onTrial() {
		u.job.relay.durations.add(key, u.usual(d))
	}
}

// causeText returns the text of the reply's cause, or an empty text.
func causeText(r Reply) string {
	if r.Cause == nil {
		return ""
	}
	return r.Cause.Error()
}

// recordServed counts and logs an answer that was delivered to its end.
func (u *upstreamAttempt) recordServed(status int) {
	j := u.job
	d := time.Since(j.request.Received)
	u.recordComplete(status)
	j.count("served")
	j.relay.Metrics.GetOrCreateHistogram(fmt.Sprintf("request_seconds{route=%q}", j.route.Name)).Update(d.Seconds())
	u.log().WithFields(j.confirmedFields()).WithFields(logrus.Fields{
		"outcome": "served", "status": status, "runs": j.runs, "spent": j.noRetryReason,
		"first": j.ttft.Milliseconds(), "pause": j.longestGap.Milliseconds(), "wait": u.wait.Milliseconds(),
		"prompt": j.request.Prompt.Tokens, "size": j.request.Prompt.size(), "confidence": j.confidence,
		"queue": j.queue.Milliseconds(), "cached": u.choice.Cached, "late": j.late(d),
	}).Info("request: served")
}

// late reports whether a complete answer missed an objective of its route. took is the time to its end.
func (j *job) late(took time.Duration) bool {
	if j.route.Kind != table.Stream {
		return took > j.route.Objective
	}
	return j.ttft > j.route.Objective || j.route.EventGapObjective > 0 && j.longestGap > j.route.EventGapObjective
}
