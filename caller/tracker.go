// Package caller tracks the connections of callers to an entry host, and bounds their number and the memory of their heads.
package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Tracker tracks the state of callers' connections. It closes a connection that is idle for too long, and counts those with
// a request in flight. It is safe for concurrent use.
type Tracker struct {
	// timeout returns how long a connection that becomes idle now may stay so.
	timeout func() time.Duration

	lock sync.Mutex
	idle map[net.Conn]*idleConn
	busy map[net.Conn]bool
	// closing holds the connections that were idle for too long and aren't closed yet. Their requests aren't served.
	closing map[net.Conn]bool
}

// idleConn closes an idle connection when its timer expires.
type idleConn struct {
	tracker *Tracker
	conn    net.Conn
	timer   *time.Timer
}

// NewTracker returns a tracker without connections.
func NewTracker(timeout func() time.Duration) *Tracker {
	return &Tracker{timeout: timeout, idle: map[net.Conn]*idleConn{}, busy: map[net.Conn]bool{}, closing: map[net.Conn]bool{}}
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// ConnContext adds a connection to the context of its requests; see http.Server.ConnContext.
func (t *Tracker) ConnContext(ctx context.Context, n net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, n)
}

// Track records the new state of a connection; see http.Server.ConnState.
func (t *Tracker) Track(n net.Conn, s http.ConnState) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if i, ok := t.idle[n]; ok {
		i.timer.Stop()
		delete(t.idle, n)
	}
	switch s {
	case http.StateActive:
		t.busy[n] = true
	case http.StateIdle:
		delete(t.busy, n)
		i := &idleConn{tracker: t, conn: n}
		i.timer = time.AfterFunc(t.timeout(), i.expire)
		t.idle[n] = i
	case http.StateClosed, http.StateHijacked:
		delete(t.busy, n)
		delete(t.closing, n)
	}
}

// expire closes the connection unless a request has come.
func (i *idleConn) expire() {
	if i.tracker.beginClose(i) {
		_ = i.conn.Close() // the caller sees the connection end
	}
}

// beginClose reports whether a connection is still idle. Its requests aren't served from then on.
func (t *Tracker) beginClose(i *idleConn) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.idle[i.conn] != i {
		return false
	}
	delete(t.idle, i.conn)
	t.closing[i.conn] = true
	return true
}

// Handler serves requests.
type Handler interface {
	http.Handler
	// LogUnserved logs a request that isn't served because its connection is being closed.
	LogUnserved(r *http.Request)
}

// Guard returns a handler that serves requests with another one, but for those that came as their connection was about to
// be closed: the caller gets no answer to them, so that they must not run.
func (t *Tracker) Guard(h Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n, ok := r.Context().Value(connKey{}).(net.Conn); ok && t.isClosing(n) {
			h.LogUnserved(r)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

func (t *Tracker) isClosing(n net.Conn) bool {
	if g, ok := n.(*gateConn); ok && g.isClosing() {
		return true
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.closing[n]
}

// Busy returns the number of connections with a request in flight.
func (t *Tracker) Busy() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return len(t.busy)
}
