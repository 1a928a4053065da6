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
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/route"
)

const (
	// chunkBuffer bounds one line of an engine's stream.
	chunkBuffer = 64 << 10
	// writeWait bounds the time in which a caller takes what it is sent.
	writeWait = 30 * time.Second
)

var (
	dataPrefix    = []byte("data: ")
	doneMark      = []byte("[DONE]")
	usageMark     = []byte(`"usage":{`)
	contentMark   = []byte(`"content":"`)
	toolMark      = []byte(`"tool_calls"`)
	finishMark    = []byte(`"finish_reason":"`)
	idMark        = []byte(`{"id":"`)
	errForeign    = errors.New("the endpoint sent a part of another request's answer")
	errTruncated  = errors.New("the endpoint's stream ended before the answer was whole")
	errCallerGone = errors.New("the caller takes no more")
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, chunkBuffer) }}

// pipe passes an engine's stream on to a caller.
type pipe struct {
	job    *job
	writer http.ResponseWriter
	flush  *http.ResponseController
	// head is true once the status was sent.
	head bool
	// delivered is the JSON-escaped text that the caller has; sent counts its parts.
	delivered []byte
	sent      int64
	// fixed is true once a part was delivered that can't be continued by another engine.
	fixed bool
	// usage was reported by the current engine; last holds the final parts, which wait for the bill.
	usage *engineUsage
	last  []byte
	// hold keeps the parts back in held until the answer is judged.
	hold bool
	held []byte
	// before is the number of output tokens delivered by earlier engines.
	before   int64
	deadline time.Time
	// first is when the current engine's first token came.
	first     time.Time
	attemptID []byte
	buffer    []byte
	// dirty is true while something written isn't flushed.
	dirty bool
}

// stream sends a streamed completion. When an engine fails in the middle, another engine of the same
// version goes on from the last part that the caller has.
func (j *job) stream(ctx context.Context, w http.ResponseWriter, once bool) model.Outcome {
	p := &pipe{job: j, writer: w, flush: http.NewResponseController(w), hold: j.decision.Terms.Judge && j.mayJudge(once)}
	for {
		e := p.attempt(ctx, once)
		if e.kind == core.EndedWell && p.hold && j.judge(ctx, unescape(p.delivered)) == route.Escalate && j.escalate(ctx) {
			_ = j.head(w)
			p = &pipe{job: j, writer: w, flush: p.flush}
			continue
		}
		if e.kind == core.EndedWell {
			return p.end(ctx, e)
		}
		if p.fixed && e.kind != core.EndedCancelled {
			j.finish(e)
			return p.fail(ctx, uncertain("endpoint-failed", "the endpoint failed and the answer can't be continued; send the request again"))
		}
		j.usage = model.Usage{OutputTokens: p.sent}
		if f := j.again(ctx, e, once); f != nil {
			return p.fail(ctx, f)
		}
		p.before, p.usage, p.last = p.sent, nil, nil
	}
}

// attempt passes on one engine's stream.
func (p *pipe) attempt(ctx context.Context, once bool) ending {
	j := p.job
	p.attemptID = []byte(j.attemptID())
	b, err := j.x.upstream(j.decision.Version, j.decision.Contract.MaxOutputTokens, p.delivered)
	if err != nil {
		return ending{kind: core.EndedFailed, err: err}
	}
	c, f := context.WithCancelCause(ctx)
	defer f(nil)
	t := time.AfterFunc(stallTimeout, func() { f(errStalled) })
	defer t.Stop()
	r, err := j.gate.engines.send(c, j.call(b, once))
	if err != nil {
		return classify(ctx, err)
	}
	defer func() { _ = r.Body.Close() }()
	if e := classifyStatus(r); e.kind != core.EndedWell {
		return e
	}
	if r.StatusCode != http.StatusOK {
		return ending{kind: core.EndedFaulty, started: true, err: errors.New("the endpoint answered " + r.Status)}
	}
	d := readers.Get().(*bufio.Reader)
	defer readers.Put(d)
	d.Reset(r.Body)
	defer d.Reset(nil)
	return p.copy(ctx, d, t)
}

// copy passes parts on until the engine's stream ends. Parts that have come in together are flushed together.
func (p *pipe) copy(ctx context.Context, d *bufio.Reader, t *time.Timer) ending {
	for {
		if d.Buffered() == 0 {
			p.flushNow()
		}
		l, err := d.ReadSlice('\n')
		if err != nil {
			p.flushNow()
			return p.broken(ctx, err)
		}
		t.Reset(stallTimeout)
		v, ok := bytes.CutPrefix(l, dataPrefix)
		if !ok {
			continue
		}
		v = bytes.TrimRight(v, "\r\n")
		if bytes.Equal(v, doneMark) {
			return p.done()
		}
		if err := p.part(v); errors.Is(err, errCallerGone) {
			return ending{kind: core.EndedCancelled, started: true, err: err}
		} else if err != nil {
			return ending{kind: core.EndedFaulty, started: true, err: err}
		}
	}
}

func (p *pipe) broken(ctx context.Context, err error) ending {
	if ctx.Err() != nil {
		return ending{kind: core.EndedCancelled, started: true, err: ctx.Err()}
	}
	return ending{kind: core.EndedFailed, started: true, err: errors.Join(errTruncated, err)}
}

func (p *pipe) done() ending {
	if p.usage == nil || p.last == nil {
		return ending{kind: core.EndedFaulty, started: true, err: errTruncated}
	}
	return ending{kind: core.EndedWell, started: true}
}

// part passes on one part of the answer, after a check that it belongs to this attempt. The last parts,
// with the reason for the end and the usage, are held back until the bill is settled.
func (p *pipe) part(v []byte) error {
	o, ok := p.own(v)
	if !ok {
		return errForeign
	}
	if bytes.Contains(v, usageMark) {
		return p.takeUsage(v)
	}
	if bytes.Contains(v, toolMark) {
		p.fixed = true
	}
	if c := content(v); len(c) > 0 {
		p.delivered = append(p.delivered, c...)
		p.sent++
		p.pace()
	}
	if bytes.Contains(v, finishMark) {
		p.last = render(p.last, p.job.x.id, o)
		return nil
	}
	if !p.hold {
		p.start()
	}
	return p.write(o)
}

// paceTokens is after how many tokens of an attempt its pace is reported.
const paceTokens = 8

// pace reports the time for a token early in an answer, so that a slow version is noticed before it ends.
func (p *pipe) pace() {
	switch p.sent - p.before {
	case 1:
		p.first = time.Now()
	case 1 + paceTokens:
		p.job.ratePace(time.Since(p.first) / paceTokens)
	}
}

// own returns what follows the id of a part, and whether the id is that of this attempt.
// content returns the JSON-escaped text of a part.
// render appends a part as the caller sees it, under the request's id.
func (p *pipe) takeUsage(v []byte) error {
	var c completion
	if err := json.Unmarshal(v, &c); err != nil || c.Usage == nil {
		return errTruncated
	}
	c.Usage.CompletionTokens += p.before
	c.Usage.PromptTokens -= p.before
	p.usage = c.Usage
	return nil
}

// start sends the status and headers once.
func (p *pipe) start() {
	if p.head {
		return
	}
	p.head = true
	h := p.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Trailer", HeaderOutcome)
	p.writer.WriteHeader(http.StatusOK)
}

func (p *pipe) write(rest []byte) error {
	if n := time.Now(); n.After(p.deadline) {
		p.deadline = n.Add(time.Second)
		_ = p.flush.SetWriteDeadline(n.Add(writeWait))
	}
	if p.hold {
		p.held = render(p.held, p.job.x.id, rest)
		return nil
	}
	p.buffer = render(p.buffer[:0], p.job.x.id, rest)
	p.dirty = true
	if _, err := p.writer.Write(p.buffer); err != nil {
		return errCallerGone
	}
	return nil
}

func (p *pipe) flushNow() {
	if p.head && !p.hold && p.dirty {
		p.dirty = false
		_ = p.flush.Flush()
	}
}

// end settles the bill and then sends the last parts.
func (p *pipe) end(ctx context.Context, e ending) model.Outcome {
	j := p.job
	j.usage = p.usage.model()
	j.finish(e)
	j.settle(ctx, model.OutcomeRan)
	p.hold = false
	p.start()
	b := append(p.held, p.last...)
	if j.x.fields.StreamOptions.IncludeUsage {
		b = append(b, p.usagePart()...)
	}
	b = append(b, dataPrefix...)
	b = append(b, doneMark...)
	b = append(b, "\n\n"...)
	p.dirty = true
	_, _ = p.writer.Write(b)
	p.writer.Header().Set(HeaderOutcome, model.OutcomeRan.String())
	p.flushNow()
	j.rateAnswer(unescape(p.delivered))
	return model.OutcomeRan
}

// usageChunk is the last part of a stream in OpenAI's format.
// fail ends a stream that can't be made whole. A caller that has parts already gets an error in the stream
// and no end mark.
func (p *pipe) fail(ctx context.Context, f *failure) model.Outcome {
	j := p.job
	if p.sent > 0 && !p.hold {
		j.usage = model.Usage{InputTokens: int64(j.x.size / bytesPerToken), OutputTokens: p.sent}
		f.outcome = model.OutcomeUnknown
	}
	if !p.head {
		return j.fail(ctx, p.writer, f)
	}
	j.settle(ctx, f.outcome)
	j.gate.count(f)
	b, err := json.Marshal(f.body())
	if err == nil {
		b = append(append(bytes.Clone(dataPrefix), b...), "\n\n"...)
		p.dirty = true
		_, _ = p.writer.Write(b)
	}
	p.writer.Header().Set(HeaderOutcome, f.outcome.String())
	p.flushNow()
	return f.outcome
}

// unescape returns the text of JSON-escaped content.
