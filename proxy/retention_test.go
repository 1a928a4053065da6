package proxy_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/relay"
)

// pipes is a listener whose connections stay within the process, so that the clock of a test is paused and advanced.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipes() *pipes { return &pipes{make(chan net.Conn), make(chan struct{})} }

// connect opens a connection.
func (p *pipes) connect() net.Conn {
	c, s := net.Pipe()
	p.conns <- s
	return c
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.closed)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// ask writes frames to a host on a new connection and returns the kind of its first answer. The connection stays open until the end of
// the test.
func (p *pipes) ask(t *testing.T, frames []byte) byte {
	t.Helper()
	c := p.connect()
	t.Cleanup(func() { _ = c.Close() })
	_, err := c.Write(frames)
	is.New(t).NoErr(err)
	k, _, err := readRawFrame(c)
	is.New(t).NoErr(err)
	return k
}

// rawCall returns the content of a callFrame or a revokeFrame.
func rawCall(t *testing.T, id string, remaining time.Duration) []byte {
	t.Helper()
	b, err := json.Marshal(map[string]any{
		"id": id, "token": "secret", "origin": "me", "request-id": "r-" + id, "method": "POST", "host": "h.example", "target": "/", "endpoint": endpoint, "remaining-ms": remaining.Milliseconds(),
	})
	is.New(t).NoErr(err)
	return b
}

// bodyKind is the kind of the frame with the body of a request.
const bodyKind = 1

// Guards against a host that forgets that it has begun a request while that still runs, and confirms that it never begins it: the request
// would run twice, or be refused though it runs.
func TestBegunCallIsKnownUntilItsDeadline(t *testing.T) {
	for _, remaining := range []time.Duration{time.Second, 25 * time.Second, time.Minute, 3 * time.Minute} {
		t.Run(remaining.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				p := newPipes()
				h := startHelpingOn(t, p, func(ctx context.Context) relay.Reply {
					<-ctx.Done()
					return relay.Reply{Verdict: relay.Unknown, Confidence: -1, Cause: ctx.Err()}
				})
				i.Equal(p.ask(t, append(frame(callKind, rawCall(t, "long", remaining)), frame(bodyKind, nil)...)), byte(begunKind))
				for b := time.Now(); time.Since(b) < remaining-time.Second; time.Sleep(10 * time.Second) {
					i.Equal(p.ask(t, frame(revokeKind, rawCall(t, fmt.Sprint("other", time.Since(b)), 0))), byte(declinedKind))
				}
				time.Sleep(time.Second)
				i.Equal(p.ask(t, frame(revokeKind, rawCall(t, "long", 0))), byte(begunKind))
				i.Equal(h.sender.count(), 1)
			})
		})
	}
}
