package pick_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/speed"
)

// speedSet returns a set with one endpoint, and the request that its tests use.
func speedSet() (*pick.Set, pick.Request) {
	s := pick.NewSet("c")
	s.Replace([]fleet.Report{{ID: "e", Born: 5, Service: "s", DataCentre: "c", Sequence: 1}})
	return s, pick.Request{Service: "s", Slots: 8, Work: 100 * time.Millisecond}
}

// double is the factor 2 at all bands of load.
func double(born int64) speed.Factor {
	return speed.Factor{Born: born, Steps: [speed.Bands]int8{35, 35, 35, 35}}
}

// waitOf returns the estimated wait of a request that is answered at once.
func waitOf(s *pick.Set, q pick.Request, now time.Time) pick.Choice {
	c, _ := s.Choose(q, now)
	s.AnswerStarted(c.ID, q.Work)
	s.RequestEnded(c.ID)
	return c
}

// Guards against slowness that counts twice: a host that has seen by itself that an endpoint takes twice as long learns the same
// from the others.
func TestSameSlownessCountsOnce(t *testing.T) {
	i := is.New(t)
	s, q := speedSet()
	now := epoch
	s.SetSpeeds(nil, false, now)
	for range 60 {
		c := waitOf(s, q, now)
		s.RecordSuccess(c.ID, pick.Direct, 200*time.Millisecond, c.Wait)
	}
	i.True(waitOf(s, q, now).Wait > 190*time.Millisecond)
	i.Equal(len(s.SetSpeeds(map[string]speed.Factor{"e": double(5)}, false, now)), 1)
	c := waitOf(s, q, now)
	i.True(c.Wait > 190*time.Millisecond && c.Wait < 210*time.Millisecond)
	i.Equal(c.Expected, q.Work) // rollouts judge by the model's speed
}

// Guards against figures of another start of an endpoint, and against ones that stay after a control host no longer knows them.
func TestFactorsConcernOneStart(t *testing.T) {
	i := is.New(t)
	s, q := speedSet()
	i.Equal(len(s.SetSpeeds(map[string]speed.Factor{"e": double(4), "other": double(1)}, false, epoch)), 0)
	i.Equal(waitOf(s, q, epoch).Factor, 1.0)
	s.SetSpeeds(map[string]speed.Factor{"e": double(5)}, false, epoch)
	s.SetSpeeds(nil, false, epoch)
	i.True(waitOf(s, q, epoch).Factor > 1.9)
	s.Merge([]fleet.Report{{ID: "e", Born: 6, Service: "s", DataCentre: "c", Sequence: 1}}, nil)
	i.Equal(waitOf(s, q, epoch).Factor, 1.0)
	s.SetSpeeds(map[string]speed.Factor{"e": double(6)}, false, epoch)
	s.SetSpeeds(nil, true, epoch)
	i.Equal(waitOf(s, q, epoch).Factor, 1.0)
}

// Guards against a host that avoids an endpoint for good after momentary trouble, since an avoided endpoint gives no answers, and
// against one that forgets all at once after a cut.
func TestSlowdownOfAvoidedEndpointFades(t *testing.T) {
	i := is.New(t)
	s, q := speedSet()
	s.SetSpeeds(nil, false, epoch)
	c := waitOf(s, q, epoch)
	s.RecordSuccess(c.ID, pick.Direct, time.Second, c.Wait)
	b := waitOf(s, q, epoch).Wait
	s.SetSpeeds(nil, false, epoch.Add(3*time.Minute))
	i.True(b > 150*time.Millisecond)
	i.True(waitOf(s, q, epoch).Wait > b*9/10) // no host saw it during a cut
	for k := range 180 {
		s.SetSpeeds(nil, false, epoch.Add(3*time.Minute+time.Duration(k)*time.Second))
	}
	i.True(waitOf(s, q, epoch).Wait < 110*time.Millisecond)
}

// BenchmarkSetSpeeds measures what an exchange costs a host at the target size.
func BenchmarkSetSpeeds(b *testing.B) {
	s := pick.NewSet("c")
	var l []fleet.Report
	f := map[string]speed.Factor{}
	for k := range 610 {
		r := fleet.Report{ID: "endpoint-" + string(rune('0'+k%10)) + string(rune('0'+k/10%10)) + string(rune('0'+k/100)), Born: 5, Service: "s", Sequence: 1}
		l = append(l, r)
		if k < speed.MaxChanges {
			f[r.ID] = double(5)
		}
	}
	s.Replace(l)
	s.SetHosts("h", []string{"h", "g"}, epoch)
	for b.Loop() {
		s.SetSpeeds(f, false, epoch)
	}
}

// Guards against a preference that leads requests away from the endpoint that has their shared part cached, which is then read again.
func TestPreferenceLeavesCacheAffinity(t *testing.T) {
	i := is.New(t)
	s := pick.NewSet("c")
	var l []fleet.Report
	for _, e := range []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"} {
		l = append(l, fleet.Report{ID: e, Born: 5, Service: "s", DataCentre: "c", Sequence: 1})
	}
	s.Replace(l)
	s.SetHosts("h", []string{"h", "g"}, epoch)
	s.SetSpeeds(nil, false, epoch)
	plain := map[string]bool{}
	for a := range uint64(100) {
		q := pick.Request{Service: "s", Slots: 8, Work: 100 * time.Millisecond}
		plain[waitOf(s, q, epoch).ID] = true
		q.Affinity, q.CacheSaving = a*0x9e3779b97f4a7c15, 10*time.Millisecond
		i.True(waitOf(s, q, epoch).Cached)
	}
	i.Equal(len(plain), 1) // the preference concerns the other requests
}

// Guards against samples that are compared with the factor of another band of load, or with that of the time of the choice.
func TestSpeedNowHasTheFactorOfTheKnownLoad(t *testing.T) {
	i := is.New(t)
	s, q := speedSet()
	c, _ := s.Choose(q, epoch)
	s.SetSpeeds(map[string]speed.Factor{"e": {Born: 5, Steps: [speed.Bands]int8{0, 0, 35, 35}}}, false, epoch)
	b, f, ok := s.SpeedNow(c.ID, c.Born, q.Slots)
	i.True(ok && b == 0 && f == 1)
	for range 4 {
		_, _ = s.Choose(q, epoch)
	}
	b, f, ok = s.SpeedNow(c.ID, c.Born, q.Slots)
	i.True(ok && b == 2 && f > 1.9)
	_, _, ok = s.SpeedNow(c.ID, 6, q.Slots)
	i.True(!ok)
}

// Guards against answers under way when a factor comes, whose estimates lack it: they would teach the same slowness again.
func TestAnswersUnderWayLearnAgainstTheFactorOfNow(t *testing.T) {
	i := is.New(t)
	s, q := speedSet()
	s.SetSpeeds(nil, false, epoch)
	c := waitOf(s, q, epoch)
	s.SetSpeeds(map[string]speed.Factor{"e": double(5)}, false, epoch)
	for range 20 {
		s.RecordStart(c, pick.Direct, 200*time.Millisecond)
	}
	w := waitOf(s, q, epoch).Wait
	i.True(w > 190*time.Millisecond && w < 210*time.Millisecond)
}

// Guards against slowness that counts twice at an endpoint that is slow only under load: the factor of the idle band doesn't change.
func TestSlownessUnderLoadCountsOnce(t *testing.T) {
	i := is.New(t)
	s, q := speedSet()
	s.SetSpeeds(nil, false, epoch)
	for range 4 {
		_, _ = s.Choose(q, epoch)
	}
	for range 60 {
		c := waitOf(s, q, epoch)
		s.RecordStart(c, pick.Direct, 2*c.Expected)
	}
	s.SetSpeeds(map[string]speed.Factor{"e": {Born: 5, Steps: [speed.Bands]int8{0, 0, 35, 35}}}, false, epoch)
	c := waitOf(s, q, epoch)
	x := float64(c.Wait) / float64(c.Expected)
	i.True(x > 1.9 && x < 2.1)
}

// Guards against factors that stay for ever at a host that is cut off, or whose control host is of a build that shares no speeds.
func TestFactorsFadeWithoutControlHostThatSharesThem(t *testing.T) {
	i := is.New(t)
	s, q := speedSet()
	s.SetSpeeds(map[string]speed.Factor{"e": double(5)}, true, epoch)
	s.ConfirmSpeeds(epoch)
	i.True(waitOf(s, q, epoch.Add(10*time.Second)).Factor > 1.9)
	x := waitOf(s, q, epoch.Add(15*time.Second)).Factor
	i.True(x > 1.3 && x < 1.5)
	i.Equal(waitOf(s, q, epoch.Add(time.Minute)).Factor, 1.0)
	s.ConfirmSpeeds(epoch.Add(time.Minute)) // the control host goes on with changes
	i.True(waitOf(s, q, epoch.Add(time.Minute)).Factor > 1.9)
}

// Guards against a factor that is lost though the endpoint runs on: the control host sends only changes.
func TestFactorStaysWithTheSameStart(t *testing.T) {
	i := is.New(t)
	s, q := speedSet()
	s.SetSpeeds(map[string]speed.Factor{"e": double(5)}, false, epoch)
	r := fleet.Report{ID: "e", Born: 5, Service: "s", DataCentre: "c", Address: "another", Sequence: 2}
	s.Merge([]fleet.Report{r}, nil)
	i.True(waitOf(s, q, epoch).Factor > 1.9)
	s.Merge(nil, []string{"e"})
	s.Merge([]fleet.Report{r}, nil)
	i.True(waitOf(s, q, epoch).Factor > 1.9)
	s.Merge(nil, []string{"e"})
	s.SetSpeeds(map[string]speed.Factor{"e": {Born: 5}}, false, epoch)
	s.Merge([]fleet.Report{r}, nil)
	i.Equal(waitOf(s, q, epoch).Factor, 1.0)
}
