package poison

import (
	"crypto/rand"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// maxCounts bounds the counts of hosts that are kept, and maxSamples those of a service or key over time.
	maxCounts  = 1 << 16
	maxSamples = 256
	// sampleGap is the least time between two samples.
	sampleGap = 100 * time.Millisecond
)

// Survivors counts requests whose endpoints didn't end soon after they had begun: those that were served, or answered for longer than
// each of suspectAges.
type Survivors [len(suspectAges)]uint64

// plus returns the sum of two counts.
func (s Survivors) plus(o Survivors) Survivors {
	for i := range s {
		s[i] += o[i]
	}
	return s
}

// minus returns how much larger counts are than earlier ones.
func (s Survivors) minus(o Survivors) Survivors {
	for i := range s {
		s[i] -= min(s[i], o[i])
	}
	return s
}

// survivorsOf returns the count of one request that was answered for some time, or served if age is maxSuspectAge.
func survivorsOf(age time.Duration) Survivors {
	var s Survivors
	for i, a := range suspectAges {
		if age >= a {
			s[i] = 1
		}
	}
	return s
}

// counted is what is counted: the requests of a service with a key, by its hash, or all of them if that is 0.
type counted struct {
	service string
	key     uint64
}

// survivorCounter counts at a host while keys are suspected.
type survivorCounter struct {
	source Source
	// active is set while keys are suspected. counts is empty otherwise.
	active bool
	counts map[counted]Survivors
	// changed is what the next report has to hold, and reported what the last one held.
	changed, reported map[counted]bool
}

func newSurvivorCounter() survivorCounter {
	return survivorCounter{source: Source{Host: rand.Text()[:10]}, counts: map[counted]Survivors{}, changed: map[counted]bool{}}
}

// setActive begins to count from 0, or ends it.
func (c *survivorCounter) setActive(active bool) {
	if active == c.active {
		return
	}
	c.active = active
	c.source.Period++
	c.counts, c.changed, c.reported = map[counted]Survivors{}, map[counted]bool{}, nil
}

// add counts requests.
func (c *survivorCounter) add(k counted, s Survivors) {
	if c.active && s != (Survivors{}) {
		c.counts[k] = c.counts[k].plus(s)
		c.changed[k] = true
	}
}

// take returns the counts that have changed since the last call.
func (c *survivorCounter) take() []ServedReport {
	var r []ServedReport
	for k := range c.changed {
		r = append(r, ServedReport{Source: c.source, Service: k.service, Key: k.key, Counts: c.counts[k]})
	}
	c.changed, c.reported = map[counted]bool{}, c.changed
	return r
}

// restore makes the next take return again what the last one did.
func (c *survivorCounter) restore() { maps.Copy(c.changed, c.reported) }

// sample is what all hosts have counted at a time.
type sample struct {
	at   time.Duration
	more Survivors
}

// survivors is what hosts have counted while keys are suspected. It is an immutable value.
type survivors struct {
	// counts holds the newest counts by source and by what is counted, and samples how they grew, in the order of arrival. The slices
	// are never changed in place.
	counts  *immutable.Map[string, Survivors]
	samples *immutable.Map[string, []sample]
	// lostAt is when counts were last lost since there were too many, if lost is set.
	lostAt time.Duration
	lost   bool
}

// String names what is counted.
func (c counted) String() string { return fmt.Sprintf("%s/%x", c.service, c.key) }

// withReports returns the counts with those of reports that arrived at a time. Merging is idempotent: counts only grow.
func (v survivors) withReports(l []ServedReport, at time.Duration) survivors {
	for _, r := range l {
		if v.counts == nil || v.counts.Len() >= maxCounts {
			v.lost, v.lostAt = v.counts != nil, at
			v.counts, v.samples = immutable.NewMap[string, Survivors](nil), immutable.NewMap[string, []sample](nil)
		}
		c := counted{r.Service, r.Key}.String()
		k := fmt.Sprint(r.Source.Host, r.Source.Period, c)
		o, _ := v.counts.Get(k)
		if d := r.Counts.minus(o); d != (Survivors{}) {
			m, _ := v.samples.Get(c)
			v.counts, v.samples = v.counts.Set(k, o.plus(d)), v.samples.Set(c, withSample(m, sample{at - r.Age, d}))
		}
	}
	return v
}

// withSample returns samples with one more. One that is close to the last one is added to it.
func withSample(l []sample, s sample) []sample {
	if n := len(l); n > 0 && max(l[n-1].at-s.at, s.at-l[n-1].at) < sampleGap {
		l, s = l[:n-1], sample{min(s.at, l[n-1].at), l[n-1].more.plus(s.more)}
	}
	return append(slices.Clone(l[max(0, len(l)-maxSamples+1):]), s)
}

// since returns what was counted later than a time, of what is still kept. known is false if some of it may have been lost.
func (v survivors) since(c counted, t time.Duration) (s Survivors, known bool) {
	if v.counts == nil {
		return s, true
	}
	l, _ := v.samples.Get(c.String())
	for _, m := range l {
		if m.at > t {
			s = s.plus(m.more)
		}
	}
	return s, !v.lost || v.lostAt < t
}
