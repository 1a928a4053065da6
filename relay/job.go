package relay

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/sizes"
	"github.com/hickoryshelf/hickoryshelf/table"
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
	// leastPatience is how long the first event of a stream is waited for at least, patiencePart the part of
	// the objective for which a plain answer is, and patienceTimes how many times the estimate.
	leastPatience = 1300 * time.Millisecond
	patiencePart  = 0.55
	patienceTimes = 3
	// busyPatience is how many times as long a busy endpoint is waited for.
	busyPatience = 3
	// mostSends bounds the sendings of a request that reached an endpoint, mostUntouched those that did not.
	mostSends     = 5
	mostUntouched = 10
	// wholeBytes is the size up to which a plain answer is read whole before it is passed on.
	wholeBytes = 512 << 10
	// mostRounds is how often all endpoints may be asked again for the rest of an answer, after roundPause, which
	// doubles from round to round.
	mostRounds = 4
	roundPause = 60 * time.Millisecond
	// costTokens is the number of generated tokens that a model's cost is for, and readParts how many read
	// tokens cost as much as a generated one.
	costTokens = 1000
	readParts  = 4
	// firstPlain is the assumed time of a plain answer before one was measured.
	firstPlain = 40 * time.Millisecond
	// startCost is the part of the wait for a first event that doesn't depend on the prompt.
	startCost = 25 * time.Millisecond
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
	// best is the newest choice of an endpoint.
	best pick.Choice
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
	// failure is the newest failure that an endpoint answered with, to be passed on where nothing better comes.
	failure *whole
}

func (j *job) log() *logrus.Entry {
	return j.relay.Log.WithFields(logrus.Fields{
		"id": j.request.ID, "route": j.route.Name, "account": j.account, "table": j.version,
		"age": time.Since(j.request.Received).Milliseconds(), "left": time.Until(j.deadline).Milliseconds(),
	})
}

// refuse ends the request with an answer of this host.
func (j *job) refuse(why Reason, after time.Duration) {
	j.relay.Metrics.GetOrCreateCounter(fmt.Sprintf("requests_total{route=%q,outcome=%q}", j.route.Name, why)).Inc()
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
	if len(j.route.Sizes) > 0 {
		j.relay.weights.add(j.route.Name, float64(j.request.Prompt.weight()))
		j.size = sizes.First(j.ask())
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
		j.log().WithField("sends", j.sends).Info("request: the caller left")
		return
	}
	if j.begun {
		j.log().WithFields(logrus.Fields{"outcome": "broken-off", "last-event": j.last, "sends": j.sends, "runs": j.runs, "spent": j.spent}).Warn("request: the answer ends early")
		j.sink.Break()
		return
	}
	late := time.Until(j.deadline) <= 0
	switch {
	case j.failure != nil:
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
	a := Attempt{
		Request: j.request, Endpoint: c.Report, Account: j.account, Left: time.Until(j.deadline),
		ResumeAfter: j.request.ResumeAfter, Priority: j.priority, Connections: j.connections(),
	}
	if len(j.route.Sizes) > 0 {
		a.Model = j.route.Sizes[j.size]
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

// patience is how long the start of an answer is waited for before the request is sent elsewhere too: as
// long as the request has time where it may not run twice.
func (j *job) patience(estimate time.Duration) time.Duration {
	l := time.Until(j.deadline)
	if !j.route.Idempotent() || j.runs+1 >= max(1, j.route.Attempts) {
		return l
	}
	if j.route.Kind == table.Stream {
		return min(l, max(leastPatience, patienceTimes*estimate))
	}
	return min(l, max(time.Duration(float64(j.route.Objective)*patiencePart), patienceTimes*estimate))
}

// busySign is how long ago an endpoint may have answered others to be given more time for a first event. A
// plain answer is asked for elsewhere in any case.
func (j *job) busySign() time.Duration {
	if j.route.Kind == table.Stream {
		return leastPatience
	}
	return 0
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

// connections is this host's part of the connections that an endpoint takes.
func (j *job) connections() int {
	return max(2, j.service.MaxConnections*9/10/int(j.relay.entries.Load()))
}

// ask describes the request to the choice of a size.
func (j *job) ask() sizes.Ask {
	l, m := j.relay.Set.Backlogs(j.service.Name)
	p := j.request.Prompt
	a := sizes.Ask{
		Rank: j.route.Priority, Size: float64(p.weight()) / max(1, j.relay.weights.get(j.route.Name)),
		Attempts: max(1, j.route.Attempts) - j.runs + 1, Backlog: m, Left: time.Until(j.request.Received.Add(j.route.Objective)),
	}
	for _, n := range j.route.Sizes {
		r := j.relay.paces.read(n, j.cost(n), p.Tokens)
		a.Options = append(a.Options, sizes.Option{Wait: l + startCost + r, Work: r, Price: j.price(n)})
	}
	return a
}

// cost is that of a model for 1,000 generated tokens, or 0 where it isn't known.
func (j *job) cost(model string) float64 {
	for _, m := range j.service.Models {
		if m.Name == model {
			return m.Cost
		}
	}
	return 0
}

// price is what a model costs for the request.
func (j *job) price(model string) float64 {
	p := j.request.Prompt
	return j.cost(model) * (float64(p.expected()) + float64(p.Tokens)/readParts) / costTokens
}

// need describes the request to the choice of an endpoint.
func (j *job) need() pick.Need {
	n := pick.Need{Service: j.service.Name, Slots: j.service.Slots, Work: j.work(), Hold: j.hold(), Draw: j.draw, Tried: j.tried}
	if j.request.Session != "" {
		n.Bound, n.Draw = true, draw(j.request.Session)
	}
	n.Stream = j.route.Kind == table.Stream
	if n.Stream && len(j.request.Prompt.Parts) > 1 {
		p := j.request.Prompt.Parts
		d := xxhash.New()
		t := 0
		for _, v := range p[:len(p)-1] {
			_, _ = d.WriteString(v.ID) // a hash can't fail
			t += v.Tokens
		}
		n.Affinity, n.Saved = d.Sum64(), j.read(t)
	}
	return n
}

// model names the model that answers.
func (j *job) model() string {
	if len(j.route.Sizes) > 0 {
		return j.route.Sizes[j.size]
	}
	return ""
}

// read is the time in which the model that answers reads prompt tokens.
func (j *job) read(tokens int) time.Duration {
	return j.relay.paces.read(j.model(), j.cost(j.model()), tokens)
}

// work is the estimated time to the start of the answer on a free endpoint.
func (j *job) work() time.Duration {
	if j.route.Kind != table.Stream {
		return j.hold()
	}
	return startCost + j.read(j.request.Prompt.Tokens)
}

// hold is the estimated time that the request occupies an endpoint.
func (j *job) hold() time.Duration {
	return j.relay.times.get("hold "+j.route.Name, firstPlain)
}

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
	case !w.extended && w.sign > 0 && w.use.job.relay.Set.AliveSince(w.use.choice.ID, time.Now().Add(-w.sign)):
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
		u.job.relay.Set.Began(u.choice.ID, u.work)
	}
}

func (u *use) end() {
	u.begin()
	u.job.relay.Set.Ended(u.choice.ID)
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
		j.relay.Set.Alive(u.choice.ID, time.Now())
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
	j.ran = true
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
		j.relay.Set.Gone(u.choice.ID)
	}
	if r.Untouched {
		b = j.relay.Set.Unreachable(u.choice.ID, time.Now())
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
	b := j.relay.Set.Faulty(u.choice.ID, time.Now())
	u.log().WithFields(logrus.Fields{"outcome": r.Verdict.String(), "status": r.Status, "cause": cause(r), "banned": b.Milliseconds()}).Warn("attempt: the endpoint failed")
}

// silent notes that the time ended, or the caller left, before the endpoint answered.
func (u *use) silent() {
	if u.job.caller.Err() == nil {
		u.job.tally(u, true, time.Since(u.sent))
		u.job.relay.Set.Faulty(u.choice.ID, time.Now())
		u.log().WithField("outcome", "timed-out").Warn("attempt: no answer in time")
	}
}

func (u *use) good(wait time.Duration) {
	u.job.relay.Set.Good(u.choice.ID, wait, u.choice.Wait)
	u.job.tally(u, false, wait)
	if u.job.route.Kind == table.Stream {
		u.job.relay.paces.learn(u.job.model(), u.job.cost(u.job.model()), u.job.request.Prompt.Tokens, wait, time.Duration(u.choice.Load.Backlog)*time.Millisecond)
	}
	u.job.relay.Metrics.GetOrCreateHistogram(fmt.Sprintf("attempt_wait_seconds{route=%q}", u.job.route.Name)).Update(wait.Seconds())
}

func (j *job) tally(u *use, failed bool, wait time.Duration) {
	if v, ok := j.relay.Set.Rollout(j.service.Name); ok {
		j.relay.tallies.count(v, u.choice.Version, u.choice.ID, j.route.Name, failed, wait)
	}
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
	j.relay.Metrics.GetOrCreateCounter(fmt.Sprintf("requests_total{route=%q,outcome=\"served\"}", j.route.Name)).Inc()
	j.relay.Metrics.GetOrCreateHistogram(fmt.Sprintf("request_seconds{route=%q}", j.route.Name)).Update(d.Seconds())
	u.log().WithFields(logrus.Fields{"outcome": "served", "status": status, "runs": j.runs, "pause": j.longest.Milliseconds(), "wait": u.wait.Milliseconds(), "prompt": j.request.Prompt.Tokens}).Info("request: served")
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
