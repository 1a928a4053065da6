package pick_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/drain"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/reach"
)

// drained returns a state in which data centres are drained, whose newest change has an index.
func drained(index uint64, centres ...string) ctlrpc.Drains {
	s := drain.State{"ended": {Index: index}}
	for _, c := range centres {
		s[c] = drain.Change{Drained: true, Index: index}
	}
	return ctlrpc.Drains{State: s, Index: index}
}

// drainVariants are requests of all kinds of attempts: the first one, a retry, a hedged attempt or an escalation, one of a session, one by a
// rollout, one with a cached prefix, one on a returning link, and one relayed through a host that reaches both data centres.
func drainVariants() map[string]pick.Request {
	m := map[string]pick.Request{}
	for _, n := range []string{"first", "retry", "session", "target", "cached", "returning", "relayed"} {
		q := request()
		switch n {
		case "retry":
			q.Tried = map[string]bool{"b0": true}
		case "session":
			q.InSession = true
		case "target":
			q.Draw = 0.01
		case "cached":
			q.Affinity, q.CacheSaving = 7, 200*time.Millisecond
		case "returning":
			q.LinkDraw = 0.9
		case "relayed":
			q.Way, q.Centres = pick.Relayed, map[string]bool{"a": true, "b": true}
		}
		m[n] = q
	}
	return m
}

// Guards against any attempt that goes to a drained data centre, whatever speaks for it or against the endpoints elsewhere: they are loaded,
// ejected or unreachable.
func TestNoAttemptGoesToDrainedDataCentre(t *testing.T) {
	for n, q := range drainVariants() {
		t.Run(n, func(t *testing.T) {
			i := is.New(t)
			s := newSet(3, true, "a", "b")
			s.SetRollouts([]canary.View{{Rollout: canary.Rollout{Service: "s", Target: "v2", Serial: 1}, Plan: canary.Plan{Fresh: 0.1, Bound: 0.1}}})
			i.True(s.SetDrains(drained(5, "a"), epoch))
			s.SetRemoteLoads(loads("b", 3))
			for k, e := range []string{"b0", "b1", "b2"} {
				s.RecordFault(e, q.Way, epoch)
				s.RecordFault(e, q.Way, epoch)
				s.RecordOpening(failed(e, reach.Silent, epoch.Add(time.Duration(k)*time.Millisecond)))
			}
			for k := range 60 {
				c, ok := s.Choose(q, epoch.Add(time.Duration(k)*10*time.Millisecond))
				i.True(ok)
				i.Equal(c.DataCentre, "b")
			}
			s.SetDrains(drained(6), epoch.Add(time.Second))
			c, ok := s.Choose(q, epoch.Add(time.Second))
			i.True(ok)
			i.Equal(c.DataCentre, "a") // the drain was what kept them away
		})
	}
}

// Guards against a request that waits, or is sent, where the only endpoints are in drained data centres, and against counts and probes of
// them.
func TestDrainedEndpointsCountNowhere(t *testing.T) {
	i := is.New(t)
	s := newSet(2, false, "a", "b")
	s.SetRemoteLoads(loads("a", 2))
	s.RecordActivity("a0", pick.Direct, epoch)
	i.Equal(len(s.Answered(epoch)), 1)
	m := epoch.Add(time.Minute)
	s.Suspect("a1", m)
	i.True(len(s.DueProbes(m)) > 0)
	s.SetDrains(drained(4), epoch)
	s.SetDrains(drained(5, "a"), epoch)
	s.Suspect("a1", m.Add(time.Minute))
	i.Equal(len(s.DueProbes(m.Add(time.Minute))), 0)
	i.True(s.Queue(request(), epoch).Mean < 100*time.Millisecond) // those in b are idle
	i.True(!s.NeighboursHeard("a0", epoch.Add(-time.Minute)))
	i.Equal(s.ReadyCounts(), map[string]int{"s": 2})
	i.Equal(s.Answered(epoch), map[ctlrpc.Pool]time.Duration{})
	n, x := s.Withheld("s")
	i.Equal(n, 2)
	i.Equal(x, uint64(5))
	in := func(id, centre string) bool { return s.InDrainedCentre(fleet.Report{ID: id, DataCentre: centre}) }
	i.True(in("a0", "a") && !in("b0", "b") && in("none", "a") && !in("none", "b"))
	i.True(in("a0", "b")) // what this host knows counts too
	s.SetDrains(drained(6, "a", "b"), epoch)
	_, ok := s.Wait(request(), epoch)
	i.True(!ok)
	i.Equal(s.Queue(request(), epoch), pick.Queue{})
	_, ok = s.AsksWait(request(), epoch)
	i.True(!ok)
	c := s.CutOff(request(), epoch)
	i.True(!c.Cut && !c.Undecided) // it is refused at once
	i.True(s.HasService("s"))      // so that a host that starts doesn't wait for an endpoint
	i.True(s.FingerprintSum() > 0) // what is held of the fleet doesn't change
}

// Guards against a host that sends requests of other hosts, which haven't heard of a drain, to a drained data centre.
func TestHelpersDeclineForDrainedDataCentre(t *testing.T) {
	i := is.New(t)
	s := newSet(1, false, "a")
	r := fleet.Report{ID: "a0", Service: "s", DataCentre: "a", Address: "a0"}
	_, ok := s.BeginRelay(r, epoch)
	i.True(ok)
	s.EndRelay("a0")
	s.SetDrains(drained(5, "a"), epoch)
	_, ok = s.BeginRelay(r, epoch)
	i.True(!ok)
}

// Guards against a host that falls back to older drains, and against endpoints that are reported, or moved, while their data centre is
// drained.
func TestDrainsOnlyMoveOn(t *testing.T) {
	i := is.New(t)
	s := newSet(1, false, "a", "b")
	i.True(s.SetDrains(drained(5, "a"), epoch))
	i.True(!s.SetDrains(drained(4), epoch))
	i.True(!s.SetDrains(ctlrpc.Drains{}, epoch))
	i.Equal(s.DrainedCentres(), []string{"a"})
	s.Merge([]fleet.Report{{ID: "a9", Service: "s", DataCentre: "a", Address: "a9"}, {ID: "b0", Service: "s", DataCentre: "a", Address: "b9"}}, nil)
	_, ok := s.Choose(request(), epoch)
	i.True(!ok)
	s.Merge([]fleet.Report{{ID: "a9", Service: "s", DataCentre: "b", Address: "a9"}}, nil)
	c, _ := s.Choose(request(), epoch)
	i.Equal(c.ID, "a9")
}

// Guards against an end of a drain that seems longer ago than it is, after which cold endpoints would get too many requests, and against
// one that begins anew with each change elsewhere.
func TestTimeOfDrainChangeIsTheLatestPossible(t *testing.T) {
	i := is.New(t)
	s := newSet(1, false, "a", "b")
	d := ctlrpc.Drains{State: drain.State{"a": {Index: 5}}, Index: 5, Ages: map[string]time.Duration{"a": time.Second}}
	s.SetDrains(d, epoch)
	d = ctlrpc.Drains{State: drain.State{"a": {Index: 5}, "b": {Drained: true, Index: 6}}, Index: 6, Ages: map[string]time.Duration{"a": 0}} // of one that has restarted
	s.SetDrains(d, epoch.Add(time.Minute))
	c, at := s.DrainChange("a")
	i.Equal(c, drain.Change{Index: 5})
	i.Equal(at, epoch.Add(-time.Second))
	c, at = s.DrainChange("b")
	i.True(c.Drained)
	i.Equal(at, epoch.Add(time.Minute))
	c, _ = s.DrainChange("c")
	i.Equal(c, drain.Change{})
}

// Guards against prompts whose shared part is cached nowhere, since the endpoint that is preferred for it is in a drained data centre.
func TestAffinityMovesFromDrainedDataCentre(t *testing.T) {
	i := is.New(t)
	s := newSet(4, false, "a", "b")
	s.SetDrains(drained(5, "a"), epoch)
	for k := range uint64(20) {
		q := request()
		q.Affinity, q.CacheSaving = k, 200*time.Millisecond
		c, ok := s.Choose(q, epoch)
		i.True(ok)
		i.True(c.Cached)
		s.AnswerStarted(c.ID, q.Work)
		s.RequestEnded(c.ID)
	}
}

// Guards against a version on trial that gets all requests since the endpoints of the others are drained. It gets them only once its evidence
// is good.
func TestDrainSendsVersionOnTrialNoMoreThanItsShare(t *testing.T) {
	for _, v := range []struct {
		name            string
		drained, proven bool
		draw            float64
		served          bool
	}{
		{"share", true, false, 0.05, true},
		{"beyond its share", true, false, 0.9, false},
		{"proven", true, true, 0.9, true},
		{"endpoints gone", false, false, 0.9, true}, // as before
	} {
		t.Run(v.name, func(t *testing.T) {
			i := is.New(t)
			s := pick.NewSet("b")
			l := []fleet.Report{{ID: "b0", Service: "s", DataCentre: "b", Address: "b0", Version: "v2"}}
			if v.drained {
				l = append(l, fleet.Report{ID: "a0", Service: "s", DataCentre: "a", Address: "a0", Version: "v1"})
			}
			s.Replace(l)
			s.SetRollouts([]canary.View{{Rollout: canary.Rollout{Service: "s", Target: "v2", Serial: 1}, Plan: canary.Plan{Fresh: 0.1, Bound: 0.1}, Proven: v.proven}})
			s.SetDrains(drained(5, "a"), epoch)
			q := request()
			q.Draw = v.draw
			_, ok := s.Choose(q, epoch)
			i.Equal(ok, v.served)
			c := s.CutOff(q, epoch)
			i.True(!c.Cut && !c.Undecided)
		})
	}
}
