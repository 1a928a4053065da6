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
	// busyPatience is how many times as long a busy endpoint is waited for.
	busyPatience = 3
	// leastExpected is the least wait that an answer is measured against in a roll-out.
	leastExpected = 10 * time.Millisecond
	// wholeBytes is the size up to which a plain answer is read whole before it is passed on.
	wholeBytes = 512 << 10
)

// use is one sending of a job to an endpoint.
type use struct {
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

// watch stops a run that gives no sign for a time. A busy endpoint, which has answered others meanwhile, is
// given more: running the request a second time elsewhere would only add to the load.
type watch struct {
	use   *use
	after time.Duration
	// sign is how long ago the endpoint may have answered others to count as busy.
	sign     time.Duration
	lock     sync.Mutex
	timer    *time.Timer
	extended bool
	stopped  bool
}

// watch starts a watch.
func (u *use) watch(after, sign time.Duration) *watch {
	w := &watch{use: u, after: after, sign: sign}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.timer = time.AfterFunc(after, w.expire)
	return w
}

func (w *watch) expire() {
	w.lock.Lock()
	defer w.lock.Unlock()
	switch {
	case w.stopped:
	case !w.extended && w.sign > 0 && w.use.job.relay.Set.ActiveSince(w.use.choice.ID, time.Now().Add(-w.sign)):
		w.extended = true
		w.timer.Reset(busyPatience * w.after)
	default:
		w.use.cancel()
	}
}

// seen starts the time anew after a sign of the run.
func (w *watch) seen() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.extended = false
	w.timer.Reset(w.after)
}

func (w *watch) stop() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func (u *use) begin() {
	if !u.began {
		u.began = true
		u.job.relay.Set.AnswerStarted(u.choice.ID, u.work)
	}
}

func (u *use) end() {
	u.begin()
	u.job.relay.Set.RequestEnded(u.choice.ID)
}

func (u *use) log() *logrus.Entry {
	return u.job.log().WithFields(logrus.Fields{
		"endpoint": u.choice.ID, "address": u.choice.Address, "version": u.choice.Version, "model": u.job.model(), "send": u.job.sends,
		"load": u.choice.Load.Requests, "backlog": u.choice.Load.Backlog, "estimate": u.choice.Wait.Milliseconds(), "candidates": u.choice.Candidates,
		"took": time.Since(u.sent).Milliseconds(),
	})
}

// judge decides what follows the head of an answer.
func (u *use) judge(r Reply) next {
	j := u.job
	u.begin()
	if r.Body != nil {
		j.relay.Set.RecordActivity(u.choice.ID, time.Now())
	}
	wait := time.Since(u.sent)
	u.wait = wait
	if r.Body == nil && (j.caller.Err() != nil || time.Until(j.deadline) <= 0) {
		j.ran = j.ran || r.Verdict != NotRun
		u.silent()
		return over
	}
	switch r.Verdict {
	case NotRun:
		return u.refused(r)
	case Unknown:
		u.fault(r, wait)
		return repeat
	case Failed:
		u.fault(r, wait)
		j.runs++
		j.ran = true
		if w, err := readWhole(r); err == nil {
			j.failure = w
		}
		return repeat
	}
	j.runs++
	j.ran, j.answering = true, true
	u.good(wait)
	if j.route.Kind == table.Stream {
		return u.stream(r)
	}
	return u.plain(r)
}

// refused notes an endpoint that did not run the request.
func (u *use) refused(r Reply) next {
	j := u.job
	j.tried[u.choice.ID] = true
	if _, err := readWhole(r); err != nil && r.Body != nil {
		u.log().WithError(err).Debug("attempt: the refusal's body broke off")
	}
	var b time.Duration
	if r.Elsewhere {
		j.relay.Set.MarkReplaced(u.choice.ID)
	}
	if r.Untouched {
		b = j.relay.Set.RecordUnreachable(u.choice.ID, time.Now())
	}
	u.log().WithFields(logrus.Fields{"outcome": "not-run", "status": r.Status, "cause": cause(r), "banned": b.Milliseconds()}).Info("attempt: the endpoint did not run the request")
	if r.Status == 0 {
		j.sends--
		j.untouched++
		return missed
	}
	return again
}

// fault notes a failure of an endpoint.
func (u *use) fault(r Reply, wait time.Duration) {
	j := u.job
	j.tried[u.choice.ID] = true
	if r.Verdict == Unknown {
		j.ran = true
		j.runs++
	}
	j.tally(u, true, wait)
	b := j.relay.Set.RecordFault(u.choice.ID, time.Now())
	u.log().WithFields(logrus.Fields{"outcome": r.Verdict.String(), "status": r.Status, "cause": cause(r), "banned": b.Milliseconds()}).Warn("attempt: the endpoint failed")
}

// silent notes that the time ended, or the caller left, before the endpoint answered.
func (u *use) silent() {
	if u.job.caller.Err() == nil {
		u.job.tally(u, true, time.Since(u.sent))
		u.job.relay.Set.RecordFault(u.choice.ID, time.Now())
		u.log().WithField("outcome", "timed-out").Warn("attempt: no answer in time")
	}
}

func (u *use) good(wait time.Duration) {
	u.job.relay.Set.RecordSuccess(u.choice.ID, wait, u.choice.Wait)
	u.job.tally(u, false, wait)
	if u.job.route.Kind == table.Stream {
		u.job.relay.Paces.Observe(u.job.model(), u.job.cost(u.job.model()), u.job.request.Prompt.Tokens, wait, time.Duration(u.choice.Load.Backlog)*time.Millisecond)
	}
	u.job.relay.Metrics.GetOrCreateHistogram(fmt.Sprintf("attempt_wait_seconds{route=%q}", u.job.route.Name)).Update(wait.Seconds())
}

// tally counts an answer, or a run that broke off, for the roll-out of its service. A run that broke off behind
// the start of its answer has no wait.
func (j *job) tally(u *use, failed bool, wait time.Duration) {
	v, ok := j.relay.Set.Rollout(j.service.Name)
	if !ok {
		return
	}
	var e time.Duration
	if wait > 0 {
		e = max(u.choice.Expected, leastExpected)
	}
	j.relay.tallies.count(v, u.choice.Version, u.choice.ID, j.route.Name+" "+j.model(), failed, wait, e)
}

func cause(r Reply) string {
	if r.Cause == nil {
		return ""
	}
	return r.Cause.Error()
}

// served counts an answer that was delivered.
func (u *use) served(status int) {
	j := u.job
	d := time.Since(j.request.Received)
	j.count("served")
	j.relay.Metrics.GetOrCreateHistogram(fmt.Sprintf("request_seconds{route=%q}", j.route.Name)).Update(d.Seconds())
	u.log().WithFields(logrus.Fields{
		"outcome": "served", "status": status, "runs": j.runs, "spent": j.spent,
		"first": j.first.Milliseconds(), "pause": j.longest.Milliseconds(), "wait": u.wait.Milliseconds(),
		"prompt": j.request.Prompt.Tokens, "size": j.request.Prompt.weight(), "confidence": j.confidence,
	}).Info("request: served")
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	reply  Reply
	body   []byte
}

// readWhole reads an answer to its end, up to a size.
func readWhole(r Reply) (*whole, error) {
	if r.Body == nil {
		return nil, io.ErrUnexpectedEOF
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, wholeBytes+1))
	if err != nil {
		return nil, err
	}
	return &whole{status: r.Status, reply: r, body: b}, nil
}

func (j *job) deliver(w *whole) {
	j.sink.Begin(w.status, w.reply.Header, int64(len(w.body)))
	if err := j.sink.Write(w.body); err != nil {
		j.log().WithError(err).Info("request: the caller left before the end of its answer")
	}
}

// plain passes a plain answer on: whole where it is small, else as it comes.
func (u *use) plain(r Reply) next {
	j := u.job
	w, err := readWhole(r)
	if err != nil {
		j.tally(u, true, 0)
		u.log().WithError(err).Warn("attempt: the answer broke off")
		j.tried[u.choice.ID] = true
		return repeat
	}
	j.relay.times.add("hold "+j.route.Name, time.Since(u.sent))
	if len(w.body) <= wholeBytes {
		j.deliver(w)
		u.served(w.status)
		return done
	}
	j.begun = true
	j.sink.Begin(w.status, w.reply.Header, r.Length)
	if err := j.sink.Write(w.body); err != nil {
		return over
	}
	if _, err := io.Copy(sinkWriter{j.sink}, r.Body); err != nil {
		j.sink.Break()
		return done
	}
	u.served(w.status)
	return done
}

// sinkWriter lets a sink be copied to.
type sinkWriter struct{ sink Sink }

func (w sinkWriter) Write(b []byte) (int, error) { return len(b), w.sink.Write(b) }
