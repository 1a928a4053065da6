package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/route"
)

// maxAnswerBytes bounds an answer that is read into memory; the rest of a longer answer isn't read.
const maxAnswerBytes = 8 << 20

// completion holds the fields of an engine's answer that the router reads.
type completion struct {
	ID      string             `json:"id"`
	Choices []completionChoice `json:"choices"`
	Usage   *engineUsage       `json:"usage"`
}

type completionChoice struct {
	Message completionMessage `json:"message"`
}

type completionMessage struct {
	Content string `json:"content"`
}

// engineUsage is the token usage in an engine's answer.
type engineUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`     // OpenAI's format
	CompletionTokens int64 `json:"completion_tokens"` // OpenAI's format
}

// model returns the usage in the form of the ledger.
func (u engineUsage) model() model.Usage {
	return model.Usage{InputTokens: u.PromptTokens, OutputTokens: u.CompletionTokens}
}

// serveBuffered serves a chat completion that isn't streamed and returns its outcome. Each attempt's answer is
// read completely before anything is sent to the caller, so that another attempt can replace it.
func (j *job) serveBuffered(ctx context.Context, w http.ResponseWriter, atMostOnce bool) model.Outcome {
	for {
		b, s, e := j.fetchAnswer(ctx, atMostOnce)
		if e.ending == core.EndedWell && s == http.StatusOK && j.mayEscalate(atMostOnce) && j.judgeAnswer(ctx, j.answerText) == route.Escalate {
			if j.escalate(ctx) {
				_ = j.setHeaders(w)
				continue
			}
		}
		if e.ending == core.EndedWell {
			j.queueRating(j.answerText)
			return j.deliver(ctx, w, b, s, e)
		}
		if f := j.retry(ctx, e, atMostOnce); f != nil {
			return j.fail(ctx, w, f)
		}
	}
}

// fetchAnswer makes one attempt and returns the answer's body and status, which are valid only if the attempt
// ended well.
func (j *job) fetchAnswer(ctx context.Context, atMostOnce bool) ([]byte, int, attemptResult) {
	b, err := j.request.engineBody(j.decision.Version, j.decision.Contract.MaxOutputTokens, nil)
	if err != nil {
		return nil, 0, attemptResult{ending: core.EndedFailed, err: err}
	}
	c, f := context.WithTimeoutCause(ctx, answerTimeout, errStalled)
	defer f()
	r, err := j.gate.engines.send(c, j.chatCall(b, atMostOnce))
	if err != nil {
		return nil, 0, classifyError(c, err)
	}
	defer func() { _ = r.Body.Close() }()
	if e := classifyStatus(r); e.ending != core.EndedWell {
		return nil, 0, e
	}
	a, err := io.ReadAll(io.LimitReader(r.Body, maxAnswerBytes))
	if err != nil {
		return nil, 0, classifyError(c, err)
	}
	return a, r.StatusCode, j.checkAnswer(a, r.StatusCode)
}

// answerTimeout bounds one attempt at an answer that isn't streamed.
const answerTimeout = 5 * time.Minute

// errStalled is the cancellation cause of an attempt that timed out or stalled, as opposed to one whose caller
// disconnected.
var errStalled = errors.New("the endpoint sent nothing for too long")

// chatCall returns the call of the current attempt.
func (j *job) chatCall(body []byte, atMostOnce bool) call {
	return call{
		endpoint: j.decision.Endpoint, method: http.MethodPost, path: "/v1/chat/completions", body: body,
		header:    http.Header{"Content-Type": {"application/json"}},
		attemptID: j.attemptID(), priority: j.decision.Terms.Priority, atMostOnce: atMostOnce,
	}
}

// checkAnswer checks that an answer with status 200 is complete and has the id of the current attempt, and keeps
// its usage and text. Answers with another status are accepted as they are.
func (j *job) checkAnswer(answer []byte, status int) attemptResult {
	if status != http.StatusOK {
		return attemptResult{ending: core.EndedWell, mayHaveStarted: true}
	}
	var c completion
	if err := json.Unmarshal(answer, &c); err != nil {
		return attemptResult{ending: core.EndedFaulty, mayHaveStarted: true, err: err}
	}
	if c.ID != j.attemptID() || len(c.Choices) == 0 || c.Usage == nil {
		return attemptResult{ending: core.EndedFaulty, mayHaveStarted: true, err: errors.New("the endpoint's answer belongs to another request or is incomplete")}
	}
	j.usage = c.Usage.model()
	j.answerText = c.Choices[0].Message.Content
	return attemptResult{ending: core.EndedWell, mayHaveStarted: true}
}

// deliver settles the request and sends the answer to the caller, with the attempt's id replaced by the
// request's id.
func (j *job) deliver(ctx context.Context, w http.ResponseWriter, body []byte, status int, e attemptResult) model.Outcome {
	j.finish(e)
	j.settle(ctx, model.OutcomeRan)
	a, q := j.attemptID(), j.request.id
	body = bytes.Replace(body, []byte(`"`+a+`"`), []byte(`"`+q+`"`), 1)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, model.OutcomeRan.String())
	w.WriteHeader(status)
	_, _ = w.Write(body)
	return model.OutcomeRan
}
