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

// declareOp is the operation that declares a version.
const declareOp = admpb.Operation_OPERATION_DECLARE_VERSION

// version returns a version document with the given name.
func version(name string) model.Version { return model.Version{Name: name} }

// versionNames returns the names of the versions in force at h and the revision of the configuration in force there.
func versionNames(x context.Context, h *itest.Host) (map[string]bool, uint64, error) {
	v, r, err := itest.Versions(x, h)
	m := make(map[string]bool)
	for _, o := range v {
		m[o.Name] = true
	}
	return m, r, err
}

// waitLeader waits until the host from reports a leader and returns the leader.
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
		return errors.New("no host leads")
	})
	return l
}

// TestConcurrentChanges guards against lost updates: two operators change the configuration through different hosts at
// the same time with the same expected revision, 200 times. Each time exactly one change must be committed, and the
// error of the other must state the current revision.
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
		i.True((e[0] == nil) != (e[1] == nil)) // exactly one change is committed
		r++
		l := errors.Join(e[0], e[1])
		i.Equal(connect.CodeOf(l), connect.CodeFailedPrecondition)
		i.True(containsRevision(l, r)) // the error of the rejected change states the current revision
	}
}

// containsRevision reports whether the message of a conflict error states the given revision as the current one.
func containsRevision(err error, revision uint64) bool {
	var e *connect.Error
	return errors.As(err, &e) && strings.Contains(e.Message(), fmt.Sprintf("the revision is %d,", revision))
}

// TestRetriedChange guards against applying a change twice. An operator loses the answer to a change and resends the
// change under the same id: through another host, after the leader was killed, and after all hosts restarted. The change
// must be applied once and each answer must have the same revision.
func TestRetriedChange(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	c := itest.StartCluster(t, binary, itest.NineHosts())
	c.MustChange(c.Hosts[0], "first", declareOp, "", version("v@0"))
	_, r, err := versionNames(x, c.Hosts[0])
	i.NoErr(err)
	s, f := context.WithTimeout(x, 3*time.Millisecond)
	_, _ = itest.Change(s, c.Hosts[4], "lost", r, declareOp, "", version("v@1")) // the timeout ends before the answer arrives
	f()
	g := func(h *itest.Host) {
		itest.Eventually(t, 20*time.Second, func() error {
			a, err := itest.Change(x, h, "lost", r, declareOp, "", version("v@1"))
			if err == nil && a.GetRevision() != r+1 {
				t.Fatalf("revision %d, want %d", a.GetRevision(), r+1)
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

// TestRestartAfterChanges guards against the loss of committed changes. It makes 1,000 changes while voters are killed and
// restarted at random times, and then kills and restarts all hosts. Each host must have all changes within 30 s.
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
	t.Logf("all hosts had all 1,000 changes %s after the restart; the log takes %d bytes", time.Since(s).Round(time.Millisecond), b.Size())
}

// checkVersions returns an error if a version whose name is a key of want is not in force at h.
func checkVersions(x context.Context, h *itest.Host, want *sync.Map) error {
	m, r, err := versionNames(x, h)
	if err != nil {
		return err
	}
	want.Range(func(k, _ any) bool {
		if !m[k.(string)] {
			err = fmt.Errorf("%s lacks version %v at revision %d", h.Name, k, r)
		}
		return err == nil
	})
	return err
}

// TestVoterLossAfterRepair guards against losing changes when a second voter fails right after the first was repaired. A
// voter loses its disk, restarts and becomes a voter again, and then the leader is killed. All changes must remain, and a
// change must be committed again within 10 s.
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
	t.Logf("a change was committed %s after the second voter was lost", time.Since(s).Round(time.Millisecond))
	m, _, err := versionNames(x, h)
	i.NoErr(err)
	i.True(m["v@before"] && m["v@while-down"] && m["v@after"])
}

// waitVoters waits until the leader reports exactly the given number of voters and each of them is the current node of a
// host. A host that lost its disk runs as a new node, so a voter that is still its old node doesn't count.
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
		return errors.New("no host leads")
	})
}

// TestLeaderPartition guards against two leaders that commit changes at the same time. The leader is partitioned from
// all other hosts for 60 s, without connection errors. The others must commit changes again within 10 s. The old leader
// must commit none and, as its leases have expired, must not be ready. After healing it must have all changes of the
// others and none of its own.
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
	t.Logf("a change was committed %s after the partition began", time.Since(s).Round(time.Millisecond))
	n := 0
	for time.Since(s) < 60*time.Second {
		d, f := context.WithTimeout(x, 5*time.Second)
		_, err := itest.Change(d, l, fmt.Sprintf("cut-%d", n), 0, declareOp, "", version("v@cut"))
		f()
		i.True(err != nil) // the partitioned leader commits no change
		i.True(itest.GetStatusCode(l, "/readyz") != 200)
		n++
	}
	c.Heal([]*itest.Host{l}, o)
	itest.Eventually(t, 15*time.Second, func() error {
		m, _, err := versionNames(x, l)
		if err == nil && (!m["v@during"] || !m["v@before"]) {
			err = errors.New("a change of the majority is missing")
		}
		if err == nil && m["v@cut"] {
			t.Fatal("a change for which the partitioned leader returned an error came into force")
		}
		return err
	})
}
