package ctrl_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

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
