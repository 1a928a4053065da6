package pick_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/reach"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

// coldSeeds returns the number of seeds of the models of cold endpoints: a few, or COLD_SEEDS.
func coldSeeds(few int) uint64 {
	if n, err := strconv.Atoi(os.Getenv("COLD_SEEDS")); err == nil {
		return uint64(n)
	}
	return uint64(few)
}

// coldBound is what an endpoint accepts in a second while it is cold.
const coldBound = coldRate*1.5 + 5

// Guards against hosts that together send a cold endpoint more than it takes, through partitions, restarts of hosts and control hosts, late
// and lost messages and endpoints that start again or turn cold, while each host has requests that wait. Hosts that haven't heard of
// the start yet, or were told last that it is warm, don't count: docs/design/warmup.md says what they may do.
func TestColdEndpointGetsNoMoreThanBoundWhileAllCallersWait(t *testing.T) {
	for seed := range coldSeeds(4) {
		f := coldFleet{hosts: []int{3, 8, 30, 75, 300}[seed%5], controls: 3 + int(seed%6), endpoints: 4, greedy: true, faults: true, length: 20 * time.Second}
		f.run(seed)
		for _, e := range f.servers {
			if n := most(e.aware); n > coldBound {
				t.Errorf("seed %d: %d hosts, %d control hosts: %s got %d requests in a second", seed, f.hosts, f.controls, e.id, n)
			}
		}
	}
}

// Guards against a model that can't fail: without permits it exceeds the bound.
func TestModelOfColdEndpointExceedsBoundWithoutPermits(t *testing.T) {
	f := coldFleet{hosts: 30, controls: 5, endpoints: 4, greedy: true, faults: true, free: true, length: 20 * time.Second}
	f.run(2)
	is.New(t).True(most(f.servers[0].aware) > coldBound)
}

// Guards against cold endpoints that stay idle while callers wait.
func TestColdEndpointsAreUsedWhileAllCallersWait(t *testing.T) {
	for _, n := range []int{3, 8, 30, 75, 300} {
		for c := 3; c <= 8; c++ {
			f := coldFleet{hosts: n, controls: c, endpoints: 4, greedy: true, allCold: true, length: 13 * time.Second}
			f.run(uint64(n + c))
			for _, e := range f.servers {
				k := 0
				for _, t := range e.aware {
					if t >= 3*time.Second {
						k++
					}
				}
				is.New(t).True(most(e.aware) <= coldBound)
				if float64(k) < 0.8*coldRate*10 {
					t.Errorf("%d hosts, %d control hosts: %s got %d requests in 10 s", n, c, e.id, k)
				}
			}
		}
	}
}

// coldSet returns the set of a host that knows an endpoint "c" and a warm one "w" of the service "s", and its clock. The start of c is at
// born, and its report says that it stays cold for a time.
func coldSet(left time.Duration) (*pick.Set, *time.Duration) {
	s, d := pick.NewSet("a"), new(time.Duration)
	s.LimitCold(func() time.Duration { return *d })
	s.SetColdLimits(map[string]pick.ColdLimit{"s": {Rate: coldRate, Time: coldTime}})
	s.Replace([]fleet.Report{coldReport("c", 1, 1, left), coldReport("w", 1, 1, 0)})
	return s, d
}

func coldReport(id string, born, sequence int64, left time.Duration) fleet.Report {
	return fleet.Report{ID: id, Born: born, Sequence: sequence, Service: "s", DataCentre: "a", Address: id, Version: "v", ColdLeft: left}
}

// chosen returns the endpoints that requests get within a time, each of which ends at once.
func chosen(s *pick.Set, d *time.Duration, q pick.Request, length time.Duration) map[string]int {
	r := map[string]int{}
	for end := *d + length; *d < end; *d += 10 * time.Millisecond {
		c, ok := s.Choose(q, epoch.Add(*d))
		if !ok {
			r["none"]++
			continue
		}
		r[c.ID]++
		s.AnswerStarted(c.ID, q.Work)
		s.RequestEnded(c.ID)
	}
	return r
}

var onlyCold = pick.Request{Service: "s", Work: time.Millisecond, Tried: map[string]bool{"w": true}}

// Guards against requests to cold endpoints without a permit, in which all hosts together exceed what they take, and against hosts without
// any control host that stop to use the warm ones.
func TestHostWithoutPermitsUsesWarmEndpointsOnly(t *testing.T) {
	i := is.New(t)
	s, d := coldSet(time.Second)
	i.Equal(chosen(s, d, pick.Request{Service: "s"}, time.Minute), map[string]int{"w": 6000}) // until a report says that it is warm
	i.Equal(chosen(s, d, onlyCold, time.Second), map[string]int{"none": 100})
	w, ok := s.AsksWait(onlyCold, epoch.Add(*d))
	i.True(ok && w.Cold && w.Time > 0) // refused with a time to come back
	i.Equal(len(s.ColdWishes(epoch.Add(*d))), 1)
	s.Merge([]fleet.Report{coldReport("c", 1, 2, 0)}, nil)
	i.Equal(chosen(s, d, onlyCold, time.Second), map[string]int{"c": 100})
}

// Guards against hosts that take an endpoint for warm by a report of an earlier start, by one that is older than another, or by one that
// doesn't say.
func TestOnlyReportOfCurrentStartMakesEndpointWarm(t *testing.T) {
	i := is.New(t)
	s, d := coldSet(0)
	for _, r := range []fleet.Report{coldReport("c", 2, 1, time.Second), coldReport("c", 2, 2, time.Second), coldReport("c", 1, 9, 0), coldReport("c", 2, 1, 0)} {
		s.Merge([]fleet.Report{r}, nil)
		i.Equal(chosen(s, d, onlyCold, 100*time.Millisecond), map[string]int{"none": 10})
	}
	s.Merge([]fleet.Report{coldReport("c", 3, 1, fleet.ColdUnknown)}, nil)
	i.Equal(chosen(s, d, onlyCold, coldTime), map[string]int{"none": 300})
	i.Equal(chosen(s, d, onlyCold, time.Second), map[string]int{"c": 100})
}

// Guards against an endpoint that stays cold for good at a host whose control host ended after it alone had heard of the warm-up: the
// others know an older report that says warm, and send none of the later ones that say the same.
func TestColdReportThatNoOtherControlHostKnowsEnds(t *testing.T) {
	i := is.New(t)
	s, d := coldSet(0)
	s.Merge([]fleet.Report{coldReport("c", 1, 9, time.Second)}, nil)
	s.Replace([]fleet.Report{coldReport("c", 1, 7, 0), coldReport("w", 1, 1, 0)})
	i.Equal(chosen(s, d, onlyCold, time.Second+coldTime), map[string]int{"none": 400}) // a report that it is cold again may be under way
	*d += time.Minute
	i.Equal(chosen(s, d, onlyCold, time.Second), map[string]int{"none": 100}) // no control host tells the newest state
	s.RecordControlReply()
	i.Equal(chosen(s, d, onlyCold, time.Second), map[string]int{"c": 100})
}

// Guards against an endpoint that refuses connections beyond its limit and is cut to the rate of cold ones for that, and against requests to
// the next start of one that has ended: only answers on connections from before the refusals tell that it still runs.
func TestRefusedConnectionsMakeEndpointColdUnlessItStillRuns(t *testing.T) {
	i := is.New(t)
	s, d := coldSet(0)
	at := func() time.Time { return epoch.Add(*d) }
	refuse := func() {
		*d += 100 * time.Millisecond
		s.RecordOpening(reach.Opening{Endpoint: "c", Began: at(), Ended: at(), Outcome: reach.Refused})
		s.RecordOpening(reach.Opening{Endpoint: "c", Began: at(), Ended: at(), Outcome: reach.Refused}) // at the same time
	}
	runs := func(opened, sent time.Duration) { s.ConfirmStart("c", epoch.Add(opened), epoch.Add(sent)) }
	refuse()
	i.True(!s.IsCold("c", at()))
	runs(*d-time.Millisecond, *d+time.Millisecond)
	refuse()
	i.True(!s.IsCold("c", at()))
	refuse()
	i.True(s.IsCold("c", at()))
	runs(*d-time.Millisecond, *d-time.Millisecond) // may have been answered before the end
	runs(*d+time.Millisecond, *d+time.Millisecond) // may be the next start
	i.True(s.IsCold("c", at()))
	runs(0, *d+time.Millisecond)
	i.True(!s.IsCold("c", at()))
}

// Guards against hosts that send all to the endpoints of a data centre whose drain has just ended, of which nobody knows whether they are
// cold.
func TestEndpointsOfCentreCountAsColdForATime(t *testing.T) {
	i := is.New(t)
	s, d := coldSet(0)
	s.TreatAsCold("a", epoch.Add(time.Second))
	i.Equal(chosen(s, d, onlyCold, time.Second), map[string]int{"none": 100})
	i.Equal(chosen(s, d, onlyCold, time.Second), map[string]int{"c": 100})
}

// Guards against permits that are used by relayed requests, whose time of sending isn't bounded, and by probes beside requests.
func TestPermitCountsAllThatIsSent(t *testing.T) {
	i := is.New(t)
	s, d := coldSet(time.Second)
	p := []warmup.Permit{{Endpoint: "c", Lease: time.Second, Interval: 300 * time.Millisecond}}
	s.AcceptPermits("k", p, 0)
	q := onlyCold
	q.Way = pick.Relayed
	i.Equal(chosen(s, d, q, 100*time.Millisecond), map[string]int{"none": 10})
	_, ok := s.BeginRelay(coldReport("c", 1, 1, 0), epoch.Add(*d))
	i.True(!ok) // a host that believes it warm asks this one to send
	i.True(s.MayProbe("c", epoch.Add(*d)))
	i.True(!s.MayProbe("c", epoch.Add(*d)))
	i.Equal(chosen(s, d, onlyCold, 2*time.Second), map[string]int{"c": 2, "none": 198}) // at 400 and 700 ms, then the lease ends
	s.AcceptPermits("k", p, *d)
	c, ok := s.Choose(onlyCold, epoch.Add(*d))
	i.True(ok && s.MayStillSend(c, epoch.Add(*d)))
	*d += 200 * time.Millisecond
	i.True(!s.MayStillSend(c, epoch.Add(*d))) // the connection took too long to open
	s.ReturnPermit(c)
	_, ok = s.Choose(onlyCold, epoch.Add(*d))
	i.True(ok)
}

// Guards against larger models whose endpoints are all cold and which nobody asks a permit for, since no request is sent without one.
func TestQuestionForWaitAsksForPermit(t *testing.T) {
	i := is.New(t)
	s, _ := coldSet(time.Second)
	_, ok := s.Wait(onlyCold, epoch)
	i.True(!ok)
	i.Equal(len(s.ColdWishes(epoch)), 1)
}

// Guards against requests that were under way to an endpoint when it became cold.
func TestRequestIsNotSentToEndpointThatBecameCold(t *testing.T) {
	i := is.New(t)
	s, d := coldSet(0)
	c, ok := s.Choose(onlyCold, epoch.Add(*d))
	i.True(ok)
	s.Merge([]fleet.Report{coldReport("c", 2, 1, time.Second)}, nil)
	i.True(!s.MayStillSend(c, epoch.Add(*d)))
}

// Guards against a burst on an endpoint that has just warmed up: all hosts find it idle.
func TestLoadReturnsSlowlyAfterWarmUp(t *testing.T) {
	i := is.New(t)
	s, d := coldSet(time.Second)
	q := pick.Request{Service: "s", Work: time.Millisecond, LinkDraw: 0.5}
	for range 3 { // the warm one is busy
		c, _ := s.Choose(q, epoch)
		i.Equal(c.ID, "w")
	}
	s.Merge([]fleet.Report{coldReport("c", 1, 2, 0)}, nil)
	n := map[string]int{}
	for range 20 {
		s.RecordControlReply()
		for e, k := range chosen(s, d, q, 100*time.Millisecond) {
			n[e] += k
		}
	}
	i.True(n["w"] > 130 && n["w"] < 150) // until half of the requests may come, after 1.4 s
	i.Equal(n["c"]+n["w"], 200)
}

// Guards against a cold endpoint that gets nothing while warm ones are faster, or as much as they.
func TestColdEndpointBesideWarmOneGetsFewRequests(t *testing.T) {
	i := is.New(t)
	s, d := coldSet(time.Second)
	q, n := pick.Request{Service: "s", Work: time.Millisecond}, map[string]int{}
	for k := range 1000 {
		*d += 10 * time.Millisecond
		if k%15 == 0 && len(s.ColdWishes(epoch.Add(*d))) > 0 {
			s.AcceptPermits("k", []warmup.Permit{{Endpoint: "c", Lease: time.Second, Interval: 100 * time.Millisecond}}, *d)
		}
		q.LinkDraw = float64(k%20) / 20
		c, ok := s.Choose(q, epoch.Add(*d))
		i.True(ok)
		n[c.ID]++
		s.AnswerStarted(c.ID, q.Work)
		s.RequestEnded(c.ID)
	}
	i.True(n["c"] >= 10 && n["c"] <= 100)
}

// Guards against hosts that are out of touch and send all to the endpoint that the last loads show idle: it may have started again.
func TestHostOutOfTouchSpreadsItsRequests(t *testing.T) {
	i := is.New(t)
	s, d := coldSet(0)
	var r []fleet.Report
	loads := map[string]ctlrpc.Load{}
	for k := range 8 {
		e := fmt.Sprint("e", k)
		r, loads[e] = append(r, coldReport(e, 1, 1, 0)), ctlrpc.Load{Requests: 10 * k, Backlog: 100 * k}
	}
	s.Replace(r)
	s.SetRemoteLoads(loads)
	s.RecordControlReply()
	q := pick.Request{Service: "s", Work: time.Millisecond}
	i.Equal(chosen(s, d, q, time.Second), map[string]int{"e0": 100})
	n := chosen(s, d, q, time.Second)
	i.True(n["e0"] <= 18) // each eighth at most, of 8, and what came first
	i.True(n["e5"] > 0)
	s.RecordControlReply()
	i.Equal(chosen(s, d, q, time.Second), map[string]int{"e0": 100})
}
