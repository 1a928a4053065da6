package route

import (
	"cmp"
	"math"
	"time"

	"github.com/benbjohnson/immutable"
)

//go:generate go tool stringer -type=Health,Observation,Verdict -linecomment -output=enum_string.go

// Observation is what a rating is about.
type Observation int

// Observations.
const (
	// Quality is the rating service's score of an answer, between 0 and 1.
	Quality Observation = iota // quality
	// Fault is 1 for a request that the engine failed or answered far too slowly, and 0 for another.
	Fault // fault
	// Pace is the time for a token of an answer, in milliseconds.
	Pace // pace
)

// Rating is one observation of a version at work.
type Rating struct {
	Kind    Observation
	Version string
	Class   string
	Value   float64
	// Endpoint is where a Pace was observed.
	Endpoint string
}

// Health is the standing of a version in a task class.
type Health int

// Healths of a version.
const (
	// Sound versions are chosen by their evidence.
	Sound Health = iota // sound
	// Suspect versions get a bounded share until more ratings decide.
	Suspect // suspect
	// Quarantined versions get nothing.
	Quarantined // quarantined
)

const (
	// halfLife is the number of ratings after which an old rating weighs half.
	halfLife = 400
	// baselineLife is the same for the slow mean that the change detector compares with.
	baselineLife = 2000
	// warmUp is how many ratings come in before the change detector starts.
	warmUp = 10
	// shift is the fall of quality that the change detector is tuned for.
	shift = 0.3
	// deviationFloor bounds the deviation of ratings from below.
	deviationFloor = 0.05
	// suspectAt and quarantineAt are the detector's thresholds in deviations of a rating.
	suspectAt    = 3.5
	quarantineAt = 8.0
	// faultSlack is the share of faults that the fault detector tolerates.
	faultSlack = 0.1
	// faultSuspectAt and faultQuarantineAt are thresholds in faults above the tolerated share.
	faultSuspectAt    = 2.0
	faultQuarantineAt = 6.0
	// slowFactor is how many times the usual time for a token counts as a fault.
	slowFactor = 3.0
	// ageing is how long without ratings halves the weight of the evidence.
	ageing = 30 * time.Minute
)

// Stat is the evidence about one version in one task class.
type Stat struct {
	// Count is the decayed number of ratings; Mean and Variance are decayed too.
	Count    float64
	Mean     float64
	Variance float64
	// Baseline is a slower mean, frozen while the version is suspect.
	Baseline float64
	// Fall and Faults are cumulative sums of the change detectors, at least 0.
	Fall   float64
	Faults float64
	// Pace is the usual time for a token in milliseconds, over Paces observations.
	Pace  float64
	Paces float64
	// Slow is the endpoint that was last found slow.
	Slow string
	// Updated is the time of the last quality rating.
	Updated time.Duration
	Health  Health
}

func (s Stat) deviation() float64 { return math.Max(math.Sqrt(s.Variance), deviationFloor) }

// LowerBound returns the lower confidence bound of the quality, z deviations below the mean.
func (s Stat) LowerBound(z float64, now time.Duration) float64 {
	n := s.Count * math.Exp2(-float64(now-s.Updated)/float64(ageing))
	if n < 1 {
		return 0
	}
	return s.Mean - z*s.deviation()/math.Sqrt(n)
}

// UpperBound returns the upper confidence bound of the quality.
func (s Stat) UpperBound(z float64, now time.Duration) float64 {
	n := s.Count * math.Exp2(-float64(now-s.Updated)/float64(ageing))
	if n < 1 {
		return 1
	}
	return s.Mean + z*s.deviation()/math.Sqrt(n)
}

// with returns the evidence after one more rating.
func (s Stat) with(r Rating, now time.Duration) Stat {
	if s.Health == Quarantined {
		return s
	}
	if r.Kind == Pace {
		return s.paced(r).judged()
	}
	if r.Kind == Fault {
		s.Faults = math.Max(0, s.Faults+r.Value-faultSlack)
		return s.judged()
	}
	s = s.detect(r.Value)
	s.Updated = now
	n := math.Min(s.Count+1, halfLife)
	d := r.Value - s.Mean
	s.Mean += d / n
	s.Variance += (d*d - s.Variance) / n
	s.Count = n
	if s.Health == Sound {
		s.Baseline += (r.Value - s.Baseline) / math.Min(n, baselineLife)
	}
	return s.judged()
}

// paced counts a token time far above the usual one as a fault of the version, unless the same endpoint was
// the last one found slow: then the endpoint is to blame.
func (s Stat) paced(r Rating) Stat {
	if s.Paces < warmUp || r.Value < slowFactor*s.Pace {
		s.Paces = math.Min(s.Paces+1, halfLife)
		s.Pace += (r.Value - s.Pace) / s.Paces
		return s
	}
	if r.Endpoint != s.Slow {
		s.Slow = r.Endpoint
		s.Faults += 1 - faultSlack
	}
	return s
}

// detect adds a rating to the cumulative sum that grows when quality has fallen by more than half the shift.
func (s Stat) detect(value float64) Stat {
	if s.Count < warmUp {
		return s
	}
	f := (s.Baseline - value - shift/2) / s.deviation()
	s.Fall = math.Max(0, s.Fall+f)
	return s
}

// judged sets the health. A suspect version is sound again only once its sums have fallen to zero.
func (s Stat) judged() Stat {
	switch {
	case s.Fall >= quarantineAt || s.Faults >= faultQuarantineAt:
		s.Health = Quarantined
	case s.Fall >= suspectAt || s.Faults >= faultSuspectAt:
		s.Health = Suspect
	case s.Fall == 0 && s.Faults < faultSuspectAt:
		s.Health = Sound
	}
	return s
}

// doubted returns the evidence after the version was found bad in another task class.
func (s Stat) doubted() Stat {
	if s.Health == Sound {
		s.Health = Suspect
		s.Fall = suspectAt
	}
	return s
}

// Subject is a version in a task class.
type Subject struct {
	Version string
	Class   string
}

type subjectComparer struct{}

// Compare orders subjects by version, then by class.
func (subjectComparer) Compare(a, b Subject) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Class, b.Class))
}

// Evidence is a host's evidence about all versions. It is a value.
type Evidence struct {
	stats *immutable.SortedMap[Subject, Stat]
}

// NewEvidence returns evidence about nothing.
func NewEvidence() Evidence {
	return Evidence{stats: immutable.NewSortedMap[Subject, Stat](subjectComparer{})}
}

// Stat returns the evidence about a subject.
func (e Evidence) Stat(s Subject) Stat {
	t, _ := e.stats.Get(s)
	return t
}

// Entry is one subject with its evidence.
type Entry struct {
	Subject
	Stat Stat
}

// Entries returns all evidence, ordered by subject.
func (e Evidence) Entries() []Entry {
	var r []Entry
	for i := e.stats.Iterator(); !i.Done(); {
		s, t, _ := i.Next()
		r = append(r, Entry{s, t})
	}
	return r
}

// WithRating returns the evidence after a rating, and the subject's health before and after.
func (e Evidence) WithRating(r Rating, now time.Duration) (next Evidence, before, after Health) {
	k := Subject{r.Version, r.Class}
	o := e.Stat(k)
	n := o.with(r, now)
	e.stats = e.stats.Set(k, n)
	if n.Health > o.Health {
		e = e.withDoubt(k)
	}
	return e, o.Health, n.Health
}

// withDoubt makes a version suspect in all other task classes: what befalls it in one befalls it in others.
func (e Evidence) withDoubt(s Subject) Evidence {
	for _, t := range e.Entries() {
		if t.Version == s.Version && t.Class != s.Class {
			e.stats = e.stats.Set(t.Subject, t.Stat.doubted())
		}
	}
	return e
}

// WithQuarantine returns the evidence with the subject in quarantine, on another host's word.
func (e Evidence) WithQuarantine(s Subject) Evidence {
	t := e.Stat(s)
	t.Health = Quarantined
	e.stats = e.stats.Set(s, t)
	return e.withDoubt(s)
}

// WithEntries returns evidence that starts from another host's, for a host that has none itself.
func (e Evidence) WithEntries(entries []Entry, now time.Duration) Evidence {
	for _, t := range entries {
		if e.Stat(t.Subject).Count == 0 {
			t.Stat.Updated = now
			e.stats = e.stats.Set(t.Subject, t.Stat)
		}
	}
	return e
}
