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

// holding counts the engines that hold a version.
func holding(e []*fakes.Engine, version string) int {
	n := 0
	for _, x := range e {
		if slices.Contains(x.LoadedVersions(), version) {
			n++
		}
	}
	return n
}

func waitHolding(t *testing.T, e []*fakes.Engine, version string, want int) {
	t.Helper()
	itest.Eventually(t, 40*time.Second, func() error {
		if n := holding(e, version); n != want {
			return fmt.Errorf("%d engines hold %s, not %d", n, version, want)
		}
		return nil
	})
}

// TestRollOut stops a roll-out halfway by the loss of its leader, takes it on, takes it back and withdraws
// the version. Half of the engines ignore fencing numbers.
func TestRollOut(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c := itest.Start(t, binary, itest.Nine())
	var e []*fakes.Engine
	for k := range 6 {
		d := []string{"bern", "olten", "aarau"}[k%3]
		o := fakes.EngineOptions{Versions: []string{itest.Small}, ChecksFence: k%2 == 0}
		e = append(e, c.Engine(fmt.Sprintf("engine-%s-%d", d, k), d+"-halle", o))
	}
	c.Configure(c.Hosts[0])
	c.Settled(6)
	waitVoters(t, c, 3)
	v := model.Version{Name: "fitting-new@1", Replicas: 2}
	c.MustChange(c.Hosts[0], "declare-new", declare, "", v)
	itest.Eventually(t, 20*time.Second, func() error {
		if holding(e, v.Name) == 0 {
			return fmt.Errorf("no engine has loaded it yet")
		}
		return nil
	})
	l := leaderOf(t, c, c.Hosts[1])
	c.Freeze(l) // the roll-out stops halfway
	time.Sleep(3 * time.Second)
	waitHolding(t, e, v.Name, 6) // another leader takes it on
	c.Thaw(l)
	v.Replicas = 1
	c.MustChange(c.Hosts[1], "back", declare, "", v)
	waitHolding(t, e, v.Name, 3) // back to one in each data centre
	c.MustChange(c.Hosts[1], "withdraw-new", admpb.Operation_OPERATION_WITHDRAW_VERSION, v.Name, nil)
	waitHolding(t, e, v.Name, 0) // a withdrawn version is unloaded
	time.Sleep(3 * time.Second)
	i.Equal(holding(e, v.Name), 0) // and stays so
	i.Equal(holding(e, itest.Small), 6)
	for k, x := range e {
		if k%2 == 0 {
			i.Equal(x.StaleOrders(), 0) // no order came with an old number
		}
	}
}
