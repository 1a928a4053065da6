package gate

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/model"
)

const (
	// maxHeadBytes bounds the head of an endpoint's answer with the interim answers before it. A field of a few bytes takes many
	// times as many when it is read.
	maxHeadBytes            = 16 << 10
	endpointDialTimeout     = 700 * time.Millisecond
	maxIdleConnsPerEndpoint = 512
	// probeInterval is the time between the keep-alive probes on a connection to an endpoint, and before the first one. After
	// probeCount probes without an answer the connection fails.
	probeInterval = 15 * time.Second
	probeCount    = 4
	// endpointUserTimeout is how long bytes sent to an endpoint may remain unacknowledged before the connection fails.
	endpointUserTimeout = (1 + probeCount) * probeInterval
	// stallTimeout is how long an endpoint may send no part of a stream before another one is asked beside it.
	stallTimeout = 10 * time.Second
	// maxStatus is the largest status code that HTTP has a meaning for.
	maxStatus = 599
	// headerPriority carries the request's priority to the endpoint.
	headerPriority = "X-Priority"
	// headerAttemptID carries the attempt's id, "REQUEST.N", with attempts numbered from 0.
	headerAttemptID = "X-Request-Id"
)

// engineClient calls endpoints. Calls that must run at most once use singleUse, which opens a connection for
// each call, because net/http may repeat a call when a kept-alive connection turns out to be closed.
type engineClient struct {
	keepAlive *http.Client
	singleUse *http.Client
}

// DialFunc opens a connection to an endpoint's address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialEndpoint opens a TCP connection to an endpoint. The connection fails once its other side has acknowledged nothing for
// endpointUserTimeout. The end of what the endpoint sends is told from a reset, as dial.ProveEnd says.
func DialEndpoint(ctx context.Context, network, address string) (net.Conn, error) {
	c, f := context.WithTimeout(ctx, endpointDialTimeout)
	defer f()
	n, err := endpointDialer.DialContext(c, network, address)
	if err != nil {
		return nil, err
	}
	return dial.ProveEnd(n), nil
}

var endpointDialer = dial.NewDialer(net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}, endpointUserTimeout)

// newEngineClient returns a client that follows no redirects and leaves compressed answers as they are. A nil open stands for
// DialEndpoint.
func newEngineClient(open DialFunc) *engineClient {
	if open == nil {
		open = DialEndpoint
	}
	k := &http.Transport{DialContext: open, MaxIdleConnsPerHost: maxIdleConnsPerEndpoint, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	f := &http.Transport{DialContext: open, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	return &engineClient{keepAlive: &http.Client{Transport: k, CheckRedirect: noRedirect}, singleUse: &http.Client{Transport: f, CheckRedirect: noRedirect}}
}

// noRedirect makes the client return redirects instead of following them: following one would send the
// request a second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// call describes one attempt at an endpoint.
type call struct {
	endpoint   model.Endpoint
	method     string
	path       string
	body       []byte
	header     http.Header
	attemptID  string
	priority   model.Priority
	atMostOnce bool
	// limit is how many bytes the answer may have at most, and output true if the request's output tokens set it.
	limit  int64
	output bool
}

// tooLong returns the error for an answer that is longer than limit.
func (c call) tooLong() error { return &tooLongError{limit: c.limit, fault: c.output} }

// send makes a call and returns when the endpoint's response headers have arrived. The caller of send closes
// the response's body.
func (e *engineClient) send(ctx context.Context, c call) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.endpoint.Address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	q.GetBody = nil // without it, net/http can't rewind the body and send it again
	for k, v := range c.header {
		q.Header[k] = v
	}
	q.Header.Set(headerAttemptID, c.attemptID)
	q.Header.Set(headerPriority, c.priority.String())
	if c.atMostOnce {
		return e.singleUse.Do(q)
	}
	return e.keepAlive.Do(q)
}

// attemptResult describes how an attempt ended.
type attemptResult struct {
	ending core.Ending
	// mayHaveStarted is false only if it is certain that the endpoint didn't start the request.
	mayHaveStarted bool
	// err is the cause of a failed attempt, for the log.
	err error
	// refusal is set if the attempt was refused before it had an endpoint. The other fields are then unset.
	refusal *failure
}

// succeeded reports whether the attempt gave a complete answer.
func (e attemptResult) succeeded() bool { return e.refusal == nil && e.ending == core.EndedWell }

// classifyError returns the result of a call that ended with err. Only a connection that could not be opened
// proves that the request was not started; a refused connection also means that this incarnation of the
// endpoint has departed. A request whose connection failed after it was written may have run. ctx is the attempt's
// context; it is cancelled when the caller disconnects.
func classifyError(ctx context.Context, err error) attemptResult {
	var o *net.OpError
	d := errors.As(err, &o) && o.Op == "dial"
	switch {
	case d && errors.Is(err, syscall.ECONNREFUSED):
		return attemptResult{ending: core.EndedRefused, err: err}
	case d:
		return attemptResult{ending: core.EndedFailed, err: err}
	case ctx.Err() != nil && context.Cause(ctx) == context.Canceled:
		return attemptResult{ending: core.EndedCancelled, mayHaveStarted: true, err: err}
	}
	return attemptResult{ending: core.EndedFailed, mayHaveStarted: true, err: err}
}

// classifyStatus returns the result of a call by the status of its response. Status 429 and 503 mean a failed
// attempt, other statuses from 500 and those that no final answer may have a faulty endpoint. HeaderNotRun proves that the request was
// not started.
// All other statuses, including 3xx and 4xx, are answers that the caller gets.
func classifyStatus(r *http.Response) attemptResult {
	err := errors.New("the endpoint answered " + r.Status)
	switch {
	case r.StatusCode < http.StatusOK || r.StatusCode > maxStatus:
		return attemptResult{ending: core.EndedFaulty, mayHaveStarted: true, err: err}
	case r.Header.Get(HeaderNotRun) == "true":
		return attemptResult{ending: core.EndedFailed, err: err}
	case r.StatusCode == http.StatusTooManyRequests || r.StatusCode == http.StatusServiceUnavailable:
		return attemptResult{ending: core.EndedFailed, mayHaveStarted: true, err: err}
	case r.StatusCode >= http.StatusInternalServerError:
		return attemptResult{ending: core.EndedFaulty, mayHaveStarted: true, err: err}
	}
	return attemptResult{ending: core.EndedWell, mayHaveStarted: true}
}
