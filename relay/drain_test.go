package relay_test

import (
	"context"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/assist"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/drain"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/reach"
	"github.com/hickoryshelf/hickoryshelf/relay"
)

// farReport is the report of an endpoint of the service desk in another data centre.
var farReport = fleet.Report{ID: "desk9", Service: "desk", Address: "10.0.1.9:1", DataCentre: "there", Version: "v1", Sequence: 1, Slots: 6}

// Guards against a host that hasn't heard of a drain and refuses requests as cut off: the only helper declines for the drained data centre, and
// would serve them elsewhere.
func TestDrainDeclineLeavesHelperForOtherDataCentres(t *testing.T) {
	inSynctest(t, func(_ *testing.T, i *is.I) {
		w := newHarness(3, func(int, context.Context, relay.Attempt) relay.Reply { return unreachable() })
		w.set.Merge([]fleet.Report{farReport}, nil)
		d := byOthers()
		served := d.answer
		d.answer = func(n int, ctx context.Context, a relay.Attempt) (relay.Reply, relay.Hop) {
			if a.Endpoint.DataCentre == "here" {
				return relay.Reply{Verdict: relay.NotRun}, relay.Hop{Result: relay.Declined, Drained: true, RetryAfter: 300 * time.Millisecond}
			}
			return served(n, ctx, a)
		}
		defer w.withDetour(d, 0, unanswered)()
		w.loseLinks("desk", 3, reach.Silent)
		for range 2 {
			time.Sleep(time.Millisecond)
			w.relay.RecordOpening("desk9", time.Now(), relay.Reply{Unreachable: true})
		}
		n := time.Now().Add(time.Millisecond)
		w.relay.Helpers.Set([]assist.Helper{{Host: "h0", AnsweredAt: map[ctlrpc.Pool]time.Time{{Service: "desk", DataCentre: "here"}: n, {Service: "desk", DataCentre: "there"}: n}}}, time.Now())
		for range 2 {
			i.Equal(w.serve(context.Background(), "/book/1", "key").status, 200)
		}
		i.Equal(len(d.attempts), 4) // each asks for one endpoint here, then for one there
		i.Equal(w.sender.count(), 0)
	})
}

// setDrained drains or opens the data centre of all endpoints but farReport, by the change with an index.
func (h *harness) setDrained(drained bool, index uint64) {
	h.set.SetDrains(ctlrpc.Drains{State: drain.State{"here": {Drained: drained, Index: index}}, Index: index}, time.Now())
}

// Guards against connections to drained endpoints that ask whether they have ended: after an answer that breaks off there, and after one
// without a length in a service whose endpoints end.
func TestDrainedEndpointsAreNotProbed(t *testing.T) {
	for _, broken := range []bool{false, true} {
		for _, drained := range []bool{false, true} {
			inSynctest(t, func(t *testing.T, i *is.I) {
				const endpoints = 4
				h := newEndingHarness(t, endpoints, 1)
				h.serve(t.Context(), "/write/1", "key")
				h.lose(endpoints)
				answer := h.sender.answer
				h.sender.answer = func(n int, ctx context.Context, a relay.Attempt) relay.Reply {
					h.setDrained(drained, 5)
					r := answer(n, ctx, a)
					if broken {
						r.Body, r.EndsWithConnection = body{Reader: iotest.ErrReader(io.ErrUnexpectedEOF)}, false
					}
					return r
				}
				b := h.sender.probed()
				h.serve(t.Context(), "/write/2", "key")
				time.Sleep(time.Second)
				i.Equal(h.sender.probed() == b, drained)
			})
		}
	}
}

// Guards against a request that goes to a drained data centre after its first attempt: a retry of one that ran or was refused there, or an
// escalation to a larger model.
func TestLaterAttemptsGoToOtherDataCentres(t *testing.T) {
	for n, v := range map[string]struct {
		path  string
		first relay.Reply
	}{
		"not reached": {"/book/1", unreachable()},
		"lost":        {"/look/1", unknown()},
		"escalation":  {"/write/1", judgedLow()},
	} {
		t.Run(n, func(t *testing.T) {
			inSynctest(t, func(_ *testing.T, i *is.I) {
				h := newHarness(3, nil)
				far := farReport
				far.ID, far.Service = "draft9", "draft"
				h.set.Merge([]fleet.Report{farReport, far}, nil)
				h.sender.answer = func(n int, _ context.Context, _ relay.Attempt) relay.Reply {
					if n == 1 {
						h.setDrained(true, 5)
						return v.first
					}
					return ranWithConfidence(100, events(1, 6))
				}
				i.Equal(h.serve(context.Background(), v.path, "key").status, 200)
				i.Equal(len(h.sender.attempts), 2)
				i.Equal(h.sender.attempts[0].Endpoint.DataCentre, "here")
				i.Equal(h.sender.attempts[1].Endpoint.DataCentre, "there")
			})
		})
	}
}
