package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickoryshelf/hickoryshelf/fleet"
)

func report(id string, born, seq int64, p fleet.Phase) fleet.Report {
	return fleet.Report{ID: id, Born: born, Sequence: seq, Service: "s", Address: "10.0.0.1:1", Version: "v1", Phase: p}
}

func TestLateReportsAreIgnored(t *testing.T) {
	i := is.New(t)
	s, _ := fleet.New().WithReport(report("a", 5, 2, fleet.Leaving), 0)
	for _, r := range []fleet.Report{report("a", 5, 1, fleet.Ready), report("a", 5, 9, fleet.Ready), report("a", 4, 9, fleet.Ready)} {
		n, ok := s.WithReport(r, time.Second)
		i.True(!ok)
		i.Equal(n.Revision, s.Revision)
	}
	n, ok := s.WithReport(report("a", 6, 1, fleet.Ready), time.Second) // a new process uses the same ID
	i.True(ok)
	e, _ := n.Get("a")
	i.Equal(e.Phase, fleet.Ready)
}

// A new endpoint uses the address of a crashed one before the crashed one is removed as silent.
func TestAddressBelongsToNewestProcess(t *testing.T) {
	for _, born := range []int64{0, 10} {
		i := is.New(t)
		s, _ := fleet.New().WithReport(report("old", born, 7, fleet.Ready), 0)
		s, _ = s.WithReport(report("new", born*2, 1, fleet.Ready), time.Second)
		e, _ := s.Get("old")
		i.Equal(e.Phase, fleet.Departed)
		e, _ = s.Get("new")
		i.Equal(e.Phase, fleet.Ready)
		if born == 0 {
			continue
		}
		s, _ = s.WithReport(report("older", born-1, 1, fleet.Ready), 2*time.Second) // delayed by a network cut
		e, _ = s.Get("older")
		i.Equal(e.Phase, fleet.Departed)
		e, _ = s.Get("new")
		i.Equal(e.Phase, fleet.Ready)
	}
}

func TestDepartureWithoutAddressKeepsFields(t *testing.T) {
	i := is.New(t)
	s, _ := fleet.New().WithReport(report("a", 5, 2, fleet.Ready), 0)
	s, ok := s.WithReport(fleet.Report{ID: "a", Born: 5, Phase: fleet.Departed}, 1)
	i.True(ok)
	e, _ := s.Get("a")
	i.Equal(e.Service, "s")
	i.Equal(e.Phase, fleet.Departed)
}

func TestSilentEndpointsAreRemoved(t *testing.T) {
	i := is.New(t)
	s, _ := fleet.New().WithReport(report("a", 5, 2, fleet.Ready), time.Second)
	i.Equal(len(s.WithoutSilent(time.Second).Reports()), 1)
	n := s.WithoutSilent(time.Second + 1)
	i.Equal(len(n.Reports()), 0)
	i.True(n.Revision > s.Revision)
}

// The result doesn't depend on the order in which reports of one process arrive, nor on repetitions.
func TestReportsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l []fleet.Report
		p := fleet.Ready
		for q := range rapid.IntRange(1, 8).Draw(t, "reports") {
			if rapid.IntRange(0, 3).Draw(t, "moves on") == 0 && p < fleet.Departed {
				p++
			}
			l = append(l, report("a", 5, int64(q+1), p))
		}
		s := fleet.New()
		for _, r := range append(rapid.Permutation(l).Draw(t, "order"), rapid.Permutation(l).Draw(t, "again")...) {
			s, _ = s.WithReport(r, 0)
		}
		e, _ := s.Get("a")
		if e.Phase != p {
			t.Fatalf("phase %v, want %v", e.Phase, p)
		}
	})
}

func sum(l []fleet.Report) uint64 {
	var r uint64
	for _, v := range l {
		r += v.Fingerprint()
	}
	return r
}

// A host that only applies the changes since its last revision, at irregular intervals, holds the full state.
func TestChangesAddUpToFullState(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := fleet.New()
		k, b := map[string]fleet.Report{}, uint64(0)
		var now time.Duration
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now += time.Second
			if w := sum(s.Reports()); w != s.FingerprintSum {
				r.Fatalf("fingerprint sum %d, the endpoints have %d", s.FingerprintSum, w)
			}
			switch rapid.IntRange(0, 5).Draw(r, "what") {
			case 0:
				s = s.WithoutSilent(now - 5*time.Second)
			case 1:
				c, g, ok := s.ChangesSince(b)
				if !ok {
					r.Fatalf("no changes since revision %d at revision %d", b, s.Revision)
				}
				for _, v := range c {
					k[v.ID] = v
				}
				for _, n := range g {
					delete(k, n)
				}
				b = s.Revision
				if len(k) != len(s.Reports()) {
					r.Fatalf("host holds %d endpoints of %d", len(k), len(s.Reports()))
				}
				for _, v := range s.Reports() {
					if h := k[v.ID]; h.Phase != v.Phase || h.Address != v.Address || h.Born != v.Born {
						r.Fatalf("host holds %v, state has %v", h, v)
					}
				}
			default:
				n := rapid.IntRange(0, 5).Draw(r, "endpoint")
				s, _ = s.WithReport(fleet.Report{
					ID: fmt.Sprint("e", n), Born: int64(rapid.IntRange(1, 3).Draw(r, "born")), Sequence: int64(now / time.Second),
					Address: fmt.Sprint("a", rapid.IntRange(0, 3).Draw(r, "address")), Phase: fleet.Phase(rapid.IntRange(0, 2).Draw(r, "phase")),
				}, now)
			}
		}
	})
}

// A host that learns of the fleet anew gets the reports in the order of their IDs. The departure of an endpoint doesn't
// end another one that uses its address since.
func TestDepartureDoesNotEndTheNextEndpointAtItsAddress(t *testing.T) {
	i := is.New(t)
	s, _ := fleet.New().WithReport(fleet.Report{ID: "new", Service: "s", Address: "x:1", Sequence: 3}, 0)
	s, _ = s.WithReport(fleet.Report{ID: "old", Service: "s", Address: "x:1", Sequence: 9, Phase: fleet.Departed}, 0)
	e, ok := s.Get("new")
	i.True(ok)
	i.Equal(e.Phase, fleet.Ready)
}
