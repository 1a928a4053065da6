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
	// tableRetry is when a caller comes back to a host that doesn't know the configuration yet.
	tableRetry = 700 * time.Millisecond
	// tableWait is how long a request waits for the first configuration, which is looked for every tablePoll.
	tableWait = 800 * time.Millisecond
	tablePoll = 10 * time.Millisecond
	// endpointWait is how long after its start a host lets requests wait for a service's first endpoint.
	endpointWait = 2 * time.Second
	// stopRetry is when a caller comes back, to another host, after one that is about to stop refused it.
	stopRetry = 20 * time.Millisecond
	// emptyRetry is when a caller comes back where no endpoint is known.
	emptyRetry = 500 * time.Millisecond
	// answerMargin is how long before the deadline the last attempt has to be answered.
	answerMargin = 15 * time.Millisecond
	// mostSends bounds the sendings of a request that reached an endpoint, mostUntouched those that did not.
	mostSends     = 5
	mostUntouched = 10
	// mostRounds is how often all endpoints may be asked again for the rest of an answer, after roundPause, which
	// doubles from round to round.
	mostRounds = 4
	roundPause = 60 * time.Millisecond
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
	// caller ends when the caller leaves.
	caller context.Context
	draw   float64

	tried map[string]bool
	sends int
	runs  int
	// rounds counts how often all endpoints were asked again.
	rounds int
	// untouched counts the sendings that did not reach an endpoint.
	untouched int
	// best is the newest choice of an endpoint, and sent when the request was last sent.
	best pick.Choice
	sent time.Time
	// answering is set once that endpoint has begun to answer.
	answering bool
	// spent says why the request is not sent again.
	spent string
	// ran is set once the request may have run anywhere.
	ran bool
	// size is the model's place among the route's sizes.
	size int
	// last is the last event that was passed on; begun is set once the caller has got any of the answer.
	last  string
	begun bool
	// newest is when an event was last passed on, and longest the longest pause between two.
	newest  time.Time
	longest time.Duration
	// first is the time from the request to its first event or whole answer, and confidence the model's opinion of it.
	first      time.Duration
	confidence int
	// failure is the newest failure that an endpoint answered with, to be passed on where nothing better comes.
	failure *whole
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

// ending counts a request that ends without an answer of its own, and returns a log line with where it was.
func (j *job) ending(outcome string) *logrus.Entry {
	j.count(outcome)
	e := j.log().WithFields(logrus.Fields{"outcome": outcome, "sends": j.sends, "runs": j.runs, "spent": j.spent})
	if j.sent.IsZero() {
		return e
	}
	return e.WithFields(logrus.Fields{"endpoint": j.best.ID, "waited": time.Since(j.sent).Milliseconds(), "answering": j.answering})
}

// refuse ends the request with an answer of this host.
func (j *job) refuse(why Reason, after time.Duration) {
	j.count(why.String())
	j.log().WithFields(logrus.Fields{
		"outcome": why.String(), "retry-after": after.Milliseconds(), "sends": j.sends, "runs": j.runs, "spent": j.spent,
		"estimate": j.best.Wait.Milliseconds(), "load": j.best.Load.Requests, "backlog": j.best.Load.Backlog, "candidates": j.best.Candidates,
	}).Warn("request: refused")
	j.sink.Refuse(Refusal{Reason: why, RetryAfter: after})
}

func (j *job) run(ctx context.Context) {
	if j.relay.lastCall(j.route) {
		j.refuse(Stopping, stopRetry)
		return
	}
	if len(j.route.Tiers) > 0 {
		j.relay.weights.add(j.route.Name, float64(j.request.Prompt.weight()))
		j.size = tiers.First(j.ask())
	}
	for {
		v := j.attempt(ctx)
		if v == done {
			return
		}
		if !j.mayRepeat(v) {
			j.giveUp(v)
			return
		}
	}
}

// next is what has to follow an attempt.
type next int

const (
	// done means that the caller has its final answer.
	done next = iota
	// missed means that no byte of the request reached the endpoint, so that the next sending is no repeat.
	missed
	// again means that the request did not run there.
	again
	// repeat means that it may have run, and another run is needed.
	repeat
	// larger means that a larger model is to answer.
	larger
	// nowhere means that no endpoint can take it.
	nowhere
	// over means that the time is over or the caller has left.
	over
	// full means that no endpoint can answer in time.
	full
)

// mayRepeat reports whether the request is sent once more, and counts it. Where it isn't, spent says why.
func (j *job) mayRepeat(v next) bool {
	switch v {
	case nowhere, over, full:
		return false
	case larger:
		return true
	case repeat:
		if !j.route.Idempotent() || j.runs >= max(1, j.route.Attempts) {
			j.spent = "attempts"
			return false
		}
	}
	if j.sends >= mostSends || j.untouched >= mostUntouched || time.Until(j.deadline) < answerMargin {
		j.spent = "sends or time"
		return false
	}
	if v == missed {
		return true
	}
	if !j.relay.Budget.Take(j.service.Name) {
		j.spent = "budget"
		return false
	}
	return true
}

// giveUp gives the final answer where no attempt brought one.
func (j *job) giveUp(v next) {
	if j.caller.Err() != nil {
		j.ending("caller-left").Info("request: the caller left")
		return
	}
	if j.begun {
		j.ending("broken-off").WithField("last-event", j.last).Warn("request: the answer ends early")
		j.sink.Break()
		return
	}
	late := time.Until(j.deadline) <= 0
	switch {
	case j.failure != nil:
		j.ending("failure-passed-on").WithField("status", j.failure.status).Warn("request: the endpoint's failure is passed on")
		j.deliver(j.failure)
	case late && j.ran:
		j.refuse(TimedOut, 0)
	case j.ran:
		j.refuse(Broken, 0)
	case late:
		j.refuse(Expired, emptyRetry)
	case v == full:
		j.refuse(Overloaded, j.retryAfter())
	default:
		j.refuse(NoEndpoint, emptyRetry)
	}
}

// retryAfter is when an endpoint can be expected to have room.
func (j *job) retryAfter() time.Duration {
	h := j.hold()
	return h/2 + time.Duration(j.draw*float64(h))
}

// attempt sends the request to one endpoint.
func (j *job) attempt(ctx context.Context) next {
	n := j.need()
	c, ok := j.relay.Set.Choose(n, time.Now())
	for ; !ok && j.runs > 0 && len(j.tried) > 0 && j.pause(ctx); j.rounds++ {
		j.tried = map[string]bool{}
		n.Tried = j.tried
		c, ok = j.relay.Set.Choose(n, time.Now())
	}
	if !ok {
		return nowhere
	}
	u := &use{job: j, choice: c, work: n.Work, sent: time.Now()}
	defer u.end()
	j.best = c
	if time.Until(j.deadline) < c.Wait && !j.begun {
		return full
	}
	j.sends++
	j.sent, j.answering = u.sent, false
	a := Attempt{
		Request: j.request, Endpoint: c.Report, Account: j.account, Left: time.Until(j.deadline),
		ResumeAfter: j.request.ResumeAfter, Priority: j.priority, Connections: j.connections(),
	}
	if len(j.route.Tiers) > 0 {
		a.Model = j.route.Tiers[j.size]
	}
	if j.last != "" {
		a.ResumeAfter = j.last
	}
	x, f := context.WithCancel(ctx)
	defer f()
	u.cancel = f
	w := u.watch(j.patience(c.Wait), j.busySign())
	r := j.relay.Sender.Send(x, a)
	w.stop()
	if r.Body != nil {
		defer r.Body.Close() //nolint:errcheck // closing ends the exchange; the answer has been judged by then
	}
	return u.judge(r)
}

// pause waits before endpoints that failed are asked once more for the rest of an answer. It reports false
// where that was done often enough.
func (j *job) pause(ctx context.Context) bool {
	if j.rounds >= mostRounds || !j.route.Idempotent() {
		return false
	}
	t := time.NewTimer(roundPause << j.rounds)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
