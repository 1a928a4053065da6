package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/table"
	"github.com/hickoryshelf/hickoryshelf/tiers"
)

const (
	// configurationRetryAfter is when a caller comes back to a host that doesn't know the configuration yet.
	configurationRetryAfter = 700 * time.Millisecond
	// configurationWait is how long a request waits for the first configuration, which is looked for every tablePoll.
	configurationWait = 800 * time.Millisecond
	configurationPoll = 10 * time.Millisecond
	// endpointWait is how long after its start a host lets requests wait for a service's first endpoint.
	endpointWait = 2 * time.Second
	// stoppingRetryAfter is when a caller comes back, to another host, after one that is about to stop refused it.
	stoppingRetryAfter = 20 * time.Millisecond
	// noEndpointRetryAfter is when a caller comes back where no endpoint is known.
	noEndpointRetryAfter = 500 * time.Millisecond
	// answerMargin is how long before the deadline the last attempt has to be answered.
	answerMargin = 15 * time.Millisecond
	// maxSends bounds the sendings of a request that reached an endpoint, mostUntouched those that did not.
	maxSends       = 5
	maxUndelivered = 10
	// maxRetryRounds is how often all endpoints may be asked again for the rest of an answer, after roundPause, which
	// doubles from round to round.
	maxRetryRounds  = 4
	retryRoundPause = 60 * time.Millisecond
)

// job is a request on its way.
type job struct {
	relay    *Relay
	request  *Request
	sink     Sink
	route    table.Route
	service  table.Service
	version  int64
	account  string
	priority int
	deadline time.Time
	// callerContext ends when the callerContext leaves.
	callerContext context.Context
	fraction      float64

	tried map[string]bool
	sends int
	runs  int
	// retryRounds counts how often all endpoints were asked again.
	retryRounds int
	// undelivered counts the sendings that did not reach an endpoint.
	undelivered int
	// choice is the newest choice of an endpoint, and sent when the request was last sent.
	choice pick.Choice
	sent   time.Time
	// answering is set once that endpoint has begun to answer.
	answering bool
	// noRetryReason says why the request is not sent again.
	noRetryReason string
	// mayHaveRun is set once the request may have run anywhere.
	mayHaveRun bool
	// tier is the model's place among the route's sizes.
	tier int
	// lastEventID is the lastEventID event that was passed on; begun is set once the caller has got any of the answer.
	lastEventID string
	answerBegun bool
	// lastEventAt is when an event was last passed on, and longest the longest pause between two.
	lastEventAt  time.Time
	longestPause time.Duration
	// ttft is the time from the request to its ttft event or whole answer, and confidence the model's opinion of it.
	ttft       time.Duration
	confidence int
	// lastFailure is the newest lastFailure that an endpoint answered with, to be passed on where nothing better comes.
	lastFailure *bufferedReply
}

func (j *job) log() *logrus.Entry {
	return j.relay.Log.WithFields(logrus.Fields{
		"id": j.request.ID, "route": j.route.Name, "account": j.account, "table": j.version,
		"age": time.Since(j.request.Received).Milliseconds(), "left": time.Until(j.deadline).Milliseconds(),
	})
}

// count counts the request by its outcome.
func (j *job) count(outcome string) {
	j.relay.Metrics.GetOrCreateCounter(fmt.Sprintf("requests_total{route=%q,outcome=%q}", j.route.Name, outcome)).Inc()
}

// countUnserved counts a request that ends without an answer of its own, and returns a log line with where it was.
func (j *job) countUnserved(outcome string) *logrus.Entry {
	j.count(outcome)
	e := j.log().WithFields(logrus.Fields{"outcome": outcome, "sends": j.sends, "runs": j.runs, "spent": j.noRetryReason})
	if j.sent.IsZero() {
		return e
	}
	return e.WithFields(logrus.Fields{"endpoint": j.choice.ID, "waited": time.Since(j.sent).Milliseconds(), "answering": j.answering})
}

// refuse ends the request with an answer of this host.
func (j *job) refuse(why Reason, after time.Duration) {
	j.count(why.String())
	j.log().WithFields(logrus.Fields{
		"outcome": why.String(), "retry-after": after.Milliseconds(), "sends": j.sends, "runs": j.runs, "spent": j.noRetryReason,
		"estimate": j.choice.Wait.Milliseconds(), "load": j.choice.Load.Requests, "backlog": j.choice.Load.Backlog, "candidates": j.choice.Candidates,
	}).Warn("request: refused")
	j.sink.Refuse(Refusal{Reason: why, RetryAfter: after})
}

func (j *job) run(ctx context.Context) {
	if j.relay.outlivesStop(j.route) {
		j.refuse(Stopping, stoppingRetryAfter)
		return
	}
	if len(j.route.Sizes) > 0 {
		j.relay.promptSizes.add(j.route.Name, float64(j.request.Prompt.size()))
		j.tier = tiers.First(j.tierRequest())
	}
	for {
		v := j.attempt(ctx)
		if v == done {
			return
		}
		if !j.mayRetry(v) {
			j.giveUp(v)
			return
		}
	}
}

// nextStep is what has to follow an attempt.
type nextStep int

const (
	// done means that the caller has its final answer.
	done nextStep = iota
	// undelivered means that no byte of the request reached the endpoint, so that the next sending is no repeat.
	undelivered
	// resend means that the request did not run there.
	resend
	// rerun means that it may have run, and another run is needed.
	rerun
	// escalate means that a escalate model is to answer.
	escalate
	// noEndpoint means that no endpoint can take it.
	noEndpoint
	// expired means that the time is expired or the caller has left.
	expired
	// overloaded means that no endpoint can answer in time.
	overloaded
)

// mayRetry reports whether the request is sent once more, and counts it. Where it isn't, spent says why.
func (j *job) mayRetry(v nextStep) bool {
	switch v {
	case noEndpoint, expired, overloaded:
		return false
	case escalate:
		return true
	case rerun:
		if !j.route.Idempotent() || j.runs >= max(1, j.route.Attempts) {
			j.noRetryReason = "attempts"
			return false
		}
	}
	if j.sends >= maxSends || j.undelivered >= maxUndelivered || time.Until(j.deadline) < answerMargin {
		j.noRetryReason = "sends or time"
		return false
	}
	if v == undelivered {
		return true
	}
	if !j.relay.Budget.Withdraw(j.service.Name) {
		j.noRetryReason = "budget"
		return false
	}
	return true
}

// giveUp gives the final answer where no attempt brought one.
func (j *job) giveUp(v nextStep) {
	if j.callerContext.Err() != nil {
		j.countUnserved("caller-left").Info("request: the caller left")
		return
	}
	if j.answerBegun {
		j.countUnserved("broken-off").WithField("last-event", j.lastEventID).Warn("request: the answer ends early")
		j.sink.Abort()
		return
	}
	late := time.Until(j.deadline) <= 0
	switch {
	case j.lastFailure != nil:
		j.countUnserved("failure-passed-on").WithField("status", j.lastFailure.status).Warn("request: the endpoint's failure is passed on")
		j.deliver(j.lastFailure)
	case late && j.mayHaveRun:
		j.refuse(TimedOut, 0)
	case j.mayHaveRun:
		j.refuse(AnswerLost, 0)
	case late:
		j.refuse(Expired, noEndpointRetryAfter)
	case v == overloaded:
		j.refuse(Overloaded, j.retryAfter())
	default:
		j.refuse(NoEndpoint, noEndpointRetryAfter)
	}
}

// retryAfter is when an endpoint can be expected to have room.
func (j *job) retryAfter() time.Duration {
	h := j.holdTime()
	return h/2 + time.Duration(j.fraction*float64(h))
}

// attempt sends the request to one endpoint.
func (j *job) attempt(ctx context.Context) nextStep {
	n := j.endpointRequest()
	c, ok := j.relay.Endpoints.Choose(n, time.Now())
	for ; !ok && j.runs > 0 && len(j.tried) > 0 && j.awaitRetryRound(ctx); j.retryRounds++ {
		j.tried = map[string]bool{}
		n.Tried = j.tried
		c, ok = j.relay.Endpoints.Choose(n, time.Now())
	}
	if !ok {
		return noEndpoint
	}
	u := &upstreamAttempt{job: j, choice: c, work: n.Work, sent: time.Now()}
	defer u.end()
	j.choice = c
	if time.Until(j.deadline) < c.Wait && !j.answerBegun {
		return overloaded
	}
	j.sends++
	j.sent, j.answering = u.sent, false
	a := Attempt{
		Request: j.request, Endpoint: c.Report, Account: j.account, Remaining: time.Until(j.deadline),
		ResumeAfter: j.request.ResumeAfter, Priority: j.priority, MaxConnections: j.maxConnections(),
	}
	if len(j.route.Sizes) > 0 {
		a.Model = j.route.Sizes[j.tier]
	}
	if j.lastEventID != "" {
		a.ResumeAfter = j.lastEventID
	}
	x, f := context.WithCancel(ctx)
	defer f()
	u.cancel = f
	w := u.startWatchdog(j.startTimeout(c.Wait), j.busyWindow())
	r := j.relay.Sender.Send(x, a)
	w.stop()
	if r.Body != nil {
		defer r.Body.Close() //nolint:errcheck // closing ends the exchange; the answer has been judged by then
	}
	return u.handleReply(r)
}

// awaitRetryRound waits before endpoints that failed are asked once more for the rest of an answer. It reports false
// where that was done often enough.
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
