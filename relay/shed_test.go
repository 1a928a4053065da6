package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/relay"
	"github.com/hickoryshelf/hickoryshelf/shed"
)

// shedding returns a harness that sheds loads, whose endpoints answer with a confidence.
func shedding(confidence int) *harness {
	w := newHarness(2, func(int, context.Context, relay.Attempt) relay.Reply { return ranWithConfidence(confidence, event(1)) })
	w.relay.Shed = shed.NewLedger()
	return w
}

// load sets the load that other hosts put on the endpoints.
func (h *harness) load(requests int, backlog time.Duration) {
	l := ctlrpc.Load{Requests: requests, Backlog: int(backlog.Milliseconds())}
	h.set.SetRemoteLoads(map[string]ctlrpc.Load{"draft0": l, "draft1": l})
}

// Guards against requests that wait at full endpoints although they can't be in time, and refusals that don't say why.
func TestRequestThatFullEndpointsCantAnswerInTimeIsRefusedAtOnce(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		w := shedding(99)
		w.load(90, 4*time.Second)
		s, b := &sink{}, time.Now()
		w.serveTo(context.Background(), s, "r", "/write/1", "key")
		i.True(s.refusal != nil)
		i.Equal(s.refusal.Reason, relay.Overloaded)
		i.True(s.refusal.NotRun())
		i.True(s.refusal.RetryAfter >= time.Second && s.refusal.RetryAfter <= 25*time.Second/3)
		i.Equal(s.refusedAt, b)
		i.Equal(w.sender.count(), 0)
		i.Equal(w.relay.Metrics.GetOrCreateCounter(`shed_decisions_total{route="write",outcome="shed"}`).Get(), uint64(1))
		l := w.linesOf("r", logrus.InfoLevel)[0].Data
		i.Equal(l["outcome"], "shed")
		i.True(l["wait"].(int64) >= 4000)
		w.load(0, 0)
		i.Equal(w.serve(context.Background(), "/write/1", "key").status, 200) // as soon as there is room
	})
}

// Guards against refusals while endpoints have free slots, by hosts that don't shed, and on services whose endpoints don't say how many
// requests they run at once.
func TestRequestIsNotShedWithoutShortage(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		w := shedding(99)
		w.load(20, 4*time.Second)
		i.Equal(w.serve(context.Background(), "/write/1", "key").status, 200)
		w.load(64, 4*time.Second) // all slots are taken, and nothing waits
		i.Equal(w.serve(context.Background(), "/write/1", "key").status, 200)
		i.Equal(w.serve(context.Background(), "/look/1", "key").status, 200)
		w.relay.Shed = nil
		w.load(90, 4*time.Second)
		i.Equal(w.serve(context.Background(), "/write/1", "key").status, 200)
	})
}

// Guards against plain answers that are refused for the work that runs, as if it waited: their whole time in a slot is in the backlog.
func TestPlainAnswerIsNotShedForWorkThatRuns(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		w := shedding(99)
		w.load(66, 20*time.Second)
		i.True(w.serve(context.Background(), "/write/1", "key").refusal != nil)
		i.Equal(w.serve(context.Background(), "/ask/1", "key").status, 200)
		w.load(64*64, 20*time.Second)
		i.True(w.serve(context.Background(), "/ask/1", "key").refusal != nil)
	})
}

// Guards against a host that hears no loads any more and refuses all requests by the last ones, though the endpoints are idle since.
func TestRequestIsNotShedByLoadsThatAreOld(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		w := shedding(99)
		w.load(90, 4*time.Second)
		time.Sleep(2 * time.Second)
		i.True(w.serve(context.Background(), "/write/1", "key").refusal != nil)
		time.Sleep(2 * time.Second)
		i.Equal(w.serve(context.Background(), "/write/1", "key").status, 200)
	})
}

// Guards against a larger model that is asked while others are refused for its work.
func TestLargerModelIsNotAskedInShortage(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		w := shedding(1)
		// Another kind may hardly wait. For the one that is asked for a larger model would pay by itself.
		w.relay.Shed.Add("draft", shed.Use{Kind: "short", SlotTime: 40 * time.Millisecond, Work: 10 * time.Millisecond, Objective: 20 * time.Millisecond}, w.relay.Now())
		w.sender.answer = func(int, context.Context, relay.Attempt) relay.Reply {
			w.load(70, 20*time.Millisecond)
			return ranWithConfidence(1, event(1))
		}
		i.Equal(w.serve(context.Background(), "/write/1", "key").status, 200)
		i.Equal(w.sender.count(), 1)
		i.Equal(w.relay.Metrics.GetOrCreateCounter(`shed_decisions_total{route="write",outcome="keep"}`).Get(), uint64(1))
	})
}

// Guards against a request that is promised not to have run although it may have: such a one isn't shed on a retry.
func TestRequestThatMayHaveRunIsNotShed(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		w := shedding(99)
		w.sender.answer = func(n int, _ context.Context, _ relay.Attempt) relay.Reply {
			if n == 1 {
				w.load(90, 4*time.Second)
				return unknown()
			}
			return ranWithConfidence(99, event(1))
		}
		i.Equal(w.serve(context.Background(), "/write/1", "key").status, 200)
		w.load(0, 0)
		w.sender.answer = func(int, context.Context, relay.Attempt) relay.Reply {
			w.load(90, 4*time.Second)
			return notRun()
		}
		s := w.serve(context.Background(), "/write/1", "key")
		i.Equal(s.refusal.Reason, relay.Overloaded)
		i.Equal(w.sender.count(), 3)
	})
}
