package gate

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/memory"
)

const (
	// maxTokenBytes is the most that an output token takes in an answer: its text, escaped as JSON, and the other fields of its
	// chunk. With log probabilities each token that is listed takes as much again.
	maxTokenBytes = 1 << 10
	// answerBaseBytes is what an answer may have besides its tokens and a copy of the request.
	answerBaseBytes = 64 << 10
	// maxChoices and maxLogprobs are the largest values of n and top_logprobs that are counted with; engines refuse larger ones.
	maxChoices  = 128
	maxLogprobs = 20
	// memoryOwnerPart is the part of the account that the answers of one endpoint may take: half.
	memoryOwnerPart = 2
)

// tooLongError means that an endpoint has sent a longer answer than its call allows.
type tooLongError struct {
	limit int64
	// fault is true if the request's output tokens set the limit, so that the endpoint is at fault.
	fault bool
}

// Error says what the answer may have.
func (e *tooLongError) Error() string {
	if e.fault {
		return fmt.Sprintf("the endpoint sent more than %d bytes, which is more than the request's output tokens take; look at what it sends", e.limit)
	}
	return fmt.Sprintf("the endpoint's answer has more than %d bytes; ask for less at a time", e.limit)
}

// answerLimit returns how many bytes the answer of an attempt may have at most. limit is the contract's number of output tokens.
func (x *callerRequest) answerLimit(limit int) int64 {
	n := int64(1)
	if x.flag("logprobs") {
		n += 1 + int64(x.number("top_logprobs", maxLogprobs))
	}
	n *= max(1, int64(x.number("n", maxChoices)))
	return answerBaseBytes + int64(x.bodyBytes) + n*maxTokenBytes*int64(x.outputLimit(limit))
}

// flag returns a field of the body, or false if it isn't a truth value.
func (x *callerRequest) flag(name string) bool {
	var v bool
	return json.Unmarshal(x.body[name], &v) == nil && v
}

// number returns a field of the body between 0 and limit, or 0 if it isn't a number.
func (x *callerRequest) number(name string, limit int) int {
	var v float64
	if json.Unmarshal(x.body[name], &v) != nil {
		return 0
	}
	return int(min(float64(limit), max(0, v)))
}

// sizeResult returns the result of an attempt whose answer is longer than it may be, or for which the account has no room.
func sizeResult(err error) attemptResult {
	e := attemptResult{ending: core.EndedFailed, mayHaveStarted: true, err: err}
	var l *tooLongError
	switch {
	case errors.As(err, &l) && l.fault:
		e.ending = core.EndedFaulty
	case l != nil:
		e.ending = core.EndedCancelled
	}
	return e
}

// isSize reports whether an error says that an answer takes too much.
func isSize(err error) bool {
	var l *tooLongError
	var f *memory.FullError
	return errors.As(err, &l) || errors.As(err, &f)
}

// recordSize logs and counts an answer of a kind that takes too much. It does nothing for other errors.
func (g *Gate) recordSize(requestID, endpoint, kind string, err error) {
	var l *tooLongError
	var f *memory.FullError
	d := g.log.WithFields(logrus.Fields{"request": requestID, "endpoint": endpoint, "kind": kind})
	switch {
	case errors.As(err, &l):
		g.metrics.GetOrCreateCounter(fmt.Sprintf("hickoryshelf_answers_too_long_total{kind=%q}", kind)).Inc()
		d.WithError(err).Warn("gate: the answer is longer than it may be")
	case errors.As(err, &f):
		g.metrics.GetOrCreateCounter(fmt.Sprintf("hickoryshelf_answers_over_memory_total{kind=%q}", kind)).Inc()
		d.WithFields(logrus.Fields{"bytes": f.Bytes, "kept": f.Taken, "own-limit": f.Own}).Warn("gate: the answer takes too much memory")
	}
}
