package caller_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/caller"
)

// slowConn is a connection whose Close returns only once the gate is open.
type slowConn struct {
	net.Conn
	gate   chan struct{}
	closes int
}

func (c *slowConn) Close() error {
	c.closes++
	<-c.gate
	return nil
}

// countingHandler counts the requests that reach it and those that are logged as not served.
type countingHandler struct{ served, unserved int }

func (h *countingHandler) ServeHTTP(http.ResponseWriter, *http.Request) { h.served++ }

func (h *countingHandler) LogUnserved(*http.Request) { h.unserved++ }

// serve reports whether a request on a connection reaches the handler behind a tracker's guard. One that doesn't has to be logged.
func serve(i *is.I, t *caller.Tracker, n net.Conn) bool {
	h := &countingHandler{}
	callGuarded(t, n, h)
	i.Equal(h.served+h.unserved, 1)
	return h.served == 1
}

// callGuarded calls a handler behind a tracker's guard with a request on a connection.
func callGuarded(t *caller.Tracker, n net.Conn, h *countingHandler) {
	defer func() { _ = recover() }() // a request that isn't served panics with http.ErrAbortHandler
	q := httptest.NewRequest(http.MethodPost, "/", nil)
	q = q.WithContext(t.ConnContext(context.Background(), n))
	t.Guard(h).ServeHTTP(httptest.NewRecorder(), q)
}

// Guards against a request that is passed on though its idle connection is being closed, so that it runs without an answer.
func TestRequestOnClosingConnectionIsNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		k := caller.NewTracker(func() time.Duration { return time.Second })
		n := &slowConn{gate: make(chan struct{})}
		k.Track(n, http.StateIdle)
		time.Sleep(time.Second)
		synctest.Wait() // the timer has expired and Close is under way
		k.Track(n, http.StateActive)
		i.Equal(n.closes, 1)
		i.True(!serve(i, k, n))
		close(n.gate)
		k.Track(n, http.StateClosed)
		i.Equal(k.Busy(), 0)
	})
}

// Guards against a connection that is closed during a request because it was idle before.
func TestRequestKeepsConnectionOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		k := caller.NewTracker(func() time.Duration { return time.Second })
		n := &slowConn{gate: make(chan struct{})}
		for range 3 {
			k.Track(n, http.StateIdle)
			time.Sleep(999 * time.Millisecond)
			k.Track(n, http.StateActive)
			time.Sleep(5 * time.Second)
			i.True(serve(i, k, n))
			i.Equal(k.Busy(), 1)
		}
		i.Equal(n.closes, 0)
	})
}
