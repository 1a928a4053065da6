package relay_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/relay"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

// newColdHarness returns a harness with one endpoint for each service, all of them cold.
func newColdHarness(answer func(n int, ctx context.Context, a relay.Attempt) relay.Reply) *harness {
	h := newHarness(1, answer)
	o := h.relay.Options
	o.Endpoints, o.Cold = pick.NewSet("here"), warmup.Limits{Overage: 1.5, Slack: 5}
	t := *h.relay.Table()
	h.set, h.relay = o.Endpoints, relay.New(o)
	for k := range t.Services {
		t.Services[k].ColdRate = 10
	}
	h.relay.SetTable(t)
	h.relay.Confirm(h.relay.Now())
	r := reports(1)
	for k := range r {
		r[k].ColdLeft = time.Second
	}
	h.set.Replace(r)
	return h
}

// Guards against callers that wait while all endpoints are cold, or that aren't told when to come back.
func TestRequestIsRefusedAtOnceWhileAllEndpointsAreCold(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		h := newColdHarness(func(int, context.Context, relay.Attempt) relay.Reply { return ran("ok") })
		for _, p := range []string{"/book/1", "/look/1", "/write/1"} {
			b := time.Now()
			s := h.serve(context.Background(), p, "key")
			i.Equal(s.refusal.Reason, relay.Overloaded)
			i.True(s.refusal.RetryAfter >= 100*time.Millisecond)
			i.Equal(time.Since(b), time.Duration(0))
		}
		i.Equal(h.sender.count(), 0)
		i.Equal(h.linesOf("/look/10", logrus.WarnLevel)[0].Data["cold"], true)
	})
}

// Guards against attempts that are sent under a permit that was used long before, or more often than it allows.
func TestAttemptsUnderPermitAreSentSoonOrNotAtAll(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		late := false
		h := newColdHarness(func(_ int, _ context.Context, a relay.Attempt) relay.Reply {
			if late {
				time.Sleep(200 * time.Millisecond) // opening the connection
			}
			if !a.MaySend() {
				return relay.Reply{Verdict: relay.NotRun, Confidence: -1}
			}
			return ran("ok")
		})
		p := []warmup.Permit{{Endpoint: "desk0", Lease: time.Second, Interval: 300 * time.Millisecond}}
		h.set.AcceptPermits("c", p, h.relay.Now())
		i.Equal(h.serve(context.Background(), "/look/1", "key").body.String(), "ok")
		i.Equal(h.serve(context.Background(), "/look/2", "key").refusal.Reason, relay.Overloaded)
		time.Sleep(300 * time.Millisecond)
		late = true
		i.True(h.serve(context.Background(), "/look/3", "key").body.String() == "")
		late = false
		i.Equal(h.serve(context.Background(), "/look/4", "key").body.String(), "ok") // the permit wasn't used
	})
}

// Guards against a host that goes on sending to an endpoint whose answer to a probe says that it is cold.
func TestEndpointIsColdAfterAnswerToProbeSaysSo(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		h := newColdHarness(func(int, context.Context, relay.Attempt) relay.Reply {
			return relay.Reply{Verdict: relay.Unknown, Confidence: -1, Cause: io.EOF}
		})
		r := reports(1)
		for k := range r {
			r[k].Sequence++
		}
		h.set.Replace(r)
		h.sender.liveness, h.sender.coldLeft = relay.Alive, time.Second
		h.serve(context.Background(), "/look/1", "key")
		synctest.Wait()
		i.True(h.sender.probed() > 0)
		i.True(h.set.IsCold("desk0", time.Now()))
	})
}
