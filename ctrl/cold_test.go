package ctrl_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

// Guards against a reply after 20 ms for each endpoint of a data centre that turns cold, 50 a second to each host, also from a control host that
// is behind its work.
func TestUrgentRepliesAreFewWhileManyEndpointsTurnCold(t *testing.T) {
	i := is.New(t)
	const ms = time.Millisecond
	i.Equal(ctrl.Strain{}.UrgentReplyAt(1000*ms, 0), 1020*ms)
	i.Equal(ctrl.Strain{}.UrgentReplyAt(1020*ms, 1020*ms), 1120*ms)
	i.Equal(ctrl.Strain{TickLate: ms}.UrgentReplyAt(1120*ms, 1020*ms), 1140*ms+600*time.Microsecond)
	s := ctrl.Strain{TickLate: 50 * ms}
	i.Equal(s.UrgentReplyAt(1000*ms, 0), 1000*ms+s.ReplyInterval())
}

// Guards against a start of an endpoint that other control hosts hear of late, while entry hosts find the endpoint idle and send it more
// than it takes.
func TestStartOfColdEndpointIsPassedOnAtOnce(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(3 * time.Second)
	s := c.hosts[address(0)].state
	s.ColdLimits = warmup.Limits{Overage: 1.5, Slack: 5}
	urgent := func(born, sequence int64, left time.Duration) bool {
		n, f := ctrl.Reduce(s, s.Now, ctrl.EndpointReported{Report: fleet.Report{ID: "e", Born: born, Sequence: sequence, Address: "e", ColdLeft: left}})
		s = n
		for _, v := range f {
			if g, ok := v.(ctrl.SendGossip); ok {
				return g.Urgent
			}
		}
		return false
	}
	i.True(urgent(1, 1, time.Second))
	i.True(!urgent(1, 2, time.Second))
	i.True(!urgent(1, 3, 0))
	i.True(urgent(1, 4, time.Second)) // cold again
	i.True(urgent(2, 1, fleet.ColdUnknown))
	i.True(!urgent(3, 1, 0))
}
