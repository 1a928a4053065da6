package itest_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/admpb"
	"github.com/hickoryshelf/hickoryshelf/fakes"
	"github.com/hickoryshelf/hickoryshelf/itest"
	"github.com/hickoryshelf/hickoryshelf/model"
)

// countHolders returns the number of engines that have the version loaded.
func countHolders(e []*fakes.Engine, version string) int {
	n := 0
	for _, x := range e {
		if slices.Contains(x.LoadedVersions(), version) {
			n++
		}
	}
	return n
}

// waitHolders waits until exactly want engines have the version loaded.
func waitHolders(t *testing.T, e []*fakes.Engine, version string, want int) {
	t.Helper()
	itest.Eventually(t, 40*time.Second, func() error {
		if n := countHolders(e, version); n != want {
			return fmt.Errorf("%d engines hold %s, not %d", n, version, want)
		}
		return nil
	})
}

// TestReplicaPlacement guards against placements that a leader failure leaves unfinished, and against orders of an old
// leader. The leader is suspended in the middle of a placement, and the next leader must finish it. Then the version is
// reduced to one replica per data centre and withdrawn. Half of the engines ignore fencing numbers.
func TestReplicaPlacement(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c := itest.StartCluster(t, binary, itest.NineHosts())
	var e []*fakes.Engine
	for k := range 6 {
		d := []string{"bern", "olten", "aarau"}[k%3]
		o := fakes.EngineOptions{Versions: []string{itest.SmallVersion}, ChecksFence: k%2 == 0}
		e = append(e, c.StartEngine(fmt.Sprintf("engine-%s-%d", d, k), d+"-halle", o))
	}
	c.Configure(c.Hosts[0])
	c.WaitEndpoints(6)
	waitVoters(t, c, 3)
	v := model.Version{Name: "fitting-new@1", Replicas: 2}
	c.MustChange(c.Hosts[0], "declare-new", declareOp, "", v)
	itest.Eventually(t, 20*time.Second, func() error {
		if countHolders(e, v.Name) == 0 {
			return fmt.Errorf("no engine has loaded the new version yet")
		}
		return nil
	})
	l := waitLeader(t, c, c.Hosts[1])
	c.Pause(l) // the placement stops before it is complete
	time.Sleep(3 * time.Second)
	waitHolders(t, e, v.Name, 6) // another leader completes the placement
	c.Resume(l)
	v.Replicas = 1
	c.MustChange(c.Hosts[1], "back", declareOp, "", v)
	waitHolders(t, e, v.Name, 3) // reduced to one replica in each data centre
	c.MustChange(c.Hosts[1], "withdraw-new", admpb.Operation_OPERATION_WITHDRAW_VERSION, v.Name, nil)
	waitHolders(t, e, v.Name, 0) // a withdrawn version is unloaded
	time.Sleep(3 * time.Second)
	i.Equal(countHolders(e, v.Name), 0) // the withdrawn version is not loaded again
	i.Equal(countHolders(e, itest.SmallVersion), 6)
	for k, x := range e {
		if k%2 == 0 {
			i.Equal(x.StaleOrders(), 0) // no order came with an old fencing number
		}
	}
}
