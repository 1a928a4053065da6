package proxy

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/accept"
	"github.com/hickoryshelf/hickoryshelf/assist"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/intake"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/relay"
)

const (
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4096
	// callTimeout bounds the time in which another host has to write a call once it has begun to.
	callTimeout = 5 * time.Second
	// maxConnections bounds the connections of other hosts.
	maxConnections = 1024
	// unreachablePause is how long a host that doesn't reach an endpoint itself asks not to be asked again.
	unreachablePause = 300 * time.Millisecond
	// stoppingPause is the same for a host that stops.
	stoppingPause = 10 * time.Second
)

// Options holds what a Server depends on. All fields but Directory, Intake and Connections are required.
type Options struct {
	// Token is what calls have to hold. It differs between starts.
	Token string
	// Relay holds what requests of other hosts are sent with.
	Relay *relay.Relay
	Bound *assist.Bound
	// Intake bounds what requests of other hosts take in memory, with those of callers. Nil means no bound.
	Intake *intake.Account
	// Connections bounds the connections of other hosts; 0 means maxConnections.
	Connections int
	// Stopping reports whether this host is about to stop.
	Stopping func() bool
	// Directory returns what this host knows of control hosts. Nil means that it doesn't tell.
	Directory func() ctlrpc.Directory
	Log       *logrus.Logger
	Metrics   *metrics.Set
}

// Server sends requests of other hosts to endpoints.
type Server struct {
	Options
	calls       *register
	lock        sync.Mutex
	connections map[net.Conn]bool
	closed      bool
}

// NewServer returns a server. Serve makes it take calls.
func NewServer(o Options) *Server {
	s := &Server{Options: o, calls: newRegister(), connections: map[net.Conn]bool{}}
	o.Metrics.NewGauge("relayed_in_flight", func() float64 { return float64(o.Bound.Taken()) })
	return s
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	a := accept.NewListener(accept.Options{Listener: l, Name: "hosts", Log: s.Log, Metrics: s.Metrics})
	for {
		c, err := a.Accept()
		if err != nil {
			return
		}
		if c, err = dial.KeepAlive(c); err != nil {
			s.Log.WithError(err).Warn("relay: a connection of another host has no keep-alive")
		}
		if !s.track(c) {
			_ = c.Close() // nothing was read from it
			continue
		}
		n := &connection{server: s, conn: c, reader: newReader(c)}
		go n.run()
	}
}

// newReader returns a buffered reader for frames.
func newReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, readBufferBytes) }

// track counts a connection as open. It returns false if there are too many, or the server was closed.
func (s *Server) track(c net.Conn) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.closed || len(s.connections) >= cmp.Or(s.Connections, maxConnections) {
		return false
	}
	s.connections[c] = true
	return true
}

// untrack closes a connection.
func (s *Server) untrack(c net.Conn) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.connections, c)
	_ = c.Close() // the call has ended
}

// Close closes all connections.
func (s *Server) Close() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.closed = true
	for c := range s.connections {
		_ = c.Close() // calls in flight break off
	}
}

// isClosed reports whether Close was called.
func (s *Server) isClosed() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.closed
}

// connection is a connection of another host. It carries one call at a time.
type connection struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	// share is what the call that is served takes, or nil.
	share *intake.Share
	// trusted is set once a call held the token. Others may not stay without a call: anything may connect, and takes one of the connections.
	trusted bool
	// watched is closed once the leaveWatch of the last call no longer reads, or nil.
	watched chan struct{}
}

func (c *connection) run() {
	defer c.server.untrack(c.conn)
	for {
		if c.watched != nil {
			<-c.watched
		}
		if c.awaitCall() != nil || c.serve() != nil {
			return
		}
	}
}

// awaitCall waits for the first byte of a call, and bounds the time that the rest may take. Hosts connect only to call at once.
func (c *connection) awaitCall() error {
	var d time.Time // none
	if !c.trusted {
		d = time.Now().Add(callTimeout)
	}
	if err := c.conn.SetReadDeadline(d); err != nil {
		return err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	return c.conn.SetReadDeadline(time.Now().Add(callTimeout))
}

// serve reads one call and answers it.
func (c *connection) serve() error {
	c.share = c.server.Intake.Open(intake.Options{Address: c.address(), Drop: c.drop})
	defer c.share.Close()
	k, b, err := c.readCall()
	if err != nil {
		return err
	}
	if k == directoryFrame {
		return c.tellDirectory()
	}
	v, err := decodeCall(k, b)
	if err != nil {
		return err
	}
	c.trusted = c.trusted || v.Token == c.server.Token
	if k == revokeFrame {
		return c.revoke(v)
	}
	if k != callFrame && k != wideCallFrame {
		return errFrame
	}
	k, n, err := readHead(c.reader, maxBodyBytes)
	if err != nil || k != bodyFrame {
		return errors.Join(errFrame, err)
	}
	return c.handle(v, n)
}

// revoke answers whether a call has begun, and keeps it from beginning otherwise.
func (c *connection) revoke(v call) error {
	l := c.server.Log.WithFields(logrus.Fields{"id": v.RequestID, "origin": v.Origin, "call": v.ID})
	if v.Token != c.server.Token {
		l.Info("relay: another host asks whether an earlier start of this one has begun its request, it gets no answer")
		return errFrame
	}
	ok := c.server.calls.revoke(v.ID, time.Now())
	l.WithField("begun", !ok).Info("relay: another host asks whether its request was begun")
	if ok {
		return writeJSON(c.conn, declinedFrame, refusal{Reason: "revoked"})
	}
	return writeFrame(c.conn, begunFrame, nil)
}

// refusalOf returns why a call isn't taken, or false if it may be.
func (s *Server) refusalOf(v call) (refusal, bool) {
	switch {
	case v.Token != s.Token:
		return refusal{Reason: "unknown token", RetryAfterMS: unreachablePause.Milliseconds()}, true
	case s.Stopping():
		return refusal{Reason: "stopping", RetryAfterMS: stoppingPause.Milliseconds()}, true
	}
	return refusal{}, false
}

// refusalOfDrained returns why a call isn't taken whose endpoint is in a drained data centre.
func refusalOfDrained() refusal {
	return refusal{Reason: "data centre drained", RetryAfterMS: unreachablePause.Milliseconds(), Drained: true}
}

// handle sends the request of a call to its endpoint, or declines. The body of the request, of a number of bytes, wasn't read.
func (c *connection) handle(v call, bodyBytes int) error {
	s := c.server
	l := s.Log.WithFields(logrus.Fields{"id": v.RequestID, "origin": v.Origin, "endpoint": v.Endpoint.ID, "left": v.RemainingMS})
	n := time.Now()
	if f, ok := s.refusalOf(v); ok {
		return c.decline(f, bodyBytes, l)
	}
	w, ok := s.Bound.Take(v.Origin, v.Priority, int64(bodyBytes), n)
	if !ok {
		return c.decline(refusal{Reason: "busy", RetryAfterMS: w.Milliseconds()}, bodyBytes, l)
	}
	defer s.Bound.Release(int64(bodyBytes))
	w, ok = s.Relay.Endpoints.BeginRelay(v.Endpoint, n)
	switch {
	case w > 0:
		return c.declineAtRest(w, bodyBytes, l)
	case !ok && s.Relay.Endpoints.InDrainedCentre(v.Endpoint):
		return c.decline(refusalOfDrained(), bodyBytes, l)
	case !ok:
		return c.decline(refusal{Reason: "endpoint not reached", RetryAfterMS: unreachablePause.Milliseconds()}, bodyBytes, l)
	}
	defer s.Relay.Endpoints.EndRelay(v.Endpoint.ID)
	b, skipped, err := c.readBody(bodyBytes)
	if skipped {
		return c.decline(refusal{Reason: "no memory", RetryAfterMS: unreachablePause.Milliseconds()}, 0, l)
	}
	if err != nil {
		return err
	}
	if s.Relay.Endpoints.InDrainedCentre(v.Endpoint) { // since the call came
		return c.decline(refusalOfDrained(), 0, l)
	}
	if s.Relay.Endpoints.IsCold(v.Endpoint.ID, time.Now()) {
		return c.decline(refusal{Reason: "endpoint cold", RetryAfterMS: unreachablePause.Milliseconds()}, 0, l)
	}
	if !s.calls.begin(v.ID, n, n.Add(v.remaining())) {
		return c.decline(refusal{Reason: "revoked"}, 0, l)
	}
	if err := writeFrame(c.conn, begunFrame, nil); err != nil {
		l.WithError(err).Info("relay: the other host has left before its request was sent")
		return err
	}
	s.Metrics.GetOrCreateCounter(`relayed_total{outcome="begun"}`).Inc()
	return c.relay(v, b, l)
}

// skip reads the body of a request that isn't sent, without keeping it.
func (c *connection) skip(bodyBytes int) error {
	_, err := io.CopyN(io.Discard, c.reader, int64(bodyBytes))
	return err
}

// decline says that the request of a call will not be sent, and skips its body.
func (c *connection) decline(f refusal, bodyBytes int, l *logrus.Entry) error {
	c.server.Metrics.GetOrCreateCounter(`relayed_total{outcome="declined"}`).Inc()
	l.WithFields(logrus.Fields{"reason": f.Reason, "retry-after": f.RetryAfterMS}).Info("relay: a request of another host is declined")
	if err := c.skip(bodyBytes); err != nil {
		return err
	}
	return writeJSON(c.conn, declinedFrame, f)
}

// declineAtRest answers for an endpoint that wants nothing from this host for a time. Other endpoints may be asked for.
func (c *connection) declineAtRest(rest time.Duration, bodyBytes int, l *logrus.Entry) error {
	c.server.Metrics.GetOrCreateCounter(`relayed_total{outcome="at-rest"}`).Inc()
	l.WithField("rest", rest.Milliseconds()).Info("relay: the endpoint rests, a request of another host isn't sent")
	if err := c.skip(bodyBytes); err != nil {
		return err
	}
	if err := writeFrame(c.conn, begunFrame, nil); err != nil {
		return err
	}
	return writeJSON(c.conn, headFrame, newHead(relay.Reply{Verdict: relay.NotRun, Confidence: -1, Asks: pick.Asks{Rest: rest, TurnedAway: true}, Cause: errAtRest}))
}

// errAtRest means that an endpoint has asked the host that was to send a request for rest.
var errAtRest = errors.New("the endpoint has asked the other host for rest")

// relay sends the request to its endpoint and passes the reply on. The run ends when the other host closes the connection.
func (c *connection) relay(v call, b [][]byte, l *logrus.Entry) error {
	ctx, f := context.WithTimeout(context.Background(), v.remaining())
	defer f()
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if err := dial.SetBusy(c.conn, true); err != nil {
		return err
	}
	defer dial.SetBusy(c.conn, false) //nolint:errcheck // fails only on a closed connection
	c.watched = make(chan struct{})
	w := leaveWatch{c, f, c.watched}
	go w.run()
	t := time.Now()
	a := v.attempt(b, c.server.Bound.Origins(t))
	a.MaySend = c.server.Relay.RelayedLimit(v.Endpoint.ID)
	r := c.server.Relay.Sender.Send(ctx, a)
	c.server.Relay.RecordOpening(v.Endpoint.ID, t, r)
	if r.Status != 0 {
		c.server.Relay.Endpoints.RecordAsks(v.Endpoint.ID, pick.Direct, r.Asks, time.Now())
	}
	l.WithFields(logrus.Fields{"outcome": r.Verdict.String(), "status": r.Status}).Info("relay: a request of another host was sent")
	if r.Body != nil {
		defer r.Body.Close() //nolint:errcheck // closing ends the run
	}
	k, h := newHead(r).frame(v.WideHead)
	if err := writeJSON(c.conn, k, h); err != nil || r.Body == nil {
		return err
	}
	broken, err := c.copyBody(r.Body)
	c.logEnd(ctx, broken, err, l)
	return err
}

// logEnd logs who ended an answer before its end: the endpoint, this host, or the one that asked for it (origin). broken is why the
// answer broke off, and err why it couldn't be passed on; both are nil for a complete answer.
func (c *connection) logEnd(ctx context.Context, broken, err error, l *logrus.Entry) {
	if broken == nil && err == nil {
		return
	}
	l = l.WithError(errors.Join(broken, err))
	by, why := "endpoint", "broke off"
	switch {
	case c.server.isClosed():
		by, why = "host", "stop"
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		by, why = "host", "deadline"
	case ctx.Err() != nil || broken == nil:
		l.WithField("ended-by", "origin").Info("relay: the other host has left before the end of the answer")
		return
	}
	l.WithFields(logrus.Fields{"ended-by": by, "why": why}).Warn("relay: the answer to a request of another host ends early")
}

// copyBody passes the body on as it arrives, and how it ended. It returns why the body broke off, or why the connection failed.
func (c *connection) copyBody(r io.Reader) (broken, err error) {
	b := make([]byte, dataBytes)
	for {
		n, err := r.Read(b)
		if n > 0 {
			if err := writeFrame(c.conn, dataFrame, b[:n]); err != nil {
				return nil, err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil, writeFrame(c.conn, endFrame, nil)
		case err != nil:
			return err, writeFrame(c.conn, endFrame, []byte(err.Error()))
		}
	}
}

// leaveWatch ends a run once the other host has closed its connection. It returns when the next call begins.
type leaveWatch struct {
	connection *connection
	cancel     context.CancelFunc
	done       chan struct{}
}

func (w leaveWatch) run() {
	defer close(w.done)
	if _, err := w.connection.reader.Peek(1); err != nil {
		w.cancel()
	}
}

// remaining returns the time left until the deadline of the request when the call was written.
func (v call) remaining() time.Duration { return time.Duration(v.RemainingMS) * time.Millisecond }

// attempt returns the attempt that a call asks for. origins is the number of hosts for which this one sends: the connections
// that they don't use are free.
func (v call) attempt(b [][]byte, origins int) relay.Attempt {
	q := &relay.Request{ID: v.RequestID, Method: v.Method, Host: v.Host, Target: v.Target, Header: v.Header, Prompt: v.Prompt}
	q.SetBody(b)
	return relay.Attempt{
		Request:  q,
		Endpoint: v.Endpoint, Account: v.Account, Model: v.Model, Remaining: v.remaining(), ResumeAfter: v.ResumeAfter,
		Priority: v.Priority, MaxConnections: v.MaxConnections * (1 + origins), Repeated: v.Repeated,
	}
}
