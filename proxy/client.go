package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hickoryshelf/hickoryshelf/assist"
	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/memory"
	"github.com/hickoryshelf/hickoryshelf/relay"
)

const (
	// beginTimeout is how long another host may take to say that it begins or declines, after the time that the request
	// takes to write, before it is asked on another connection. It is asked again at this interval until it answers.
	beginTimeout = 400 * time.Millisecond
	// revokeTimeout bounds the question whether a call has begun.
	revokeTimeout = 250 * time.Millisecond
	// freeHeadBytes is the largest head of a reply that isn't counted, and headWeight the memory, in bytes, that a byte of a
	// longer one takes at most while it is read.
	freeHeadBytes = 4 << 10
	headWeight    = 20
	// idleTime is how long an idle connection to another host is kept.
	idleTime = 4 * time.Second
)

// Client sends requests through other hosts. It implements relay.Detour.
type Client struct {
	// Host is the name of this host, and Start a random text that tells its starts apart.
	Host, Start string
	Pool        *dial.Pool
	// Memory bounds what is kept of heads. Nil means no bound.
	Memory *memory.Account
	calls  atomic.Uint64
}

// errNotBegun means that a host confirmed that it will not begin.
var errNotBegun = errors.New("the other host didn't begin; the request will not be sent there")

// Send sends an attempt through a host. A hop that breaks off before the host has said that it begins leads to the verdict
// NotRun if the host confirms that it won't begin any more, and to Unknown otherwise.
func (c *Client) Send(ctx context.Context, h assist.Helper, a relay.Attempt) (relay.Reply, relay.Hop) {
	n, err := c.Pool.Get(ctx, h.Address, 0)
	if err != nil {
		return lost(relay.NotRun, fmt.Errorf("connect to another host: %w", err))
	}
	x := &exchange{client: c, conn: n, helper: h, memory: c.Memory.NewShare(a.Endpoint.ID), requestID: a.ID, id: c.Host + "/" + c.Start + "/" + strconv.FormatUint(c.calls.Add(1), 10)}
	x.stop = context.AfterFunc(ctx, x.interrupt)
	r, p := x.send(ctx, a)
	if x.wide && p.Result == relay.Lost && r.Verdict == relay.NotRun {
		p = relay.Hop{Result: relay.Declined, Reason: wideReason}
	}
	return r, p
}

// wideReason is why a host that closes the connection on a wideCallFrame, and confirms that it won't begin, is taken to have declined.
const wideReason = "an earlier build, which would change bytes that are no UTF-8"

// send writes the call and reads the reply.
func (x *exchange) send(ctx context.Context, a relay.Attempt) (relay.Reply, relay.Hop) {
	if err := x.write(a); err != nil {
		x.discard()
		return x.revoke(ctx, err)
	}
	return x.begin(ctx, a)
}

// lost returns the result of a hop that broke off.
func lost(v relay.Verdict, cause error) (relay.Reply, relay.Hop) {
	return relay.Reply{Verdict: v, Confidence: -1, Cause: cause}, relay.Hop{Result: relay.Lost}
}

// exchange is one call on a connection to another host.
type exchange struct {
	client *Client
	conn   *dial.Conn
	helper assist.Helper
	// id is that of the call, and requestID that of its request.
	id, requestID string
	// wide is set if the call has a wideCallFrame, which hosts of earlier builds don't know.
	wide bool
	// memory is what the head of the reply takes, until the exchange is finished.
	memory *memory.Share
	// stop cancels the interrupt that follows when the context is done.
	stop     func() bool
	finished bool
}

// interrupt makes pending and later reads and writes fail with a timeout.
func (x *exchange) interrupt() { _ = x.conn.SetDeadline(time.Unix(1, 0)) } // fails only on a closed connection

// write writes the call and the body.
func (x *exchange) write(a relay.Attempt) error {
	v := call{
		ID: x.id, Token: x.helper.Token, Origin: x.client.Host, RequestID: a.ID, Method: a.Method, Host: a.Host, Target: a.Target, Header: a.Header, Prompt: a.Prompt,
		Endpoint: a.Endpoint, Account: a.Account, Model: a.Model, RemainingMS: a.Remaining.Milliseconds(), ResumeAfter: a.ResumeAfter, Priority: a.Priority,
		MaxConnections: a.MaxConnections, Repeated: a.Repeated, WideHead: true,
	}
	k, v := v.frame()
	x.wide = k == wideCallFrame
	if err := writeJSON(x.conn, k, v); err != nil {
		return err
	}
	return writeBody(x.conn, a.Request)
}

// begin reads whether the host begins, and the reply of the endpoint.
func (x *exchange) begin(ctx context.Context, a relay.Attempt) (relay.Reply, relay.Hop) {
	if r, h, ok := x.awaitBegin(ctx, a); !ok {
		x.discard()
		return r, h
	}
	k, b, err := readFrame(x.conn.Reader, maxHeadBytes)
	switch {
	case err != nil:
		x.discard()
		return x.revoke(ctx, err)
	case k == declinedFrame:
		return x.declined(b)
	case k != begunFrame:
		x.discard()
		return lost(relay.Unknown, errFrame)
	}
	return x.reply()
}

// awaitBegin waits until the host says whether it begins, at most for the time that remains for the request. One that doesn't say so
// in time is asked on other connections, and the attempt is told that it doesn't answer; the call stays open meanwhile, as the host
// may have begun. Otherwise ok is false, and r and h are the result.
func (x *exchange) awaitBegin(ctx context.Context, a relay.Attempt) (r relay.Reply, h relay.Hop, ok bool) {
	end := time.Now().Add(a.Remaining)
	for d := beginTimeout; ; {
		err := x.await(ctx, min(d, time.Until(end)))
		if err == nil {
			return r, h, true
		}
		r, h = x.revoke(ctx, err)
		if ctx.Err() != nil || r.Verdict == relay.NotRun || !errors.Is(err, os.ErrDeadlineExceeded) || time.Until(end) <= 0 {
			return r, h, false
		}
		if errors.Is(r.Cause, errBegun) {
			d = a.Remaining
			continue
		}
		if a.Unheard != nil {
			a.Unheard()
		}
	}
}

// await waits for the first byte of the host's next frame, at most for a time.
func (x *exchange) await(ctx context.Context, d time.Duration) error {
	if err := x.bound(ctx, time.Now().Add(d)); err != nil {
		return err
	}
	if _, err := x.conn.Reader.Peek(1); err != nil {
		return err
	}
	return x.bound(ctx, time.Time{})
}

// bound sets the time until which the connection may be read and written, unless the context is done.
func (x *exchange) bound(ctx context.Context, t time.Time) error {
	err := x.conn.SetDeadline(t)
	if ctx.Err() != nil {
		x.interrupt()
	}
	return err
}

// declined returns the result of a call that the host declined.
func (x *exchange) declined(content []byte) (relay.Reply, relay.Hop) {
	var f refusal
	if err := decode(content, &f); err != nil {
		x.discard()
		return lost(relay.NotRun, err)
	}
	x.release()
	return relay.Reply{Verdict: relay.NotRun, Confidence: -1}, relay.Hop{Result: relay.Declined, Reason: f.Reason, RetryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond, Drained: f.Drained}
}

// reply reads the reply of the endpoint.
func (x *exchange) reply() (relay.Reply, relay.Hop) {
	h, err := x.readReplyHead()
	var f *memory.FullError
	if errors.As(err, &f) {
		x.discard()
		return relay.Reply{Verdict: relay.Unknown, Confidence: -1, Cause: err}, relay.Hop{} // the endpoint sent too much, not the host
	}
	if err != nil {
		x.discard()
		return lost(relay.Unknown, fmt.Errorf("read the reply from another host: %w", err))
	}
	r := h.reply()
	if h.HasBody && !relay.IsFinalStatus(h.Status) {
		x.discard() // hosts of earlier builds pass such answers on
		return relay.Reply{Verdict: relay.Unknown, Confidence: -1, Cause: &relay.StatusError{Status: h.Status}}, relay.Hop{}
	}
	_ = x.memory.Resize(memory.HeaderBytes(r.Header)) // if that is more than was taken, less of it is counted
	if !h.HasBody {
		x.release()
		return r, relay.Hop{}
	}
	r.Body = &body{exchange: x}
	return r, relay.Hop{}
}

// readReplyHead reads the head of the reply. It returns a *memory.FullError if there is no room for it.
func (x *exchange) readReplyHead() (h head, err error) {
	k, n, err := readHead(x.conn.Reader, maxHeadBytes)
	if err == nil && k != headFrame && k != wideHeadFrame {
		err = errFrame
	}
	if err == nil && n > freeHeadBytes {
		err = x.memory.Resize(int64(n) * headWeight)
	}
	if err != nil {
		return h, err
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(x.conn.Reader, b); err != nil {
		return h, err
	}
	return decodeHead(k, b)
}

// finish marks the exchange as finished and gives its memory back.
func (x *exchange) finish() {
	x.finished = true
	x.memory.Release()
}

// revoke asks the host on another connection whether the call has begun, and keeps it from beginning otherwise. There is no
// time for that once ctx has ended.
func (x *exchange) revoke(ctx context.Context, cause error) (relay.Reply, relay.Hop) {
	if ctx.Err() != nil {
		return lost(relay.Unknown, cause)
	}
	c, f := context.WithTimeout(ctx, revokeTimeout)
	defer f()
	if err := x.askRevoke(c); err != nil {
		return lost(relay.Unknown, fmt.Errorf("%w; it is unknown whether it was begun: %w", cause, err))
	}
	r, h := lost(relay.NotRun, fmt.Errorf("%w: %w", cause, errNotBegun))
	h.Confirmed = true
	return r, h
}

// askRevoke returns nil if the host confirms that the call hasn't begun and never will.
func (x *exchange) askRevoke(ctx context.Context) error {
	n, err := dial.ConnectContext(ctx, x.helper.Address)
	if err != nil {
		return err
	}
	defer n.Close() //nolint:errcheck // the answer was read
	if t, ok := ctx.Deadline(); ok {
		if err := n.SetDeadline(t); err != nil {
			return err
		}
	}
	if err := writeJSON(n, revokeFrame, call{ID: x.id, Token: x.helper.Token, Origin: x.client.Host, RequestID: x.requestID}); err != nil {
		return err
	}
	k, _, err := readFrame(newReader(n), maxHeadBytes)
	if err == nil && k != declinedFrame {
		err = errBegun
	}
	return err
}

// errBegun means that a host has begun a call that was revoked.
var errBegun = errors.New("the other host had begun")

// discard closes the connection, which stops the run at the endpoint.
func (x *exchange) discard() {
	if !x.finished {
		x.finish()
		x.stop()
		x.client.Pool.Drop(x.conn)
	}
}

// release returns the connection to the pool.
func (x *exchange) release() {
	if x.finished {
		return
	}
	if !x.stop() {
		x.discard()
		return
	}
	x.finish()
	x.client.Pool.Put(x.conn, idleTime)
}

// body is the body of a reply.
type body struct {
	exchange *exchange
	// left is the rest of the piece that is being read, in bytes.
	left int
	// err is what ended the body.
	err error
}

// errBrokeOff means that the body ended early on the way from the endpoint to the other host.
var errBrokeOff = errors.New("the answer broke off at the endpoint")

// Read reads from the body as pieces arrive.
func (b *body) Read(p []byte) (int, error) {
	for b.left == 0 && b.err == nil {
		b.err = b.next()
	}
	if b.left == 0 {
		return 0, b.err
	}
	n, err := b.exchange.conn.Reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	if err != nil {
		b.err = fmt.Errorf("read from another host: %w", io.ErrUnexpectedEOF)
		b.exchange.discard()
		return n, b.err
	}
	return n, nil
}

// next reads the head of the next frame: a piece, or the end with its error.
func (b *body) next() error {
	x := b.exchange
	k, n, err := readHead(x.conn.Reader, maxHeadBytes)
	switch {
	case err != nil:
		x.discard()
		return fmt.Errorf("read from another host: %w", io.ErrUnexpectedEOF)
	case k == dataFrame:
		b.left = n
		return nil
	case k != endFrame:
		x.discard()
		return errFrame
	}
	c := make([]byte, n)
	if _, err := io.ReadFull(x.conn.Reader, c); err != nil {
		x.discard()
		return io.ErrUnexpectedEOF
	}
	x.release()
	if n > 0 {
		return fmt.Errorf("%w: %s", errBrokeOff, c)
	}
	return io.EOF
}

// Close closes the connection unless the body was read to its end.
func (b *body) Close() error {
	b.exchange.discard()
	return nil
}
