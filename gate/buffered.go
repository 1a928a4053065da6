package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/route"
)

// maxAnswerBytes bounds an answer of a plain service; a longer one is a failure.
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
	j.method = method{
		call:       func() (call, error) { return j.chatCall(nil, atMostOnce) },
		repeatable: func() bool { return !atMostOnce },
		begun:      func() bool { return false },
		check:      j.checkAnswer,
		silence:    answerTimeout,
	}
	for {
		g := j.fetch(ctx)
		e := *g.result
		if e.succeeded() && g.response.StatusCode == http.StatusOK && j.mayEscalate(atMostOnce) && j.judgeAnswer(ctx, answerText(g.data)) == route.Escalate {
			if j.escalate(ctx, keptAnswer{answer: g}) {
				_ = j.setHeaders(w)
				continue
			}
		}
		if e.succeeded() {
			j.queueRating(answerText(g.data))
			return j.deliver(ctx, w, g.data, g.response.StatusCode, e)
		}
		f := j.retry(ctx, e, atMostOnce)
		switch {
		case f != nil && j.mayRestore(ctx):
			k := j.restore(w, f).answer
			j.queueRating(answerText(k.data))
			return j.deliver(ctx, w, k.data, k.response.StatusCode, *k.result)
		case f != nil:
			return j.fail(ctx, w, f)
		}
	}
}

// fetch gets an answer that isn't streamed. Its response and data are valid only if its result is a success.
func (j *job) fetch(ctx context.Context) signal {
	if err := j.start(); err != nil {
		return signal{result: &attemptResult{ending: core.EndedFailed, err: err}}
	}
	defer j.silence.Stop()
	return j.next(ctx)
}

// answerTimeout is how long an answer that isn't streamed may take before another endpoint is asked beside the first.
const answerTimeout = 5 * time.Minute

// chatCall returns the call of the next attempt. prefix is the text that was delivered, as in engineBody.
func (j *job) chatCall(prefix []byte, atMostOnce bool) (call, error) {
	b, err := j.request.engineBody(j.decision.Version, j.decision.Contract.MaxOutputTokens, prefix)
	return call{
		method: http.MethodPost, path: "/v1/chat/completions", body: b,
		header:   http.Header{"Content-Type": {"application/json"}},
		priority: j.decision.Terms.Priority, atMostOnce: atMostOnce,
		limit: j.request.answerLimit(j.decision.Contract.MaxOutputTokens), output: true,
	}, err
}

// checkAnswer checks that an answer with status 200 is complete and has the id of its attempt, and keeps
// its usage. Answers with another status are accepted as they are.
func (j *job) checkAnswer(id string, g signal) attemptResult {
	if g.response.StatusCode != http.StatusOK {
		return *g.result
	}
	var c completion
	if err := json.Unmarshal(g.data, &c); err != nil {
		return attemptResult{ending: core.EndedFaulty, mayHaveStarted: true, err: err}
	}
	if c.ID != id || len(c.Choices) == 0 || c.Usage == nil {
		return attemptResult{ending: core.EndedFaulty, mayHaveStarted: true, err: errors.New("the endpoint's answer belongs to another request or is incomplete")}
	}
	j.usage = c.Usage.model()
	return *g.result
}

// answerText returns the text of an answer that isn't streamed. It is empty if the answer is an error.
func answerText(answer []byte) string {
	var c completion
	if err := json.Unmarshal(answer, &c); err != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Message.Content
}

// deliver settles the request and sends the answer to the caller, with the attempt's id replaced by the
// request's id.
func (j *job) deliver(ctx context.Context, w http.ResponseWriter, body []byte, status int, e attemptResult) model.Outcome {
	j.finish(e)
	j.settle(ctx, model.OutcomeRan)
	a, q := j.attemptID(), j.request.id
	b, c, found := bytes.Cut(body, []byte(`"`+a+`"`))
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, model.OutcomeRan.String())
	w.WriteHeader(status)
	_, _ = w.Write(b)
	if found {
		_, _ = w.Write([]byte(`"` + q + `"`))
		_, _ = w.Write(c)
	}
	return model.OutcomeRan
}
