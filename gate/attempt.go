package gate

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/memory"
)

// contentType is the header field of an endpoint's answer that is passed on to the caller.
const contentType = "Content-Type"

// attempt is one attempt of a request at an endpoint. A goroutine of its own makes it and delivers what it receives; only the
// job's goroutine changes the job.
type attempt struct {
	gate *Gate
	// request asks the reducer where to run the attempt, and has the attempt's id. decision is its answer, and decided is true
	// once there is one. Both are run's until it has delivered the signal of the decision or has ended.
	request  core.RouteRequest
	decision core.Decision
	decided  bool
	// placed is true once the job knows the decision.
	placed bool
	// call is complete but for what the decision says.
	call call
	// streamed is true if the answer is read event by event.
	streamed bool
	// answer holds an answer that isn't streamed, until release is called.
	answer *memory.Buffer
	// ctx is cancelled when the caller leaves or close is called.
	ctx    context.Context
	cancel context.CancelFunc
	// signals is unbuffered.
	signals chan signal
	// received holds the signals that were taken of a successor before it replaced another attempt.
	received []signal
	// heldBytes is how many bytes those of them have that hold no part of the answer.
	heldBytes int
	// started is true once run was started. closed tells run that no more signals are taken, and ended is closed at its end.
	started       bool
	closed, ended chan struct{}
}

// signal is something that an attempt has received. If result and decided aren't set, it is a line of a stream.
type signal struct {
	// decided means that the attempt has got its decision.
	decided bool
	// data is the data of the line, or the body of an answer that isn't streamed. It is nil for a line without data,
	// which only shows that the engine is alive.
	data []byte
	// more is true if bytes of the next line have arrived.
	more bool
	// response is set with the body of an answer that isn't streamed.
	response *http.Response
	// result says how the attempt ended. It is the last signal.
	result *attemptResult
}

// newAttempt returns an attempt that is neither decided on nor started.
func (j *job) newAttempt(ctx context.Context, retry bool) *attempt {
	a := &attempt{gate: j.gate, request: j.routeRequest, signals: make(chan signal), closed: make(chan struct{}), ended: make(chan struct{})}
	a.request.ID = j.request.id + "." + strconv.Itoa(j.asked)
	a.request.ExcludeEndpoints = j.exclude
	if a.request.Retry = retry; retry {
		a.request.Version = j.decision.Version
	}
	j.asked++
	a.ctx, a.cancel = context.WithCancel(ctx)
	return a
}

// decide asks the reducer where to run the attempt, and returns the failure if the request is refused or the caller leaves.
func (a *attempt) decide() *failure {
	d, err := a.gate.router.Decide(a.ctx, a.request)
	switch {
	case err != nil:
		return unavailable("cancelled", "the caller left while the request waited", retryDelay)
	case d.Refusal != nil:
		return refusalFailure(d.Refusal)
	}
	a.decision, a.decided = d, true
	a.gate.metrics.GetOrCreateCounter("hickoryshelf_attempts_total").Inc()
	return nil
}

// start makes the attempt in a goroutine of its own.
func (a *attempt) start(c call, streamed bool) {
	a.call, a.streamed, a.started = c, streamed, true
	go a.run()
}

// run makes the attempt: it gets a decision unless there is one, sends the call and reads the answer.
func (a *attempt) run() {
	defer close(a.ended)
	if !a.decided {
		if f := a.decide(); f != nil {
			a.end(attemptResult{refusal: f})
			return
		}
		if !a.deliver(signal{decided: true}) {
			return
		}
	}
	a.call.endpoint, a.call.attemptID = a.decision.Endpoint, a.request.ID
	r, err := a.gate.engines.send(a.ctx, a.call)
	if err != nil {
		a.end(classifyError(a.ctx, err))
		return
	}
	defer func() { _ = r.Body.Close() }()
	if e := classifyStatus(r); e.ending != core.EndedWell {
		a.end(e)
		return
	}
	r.Header = http.Header{contentType: r.Header[contentType]} // the others aren't needed any more
	if a.streamed {
		a.readStream(r)
		return
	}
	a.readWhole(r)
}

// deliver hands a signal over to the job's goroutine. It reports false if close was called.
func (a *attempt) deliver(g signal) bool {
	select {
	case a.signals <- g:
		return true
	case <-a.closed:
		return false
	}
}

// end delivers the last signal.
func (a *attempt) end(e attemptResult) { a.deliver(signal{result: &e}) }

// readWhole reads an answer that isn't streamed. An answer that is longer than the call allows fails the attempt.
func (a *attempt) readWhole(r *http.Response) {
	a.answer = a.gate.memory.NewBuffer(a.decision.Endpoint.ID)
	err := a.fill(r)
	if isSize(err) {
		a.gate.recordSize(a.request.RequestID, a.decision.Endpoint.ID, "whole", err)
		a.end(sizeResult(err))
		return
	}
	if err != nil {
		a.end(classifyError(a.ctx, err))
		return
	}
	a.deliver(signal{data: a.answer.Bytes(), response: r, result: &attemptResult{ending: core.EndedWell, mayHaveStarted: true}})
}

// fill reads the body of a response into answer. It returns a *tooLongError or a *memory.FullError if that is too much.
func (a *attempt) fill(r *http.Response) error {
	if r.Body != http.NoBody && r.ContentLength > a.call.limit {
		return a.call.tooLong()
	}
	if err := a.answer.Fill(r.Body, int(a.call.limit)+1); err != nil {
		return err
	}
	if int64(a.answer.Len()) > a.call.limit {
		return a.call.tooLong()
	}
	return nil
}

// release gives the memory of the answer back, after close. A nil attempt has none.
func (a *attempt) release() {
	if a != nil && a.answer != nil {
		a.answer.Release()
	}
}

// readStream delivers the lines of an engine's event stream, up to its end mark.
func (a *attempt) readStream(r *http.Response) {
	if r.StatusCode != http.StatusOK {
		a.end(attemptResult{ending: core.EndedFaulty, mayHaveStarted: true, err: errors.New("the endpoint answered " + r.Status)})
		return
	}
	d := readerPool.Get().(*bufio.Reader)
	defer readerPool.Put(d)
	d.Reset(r.Body)
	defer d.Reset(nil)
	for {
		l, err := d.ReadSlice('\n')
		if err != nil {
			a.end(a.classifyReadError(err))
			return
		}
		l = bytes.TrimRight(l, "\r\n")
		if len(l) == 0 {
			continue
		}
		v, ok := bytes.CutPrefix(l, dataPrefix)
		g := signal{}
		if ok {
			g.data = bytes.Clone(v)
		}
		skipLineEnds(d)
		g.more = d.Buffered() > 0
		if !a.deliver(g) || bytes.Equal(g.data, doneData) {
			return
		}
	}
}

// skipLineEnds discards the line ends at the start of what a reader has buffered.
func skipLineEnds(d *bufio.Reader) {
	for d.Buffered() > 0 {
		b, err := d.Peek(1)
		if err != nil || (b[0] != '\n' && b[0] != '\r') {
			return
		}
		_, _ = d.Discard(1)
	}
}

// classifyReadError returns the result of an attempt whose stream could not be read to its end.
func (a *attempt) classifyReadError(err error) attemptResult {
	if a.ctx.Err() != nil {
		return attemptResult{ending: core.EndedCancelled, mayHaveStarted: true, err: a.ctx.Err()}
	}
	return attemptResult{ending: core.EndedFailed, mayHaveStarted: true, err: errors.Join(errTruncated, err)}
}

// close ends the attempt, which makes the endpoint stop unless its answer was read to the end. It may be called again.
func (a *attempt) close() {
	a.cancel()
	if a.started {
		a.started = false
		close(a.closed)
		<-a.ended
	}
}
