package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/poison"
)

// queuedEvents takes all reports out of a queue.
func queuedEvents(q *ctrl.ReportQueue) []ctrl.Event {
	var r []ctrl.Event
	for {
		e, ok := q.Pop()
		if !ok {
			return r
		}
		r = append(r, e)
	}
}

// Guards against a control host whose memory grows with the reports that it is too slow to take.
func TestWaitingReportsOfOneHostAreMerged(t *testing.T) {
	i := is.New(t)
	var now time.Duration
	q := ctrl.NewReportQueue(func() time.Duration { return now })
	for n := range 1000 {
		now += 10 * time.Millisecond
		for h := range 3 {
			r := ctlrpc.HostReport{
				Host: fmt.Sprint("h", h), Start: 1, Sequence: uint64(n + 1), Loads: map[string]ctlrpc.Load{"e": {Requests: n}},
				Poison: poison.Report{Ends: []poison.EndReport{{Boot: poison.Boot{Endpoint: fmt.Sprint(h, "-", n)}}}, Cases: []poison.CaseReport{{Key: poison.Key{ID: fmt.Sprint(h, "-", n)}}}},
			}
			if n == 0 {
				r.Assist = ctlrpc.Assist{Address: "a", Answered: map[ctlrpc.Pool]time.Duration{{Service: "s"}: 0}}
				r.Tallies = []canary.Tally{{Serial: 1}}
			}
			q.AddHost(ctrl.Direct, r)
		}
		q.AddEndpoint(ctrl.Direct, fleet.Report{ID: "e", Born: 1, Sequence: int64(n), Phase: fleet.Phase(min(1, n/500))})
	}
	l := queuedEvents(q)
	i.Equal(len(l), 4)
	v := l[0].(ctrl.HostReported).Report
	i.Equal(v.Host, "h0") // the one that has waited longest
	i.Equal(v.Loads["e"].Requests, 999)
	i.Equal(len(v.Tallies), 1)
	i.Equal(v.Assist.Answered[ctlrpc.Pool{Service: "s"}], 999*10*time.Millisecond) // as old as it is
	i.Equal(len(v.Poison.Cases), 1000)
	i.Equal(l[3].(ctrl.EndpointReported).Report.Phase, fleet.Leaving)
}

// Guards against an endpoint that has left and is taken for ready, since a report that came late replaced the one that said so.
func TestLateReportDoesNotReplaceLeaving(t *testing.T) {
	i := is.New(t)
	q := ctrl.NewReportQueue(func() time.Duration { return 0 })
	q.AddEndpoint(ctrl.Relayed, fleet.Report{ID: "e", Born: 1, Sequence: 5, Address: "x:1", Phase: fleet.Leaving})
	q.AddEndpoint(ctrl.Relayed, fleet.Report{ID: "e", Born: 1, Sequence: 6, Address: "x:1", Phase: fleet.Ready})
	q.AddEndpoint(ctrl.Relayed, fleet.Report{ID: "e", Born: 1, Sequence: 7, Phase: fleet.Departed})
	l := queuedEvents(q)
	i.Equal(len(l), 1)
	r := l[0].(ctrl.GossipReceived).Gossip.Reports[0]
	i.Equal(r.Phase, fleet.Departed)
	i.Equal(r.Address, "x:1")
}

// Guards against evidence that takes all memory while nobody has the time to judge it.
func TestWaitingEvidenceIsBounded(t *testing.T) {
	i := is.New(t)
	q := ctrl.NewReportQueue(func() time.Duration { return 0 })
	for n := range 5000 {
		q.AddGossip(ctrl.Relayed, ctlrpc.Gossip{Poison: poison.Report{Cases: []poison.CaseReport{{Key: poison.Key{ID: fmt.Sprint(n)}}}}})
	}
	l := queuedEvents(q)
	i.Equal(len(l), 1)
	c := l[0].(ctrl.GossipReceived).Gossip.Poison.Cases
	i.Equal(len(c), 1024)
	i.Equal(c[1023].Key.ID, "4999") // the newest stay
}
