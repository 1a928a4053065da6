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
	"github.com/hickoryshelf/hickoryshelf/model"
)

const (
	endpointDialTimeout     = 700 * time.Millisecond
	maxIdleConnsPerEndpoint = 512
	// stallTimeout is how long an endpoint may send nothing before the attempt counts as failed.
	stallTimeout = 10 * time.Second
	// headerPriority tells an engine how urgent a request is.
	headerPriority = "X-Priority"
	// headerAttemptID carries the request's id and the number of the attempt.
	headerAttemptID = "X-Request-Id"
)

// engineClient calls endpoints. Calls that must not be repeated use connections of their own, because the
// HTTP library may repeat a call on a kept connection that turns out to be closed.
type engineClient struct {
	keepAlive *http.Client
	singleUse *http.Client
}

func newEngineClient() *engineClient {
	d := &net.Dialer{Timeout: endpointDialTimeout}
	k := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerEndpoint, DisableCompression: true}
	f := &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &engineClient{keepAlive: &http.Client{Transport: k, CheckRedirect: noRedirect}, singleUse: &http.Client{Transport: f, CheckRedirect: noRedirect}}
}

// noRedirect passes redirects on to the caller, since following one would send the request twice.
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
}

// send starts a call and returns once the endpoint's headers are there.
func (e *engineClient) send(ctx context.Context, c call) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.endpoint.Address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	q.GetBody = nil
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

// attemptResult is how an attempt ended, and whether the endpoint may have started the request.
type attemptResult struct {
	kind core.Ending
	// mayHaveStarted is false only where the endpoint can't have mayHaveStarted the request.
	mayHaveStarted bool
	err            error
}

// classifyError tells from an error what became of a call. Only a connection that was never made proves that
// nothing has run; a refused one says besides that the endpoint's incarnation has departed. A timeout
// after the request was written proves nothing.
func classifyError(ctx context.Context, err error) attemptResult {
	var o *net.OpError
	d := errors.As(err, &o) && o.Op == "dial"
	switch {
	case d && errors.Is(err, syscall.ECONNREFUSED):
		return attemptResult{kind: core.EndedRefused, err: err}
	case d:
		return attemptResult{kind: core.EndedFailed, err: err}
	case ctx.Err() != nil && context.Cause(ctx) == context.Canceled:
		return attemptResult{kind: core.EndedCancelled, mayHaveStarted: true, err: err}
	}
	return attemptResult{kind: core.EndedFailed, mayHaveStarted: true, err: err}
}

// classifyStatus tells from a status other than success what became of a call.
func classifyStatus(r *http.Response) attemptResult {
	err := errors.New("the endpoint answered " + r.Status)
	switch {
	case r.Header.Get(HeaderNotRun) == "true":
		return attemptResult{kind: core.EndedFailed, err: err}
	case r.StatusCode == http.StatusTooManyRequests || r.StatusCode == http.StatusServiceUnavailable:
		return attemptResult{kind: core.EndedFailed, mayHaveStarted: true, err: err}
	case r.StatusCode >= http.StatusInternalServerError:
		return attemptResult{kind: core.EndedFaulty, mayHaveStarted: true, err: err}
	}
	return attemptResult{kind: core.EndedWell, mayHaveStarted: true}
}
