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

// startNine starts nine hosts with an engine for both versions in each data centre. The engines take no orders:
// they stand outside the proxy, so that a leader beyond a cut could reach them.
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
	waitVoters(t, c, 3) // two voters, as on the way to three, can't lose one
	return c, e
}

// runsAfter counts the runs of a version that began after a time.
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

// TestPausedHost freezes a host, withdraws a version meanwhile, and lets the host go on while it still hears
// nobody: it gives the withdrawn version nothing, not even what waited in its sockets.
func TestPausedHost(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c, e := startNine(t)
	h := c.Hosts[4]
	c.Pause(h)
	var g sync.WaitGroup
	for k := range 20 {
		g.Go(func() { post(h, chatPath, chat(itest.SmallVersion, fmt.Sprint(k), 3)) }) // waits in the socket
	}
	c.MustChange(c.Hosts[0], "withdraw", admpb.Operation_OPERATION_WITHDRAW_VERSION, itest.SmallVersion, nil)
	s := time.Now()
	time.Sleep(10 * time.Second)
	c.Partition([]*itest.Host{h}, c.AllExcept(h)) // it can't learn of the withdrawal before it acts
	c.Resume(h)
	for d := time.Now().Add(5 * time.Second); time.Now().Before(d); { // engines announce themselves to it again
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

// TestDataCentrePartition cuts off each data centre in turn while a version is withdrawn. The answer is accepted
// only once no host can give the version a request; the cut data centre serves what it can meanwhile.
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
			time.Sleep(4 * time.Second) // leases of the quorum are over, a leader is elected if need be
			var r *admpb.ChangeResponse
			itest.Eventually(t, 15*time.Second, func() (err error) {
				r, err = itest.Change(x, out[1], "withdraw", 0, admpb.Operation_OPERATION_WITHDRAW_VERSION, itest.SmallVersion, nil)
				return err
			})
			i.Equal(r.GetAccepted(), false)
			i.Equal(r.GetPending(), []string{d}) // honest about where it isn't in force
			i.Equal(post(out[0], chatPath, chat(itest.SmallVersion, "x", 3)).status, 410)
			a := post(in[1], chatPath, chat(itest.SmallVersion, "x", 3))
			i.Equal(a.status, 200) // the cut data centre serves what it can
			a = post(in[1], chatPath, chat(itest.SmallVersion, "x", 3), "Authorization", "Bearer strict-key")
			i.Equal(a.status, 503) // this contract says to refuse meanwhile
			i.Equal(a.outcome(), "not-run")
			b := post(in[1], "/desk/book", "{}", "Idempotency-Key", "k-"+d)
			i.Equal(b.outcome(), "not-run") // what must run once is refused there
			s := time.Now()
			c.Heal(in, out)
			itest.Eventually(t, 15*time.Second, func() error {
				r, err := itest.Change(x, out[1], "withdraw", 0, admpb.Operation_OPERATION_WITHDRAW_VERSION, itest.SmallVersion, nil)
				if err == nil && !r.GetAccepted() {
					err = fmt.Errorf("pending in %v", r.GetPending())
				}
				return err
			})
			n := time.Now()
			t.Logf("in force everywhere %s after healing", n.Sub(s).Round(time.Millisecond))
			for _, h := range c.Hosts {
				i.Equal(post(h, chatPath, chat(itest.SmallVersion, "x", 3)).status, 410)
			}
			i.Equal(runsAfter(e, itest.SmallVersion, n), 0)
		})
	}
}

// TestIsolatedHost cuts one host off from all others: it takes no new requests once its lease is over, and says
// so; it serves again after healing.
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
	i.True(itest.GetStatus(h, "/readyz") != 200)
	c.Heal([]*itest.Host{h}, c.AllExcept(h))
	itest.Eventually(t, 10*time.Second, func() error {
		if r := post(h, chatPath, chat("auto", "x", 3)); r.status != 200 {
			return errors.New(r.body)
		}
		return nil
	})
}

// TestRestartedHostsGrantNoLease has two hosts of a cut-off data centre restart without a disk after a
// withdrawal that the third has not seen: none of the three gives the withdrawn version a request.
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
	c.Kill(in[1]) // in[0] is a voter and has a disk
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

// TestBillsUnderHostCrashes kills hosts in the middle of streams and lets resends race through two hosts: each
// request that ran has one line, and those that did not run have none.
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
	t.Logf("%d requests ran, each with one line", len(runs))
}

// reconcile compares the bill with what the engines ran.
func reconcile(x context.Context, h *itest.Host, runs map[string]bool) error {
	b, err := itest.Bills(x, h, "")
	if err != nil {
		return err
	}
	seen := make(map[string]bool)
	for _, l := range b {
		if seen[l.GetRequestId()] {
			return fmt.Errorf("two lines of %s", l.GetRequestId())
		}
		seen[l.GetRequestId()] = true
		if !runs[l.GetRequestId()] && l.GetOutcome() != "unknown" {
			return fmt.Errorf("%s was billed as %s and did not run", l.GetRequestId(), l.GetOutcome())
		}
	}
	for k := range runs {
		if !seen[k] {
			return fmt.Errorf("%s ran and has no line among %d", k, len(b))
		}
	}
	return nil
}

// changeInput is a change in a history, based on a revision.
type changeInput struct {
	expect uint64
}

// changeOutput is what came back; revision is 0 when the outcome is unknown.
type changeOutput struct {
	ok       bool
	unknown  bool
	revision uint64
}

// revisionModel is the sequential model of the configuration's revision.
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

// TestLinearizable records changes by several operators while the leader is cut off, frozen and killed, and
// checks that the history is that of one register.
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
					e = time.Hour // it may take effect at any later time
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
	t.Logf("%d calls, %d changes, %d unknown", len(o), n, w)
	i.True(n > 20)
	i.Equal(porcupine.CheckOperationsTimeout(revisionModel, o, 30*time.Second), porcupine.Ok)
}

func relativeTo(a changeOutput, base uint64) changeOutput {
	if !a.unknown {
		a.revision -= base
	}
	return a
}

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

// sendChange sends one change; where the answer is lost it asks again under the same id for a while.
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
