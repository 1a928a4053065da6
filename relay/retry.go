package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// answerMargin is the least time that has to be left before the deadline for another attempt.
	answerMargin = 15 * time.Millisecond
	// maxSends bounds the attempts of a request that reached an endpoint, and maxUndelivered the attempts that did
	// not.
	maxSends       = 5
	maxUndelivered = 10
	// maxRetryRounds is how often a request that has run or may have run starts over with all endpoints once none is
	// left to try. Before each round it waits; the wait starts at retryRoundPause and doubles from round to round.
	maxRetryRounds  = 4
	retryRoundPause = 60 * time.Millisecond
)

// mayRetry reports whether the request may be sent again after v. The retry budget has to have a retry for it, which is taken when the
// request is sent. If a limit prevents the retry, mayRetry sets noRetryReason.
func (j *job) mayRetry(v nextStep) bool {
	switch v {
	case noEndpoint, overloaded, quarantined, cutOff, unpaid:
		j.noRetryReason = v.String()
		return false
	case ended:
		return false
	case escalate:
		return true
	case declined:
		return j.hops < maxHops && time.Until(j.deadline) >= answerMargin
	case rerun:
		if j.noRetryReason = j.rerunLimit(0); j.noRetryReason != "" {
			return false
		}
	}
	if j.noRetryReason = j.sendLimit(); j.noRetryReason != "" {
		return false
	}
	if !j.affordsRetry() {
		j.noRetryReason = "budget"
		return false
	}
	return true
}

// rerunLimit returns which limit keeps a request that has run or may have run from running again, or an empty text. uncounted
// is the number of attempts in flight that runs doesn't count yet.
func (j *job) rerunLimit(uncounted int) string {
	switch {
	case !j.route.Idempotent() || j.runs+uncounted >= max(1, j.route.Attempts):
		return "attempts"
	case !j.resumable():
		return "event without id"
	case j.relay.Poison.Suspect(j.keys):
		return "suspect"
	}
	return ""
}

// sendLimit returns which limit keeps the request from being sent again, or an empty text.
func (j *job) sendLimit() string {
	if j.sends >= maxSends || j.undelivered >= maxUndelivered || time.Until(j.deadline) < answerMargin {
		return "sends or time"
	}
	return ""
}

// holdsRetry reports whether another attempt may be sent without taking a retry: none has arrived yet, or a retry was taken for one that
// didn't arrive or wasn't sent.
func (j *job) holdsRetry() bool { return j.sends <= j.retries }

// takeRetry takes a retry from the retry budget of the service for the next attempt, unless the job holds one. It reports false if there
// is none.
func (j *job) takeRetry() bool {
	if j.holdsRetry() {
		return true
	}
	t := j.relay.Budget.Withdraw(j.service.Name, j.relay.Now())
	j.noteRetry("fault", t)
	return t
}

// takeOptionalRetry is takeRetry for an attempt that improves an answer.
func (j *job) takeOptionalRetry() bool {
	if j.holdsRetry() {
		return true
	}
	t := j.relay.Budget.WithdrawOptional(j.service.Name, j.relay.Now())
	j.noteRetry("optional", t)
	return t
}

// affordsRetry reports whether takeRetry would succeed now.
func (j *job) affordsRetry() bool {
	if j.holdsRetry() || j.relay.Budget.Level(j.service.Name, j.relay.Now()).Balance >= 1 {
		return true
	}
	j.noteRetry("fault", false)
	return false
}

// noteRetry counts a retry of a kind that was taken from the retry budget, or refused.
func (j *job) noteRetry(kind string, taken bool) {
	if taken {
		j.retries++
	} else {
		j.relay.Metrics.GetOrCreateCounter(fmt.Sprintf("retries_refused_total{kind=%q}", kind)).Inc()
	}
	j.logBudget(kind, taken)
}

// logBudget logs that a retry of a kind was taken from the retry budget of the service, or refused, with what is left of it.
func (j *job) logBudget(kind string, taken bool) {
	l := j.relay.Budget.Level(j.service.Name, j.relay.Now())
	j.log().WithFields(logrus.Fields{
		"kind": kind, "taken": taken, "service": j.service.Name, "budget-left": l.Balance, "budget-cap": l.Cap, "budget-share": l.Share, "budget-loan-age": l.LoanAge.Milliseconds(), "sends": j.sends,
	}).Info("request: asks for a retry")
}

// giveUp ends a request that is not sent again: it aborts an answer that has begun, passes on the failure of an
// endpoint, or refuses the request.
func (j *job) giveUp(v nextStep) {
	late := time.Until(j.deadline) <= 0
	switch {
	case j.answerBegun:
		j.endEarly()
	case j.callerContext.Err() != nil:
		j.endUnanswered()
	case j.lastFailure != nil:
		j.passOnFailure()
	case late && j.mayHaveRun:
		j.refuse(TimedOut, 0)
	case j.mayHaveRun:
		j.refuse(AnswerLost, 0)
	case v == quarantined:
		j.refuse(HeldBack, heldBackRetryAfter)
	case late:
		j.refuse(Expired, noEndpointRetryAfter)
	case v == overloaded:
		j.noteDrains()
		j.refuse(Overloaded, j.retryAfter())
	case v == cutOff, v == declined:
		j.refuse(CutOff, j.cutOffRetryAfter())
	case v == noEndpoint:
		j.noteDrains()
		j.noteBarred()
		j.refuse(NoEndpoint, noEndpointRetryAfter)
	default: // a limit of attempts, or the budget
		j.refuse(NoEndpoint, noEndpointRetryAfter)
	}
}

// passOnFailure passes on the latest failure that an endpoint answered with.
func (j *job) passOnFailure() {
	if j.deliver(j.lastFailure) != nil {
		j.endEarly()
		return
	}
	j.countUnserved("failure-passed-on").WithField("status", j.lastFailure.status).Warn("request: the endpoint's failure is passed on")
}

// retryAfter estimates when an endpoint of an overloaded service has room again: 0.5 to 1.5 times the hold time, or the
// time until its limits let another request through, spread by the hash of the request ID. If endpoints rest, it isn't
// before the end of the first rest.
func (j *job) retryAfter() time.Duration {
	if j.asksWait.Resting {
		return j.asksWait.Time + time.Duration(j.fraction*float64(j.holdTime()))
	}
	h := max(j.holdTime(), j.asksWait.Time)
	return h/2 + time.Duration(j.fraction*float64(h))
}

// awaitRetryRound waits before the endpoints that failed are tried again. It reports false if all rounds are used up,
// if the request is not idempotent or if ctx ends.
func (j *job) awaitRetryRound(ctx context.Context) bool {
	if j.retryRounds >= maxRetryRounds || !j.route.Idempotent() {
		return false
	}
	t := time.NewTimer(retryRoundPause << j.retryRounds)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
