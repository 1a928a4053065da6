package gate

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/model"
)

// failure is the final answer to a request that isn't answered by an endpoint.
type failure struct {
	status  int
	code    string
	message string
	outcome model.Outcome
	// retryAfter is when to come back; 0 where that won't help.
	retryAfter time.Duration
}

// Error returns the message, which names the remedy.
func (f *failure) Error() string { return f.code + ": " + f.message }

// failureBody is the JSON form of a failure, which OpenAI clients read.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Message string        `json:"message"`
	Type    string        `json:"type"`
	Code    string        `json:"code"`
	Outcome model.Outcome `json:"outcome"`
}

func (f *failure) body() failureBody {
	return failureBody{failureDetail{Message: f.message, Type: "hickoryshelf", Code: f.code, Outcome: f.outcome}}
}

// write sends the failure. The header that tells OpenAI clients whether to retry is set, since a retry of
// theirs is only safe after not-run.
func (f *failure) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, f.outcome.String())
	h.Set("X-Should-Retry", strconv.FormatBool(f.outcome == model.OutcomeNotRun && f.retryAfter > 0))
	if requestID != "" {
		h.Set(HeaderRequestID, requestID)
	}
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
		h.Set("Retry-After-Ms", strconv.FormatInt(f.retryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(f.status)
	_ = json.NewEncoder(w).Encode(f.body())
}

func badRequest(message string) *failure {
	return &failure{status: http.StatusBadRequest, code: "bad-request", message: message, outcome: model.OutcomeNotRun}
}

func unknownKey() *failure {
	m := "no contract holds this bearer key; ask the operator for one"
	return &failure{status: http.StatusUnauthorized, code: "unknown-key", message: m, outcome: model.OutcomeNotRun}
}

// refusalFailure turns a refusal of the reducer into the final answer.
func refusalFailure(r *core.Refusal) *failure {
	s := http.StatusServiceUnavailable
	switch r.Kind {
	case core.RefusedKey:
		s = http.StatusUnauthorized
	case core.RefusedClass:
		s = http.StatusBadRequest
	case core.RefusedVersion:
		s = http.StatusForbidden
	case core.RefusedSession:
		s = http.StatusConflict
	case core.RefusedWithdrawn:
		s = http.StatusGone
	case core.RefusedPath:
		s = http.StatusNotFound
	case core.RefusedCapacity, core.RefusedQueue:
		s = http.StatusTooManyRequests
	}
	return &failure{status: s, code: r.Kind.String(), message: r.Message, outcome: model.OutcomeNotRun, retryAfter: r.RetryAfter}
}

// unavailable is the answer where nothing was sent to an endpoint and the caller may come back.
func unavailable(code, message string, retryAfter time.Duration) *failure {
	return &failure{
		status: http.StatusServiceUnavailable, code: code, message: message,
		outcome: model.OutcomeNotRun, retryAfter: retryAfter,
	}
}

// outcomeUnknown is the answer where an endpoint may have run the request.
func outcomeUnknown(code, message string) *failure {
	return &failure{status: http.StatusBadGateway, code: code, message: message, outcome: model.OutcomeUnknown}
}

// readBody reads a bounded body within a bounded time. The connection of a caller that fails to send one is
// closed, and its deadline stays, so that the server waits for nothing more.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *failure) {
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		_ = c.SetReadDeadline(time.Time{})
		return b, nil
	}
	w.Header().Set("Connection", "close")
	var t *http.MaxBytesError
	if errors.As(err, &t) {
		m := "the body is longer than 1 MiB; send a shorter request"
		return nil, &failure{status: http.StatusRequestEntityTooLarge, code: "body-too-large", message: m, outcome: model.OutcomeNotRun}
	}
	m := "the body did not come in within 10 s; send it again"
	return nil, &failure{status: http.StatusRequestTimeout, code: "body-incomplete", message: m, outcome: model.OutcomeNotRun}
}
