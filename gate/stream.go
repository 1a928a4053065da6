package gate

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/memory"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/route"
)

const (
	// maxLineBytes bounds one line of an engine's event stream; a longer line fails the attempt.
	maxLineBytes = 64 << 10
	// callerWriteTimeout bounds a write to the caller, so that a caller that doesn't read is disconnected.
	callerWriteTimeout = 30 * time.Second
)

// Fragments of OpenAI's event streams. They are searched for in the raw chunks; only usage is decoded.
var (
	dataPrefix        = []byte("data: ")
	doneData          = []byte("[DONE]")
	usageField        = []byte(`"usage":{`)
	contentField      = []byte(`"content":"`)
	toolCallsField    = []byte(`"tool_calls"`)
	finishReasonField = []byte(`"finish_reason":"`)
	idField           = []byte(`{"id":"`)

	errForeignChunk = errors.New("the endpoint sent a chunk of another request's answer")
	errTruncated    = errors.New("the endpoint's stream ended before the answer was complete")
	errCallerGone   = errors.New("writing to the caller failed")
)

// readerPool holds buffered readers for engines' streams.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxLineBytes) }}

// streamProxy passes the streams of one or more engines on to a caller as one stream.
type streamProxy struct {
	job        *job
	writer     http.ResponseWriter
	controller *http.ResponseController
	// headerSent is true once the status and headers were sent.
	headerSent bool
	// delivered is the JSON-escaped text of all chunks that were sent or held back, unless the account has no room for it:
	// textDropped is true then. sentChunks counts the chunks with text; a chunk counts as one output token.
	delivered   *memory.Buffer
	textDropped bool
	sentChunks  int64
	// notResumable is true once a chunk with tool calls was delivered, or the text was dropped, or chunks of a longer answer than
	// the request allows were delivered: another engine can't continue the answer.
	notResumable bool
	// attemptBytes is how many bytes of chunks the current engine has sent.
	attemptBytes int64
	// usage is the token count that the current engine reported. finalChunks holds the chunks with a finish
	// reason, which are sent once the ledger line is settled.
	usage       *engineUsage
	finalChunks *memory.Buffer
	// holdBack makes the proxy collect chunks in heldChunks until the answer has been judged.
	holdBack   bool
	heldChunks *memory.Buffer
	// earlierTokens is the number of output tokens delivered by engines before the current one.
	earlierTokens int64
	// deadlineRenewal is when the write deadline is next extended; it is extended at most once a second.
	deadlineRenewal time.Time
	// firstTokenAt is when the first token of the current engine arrived.
	firstTokenAt time.Time
	// attempt is the attempt whose chunks are passed on.
	attempt *attempt
	buffer  []byte
	// unflushed is true while written data hasn't been flushed.
	unflushed bool
}

// newStreamProxy returns a proxy for one answer, and sets the job's method.
func (j *job) newStreamProxy(w http.ResponseWriter, atMostOnce bool) *streamProxy {
	p := &streamProxy{
		job: j, writer: w, controller: http.NewResponseController(w),
		delivered: j.newBuffer(), finalChunks: j.newBuffer(), heldChunks: j.newBuffer(),
	}
	j.method = method{
		call:       func() (call, error) { return j.chatCall(p.delivered.Bytes(), atMostOnce) },
		repeatable: func() bool { return !atMostOnce && !p.notResumable },
		begun:      func() bool { return p.headerSent },
		complete:   p.checkComplete,
		silence:    stallTimeout,
	}
	return p
}

// serveStream serves a streamed chat completion and returns its outcome. If an engine fails in the middle of an
// answer, another engine of the same version continues it after the last chunk that was delivered.
func (j *job) serveStream(ctx context.Context, w http.ResponseWriter, atMostOnce bool) model.Outcome {
	p := j.newStreamProxy(w, atMostOnce)
	p.holdBack = j.decision.Terms.Judge && j.mayEscalate(atMostOnce)
	for {
		e := p.runAttempt(ctx)
		if e.succeeded() && p.holdBack && j.judgeAnswer(ctx, unescapeJSON(p.delivered.Bytes())) == route.Escalate && j.escalate(ctx, keptAnswer{stream: p, answer: signal{result: &e}}) {
			_ = j.setHeaders(w)
			p = j.newStreamProxy(w, atMostOnce)
			continue
		}
		if e.succeeded() {
			return p.complete(ctx, e)
		}
		if p.notResumable && e.ending != core.EndedCancelled {
			j.finish(e)
			return p.fail(ctx, outcomeUnknown("endpoint-failed", "the endpoint failed and the answer can't be continued; send the request again"))
		}
		f := j.retry(ctx, e, atMostOnce)
		switch {
		case f != nil && j.mayRestore(ctx) && !p.headerSent:
			k := j.restore(w, f)
			return k.stream.complete(ctx, *k.answer.result)
		case f != nil:
			return p.fail(ctx, f)
		}
	}
}

// runAttempt sends the request to an engine and passes on its stream, and that of a successor where one goes on with it.
func (p *streamProxy) runAttempt(ctx context.Context) attemptResult {
	if err := p.job.start(); err != nil {
		return attemptResult{ending: core.EndedFailed, err: err}
	}
	defer p.job.silence.Stop()
	return p.forwardStream(ctx)
}

// forwardStream passes chunks on until the engine's stream ends. Chunks that arrived together are flushed
// together.
func (p *streamProxy) forwardStream(ctx context.Context) attemptResult {
	for {
		g := p.job.next(ctx)
		if a := p.job.current; a != p.attempt {
			p.follow(a)
		}
		switch {
		case g.result != nil:
			p.flushPending()
			return *g.result
		case bytes.Equal(g.data, doneData):
			return p.checkComplete()
		case g.data != nil:
			if err := p.forwardChunk(g.data); err != nil {
				return p.failedChunk(err)
			}
		}
		if !g.more {
			p.flushPending()
		}
	}
}

// failedChunk returns the result of an attempt of which a chunk couldn't be passed on.
func (p *streamProxy) failedChunk(err error) attemptResult {
	switch {
	case errors.Is(err, errCallerGone):
		return attemptResult{ending: core.EndedCancelled, mayHaveStarted: true, err: err}
	case isSize(err):
		p.recordSize(err)
		p.discard()
		return sizeResult(err)
	}
	return attemptResult{ending: core.EndedFaulty, mayHaveStarted: true, err: err}
}

// discard gives up an answer that takes too much. Unless some of it was sent, another engine can begin anew.
func (p *streamProxy) discard() {
	p.heldChunks.Release()
	p.finalChunks.Release()
	p.delivered.Release()
	if p.notResumable = p.headerSent; !p.headerSent {
		p.sentChunks, p.job.usage = 0, model.Usage{}
	}
}

// recordSize logs and counts that the current attempt's answer takes too much.
func (p *streamProxy) recordSize(err error) {
	p.job.gate.recordSize(p.job.request.id, p.job.decision.Endpoint.ID, "stream", err)
}

// follow passes on the chunks of another attempt from now on, which continues the text that was delivered.
func (p *streamProxy) follow(a *attempt) {
	p.attempt = a
	p.earlierTokens, p.usage, p.attemptBytes = p.sentChunks, nil, 0
	p.finalChunks.Release()
}

// checkComplete returns the result of an attempt whose stream ended regularly. A stream without usage or a
// finish reason counts as truncated.
func (p *streamProxy) checkComplete() attemptResult {
	if p.usage == nil || p.finalChunks.Len() == 0 {
		return attemptResult{ending: core.EndedFaulty, mayHaveStarted: true, err: errTruncated}
	}
	return attemptResult{ending: core.EndedWell, mayHaveStarted: true}
}

// forwardChunk passes on one chunk after checking that it belongs to the current attempt. Chunks with a finish
// reason or with usage are kept until the ledger line is settled.
func (p *streamProxy) forwardChunk(v []byte) error {
	if p.attemptBytes += int64(len(v)); p.attemptBytes > p.attempt.call.limit {
		return p.attempt.call.tooLong()
	}
	o, ok := cutID(v, p.attempt.request.ID)
	if !ok {
		return errForeignChunk
	}
	if bytes.Contains(v, usageField) {
		return p.readUsage(v)
	}
	if bytes.Contains(v, toolCallsField) {
		p.notResumable = true
	}
	if c := chunkContent(v); len(c) > 0 {
		if err := p.keepText(c); err != nil {
			return err
		}
		p.sentChunks++
		p.job.usage = model.Usage{OutputTokens: p.sentChunks}
		p.measureTokenTime()
	}
	if bytes.Contains(v, finishReasonField) {
		return keepChunk(p.finalChunks, p.job.request.id, o)
	}
	if !p.holdBack {
		p.sendHeader()
	}
	return p.writeChunk(o)
}

// keepText keeps text that another engine needs to continue the answer. If there is no room for it, a stream that was begun goes on
// without.
func (p *streamProxy) keepText(text []byte) error {
	if p.textDropped {
		return nil
	}
	err := p.delivered.Append(text)
	if err != nil && p.holdBack {
		if e := p.passUnrated(err); e != nil {
			return e
		}
		err = p.delivered.Append(text)
	}
	if err == nil || !p.headerSent {
		return err
	}
	p.recordSize(err)
	p.textDropped, p.notResumable = true, true
	p.delivered.Release()
	return nil
}

// timedTokens is the number of tokens after the first one whose mean time is reported.
const timedTokens = 8

// measureTokenTime reports the mean time per output token once timedTokens tokens have followed the first one,
// so that a slow version is noticed before the answer ends.
func (p *streamProxy) measureTokenTime() {
	switch p.sentChunks - p.earlierTokens {
	case 1:
		p.firstTokenAt = time.Now()
	case 1 + timedTokens:
		p.job.reportTokenTime(time.Since(p.firstTokenAt) / timedTokens)
	}
}

// readUsage keeps the usage that an engine reported. An engine that continued an answer counts the text of the
// engines before it as prompt tokens; these are counted as output tokens instead.
func (p *streamProxy) readUsage(v []byte) error {
	var c completion
	if err := json.Unmarshal(v, &c); err != nil || c.Usage == nil {
		return errTruncated
	}
	c.Usage.CompletionTokens += p.earlierTokens
	c.Usage.PromptTokens -= p.earlierTokens
	p.usage = c.Usage
	return nil
}

// sendHeader sends the status and headers unless they were sent already. The outcome follows as a trailer.
func (p *streamProxy) sendHeader() {
	if p.headerSent {
		return
	}
	p.headerSent = true
	h := p.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Trailer", HeaderOutcome)
	p.writer.WriteHeader(http.StatusOK)
}

// writeChunk sends a chunk under the request's id, or keeps it in heldChunks while answers are held back. rest
// is the chunk after its id. It returns errCallerGone if the caller can't be written to, and a *memory.FullError
// if there is no room.
func (p *streamProxy) writeChunk(rest []byte) error {
	if n := time.Now(); n.After(p.deadlineRenewal) {
		p.deadlineRenewal = n.Add(time.Second)
		_ = p.controller.SetWriteDeadline(n.Add(callerWriteTimeout))
	}
	if p.holdBack {
		err := keepChunk(p.heldChunks, p.job.request.id, rest)
		if err == nil {
			return nil
		}
		if err := p.passUnrated(err); err != nil {
			return err
		}
	}
	p.buffer = appendChunk(p.buffer[:0], p.job.request.id, rest)
	p.unflushed = true
	if _, err := p.writer.Write(p.buffer); err != nil {
		return errCallerGone
	}
	return nil
}

// passUnrated sends the chunks that were held back for which there is no more room, and those after them as they arrive. It returns
// the cause instead if the version's earlier ratings are too low for that, and errCallerGone if the caller can't be written to.
func (p *streamProxy) passUnrated(cause error) error {
	if p.job.judgeUnrated() == route.Escalate {
		return cause
	}
	p.recordSize(cause)
	p.holdBack = false
	p.sendHeader()
	p.unflushed = true
	_, err := p.writer.Write(p.heldChunks.Bytes())
	p.heldChunks.Release()
	if err != nil {
		return errCallerGone
	}
	return nil
}

// flushPending flushes written chunks to the caller.
func (p *streamProxy) flushPending() {
	if p.headerSent && !p.holdBack && p.unflushed {
		p.unflushed = false
		_ = p.controller.Flush()
	}
}

// complete settles the ledger line, and then sends the held and final chunks, the usage if the caller asked for
// it, and the end mark "[DONE]". The answer is queued for rating.
func (p *streamProxy) complete(ctx context.Context, e attemptResult) model.Outcome {
	j := p.job
	j.usage = p.usage.model()
	j.finish(e)
	j.settle(ctx, model.OutcomeRan)
	p.holdBack = false
	p.sendHeader()
	_, _ = p.writer.Write(p.heldChunks.Bytes())
	_, _ = p.writer.Write(p.finalChunks.Bytes())
	var b []byte
	if j.request.chat.StreamOptions.IncludeUsage {
		b = append(b, p.usageEvent()...)
	}
	b = append(b, dataPrefix...)
	b = append(b, doneData...)
	b = append(b, "\n\n"...)
	p.unflushed = true
	_, _ = p.writer.Write(b)
	p.writer.Header().Set(HeaderOutcome, model.OutcomeRan.String())
	p.flushPending()
	p.queueRating()
	return model.OutcomeRan
}

// queueRating queues the text to be rated, if it was kept.
func (p *streamProxy) queueRating() {
	if p.textDropped {
		p.job.gate.ratings.countDropped()
		return
	}
	p.job.queueRating(unescapeJSON(p.delivered.Bytes()))
}

// fail ends a stream that can't be completed. A caller that has received chunks gets the error as an event in
// the stream, without an end mark. If chunks were sent, the outcome is unknown.
func (p *streamProxy) fail(ctx context.Context, f *failure) model.Outcome {
	j := p.job
	if p.sentChunks > 0 && !p.holdBack {
		j.usage = model.Usage{InputTokens: int64(j.request.bodyBytes / bytesPerToken), OutputTokens: p.sentChunks}
		f.outcome = model.OutcomeUnknown
	}
	if !p.headerSent {
		return j.fail(ctx, p.writer, f)
	}
	j.settle(ctx, f.outcome)
	j.gate.countFailure(f)
	b, err := json.Marshal(f.body())
	if err == nil {
		b = append(append(bytes.Clone(dataPrefix), b...), "\n\n"...)
		p.unflushed = true
		_, _ = p.writer.Write(b)
	}
	p.writer.Header().Set(HeaderOutcome, f.outcome.String())
	p.flushPending()
	return f.outcome
}
