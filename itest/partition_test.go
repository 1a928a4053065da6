package itest_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/admpb"
	"github.com/hickoryshelf/hickoryshelf/fakes"
	"github.com/hickoryshelf/hickoryshelf/itest"
	"github.com/hickoryshelf/hickoryshelf/model"
)

// startNine starts nine hosts and one engine for both versions in each data centre. The engines take no placement orders:
// hosts reach them without a proxy, so a leader on the other side of a partition could still send them orders.
func startNine(t *testing.T) (*itest.Cluster, []*fakes.Engine) {
	t.Helper()
	c := itest.StartCluster(t, binary, itest.NineHosts())
	var e []*fakes.Engine
	for _, d := range []string{"bern", "olten", "aarau"} {
		o := fakes.EngineOptions{Versions: []string{itest.SmallVersion, itest.LargeVersion}, Interval: time.Millisecond, Capacity: 64, NoOrders: true}
		e = append(e, c.StartEngine("engine-"+d, d+"-halle", o))
	}
	c.Configure(c.Hosts[0])
	c.WaitEndpoints(3)
	waitVoters(t, c, 3) // while only two hosts are voters, the quorum can't lose one
	return c, e
}

// runsAfter returns the number of runs of a version that began on the engines after the given time.
func runsAfter(e []*fakes.Engine, version string, at time.Time) int {
	n := 0
	for _, x := range e {
		for _, r := range x.Runs() {
			if r.Version == version && r.At.After(at) {
				n++
			}
		}
	}
	return n
}

// TestPausedHost guards against a host that acts on an expired lease. A host is suspended, a version is withdrawn, and the
// host continues within a partition, so it can't learn of the withdrawal. It must send the withdrawn version no request,
// including the requests that waited in its sockets while it was suspended.
func TestPausedHost(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c, e := startNine(t)
	h := c.Hosts[4]
	c.Pause(h)
	var g sync.WaitGroup
	for k := range 20 {
		g.Go(func() { post(h, chatPath, chat(itest.SmallVersion, fmt.Sprint(k), 3)) }) // waits in the socket of the suspended host
	}
	c.MustChange(c.Hosts[0], "withdraw", admpb.Operation_OPERATION_WITHDRAW_VERSION, itest.SmallVersion, nil)
	s := time.Now()
	time.Sleep(10 * time.Second)
	c.Partition([]*itest.Host{h}, c.AllExcept(h)) // the host can't learn of the withdrawal
	c.Resume(h)
	for d := time.Now().Add(5 * time.Second); time.Now().Before(d); { // engines announce themselves to the host again
		r := post(h, chatPath, chat(itest.SmallVersion, "x", 3))
		i.True(r.status != 200)
		i.Equal(r.outcome(), "not-run")
	}
	g.Wait()
	i.Equal(runsAfter(e, itest.SmallVersion, s), 0) // nothing ran on the withdrawn version
	c.Heal([]*itest.Host{h}, c.AllExcept(h))
	itest.Eventually(t, 10*time.Second, func() error {
		if r := post(h, chatPath, chat("auto", "x", 3)); r.status != 200 {
			return errors.New(r.body)
		}
		return nil
	})
}

// TestDataCentrePartition guards against a withdrawal that is reported as accepted while a partitioned data centre still
// uses the version. Each subtest partitions another data centre, in its own cluster. The withdrawal must stay pending
// until no host can send the version a request. Meanwhile the partitioned data centre must serve repeatable requests of
// contracts that allow this, and refuse all other requests.
func TestDataCentrePartition(t *testing.T) {
	t.Parallel()
	for _, d := range []string{"bern-halle", "olten-halle", "aarau-halle"} {
		t.Run(d, func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			x := context.Background()
			c, e := startNine(t)
			in, out := c.InDataCentre(d)
			k := itest.Contract()
			k.Customer, k.KeyHashes, k.CutOff = "strict", []string{model.HashKey("strict-key")}, model.CutOffRefuse
			c.MustChange(c.Hosts[0], "strict", admpb.Operation_OPERATION_APPLY_CONTRACT, "", k)
			c.Partition(in, out)
			time.Sleep(4 * time.Second) // leases from the leader have expired and, if the leader was cut off, a new one is elected
			var r *admpb.ChangeResponse
			itest.Eventually(t, 15*time.Second, func() (err error) {
				r, err = itest.Change(x, out[1], "withdraw", 0, admpb.Operation_OPERATION_WITHDRAW_VERSION, itest.SmallVersion, nil)
				return err
			})
			i.Equal(r.GetAccepted(), false)
			i.Equal(r.GetPending(), []string{d}) // names the data centre in which the withdrawal isn't in force
			i.Equal(post(out[0], chatPath, chat(itest.SmallVersion, "x", 3)).status, 410)
			a := post(in[1], chatPath, chat(itest.SmallVersion, "x", 3))
			i.Equal(a.status, 200) // the partitioned data centre serves under its lease from its own majority
			a = post(in[1], chatPath, chat(itest.SmallVersion, "x", 3), "Authorization", "Bearer strict-key")
			i.Equal(a.status, 503) // this contract says to refuse requests during a partition
			i.Equal(a.outcome(), "not-run")
			b := post(in[1], "/desk/book", "{}", "Idempotency-Key", "k-"+d)
			i.Equal(b.outcome(), "not-run") // a request that must run at most once is refused
			s := time.Now()
			c.Heal(in, out)
			itest.Eventually(t, 15*time.Second, func() error {
				r, err := itest.Change(x, out[1], "withdraw", 0, admpb.Operation_OPERATION_WITHDRAW_VERSION, itest.SmallVersion, nil)
				if err == nil && !r.GetAccepted() {
					err = fmt.Errorf("change is pending in %v", r.GetPending())
				}
				return err
			})
			n := time.Now()
			t.Logf("the withdrawal was in force on all hosts %s after healing", n.Sub(s).Round(time.Millisecond))
			for _, h := range c.Hosts {
				i.Equal(post(h, chatPath, chat(itest.SmallVersion, "x", 3)).status, 410)
			}
			i.Equal(runsAfter(e, itest.SmallVersion, n), 0)
		})
	}
}

// TestIsolatedHost guards against an isolated host that still accepts requests after its lease expired. Such a host must
// answer 503 with the outcome not-run and Retry-After, and must not be ready. It must serve again after healing.
func TestIsolatedHost(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c, _ := startNine(t)
	h := c.Hosts[8]
	c.Partition([]*itest.Host{h}, c.AllExcept(h))
	time.Sleep(2 * time.Second)
	r := post(h, chatPath, chat("auto", "x", 3))
	i.Equal(r.status, 503)
	i.Equal(r.outcome(), "not-run")
	i.True(r.header.Get("Retry-After") != "")
	i.True(itest.GetStatusCode(h, "/readyz") != 200)
	c.Heal([]*itest.Host{h}, c.AllExcept(h))
	itest.Eventually(t, 10*time.Second, func() error {
		if r := post(h, chatPath, chat("auto", "x", 3)); r.status != 200 {
			return errors.New(r.body)
		}
		return nil
	})
}

// TestRestartedHostsGrantNoLease guards against a lease from a host that forgot a revision in a restart. In a partitioned
// data centre one host has not seen a withdrawal. The other two have seen it, but one stays down and the other restarts
// without a disk. The two running hosts are a majority of the data centre, but must not send the withdrawn version a
// request.
func TestRestartedHostsGrantNoLease(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c, e := startNine(t)
	in, out := c.InDataCentre("olten-halle")
	isolated := in[2]
	c.Partition([]*itest.Host{isolated}, c.AllExcept(isolated))
	c.MustChange(out[0], "withdraw", admpb.Operation_OPERATION_WITHDRAW_VERSION, itest.SmallVersion, nil)
	s := time.Now()
	c.Partition(in[:2], out)
	c.Kill(in[1]) // in[0] is a voter and keeps the revision on its disk; it stays down
	c.Kill(in[0])
	c.StartHost(in[1])
	c.Heal([]*itest.Host{isolated}, in[:2])
	for time.Since(s) < 8*time.Second {
		for _, h := range in[1:] {
			r := post(h, chatPath, chat(itest.SmallVersion, "x", 3))
			i.True(r.status != 200)
		}
		time.Sleep(50 * time.Millisecond)
	}
	i.Equal(runsAfter(e, itest.SmallVersion, s), 0)
}

// TestBillsUnderHostCrashes guards against lost and duplicate bill lines. Hosts are killed in the middle of streams, and
// requests with an idempotency key are sent through two hosts at the same time. Each request that ran must have one bill
// line. A request that did not run must have none, except with an unknown outcome.
func TestBillsUnderHostCrashes(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	c, e := startNine(t)
	stop := make(chan struct{})
	var g sync.WaitGroup
	g.Go(func() { crashHosts(c, stop, 9) })
	var w sync.WaitGroup
	for o := range 12 {
		w.Go(func() {
			for n := range 30 {
				_, _ = streamText(x, c.Hosts[(o+n)%9], fmt.Sprintf("stream %d %d", o, n), 60)
				k := fmt.Sprintf("agreement-%d-%d", o, n)
				var r sync.WaitGroup
				for m := range 2 {
					r.Go(func() {
						post(c.Hosts[(o+n+m)%9], chatPath, chat("auto", k, 10), "Idempotency-Key", k, "Hickoryshelf-Class", "agreement")
					})
				}
				r.Wait()
			}
		})
	}
	w.Wait()
	close(stop)
	g.Wait()
	waitReady(t, c)
	runs := make(map[string]bool)
	for _, y := range e {
		for _, r := range y.Runs() {
			runs[strings.Split(r.Attempt, ".")[0]] = true
		}
	}
	itest.Eventually(t, 60*time.Second, func() error { return reconcile(x, c.Hosts[3], runs) })
	i.True(len(runs) > 300)
	t.Logf("%d requests ran, each with one bill line", len(runs))
}

// reconcile compares the bill lines that h lists with the ids of the requests that ran on the engines. It returns an error
// for a duplicate or missing line, and for a line of a request that did not run unless its outcome is unknown.
func reconcile(x context.Context, h *itest.Host, runs map[string]bool) error {
	b, err := itest.Bills(x, h, "")
	if err != nil {
		return err
	}
	seen := make(map[string]bool)
	for _, l := range b {
		if seen[l.GetRequestId()] {
			return fmt.Errorf("request %s has two bill lines", l.GetRequestId())
		}
		seen[l.GetRequestId()] = true
		if !runs[l.GetRequestId()] && l.GetOutcome() != "unknown" {
			return fmt.Errorf("request %s was billed as %s but did not run", l.GetRequestId(), l.GetOutcome())
		}
	}
	for k := range runs {
		if !seen[k] {
			return fmt.Errorf("request %s ran but has no bill line among %d", k, len(b))
		}
	}
	return nil
}

// changeInput is the input of a change operation: the expected revision, relative to the one at the start of the test.
type changeInput struct {
	expect uint64
}

// changeOutput is the outcome of a change operation. revision is the revision of the committed change or, for a rejected
// change, the current revision that the error states; it is 0 if the outcome is unknown.
type changeOutput struct {
	ok       bool
	unknown  bool
	revision uint64
}

// revisionModel is the sequential model of the configuration: a revision that a committed change increments by 1. A change
// is committed only if it expects the current revision. A change with an unknown outcome may or may not have been applied.
var revisionModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		s, c, a := state.(uint64), input.(changeInput), output.(changeOutput)
		switch {
		case a.ok:
			return s == c.expect && a.revision == s+1, s + 1
		case a.unknown && s == c.expect:
			return true, s + 1
		}
		return a.unknown || a.revision == s, s
	},
}

// TestLinearizable guards against stale or lost changes across leader failures. Six operators make changes while leaders
// are partitioned, suspended and killed. The recorded history must be linearizable under revisionModel.
func TestLinearizable(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	c := itest.StartCluster(t, binary, itest.NineHosts())
	c.MustChange(c.Hosts[0], "first", declareOp, "", version("v@0"))
	_, base, err := versionNames(x, c.Hosts[0])
	i.NoErr(err)
	var l sync.Mutex
	var o []porcupine.Operation
	start := time.Now()
	var g sync.WaitGroup
	for k := range 6 {
		g.Go(func() {
			r := base
			for n := 0; time.Since(start) < 20*time.Second; n++ {
				s := time.Since(start)
				a := sendChange(x, c.Hosts[(k+n)%9], fmt.Sprintf("op-%d-%d", k, n), r)
				e := time.Since(start)
				if a.unknown {
					e = time.Hour // the change may take effect at any later time
				}
				l.Lock()
				o = append(o, porcupine.Operation{
					ClientId: k, Input: changeInput{r - base}, Output: relativeTo(a, base),
					Call: int64(s), Return: int64(e),
				})
				l.Unlock()
				if a.unknown {
					return
				}
				r = a.revision
			}
		})
	}
	disruptLeader(t, c)
	g.Wait()
	n, w := 0, 0
	for _, y := range o {
		if y.Output.(changeOutput).ok {
			n++
		}
		if y.Output.(changeOutput).unknown {
			w++
		}
	}
	t.Logf("%d operations, %d committed, %d with an unknown outcome", len(o), n, w)
	i.True(n > 20)
	i.Equal(porcupine.CheckOperationsTimeout(revisionModel, o, 30*time.Second), porcupine.Ok)
}

// relativeTo returns the output with its revision relative to base.
func relativeTo(a changeOutput, base uint64) changeOutput {
	if !a.unknown {
		a.revision -= base
	}
	return a
}

// disruptLeader partitions the leader for 4 s, then suspends the current leader for 4 s, and then kills the current leader
// and restarts it after 2 s.
func disruptLeader(t *testing.T, c *itest.Cluster) {
	t.Helper()
	time.Sleep(2 * time.Second)
	h := waitLeader(t, c, c.Hosts[1])
	c.Partition([]*itest.Host{h}, c.AllExcept(h))
	time.Sleep(4 * time.Second)
	c.Heal([]*itest.Host{h}, c.AllExcept(h))
	h = waitLeader(t, c, c.Hosts[1])
	c.Pause(h)
	time.Sleep(4 * time.Second)
	c.Resume(h)
	h = waitLeader(t, c, c.Hosts[1])
	c.Kill(h)
	time.Sleep(2 * time.Second)
	c.StartHost(h)
}

// sendChange sends one change. If no answer arrives within 3 s, or the answer is an error other than a conflict, it resends
// the change under the same id. The outcome is unknown after 4 attempts.
func sendChange(x context.Context, h *itest.Host, id string, expect uint64) changeOutput {
	for range 4 {
		d, f := context.WithTimeout(x, 3*time.Second)
		r, err := itest.Change(d, h, id, expect, declareOp, "", model.Version{Name: "v@" + id})
		f()
		if err == nil {
			return changeOutput{ok: true, revision: r.GetRevision()}
		}
		var u uint64
		if k := strings.Index(err.Error(), "the revision is "); k >= 0 {
			_, _ = fmt.Sscanf(err.Error()[k:], "the revision is %d,", &u)
			return changeOutput{revision: u}
		}
	}
	return changeOutput{unknown: true}
}
