package proxy_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/relay"
)

// linkPause is how long nothing passes between two hosts.
const linkPause = 2 * time.Second

// startPausedWall returns a wall before a host that lets nothing of some directions pass for a time, on no connection.
func startPausedWall(t *testing.T, target string, calls, answers bool, d time.Duration) *wall {
	t.Helper()
	w := &wall{target: target, all: true}
	c := make(chan struct{})
	time.AfterFunc(d, func() { close(c) })
	if calls {
		w.release = c
	}
	if answers {
		w.releaseAnswer = c
	}
	w.start(t)
	return w
}

// startSilentWall returns a wall before a host whose link to the host carries nothing back for a time.
func startSilentWall(t *testing.T, target string, d time.Duration) *wall {
	t.Helper()
	w := &wall{target: target, silence: d}
	w.start(t)
	return w
}

// Guards against runs that are cut because the host between answers on no connection for a while, though its answer comes.
func TestBegunCallOutlastsPauseOfAllConnections(t *testing.T) {
	i := is.New(t)
	ended := make(chan error, 1)
	h := startHelping(t, func(ctx context.Context) relay.Reply {
		select {
		case <-ctx.Done():
		case <-time.After(linkPause):
		}
		ended <- ctx.Err()
		return answering(bytes.NewBufferString("late"))(ctx)
	})
	w := startPausedWall(t, h.address, false, true, linkPause)
	r, p := client().Send(context.Background(), helper(w.listener.Addr().String()), attempt())
	i.Equal(p.Result, relay.Delivered)
	i.Equal(r.Verdict, relay.Ran)
	i.NoErr(<-ended) // the run wasn't cut
	b, err := io.ReadAll(r.Body)
	i.NoErr(err)
	i.Equal(string(b), "late")
	i.Equal(h.sender.count(), 1)
}

// Guards against runs that are cut, and answers without their end, because the link between two hosts carries nothing for a while.
func TestRunOutlastsSilentLinkBetweenHosts(t *testing.T) {
	const silence = 3 * time.Second
	for n, d := range map[string]time.Duration{"before the answer": silence + 500*time.Millisecond, "with its end": silence / 10} {
		t.Run(n, func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			ended := make(chan error, 1)
			h := startHelping(t, func(ctx context.Context) relay.Reply {
				select {
				case <-ctx.Done():
				case <-time.After(d):
				}
				ended <- ctx.Err()
				return answering(bytes.NewBufferString("late"))(ctx)
			})
			w := startSilentWall(t, h.address, silence)
			x, stop := context.WithTimeout(t.Context(), 3*silence)
			defer stop()
			r, p := client().Send(x, helper(w.listener.Addr().String()), attempt())
			i.NoErr(<-ended) // the run wasn't cut
			i.Equal(p.Result, relay.Delivered)
			i.Equal(r.Verdict, relay.Ran)
			b, err := io.ReadAll(r.Body)
			i.NoErr(err)
			i.Equal(string(b), "late")
		})
	}
}

// Guards against requests that fail as unknown because nothing reaches the host between for a while: it either runs them or says that
// it never will.
func TestOutcomeOfCallIsKnownAfterPauseOfAllConnections(t *testing.T) {
	i := is.New(t)
	h := startHelping(t, answering(bytes.NewBufferString("late")))
	w := startPausedWall(t, h.address, true, true, linkPause)
	r, p := client().Send(context.Background(), helper(w.listener.Addr().String()), attempt())
	if p.Result == relay.Delivered {
		i.Equal(r.Verdict, relay.Ran)
		i.NoErr(r.Body.Close())
		i.Equal(h.sender.count(), 1)
		return
	}
	i.Equal(r.Verdict, relay.NotRun)
	time.Sleep(200 * time.Millisecond)
	i.Equal(h.sender.count(), 0)
}

// Guards against waiting for a host that never answers for longer than the request has time.
func TestSilentHostIsAwaitedUntilTheDeadlineOnly(t *testing.T) {
	i := is.New(t)
	h := startHelping(t, answering(bytes.NewBufferString("late")))
	w := startPausedWall(t, h.address, false, true, time.Minute)
	a := attempt()
	a.Remaining = time.Second
	b := time.Now()
	r, p := client().Send(context.Background(), helper(w.listener.Addr().String()), a)
	i.Equal(p.Result, relay.Lost)
	i.Equal(r.Verdict, relay.Unknown)
	i.True(time.Since(b) < a.Remaining+500*time.Millisecond)
}
