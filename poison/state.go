package poison

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCases and maxEnds bound the evidence that is kept.
	maxCases = 1024
	maxEnds  = 512
	// maxShared bounds the cases that control hosts send to entry hosts with verdicts.
	maxShared = 128
	// watchedCrashes is the number of crashes from which entry hosts look out for served requests with the key.
	watchedCrashes = 2
	// evidenceRetention is how long evidence without a verdict is kept, and verdictRetention how long a verdict is kept
	// that no request asks for.
	evidenceRetention = 10 * time.Minute
	verdictRetention  = time.Hour
	// endTolerance is how far the times that hosts give for one end may lie apart.
	endTolerance = 250 * time.Millisecond
)

// State is the evidence about all keys, and the verdicts. It is an immutable value. Merging reports is commutative and
// idempotent but for the times of ends, so that it doesn't matter which host learns of them in which order.
type State struct {
	ends  map[Boot]End
	cases map[Key]Case
	// survivors is what hosts have counted while keys are suspected.
	survivors survivors
}

// Case returns the evidence about a key.
func (s State) Case(k Key) Case { return s.cases[k] }

// Arrival is a report with the time at which it arrived.
type Arrival struct {
	Report Report
	At     time.Duration
}

// WithReport returns the state with the evidence of a report that arrived at now.
func (s State) WithReport(r Report, now time.Duration) State {
	return s.WithReports([]Arrival{{r, now}}, now)
}

// WithReports returns the state with the evidence of several reports. It copies the evidence once, however many there are.
func (s State) WithReports(l []Arrival, now time.Duration) State {
	l = slices.DeleteFunc(slices.Clone(l), func(a Arrival) bool { return a.Report.Empty() })
	if len(l) == 0 {
		return s
	}
	s.ends, s.cases = maps.Clone(s.ends), maps.Clone(s.cases)
	if s.ends == nil {
		s.ends, s.cases = map[Boot]End{}, map[Key]Case{}
	}
	for _, a := range l {
		s.add(a)
		s.survivors = s.survivors.withReports(a.Report.Served, a.At)
	}
	s.expire(now)
	return s
}

// add merges a report. The maps belong to the caller.
func (s State) add(a Arrival) {
	for _, e := range a.Report.Ends {
		s.addEnd(e.Boot, End{e.Service, a.At - e.Age})
	}
	for _, c := range a.Report.Cases {
		s.cases[c.Key] = s.withoutServed(s.cases[c.Key].merge(c.decode(a.At)))
	}
}

// withoutServed returns a case in which ends don't count after which requests with the key were served.
func (s State) withoutServed(c Case) Case {
	var l []Boot
	for b, r := range c.Crashes {
		if e, ok := s.ends[b]; ok && !r.isServed() && c.clearedBy(e.At) {
			l = append(l, b)
		}
	}
	if len(l) == 0 {
		return c
	}
	c.Crashes = maps.Clone(c.Crashes)
	for _, b := range l {
		r := c.Crashes[b]
		r.Cleared, r.Starved = true, false
		c.Crashes[b] = r
	}
	return c
}

// addEnd stores an end, and an earlier time of a known one.
func (s State) addEnd(b Boot, e End) {
	if o, ok := s.ends[b]; ok && o.At <= e.At+endTolerance {
		return
	}
	s.ends[b] = e
}

// WithLifted returns the state without the verdict on a key, and with none of the evidence that it was based on. ok is
// false if no verdict on the key is in force.
func (s State) WithLifted(k Key) (next State, ok bool) {
	c, ok := s.cases[k]
	if !ok || !c.InForce() {
		return s, false
	}
	s.cases = maps.Clone(s.cases)
	s.cases[k] = c.WithCleared()
	return s, true
}

// expire removes what is too old, and what exceeds the bounds: ends that are oldest, and cases without a verdict with the
// fewest crashes first. The maps belong to the caller.
func (s State) expire(now time.Duration) {
	maps.DeleteFunc(s.ends, func(_ Boot, e End) bool { return now-e.At > evidenceRetention })
	maps.DeleteFunc(s.cases, func(_ Key, c Case) bool {
		t := evidenceRetention
		if c.Verdict > 0 {
			t = verdictRetention
		}
		return now-c.AskedAt > t
	})
	if n := len(s.ends) - maxEnds; n > 0 {
		l := slices.SortedFunc(maps.Keys(s.ends), func(a, b Boot) int { return cmp.Or(cmp.Compare(s.ends[a].At, s.ends[b].At), a.compare(b)) })
		for _, b := range l[:n] {
			delete(s.ends, b)
		}
	}
	if n := len(s.cases) - maxCases; n > 0 {
		l := slices.SortedFunc(maps.Keys(s.cases), s.compareWeight)
		for _, k := range l[:n+maxCases/8] { // some more, so that not each report sorts them
			delete(s.cases, k)
		}
	}
}

// compareWeight orders keys by how little is known against them.
func (s State) compareWeight(a, b Key) int {
	x, y := s.cases[a], s.cases[b]
	return cmp.Or(cmp.Compare(x.Verdict, y.Verdict), cmp.Compare(x.count(), y.count()), cmp.Compare(x.AskedAt, y.AskedAt), a.compare(b))
}

// Report returns all evidence.
func (s State) Report(now time.Duration) Report {
	return s.report(slices.SortedFunc(maps.Keys(s.ends), Boot.compare), slices.SortedFunc(maps.Keys(s.cases), Key.compare), now)
}

func (s State) report(ends []Boot, keys []Key, now time.Duration) Report {
	var r Report
	for _, b := range ends {
		if e, ok := s.ends[b]; ok {
			r.Ends = append(r.Ends, EndReport{b, e.Service, now - e.At})
		}
	}
	for _, k := range keys {
		if c, ok := s.cases[k]; ok {
			r.Cases = append(r.Cases, c.report(k, now))
		}
	}
	return r
}

// Shared returns what entry hosts have to know to hold requests back: the cases with verdicts, and what can't be told from
// them. sum is a hash of it that leaves out times.
func (s State) Shared(now time.Duration) (r Report, sum uint64) {
	r = s.report(nil, s.judgedKeys(), now)
	return r, r.sum()
}

// judgedKeys returns the sorted keys with verdicts, and those that can't be told from them.
func (s State) judgedKeys() []Key {
	m := map[Key]bool{}
	for k, c := range s.cases {
		if c.Verdict == 0 {
			continue
		}
		m[k] = true
		for _, o := range s.rule(k).With {
			m[o] = true
		}
	}
	l := slices.SortedFunc(maps.Keys(m), s.compareWeight)
	l = l[max(0, len(l)-maxShared):]
	slices.SortFunc(l, Key.compare)
	return l
}

// Confirmed returns the evidence that isn't of one host alone: the cases with verdicts, those that are watched, and the
// ends that count against them.
func (s State) Confirmed(now time.Duration) Report {
	l := s.judgedKeys()
	for k, c := range s.cases {
		if c.Verdict == 0 && c.count() >= watchedCrashes {
			l = append(l, k)
		}
	}
	slices.SortFunc(l, Key.compare)
	return s.ReportOf(slices.Compact(l), now)
}

// ReportOf returns the evidence about some keys, with the ends that count against them.
func (s State) ReportOf(keys []Key, now time.Duration) Report {
	b := map[Boot]bool{}
	for _, k := range keys {
		for v := range s.cases[k].Crashes {
			b[v] = true
		}
	}
	return s.report(slices.SortedFunc(maps.Keys(b), Boot.compare), keys, now)
}

// sum returns a hash of the cases of a report without their times, or 0 if there are none.
func (r Report) sum() uint64 {
	if len(r.Cases) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, c := range r.Cases {
		c.Idle = 0
		_, _ = fmt.Fprintf(d, "%+v", c) // a hash returns no error
	}
	return d.Sum64()
}
