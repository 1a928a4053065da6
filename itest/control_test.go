package itest_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/admpb"
	"github.com/hickoryshelf/hickoryshelf/itest"
	"github.com/hickoryshelf/hickoryshelf/model"
)

const declareOp = admpb.Operation_OPERATION_DECLARE_VERSION

// version returns a version document of a name.
func version(name string) model.Version { return model.Version{Name: name} }

// versionNames returns the names of the versions in force at a host, and its revision.
func versionNames(x context.Context, h *itest.Host) (map[string]bool, uint64, error) {
	v, r, err := itest.Versions(x, h)
	m := make(map[string]bool)
	for _, o := range v {
		m[o.Name] = true
	}
	return m, r, err
}

// waitLeader returns the host that leads.
func waitLeader(t *testing.T, c *itest.Cluster, from *itest.Host) *itest.Host {
	t.Helper()
	var l *itest.Host
	itest.Eventually(t, 20*time.Second, func() error {
		s, err := itest.Statuses(context.Background(), from)
		if err != nil {
			return err
		}
		for k, h := range s {
			if h.GetLeading() {
				l = c.Hosts[k]
				return nil
			}
		}
		return errors.New("no leader")
	})
	return l
}

// TestConcurrentChanges has two operators change the configuration through different hosts with the same
// expected revision, 200 times: exactly one wins each time, and the loser is told the current revision.
func TestConcurrentChanges(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	c := itest.StartCluster(t, binary, itest.NineHosts())
	c.MustChange(c.Hosts[0], "first", declareOp, "", version("v@0"))
	_, r, err := versionNames(x, c.Hosts[0])
	i.NoErr(err)
	for k := range 200 {
		var g sync.WaitGroup
		var e [2]error
		for o, h := range []*itest.Host{c.Hosts[1], c.Hosts[5]} {
			g.Go(func() {
				_, e[o] = itest.Change(x, h, fmt.Sprintf("race-%d-%d", k, o), r, declareOp, "", version(fmt.Sprintf("v@%d-%d", k, o)))
			})
		}
		g.Wait()
		i.True((e[0] == nil) != (e[1] == nil)) // exactly one wins
		r++
		l := errors.Join(e[0], e[1])
		i.Equal(connect.CodeOf(l), connect.CodeFailedPrecondition)
		i.True(containsRevision(l, r)) // the loser is told the current revision
	}
}

func containsRevision(err error, revision uint64) bool {
	var e *connect.Error
	return errors.As(err, &e) && strings.Contains(e.Message(), fmt.Sprintf("the revision is %d,", revision))
}

// TestRetriedChange loses the answers to changes and resends them: through other hosts, after a restart of
// all hosts, and after the leader was killed. Each is applied once and has the same outcome.
func TestRetriedChange(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	c := itest.StartCluster(t, binary, itest.NineHosts())
	c.MustChange(c.Hosts[0], "first", declareOp, "", version("v@0"))
	_, r, err := versionNames(x, c.Hosts[0])
	i.NoErr(err)
	s, f := context.WithTimeout(x, 3*time.Millisecond)
	_, _ = itest.Change(s, c.Hosts[4], "lost", r, declareOp, "", version("v@1")) // the answer is lost
	f()
	g := func(h *itest.Host) {
		itest.Eventually(t, 20*time.Second, func() error {
			a, err := itest.Change(x, h, "lost", r, declareOp, "", version("v@1"))
			if err == nil && a.GetRevision() != r+1 {
				t.Fatalf("revision %d, not %d", a.GetRevision(), r+1)
			}
			return err
		})
	}
	g(c.Hosts[7])
	l := waitLeader(t, c, c.Hosts[8])
	c.Kill(l)
	g(c.Hosts[8])
	c.StartHost(l)
	for _, h := range c.Hosts {
		c.Kill(h)
	}
	for _, h := range c.Hosts {
		c.StartHost(h)
	}
	g(c.Hosts[2])
	_, u, err := versionNames(x, c.Hosts[2])
	i.NoErr(err)
	i.Equal(u, r+1) // applied once
}

// TestRestartAfterChanges makes 1,000 changes while hosts are killed at random points, and restarts all
// hosts at the end: every accepted change is there.
func TestRestartAfterChanges(t *testing.T) {
	t.Parallel()
	x := context.Background()
	c := itest.StartCluster(t, binary, itest.NineHosts())
	c.MustChange(c.Hosts[0], "first", declareOp, "", version("v@0"))
	d := rand.New(rand.NewPCG(1, 2))
	k := make(chan struct{})
	var g sync.WaitGroup
	g.Go(func() {
		for {
			select {
			case <-k:
				return
			case <-time.After(time.Duration(500+d.IntN(1500)) * time.Millisecond):
				h := c.Hosts[3*d.IntN(3)]
				c.Kill(h)
				time.Sleep(time.Duration(d.IntN(700)) * time.Millisecond)
				c.StartHost(h)
			}
		}
	})
	var a sync.Map
	var w sync.WaitGroup
	for o := range 8 {
		w.Go(func() {
			for n := range 125 {
				v := fmt.Sprintf("v@%d-%d", o, n)
				itest.Eventually(t, 60*time.Second, func() error {
					_, err := itest.Change(x, c.Hosts[1+3*(o%3)], v, 0, declareOp, "", version(v))
					return err
				})
				a.Store(v, true)
			}
		})
	}
	w.Wait()
	close(k)
	g.Wait()
	for _, h := range c.Hosts {
		c.Kill(h)
	}
	s := time.Now()
	for _, h := range c.Hosts {
		c.StartHost(h)
	}
	for _, h := range c.Hosts {
		itest.Eventually(t, 30*time.Second, func() error { return checkVersions(x, h, &a) })
	}
	b, _ := os.Stat(filepath.Join(c.Hosts[0].Settings.DataFolder, "quorum.log"))
	t.Logf("all hosts had 1,000 changes again %s after their restart; the log takes %d bytes", time.Since(s).Round(time.Millisecond), b.Size())
}

func checkVersions(x context.Context, h *itest.Host, want *sync.Map) error {
	m, r, err := versionNames(x, h)
	if err != nil {
		return err
	}
	want.Range(func(k, _ any) bool {
		if !m[k.(string)] {
			err = fmt.Errorf("%s lacks %v at revision %d", h.Name, k, r)
		}
		return err == nil
	})
	return err
}

// TestVoterLossAfterRepair loses a voter with its disk, repairs it, and loses a second one at once: nothing is
// forgotten, and changes are accepted again within 10 s.
func TestVoterLossAfterRepair(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	c := itest.StartCluster(t, binary, itest.NineHosts())
	c.MustChange(c.Hosts[0], "before", declareOp, "", version("v@before"))
	waitVoters(t, c, 3)
	c.Kill(c.Hosts[3])
	c.Wipe(c.Hosts[3])
	c.MustChange(c.Hosts[1], "while-down", declareOp, "", version("v@while-down"))
	c.StartHost(c.Hosts[3])
	waitVoters(t, c, 3)
	l := waitLeader(t, c, c.Hosts[1])
	c.Kill(l)
	s := time.Now()
	h := c.Hosts[1]
	itest.Eventually(t, 10*time.Second, func() error {
		_, err := itest.Change(x, h, "after", 0, declareOp, "", version("v@after"))
		return err
	})
	t.Logf("a change was answered %s after the second loss", time.Since(s).Round(time.Millisecond))
	m, _, err := versionNames(x, h)
	i.NoErr(err)
	i.True(m["v@before"] && m["v@while-down"] && m["v@after"])
}

// waitVoters waits until the voters are that many and each is the node that its host runs now.
func waitVoters(t *testing.T, c *itest.Cluster, count int) {
	t.Helper()
	itest.Eventually(t, 30*time.Second, func() error {
		s, err := itest.Statuses(context.Background(), c.Hosts[1])
		if err != nil {
			return err
		}
		n := make(map[string]bool)
		for _, h := range s {
			n[h.GetNode()] = true
		}
		for _, h := range s {
			if !h.GetLeading() {
				continue
			}
			k := 0
			for _, v := range h.GetVoters() {
				if n[v] {
					k++
				}
			}
			if k == count && len(h.GetVoters()) == count {
				return nil
			}
			return fmt.Errorf("voters %v, learners %v", h.GetVoters(), h.GetLearners())
		}
		return errors.New("no leader")
	})
}

// TestLeaderPartition cuts the leader off silently for 60 s: the others accept changes, the leader answers none
// and serves nothing once its leases are over, and it has all changes after healing.
func TestLeaderPartition(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	c := itest.StartCluster(t, binary, itest.NineHosts())
	c.MustChange(c.Hosts[0], "before", declareOp, "", version("v@before"))
	waitVoters(t, c, 3)
	l := waitLeader(t, c, c.Hosts[1])
	o := c.AllExcept(l)
	c.Partition([]*itest.Host{l}, o)
	s := time.Now()
	itest.Eventually(t, 10*time.Second, func() error {
		_, err := itest.Change(x, o[1], "during", 0, declareOp, "", version("v@during"))
		return err
	})
	t.Logf("a change was answered %s after the cut", time.Since(s).Round(time.Millisecond))
	n := 0
	for time.Since(s) < 60*time.Second {
		d, f := context.WithTimeout(x, 5*time.Second)
		_, err := itest.Change(d, l, fmt.Sprintf("cut-%d", n), 0, declareOp, "", version("v@cut"))
		f()
		i.True(err != nil) // the cut leader accepts nothing
		i.True(itest.GetStatus(l, "/readyz") != 200)
		n++
	}
	c.Heal([]*itest.Host{l}, o)
	itest.Eventually(t, 15*time.Second, func() error {
		m, _, err := versionNames(x, l)
		if err == nil && (!m["v@during"] || !m["v@before"]) {
			err = errors.New("a change is missing")
		}
		if err == nil && m["v@cut"] {
			t.Fatal("a change that was not answered well before the cut's end came into force unasked")
		}
		return err
	})
}
