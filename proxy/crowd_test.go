package proxy_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/assist"
	"github.com/hickoryshelf/hickoryshelf/intake"
	"github.com/hickoryshelf/hickoryshelf/itest"
	"github.com/hickoryshelf/hickoryshelf/proxy"
	"github.com/hickoryshelf/hickoryshelf/relay"
)

// Guards against calls and bodies just short of their end that take the memory of a host, also of anyone who connects without a token, and
// against a call that isn't answered beside them.
func TestCrowdOfCallsLeavesMemory(t *testing.T) {
	const calls, length = 60, 1 << 20
	for n, body := range map[string]bool{"calls": false, "bodies": true} {
		t.Run(n, func(t *testing.T) {
			i := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			i.NoErr(err)
			h := startHelpingOn(t, l, answering(bytes.NewBufferString("answer")))
			a := intake.NewAccount(intake.Limits{Bytes: 8 * length})
			s := proxy.NewServer(proxy.Options{
				Token: "secret", Relay: h.server.Relay, Bound: assist.NewBound(4000, 4096), Stopping: func() bool { return false }, Intake: a, Log: h.server.Relay.Log, Metrics: metrics.NewSet(),
			})
			o, err := net.Listen("tcp", "127.0.0.1:0")
			i.NoErr(err)
			v := serving{s, o}
			go v.run()
			t.Cleanup(func() {
				_ = o.Close() // the test is over
				s.Close()
			})
			b := heapBytes()
			for range calls {
				c, err := net.Dial("tcp", o.Addr().String())
				i.NoErr(err)
				defer c.Close() //nolint:errcheck // the test ends
				i.NoErr(c.SetWriteDeadline(time.Now().Add(2 * time.Second)))
				f := frame(callKind, bytes.Repeat([]byte("x"), length))
				if body {
					j, err := json.Marshal(map[string]any{"id": "e", "token": "secret", "origin": "e", "method": "POST", "target": "/", "endpoint": endpoint, "remaining-ms": 5000, "max-connections": 4})
					i.NoErr(err)
					f = append(frame(callKind, j), frame(1, bytes.Repeat([]byte("x"), length))...)
				}
				_, _ = c.Write(f[:len(f)-10]) // the host may close the connection
			}
			time.Sleep(300 * time.Millisecond) // until all that comes was read
			k := heapBytes() - b
			t.Logf("%d bytes kept, %d counted", k, a.Taken())
			i.True(k <= 12*length)
			itest.Eventually(t, 5*time.Second, func() error {
				r, p := client().Send(context.Background(), helper(o.Addr().String()), attempt())
				if p.Result != relay.Delivered {
					return io.ErrUnexpectedEOF
				}
				return r.Body.Close()
			})
		})
	}
}

// Guards against a call that is refused for want of memory, and that keeps what it had taken from others while the rest of its body comes.
func TestCallWithoutMemoryGivesItBackAtOnce(t *testing.T) {
	i := is.New(t)
	h := startHelping(t, answering(bytes.NewBufferString("answer")))
	h.server.Intake = intake.NewAccount(intake.Limits{Bytes: 100 << 10})
	c, err := net.Dial("tcp", h.address)
	i.NoErr(err)
	defer c.Close() //nolint:errcheck // the test ends
	j, err := json.Marshal(map[string]any{"id": "e", "token": "secret", "origin": "e", "method": "POST", "target": "/", "endpoint": endpoint, "remaining-ms": 5000, "max-connections": 4})
	i.NoErr(err)
	b := frame(1, bytes.Repeat([]byte("x"), 400<<10))
	_, err = c.Write(append(frame(callKind, j), b[:len(b)-10]...))
	i.NoErr(err)
	time.Sleep(200 * time.Millisecond) // until all that comes was read
	i.Equal(h.server.Intake.Taken(), int64(0))
}

// Guards against idle connections without a token that keep other hosts out, and against those of other hosts that are closed too.
func TestCrowdOfIdleConnectionsWithoutTokenIsClosed(t *testing.T) {
	const wait = 7 * time.Second // more than a connection may take for its first call
	i := is.New(t)
	h := startHelping(t, answering(bytes.NewBufferString("answer")))
	for _, token := range []string{"", "other", "secret"} {
		c, err := net.Dial("tcp", h.address)
		i.NoErr(err)
		defer c.Close() //nolint:errcheck // the test ends
		if token != "" {
			j, err := json.Marshal(map[string]any{"id": "e" + token, "token": token, "origin": "e", "method": "POST", "target": "/", "endpoint": endpoint, "remaining-ms": 5000, "max-connections": 4})
			i.NoErr(err)
			_, err = c.Write(append(frame(callKind, j), frame(1, []byte("x"))...))
			i.NoErr(err)
		}
		i.NoErr(c.SetReadDeadline(time.Now().Add(wait)))
		_, err = io.Copy(io.Discard, c)
		i.Equal(errors.Is(err, os.ErrDeadlineExceeded), token == "secret") // otherwise the host closes the connection
	}
}
