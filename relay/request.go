// Package relay carries a request to an endpoint and its answer back: which route and client account it
// has, which endpoints it is sent to, when it is sent again, and what the caller is told.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hickoryshelf/hickoryshelf/fleet"
)

//go:generate go tool stringer -type=Verdict,Reason -linecomment -output=enum_string.go

// Prompt is what a request says of its size.
type Prompt struct {
	// Tokens are those of the prompt; Output is the most that may be generated.
	Tokens    int
	MaxOutput int
	// OutputHint is the caller's estimate of the tokens that will be generated, or 0.
	OutputHint int
	// Parts are the prompt's parts in order.
	Parts []Part
}

// expectedOutput is the number of tokens that will probably be generated.
func (p Prompt) expectedOutput() int {
	if p.OutputHint > 0 {
		return p.OutputHint
	}
	return p.MaxOutput
}

// size is the size of a request: a generated token counts as ten that are read.
func (p Prompt) size() int { return p.Tokens + outputTokenWeight*p.expectedOutput() }

// outputTokenWeight is how many read tokens a generated one counts for in a request's size.
const outputTokenWeight = 10

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is one attempt of a caller.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path is the decoded path and Target the path and query as the caller wrote them.
	Path   string
	Target string
	// Key is the caller's key.
	Key string
	// MaxWait is how long the caller waits, or 0 where it doesn't say.
	MaxWait time.Duration
	// Session binds requests of a conversation; ResumeAfter is the last event that the caller has.
	Session     string
	ResumeAfter string
	Prompt      Prompt
	// Header holds what is passed on to the endpoint as it came.
	Header http.Header
	Body   []byte
	// Received is when the request's head was read.
	Received time.Time
}

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	*Request
	Endpoint fleet.Report
	// Account is the client account that the key belongs to, or empty.
	Account string
	// Model is the size chosen by this host, or empty where the caller's choice stands.
	Model string
	// Remaining is how long the endpoint may work.
	Remaining time.Duration
	// ResumeAfter is the last event that the caller has.
	ResumeAfter string
	// Priority is the request's rank at the endpoint; 0 is the first.
	Priority int
	// MaxConnections bounds those to the endpoint.
	MaxConnections int
}

// Verdict is what an endpoint's answer, or the lack of one, says of the run.
type Verdict int

// Verdicts.
const (
	// Unknown means that the request may have run.
	Unknown Verdict = iota // unknown
	// NotRun means that it has not run and won't.
	NotRun // not-run
	// Failed means that the endpoint ran it and answered with a failure.
	Failed // failed
	// Ran means that the endpoint answered with success, or with a refusal of the request itself.
	Ran // ran
)

// Reply is the head of an endpoint's answer.
type Reply struct {
	Verdict Verdict
	Status  int
	Header  http.Header
	// Confidence is the model's opinion of its answer, from 0 to 100, or -1.
	Confidence int
	// Body is nil where there is no answer. It has to be closed; closing it before its end stops the run.
	Body io.ReadCloser
	// Length is the body's, or -1.
	Length int64
	// Cause says why there is no usable answer.
	Cause error
	// WrongEndpoint is set where another endpoint answered at the address.
	WrongEndpoint bool
	// NotDelivered is set where no byte of the request can have reached the endpoint.
	NotDelivered bool
}

// Sender sends requests to endpoints. It translates the names of the endpoints' protocol.
type Sender interface {
	Send(ctx context.Context, a Attempt) Reply
}

// Sink takes what the caller is told.
type Sink interface {
	// Begin writes the head of an endpoint's answer; length is -1 where it isn't known.
	Begin(status int, header http.Header, length int64)
	// Write passes a piece of the body on and flushes it.
	Write(b []byte) error
	// Refuse ends the request with an answer of this host.
	Refuse(r Refusal)
	// Abort ends an answer that has begun so that it can't look complete.
	Abort()
}

// Reason is why this host answers itself.
type Reason int

// Reasons.
const (
	// NoConfiguration means that this host doesn't know the configuration yet.
	NoConfiguration Reason = iota // no-configuration
	// NoRoute means that no route has the host and path.
	NoRoute // no-route
	// UnknownKey means that no client account has the key.
	UnknownKey // unknown-key
	// BodyTooLarge means that the body exceeds the limit.
	BodyTooLarge // body-too-large
	// NoEndpoint means that no endpoint can take the request now; it has not run.
	NoEndpoint // no-endpoint
	// Overloaded means that the request can't be served in time; it has not run.
	Overloaded // overloaded
	// AnswerLost means that the request may have run and its answer is lost.
	AnswerLost // answer-lost
	// TimedOut means that the time is over and the request may have run.
	TimedOut // timed-out
	// Stopping means that this host is about to stop; the request has not run.
	Stopping // stopping
	// Expired means that the time is over and the request has not run.
	Expired // expired-not-run
)

// Refusal is an answer of this host.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the caller had better come back, or 0.
	RetryAfter time.Duration
}

// NotRun reports whether the refusal promises that the request has not run.
func (r Refusal) NotRun() bool {
	return r.Reason == NoConfiguration || r.Reason == NoEndpoint || r.Reason == Overloaded || r.Reason == Stopping || r.Reason == Expired
}
