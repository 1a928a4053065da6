package speed_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/speed"
)

// meterOf returns a meter that has measured an endpoint "slow" that takes twice as long as 20 others.
func meterOf(now time.Time) *speed.Meter {
	m := speed.NewMeter()
	for n := range 400 {
		s := speed.Sample{Kind: speed.Gap, Work: "w", Endpoint: fmt.Sprint("e", n%20), Born: 1, Factor: 1, Took: 0.03}
		if n%20 == 0 {
			s.Endpoint, s.Took = "slow", 0.06
		}
		m.Observe(s, now)
	}
	return m
}

// takeAll returns all that a meter has to report.
func takeAll(m *speed.Meter, now time.Time) []map[string]speed.Sums {
	var r []map[string]speed.Sums
	for {
		t := m.Take(now)
		if len(t) == 0 {
			return r
		}
		r = append(r, t)
	}
}

func endpointsOf(born int64) func(func(speed.Endpoint) bool) {
	return func(yield func(speed.Endpoint) bool) {
		for _, e := range append([]string{"slow"}, names(20)...) {
			if !yield(speed.Endpoint{ID: e, Service: "s", Born: born}) {
				return
			}
		}
	}
}

func names(n int) []string {
	var r []string
	for k := range n {
		r = append(r, fmt.Sprint("e", k))
	}
	return r
}

// Guards against samples that count twice because a message was repeated or came late, or never because one was lost: what the
// hosts know together doesn't depend on it.
func TestLostRepeatedAndLateReportsCountOnce(t *testing.T) {
	i := is.New(t)
	b := time.Unix(1000, 0)
	m := meterOf(b)
	l := takeAll(m, b)
	i.Equal(len(l), 1)
	s, o := speed.NewState(), speed.NewState()
	o = o.WithReport("h", 1, l[0], time.Second)
	for range 50 {
		s = s.WithReport("h", 1, l[0], time.Second)
	}
	w := o.Estimate(time.Second, endpointsOf(1), nil)
	i.Equal(s.Estimate(time.Second, endpointsOf(1), nil), w)
	i.True(w["slow"].At(0) > 1.5)
	m.Resend()
	r := takeAll(m, b) // the message before was lost
	i.Equal(speed.NewState().WithReport("h", 1, r[0], time.Second).Estimate(time.Second, endpointsOf(1), nil), w)
}

// Guards against figures of an earlier start of an endpoint, whether they come before or after those of the later one.
func TestLaterStartOfEndpointHasNoFiguresOfTheOneBefore(t *testing.T) {
	i := is.New(t)
	b := time.Unix(1000, 0)
	l := takeAll(meterOf(b), b)[0]
	s := speed.NewState().WithReport("h", 1, l, time.Second)
	i.Equal(len(s.Estimate(time.Second, endpointsOf(2), nil)), 0)
	again := map[string]speed.Sums{"slow": {Born: 2, Cells: l["e1"].Cells}} // it is as fast as others now
	s = s.WithReport("g", 1, again, time.Second).WithReport("i", 1, l, time.Second)
	r := func(yield func(speed.Endpoint) bool) {
		for e := range endpointsOf(1) {
			if e.ID == "slow" {
				e.Born = 2
			}
			if !yield(e) {
				return
			}
		}
	}
	f := s.Estimate(time.Second, r, nil)["slow"]
	i.Equal(f.Born, int64(2))
	i.Equal(f.At(0), 1.0)
}

// Guards against figures that are kept for long after the last sample, and against memory that grows with endpoints and hosts of
// the past.
func TestFiguresFade(t *testing.T) {
	i := is.New(t)
	b := time.Unix(1000, 0)
	s := speed.NewState().WithReport("h", 1, takeAll(meterOf(b), b)[0], 0)
	f := s.Estimate(0, endpointsOf(1), nil)["slow"].At(0)
	i.True(s.Estimate(30*time.Second, endpointsOf(1), nil)["slow"].At(0) < f)
	i.Equal(len(s.WithSweepBegun(time.Minute).Estimate(time.Minute, endpointsOf(1), nil)), 0)
}

// Guards against a message of another build or a damaged one that makes the estimate useless.
func TestValuesThatNoHostMeasuresAreIgnored(t *testing.T) {
	i := is.New(t)
	b := time.Unix(1000, 0)
	l := takeAll(meterOf(b), b)[0]
	w := speed.NewState().WithReport("h", 1, l, 0).Estimate(0, endpointsOf(1), nil)
	x := map[string]speed.Sums{"e1": {Born: 1, Cells: []speed.Cell{{Place: 99, Count: 1}, {Place: -1, Count: 1}, {Place: 4, Count: 1000, Sum: math.MaxInt64}, {Place: 5, Count: -5}}}}
	g := speed.NewState().WithReport("h", 1, l, 0).WithReport("g", 1, x, 0).Estimate(0, endpointsOf(1), nil)
	i.Equal(g, w)
}

// Guards against messages that grow with the number of endpoints: at 20 requests a second to 610 endpoints, and also if all
// factors change all the time, an entry host's messages stay below 6 KB/s.
func TestMessagesAtTargetSizeAreBounded(t *testing.T) {
	i := is.New(t)
	const endpoints, exchange, seconds = 610, 150 * time.Millisecond, 30
	d := rand.New(rand.NewPCG(9, 9))
	m, b := speed.NewMeter(), time.Unix(1000, 0)
	born := int64(1_790_000_000_000)
	var sent, got bytes.Buffer
	x, y := gob.NewEncoder(&sent), gob.NewEncoder(&got)
	had := map[string]speed.Factor{}
	for n := range seconds * int(time.Second/exchange) {
		now := b.Add(time.Duration(n) * exchange)
		for range 9 { // 20 requests a second with three samples each
			e := fmt.Sprintf("endpoint-%03d", d.IntN(endpoints))
			m.Observe(speed.Sample{Kind: speed.Gap, Work: "w", Endpoint: e, Born: born, Band: d.IntN(speed.Bands), Factor: 1, Took: math.Exp(d.NormFloat64() / 5)}, now)
		}
		if n%reportEvery == 0 {
			r := m.Take(now)
			i.True(len(r) <= speed.MaxChanges)
			i.NoErr(x.Encode(r))
		}
		f := map[string]speed.Factor{}
		for k := range endpoints {
			f[fmt.Sprintf("endpoint-%03d", k)] = speed.Factor{Born: born, Steps: [speed.Bands]int8{int8(d.IntN(100) - 50), int8(d.IntN(100) - 50), int8(d.IntN(100) - 50), int8(d.IntN(100) - 50)}}
		}
		c := speed.Changes(had, f, speed.MaxChanges)
		i.True(len(c) <= speed.MaxChanges)
		maps.Copy(had, c)
		i.NoErr(y.Encode(c))
	}
	t.Logf("reports %d B/s, replies at most %d B/s", sent.Len()/seconds, got.Len()/seconds)
	i.True(sent.Len()+got.Len() < 6000*seconds)
}

// Guards against replies that name endpoints again and again though nothing but noise has changed.
func TestNoiseUnderUsualLoadSendsNothing(t *testing.T) {
	i := is.New(t)
	m := newModel(10, usualLoad, true, even)
	m.run(settleTime)
	n := 0
	for range 40 {
		o := maps.Clone(m.factors)
		m.run(estimateTime)
		n += len(speed.Changes(o, m.factors, modelEndpoints))
	}
	t.Logf("%d factors changed in 10 s", n)
	i.True(n <= modelEndpoints/2)
}

// Guards against changes that are never sent because larger ones come first.
func TestAllChangesAreSent(t *testing.T) {
	i := is.New(t)
	n, o := map[string]speed.Factor{}, map[string]speed.Factor{"gone": {Born: 1, Steps: [speed.Bands]int8{9, 9, 9, 9}}}
	for k, e := range names(90) {
		n[e] = speed.Factor{Born: 1, Steps: [speed.Bands]int8{int8(k)}}
	}
	for range 5 {
		maps.Copy(o, speed.Changes(o, n, speed.MaxChanges))
	}
	i.Equal(len(speed.Changes(o, n, speed.MaxChanges)), 0)
	i.Equal(o["gone"].At(0), 1.0)
	i.True(slices.Contains(slices.Collect(maps.Keys(o)), "e89"))
}

// Guards against fresh measurements that wait behind all that is sent again after a new connection, and against messages with
// endpoints whose samples have faded.
func TestChangesComeBeforeWhatIsSentAgain(t *testing.T) {
	i := is.New(t)
	b := time.Unix(1000, 0)
	m := speed.NewMeter()
	observe := func(e string, born int64, now time.Time) {
		m.Observe(speed.Sample{Kind: speed.Gap, Work: "w", Endpoint: e, Born: born, Factor: 1, Took: 0.03}, now)
	}
	for n := range 610 {
		observe(fmt.Sprintf("e%03d", n), 1, b)
	}
	observe("old", 1, b.Add(-time.Hour))
	takeAll(m, b)
	m.Resend()
	observe("e600", 1, b)
	_, ok := m.Take(b)["e600"]
	i.True(ok)
	for _, l := range takeAll(m, b) {
		for e, s := range l {
			i.True(len(s.Cells) > 0)
			i.True(e != "old" && e != "e600")
		}
	}
	m.Resend()
	i.Equal(len(takeAll(m, b.Add(time.Minute))), 0) // faded while they waited
}

// Guards against a late sample of an earlier start of an endpoint that wipes the sums of the later one.
func TestLateSampleOfEarlierStartIsIgnored(t *testing.T) {
	i := is.New(t)
	b := time.Unix(1000, 0)
	m := meterOf(b)
	for _, n := range []int64{2, 2, 2, 1} {
		m.Observe(speed.Sample{Kind: speed.Gap, Work: "w", Endpoint: "slow", Born: n, Factor: 1, Took: 0.06}, b)
	}
	s := takeAll(m, b)[0]["slow"]
	i.Equal(s.Born, int64(2))
	i.Equal(s.Cells[0].Count, int64(3000))
}

// Guards against a sweep that holds up a control host's events, at a part of the target size, and against parts that stay.
func TestSweepIsBoundedAtEachStep(t *testing.T) {
	i := is.New(t)
	const hosts, endpoints = 20, 270
	b := time.Unix(1000, 0)
	l := takeAll(meterOf(b), b)[0]["e1"]
	r := map[string]speed.Sums{}
	for _, e := range names(endpoints) {
		r[e] = l
	}
	s := speed.NewState()
	for h := range hosts {
		s = s.WithReport(fmt.Sprint("h", h), 1, r, 0)
	}
	s = s.WithSweepBegun(time.Minute)
	n := 0
	for ; s.IsSweeping(); n++ {
		s = s.WithSweepStep(time.Minute)
	}
	i.True(n >= hosts*endpoints/1000)
	i.True(!s.WithSweepBegun(time.Minute).IsSweeping()) // nothing is left
}

// BenchmarkSweepStep measures what a step of a sweep costs a control host at the target size.
func BenchmarkSweepStep(b *testing.B) {
	now := time.Unix(1000, 0)
	l := takeAll(meterOf(now), now)[0]["e1"]
	r := map[string]speed.Sums{}
	for _, e := range names(270) {
		r[e] = l
	}
	s := speed.NewState()
	for h := range 360 {
		s = s.WithReport(fmt.Sprint("h", h), 1, r, 0)
	}
	x := s.WithSweepBegun(time.Minute)
	for b.Loop() {
		if x = x.WithSweepStep(time.Minute); !x.IsSweeping() {
			x = s.WithSweepBegun(time.Minute)
		}
	}
}
