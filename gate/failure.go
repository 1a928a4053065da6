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

// failure is the router's own final answer to a request that no endpoint answered.
type failure struct {
	status  int
	code    string
	message string
	outcome model.Outcome
	// retryAfter is the delay after which the caller may retry; 0 means that a retry won't help.
	retryAfter time.Duration
}

// Error returns the code and the message; the message names the remedy.
func (f *failure) Error() string { return f.code + ": " + f.message }

// failureBody is the JSON form of a failure, in the format of OpenAI's errors.
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

// write sends the failure as JSON. It sets X-Should-Retry, which OpenAI clients obey, because their automatic
// retry is safe only if the request was not run.
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

// refusalFailure returns the failure for a refusal by the reducer. A refused request was not run.
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

// unavailable returns a failure with status 503 for a request that was not sent to an endpoint and may be
// retried after retryAfter.
func unavailable(code, message string, retryAfter time.Duration) *failure {
	return &failure{
		status: http.StatusServiceUnavailable, code: code, message: message,
		outcome: model.OutcomeNotRun, retryAfter: retryAfter,
	}
}

// outcomeUnknown returns a failure with status 502 for a request that an endpoint may have run.
func outcomeUnknown(code, message string) *failure {
	return &failure{status: http.StatusBadGateway, code: code, message: message, outcome: model.OutcomeUnknown}
}

// readBody reads a body of at most maxBodyBytes within bodyTimeout. If that fails, the connection is closed
// after the answer and keeps its read deadline, so that the server doesn't wait for the rest of the body.
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
