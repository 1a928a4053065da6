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
	endpointDialTimeout = 700 * time.Millisecond
	idleConnections     = 512
	// stallTimeout is how long an endpoint may send nothing before the attempt counts as failed.
	stallTimeout = 10 * time.Second
	// headerPriority tells an engine how urgent a request is.
	headerPriority = "X-Priority"
	// headerAttempt carries the request's id and the number of the attempt.
	headerAttempt = "X-Request-Id"
)

// engineClient calls endpoints. Calls that must not be repeated use connections of their own, because the
// HTTP library may repeat a call on a kept connection that turns out to be closed.
type engineClient struct {
	kept  *http.Client
	fresh *http.Client
}

func newEngineClient() *engineClient {
	d := &net.Dialer{Timeout: endpointDialTimeout}
	k := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	f := &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &engineClient{kept: &http.Client{Transport: k, CheckRedirect: noRedirect}, fresh: &http.Client{Transport: f, CheckRedirect: noRedirect}}
}

// noRedirect passes redirects on to the caller, since following one would send the request twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// call describes one attempt at an endpoint.
type call struct {
	endpoint model.Endpoint
	method   string
	path     string
	body     []byte
	header   http.Header
	attempt  string
	priority model.Priority
	once     bool
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
	q.Header.Set(headerAttempt, c.attempt)
	q.Header.Set(headerPriority, c.priority.String())
	if c.once {
		return e.fresh.Do(q)
	}
	return e.kept.Do(q)
}

// ending is how an attempt ended, and whether the endpoint may have started the request.
type ending struct {
	kind core.Ending
	// started is false only where the endpoint can't have started the request.
	started bool
	err     error
}

// classify tells from an error what became of a call. Only a connection that was never made proves that
// nothing has run; a refused one says besides that the endpoint's incarnation has departed. A timeout
// after the request was written proves nothing.
func classify(ctx context.Context, err error) ending {
	var o *net.OpError
	d := errors.As(err, &o) && o.Op == "dial"
	switch {
	case d && errors.Is(err, syscall.ECONNREFUSED):
		return ending{kind: core.EndedRefused, err: err}
	case d:
		return ending{kind: core.EndedFailed, err: err}
	case ctx.Err() != nil && context.Cause(ctx) == context.Canceled:
		return ending{kind: core.EndedCancelled, started: true, err: err}
	}
	return ending{kind: core.EndedFailed, started: true, err: err}
}

// classifyStatus tells from a status other than success what became of a call.
func classifyStatus(r *http.Response) ending {
	err := errors.New("the endpoint answered " + r.Status)
	switch {
	case r.Header.Get(HeaderNotRun) == "true":
		return ending{kind: core.EndedFailed, err: err}
	case r.StatusCode == http.StatusTooManyRequests || r.StatusCode == http.StatusServiceUnavailable:
		return ending{kind: core.EndedFailed, started: true, err: err}
	case r.StatusCode >= http.StatusInternalServerError:
		return ending{kind: core.EndedFaulty, started: true, err: err}
	}
	return ending{kind: core.EndedWell, started: true}
}
