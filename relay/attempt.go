package relay

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/table"
)

const (
	// busyTimeoutFactor is how many times as long a busy endpoint is waited for.
	busyTimeoutFactor = 3
	// minExpectedWait is the least wait that an answer is measured against in a roll-out.
	minExpectedWait = 10 * time.Millisecond
	// maxBufferedBytes is the size up to which a plain answer is read whole before it is passed on.
	maxBufferedBytes = 512 << 10
)

// upstreamAttempt is one sending of a job to an endpoint.
type upstreamAttempt struct {
	job    *job
	choice pick.Choice
	work   time.Duration
	sent   time.Time
	began  bool
	// wait is the time to the start of the answer.
	wait time.Duration
	// cancel stops the run.
	cancel context.CancelFunc
}

// watchdog stops a run that gives no sign for a time. A busy endpoint, which has answered others meanwhile, is
// given more: running the request a second time elsewhere would only add to the load.
type watchdog struct {
	attempt *upstreamAttempt
	timeout time.Duration
	// busyWindow is how long ago the endpoint may have answered others to count as busy.
	busyWindow time.Duration
	lock       sync.Mutex
	timer      *time.Timer
	extended   bool
	stopped    bool
}

// startWatchdog starts a startWatchdog.
func (u *upstreamAttempt) startWatchdog(after, sign time.Duration) *watchdog {
	w := &watchdog{attempt: u, timeout: after, busyWindow: sign}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.timer = time.AfterFunc(after, w.expire)
	return w
}

func (w *watchdog) expire() {
	w.lock.Lock()
	defer w.lock.Unlock()
	switch {
	case w.stopped:
	case !w.extended && w.busyWindow > 0 && w.attempt.job.relay.Endpoints.AliveSince(w.attempt.choice.ID, time.Now().Add(-w.busyWindow)):
		w.extended = true
		w.timer.Reset(busyTimeoutFactor * w.timeout)
	default:
		w.attempt.cancel()
	}
}

// reset starts the time anew after a sign of the run.
func (w *watchdog) reset() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.extended = false
	w.timer.Reset(w.timeout)
}

func (w *watchdog) stop() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func (u *upstreamAttempt) begin() {
	if !u.began {
		u.began = true
		u.job.relay.Endpoints.Began(u.choice.ID, u.work)
	}
}

func (u *upstreamAttempt) end() {
	u.begin()
	u.job.relay.Endpoints.Ended(u.choice.ID)
}

func (u *upstreamAttempt) log() *logrus.Entry {
	return u.job.log().WithFields(logrus.Fields{
		"endpoint": u.choice.ID, "address": u.choice.Address, "version": u.choice.Version, "model": u.job.model(), "send": u.job.sends,
		"load": u.choice.Load.Requests, "backlog": u.choice.Load.Backlog, "estimate": u.choice.Wait.Milliseconds(), "candidates": u.choice.Candidates,
		"took": time.Since(u.sent).Milliseconds(),
	})
}

// handleReply decides what follows the head of an answer.
func (u *upstreamAttempt) handleReply(r Reply) nextStep {
	j := u.job
	u.begin()
	if r.Body != nil {
		j.relay.Endpoints.Alive(u.choice.ID, time.Now())
	}
	wait := time.Since(u.sent)
	u.wait = wait
	if r.Body == nil && (j.callerContext.Err() != nil || time.Until(j.deadline) <= 0) {
		j.mayHaveRun = j.mayHaveRun || r.Verdict != NotRun
		u.recordTimeout()
		return expired
	}
	switch r.Verdict {
	case NotRun:
		return u.handleNotRun(r)
	case Unknown:
		u.recordFault(r, wait)
		return rerun
	case Failed:
		u.recordFault(r, wait)
		j.runs++
		j.mayHaveRun = true
		if w, err := readReply(r); err == nil {
			j.lastFailure = w
		}
		return rerun
	}
	j.runs++
	j.mayHaveRun, j.answering = true, true
	u.recordStart(wait)
	if j.route.Kind == table.Stream {
		return u.relayStream(r)
	}
	return u.relayPlain(r)
}

// handleNotRun notes an endpoint that did not run the request.
func (u *upstreamAttempt) handleNotRun(r Reply) nextStep {
	j := u.job
	j.tried[u.choice.ID] = true
	if _, err := readReply(r); err != nil && r.Body != nil {
		u.log().WithError(err).Debug("attempt: the refusal's body broke off")
	}
	var b time.Duration
	if r.WrongEndpoint {
		j.relay.Endpoints.Gone(u.choice.ID)
	}
	if r.NotDelivered {
		b = j.relay.Endpoints.Unreachable(u.choice.ID, time.Now())
	}
	u.log().WithFields(logrus.Fields{"outcome": "not-run", "status": r.Status, "cause": causeText(r), "banned": b.Milliseconds()}).Info("attempt: the endpoint did not run the request")
	if r.Status == 0 {
		j.sends--
		j.undelivered++
		return undelivered
	}
	return resend
}

// recordFault notes a failure of an endpoint.
func (u *upstreamAttempt) recordFault(r Reply, wait time.Duration) {
	j := u.job
	j.tried[u.choice.ID] = true
	if r.Verdict == Unknown {
		j.mayHaveRun = true
		j.runs++
	}
	j.tallyRollout(u, true, wait)
	b := j.relay.Endpoints.Faulty(u.choice.ID, time.Now())
	u.log().WithFields(logrus.Fields{"outcome": r.Verdict.String(), "status": r.Status, "cause": causeText(r), "banned": b.Milliseconds()}).Warn("attempt: the endpoint failed")
}

// recordTimeout notes that the time ended, or the caller left, before the endpoint answered.
func (u *upstreamAttempt) recordTimeout() {
	if u.job.callerContext.Err() == nil {
		u.job.tallyRollout(u, true, time.Since(u.sent))
		u.job.relay.Endpoints.Faulty(u.choice.ID, time.Now())
		u.log().WithField("outcome", "timed-out").Warn("attempt: no answer in time")
	}
}

func (u *upstreamAttempt) recordStart(wait time.Duration) {
	u.job.relay.Endpoints.Good(u.choice.ID, wait, u.choice.Wait)
	u.job.tallyRollout(u, false, wait)
	if u.job.route.Kind == table.Stream {
		u.job.relay.Prefill.Learn(u.job.model(), u.job.modelCost(u.job.model()), u.job.request.Prompt.Tokens, wait, time.Duration(u.choice.Load.Backlog)*time.Millisecond)
	}
	u.job.relay.Metrics.GetOrCreateHistogram(fmt.Sprintf("attempt_wait_seconds{route=%q}", u.job.route.Name)).Update(wait.Seconds())
}

// tallyRollout counts an answer, or a run that broke off, for the roll-out of its service. A run that broke off behind
// the start of its answer has no wait.
func (j *job) tallyRollout(u *upstreamAttempt, failed bool, wait time.Duration) {
	v, ok := j.relay.Endpoints.Rollout(j.service.Name)
	if !ok {
		return
	}
	var e time.Duration
	if wait > 0 {
		e = max(u.choice.Expected, minExpectedWait)
	}
	j.relay.tallies.count(v, u.choice.Version, u.choice.ID, j.route.Name+" "+j.model(), failed, wait, e)
}

func causeText(r Reply) string {
	if r.Cause == nil {
		return ""
	}
	return r.Cause.Error()
}

// recordServed counts an answer that was delivered.
func (u *upstreamAttempt) recordServed(status int) {
	j := u.job
	d := time.Since(j.request.Received)
	j.count("served")
	j.relay.Metrics.GetOrCreateHistogram(fmt.Sprintf("request_seconds{route=%q}", j.route.Name)).Update(d.Seconds())
	u.log().WithFields(logrus.Fields{
		"outcome": "served", "status": status, "runs": j.runs, "spent": j.noRetryReason,
		"first": j.ttft.Milliseconds(), "pause": j.longestPause.Milliseconds(), "wait": u.wait.Milliseconds(),
		"prompt": j.request.Prompt.Tokens, "size": j.request.Prompt.size(), "confidence": j.confidence,
	}).Info("request: served")
}

// bufferedReply is an answer that was read to its end.
type bufferedReply struct {
	status int
	reply  Reply
	body   []byte
}

// readReply reads an answer to its end, up to a size.
func readReply(r Reply) (*bufferedReply, error) {
	if r.Body == nil {
		return nil, io.ErrUnexpectedEOF
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBytes+1))
	if err != nil {
		return nil, err
	}
	return &bufferedReply{status: r.Status, reply: r, body: b}, nil
}

func (j *job) deliver(w *bufferedReply) {
	j.sink.Begin(w.status, w.reply.Header, int64(len(w.body)))
	if err := j.sink.Write(w.body); err != nil {
		j.log().WithError(err).Info("request: the caller left before the end of its answer")
	}
}

// relayPlain passes a relayPlain answer on: whole where it is small, else as it comes.
func (u *upstreamAttempt) relayPlain(r Reply) nextStep {
	j := u.job
	w, err := readReply(r)
	if err != nil {
		j.tallyRollout(u, true, 0)
		u.log().WithError(err).Warn("attempt: the answer broke off")
		j.tried[u.choice.ID] = true
		return rerun
	}
	j.relay.durations.add("hold "+j.route.Name, time.Since(u.sent))
	if len(w.body) <= maxBufferedBytes {
		j.deliver(w)
		u.recordServed(w.status)
		return done
	}
	j.answerBegun = true
	j.sink.Begin(w.status, w.reply.Header, r.Length)
	if err := j.sink.Write(w.body); err != nil {
		return expired
	}
	if _, err := io.Copy(sinkWriter{j.sink}, r.Body); err != nil {
		j.sink.Abort()
		return done
	}
	u.recordServed(w.status)
	return done
}

// sinkWriter lets a sink be copied to.
type sinkWriter struct{ sink Sink }

func (w sinkWriter) Write(b []byte) (int, error) { return len(b), w.sink.Write(b) }
