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
	// TokenTime is the time for a token of an answer, in milliseconds.
	TokenTime // pace
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
	// Healthy versions are chosen by their evidence.
	Healthy Health = iota // sound
	// Suspect versions get a bounded share until more ratings decide.
	Suspect // suspect
	// Quarantined versions get nothing.
	Quarantined // quarantined
)

const (
	// ratingWindow is the number of ratings after which an old rating weighs half.
	ratingWindow = 400
	// baselineWindow is the same for the slow mean that the change detector compares with.
	baselineWindow = 2000
	// warmUpRatings is how many ratings come in before the change detector starts.
	warmUpRatings = 10
	// detectedDrop is the fall of quality that the change detector is tuned for.
	detectedDrop = 0.3
	// minDeviation bounds the deviation of ratings from below.
	minDeviation = 0.05
	// suspectThreshold and quarantineAt are the detector's thresholds in deviations of a rating.
	suspectThreshold    = 3.5
	quarantineThreshold = 8.0
	// toleratedFaultShare is the share of faults that the fault detector tolerates.
	toleratedFaultShare = 0.1
	// faultSuspectThreshold and faultQuarantineAt are thresholds in faults above the tolerated share.
	faultSuspectThreshold    = 2.0
	faultQuarantineThreshold = 6.0
	// slowTokenFactor is how many times the usual time for a token counts as a fault.
	slowTokenFactor = 3.0
	// evidenceHalfLife is how long without ratings halves the weight of the evidence.
	evidenceHalfLife = 30 * time.Minute
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

func (s Stat) deviation() float64 { return math.Max(math.Sqrt(s.Variance), minDeviation) }

// LowerBound returns the lower confidence bound of the quality, z deviations below the mean.
func (s Stat) LowerBound(z float64, now time.Duration) float64 {
	n := s.Count * math.Exp2(-float64(now-s.Updated)/float64(evidenceHalfLife))
	if n < 1 {
		return 0
	}
	return s.Mean - z*s.deviation()/math.Sqrt(n)
}

// UpperBound returns the upper confidence bound of the quality.
func (s Stat) UpperBound(z float64, now time.Duration) float64 {
	n := s.Count * math.Exp2(-float64(now-s.Updated)/float64(evidenceHalfLife))
	if n < 1 {
		return 1
	}
	return s.Mean + z*s.deviation()/math.Sqrt(n)
}

// withRating returns the evidence after one more rating.
func (s Stat) withRating(r Rating, now time.Duration) Stat {
	if s.Health == Quarantined {
		return s
	}
	if r.Kind == TokenTime {
		return s.withTokenTime(r).withHealth()
	}
	if r.Kind == Fault {
		s.Faults = math.Max(0, s.Faults+r.Value-toleratedFaultShare)
		return s.withHealth()
	}
	s = s.withQualityDrop(r.Value)
	s.Updated = now
	n := math.Min(s.Count+1, ratingWindow)
	d := r.Value - s.Mean
	s.Mean += d / n
	s.Variance += (d*d - s.Variance) / n
	s.Count = n
	if s.Health == Healthy {
		s.Baseline += (r.Value - s.Baseline) / math.Min(n, baselineWindow)
	}
	return s.withHealth()
}

// withTokenTime counts a token time far above the usual one as a fault of the version, unless the same endpoint was
// the last one found slow: then the endpoint is to blame.
func (s Stat) withTokenTime(r Rating) Stat {
	if s.Paces < warmUpRatings || r.Value < slowTokenFactor*s.Pace {
		s.Paces = math.Min(s.Paces+1, ratingWindow)
		s.Pace += (r.Value - s.Pace) / s.Paces
		return s
	}
	if r.Endpoint != s.Slow {
		s.Slow = r.Endpoint
		s.Faults += 1 - toleratedFaultShare
	}
	return s
}

// withQualityDrop adds a rating to the cumulative sum that grows when quality has fallen by more than half the shift.
func (s Stat) withQualityDrop(value float64) Stat {
	if s.Count < warmUpRatings {
		return s
	}
	f := (s.Baseline - value - detectedDrop/2) / s.deviation()
	s.Fall = math.Max(0, s.Fall+f)
	return s
}

// withHealth sets the health. A suspect version is sound again only once its sums have fallen to zero.
func (s Stat) withHealth() Stat {
	switch {
	case s.Fall >= quarantineThreshold || s.Faults >= faultQuarantineThreshold:
		s.Health = Quarantined
	case s.Fall >= suspectThreshold || s.Faults >= faultSuspectThreshold:
		s.Health = Suspect
	case s.Fall == 0 && s.Faults < faultSuspectThreshold:
		s.Health = Healthy
	}
	return s
}

// withSuspicion returns the evidence after the version was found bad in another task class.
func (s Stat) withSuspicion() Stat {
	if s.Health == Healthy {
		s.Health = Suspect
		s.Fall = suspectThreshold
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
	n := o.withRating(r, now)
	e.stats = e.stats.Set(k, n)
	if n.Health > o.Health {
		e = e.withSuspectClasses(k)
	}
	return e, o.Health, n.Health
}

// withSuspectClasses makes a version suspect in all other task classes: what befalls it in one befalls it in others.
func (e Evidence) withSuspectClasses(s Subject) Evidence {
	for _, t := range e.Entries() {
		if t.Version == s.Version && t.Class != s.Class {
			e.stats = e.stats.Set(t.Subject, t.Stat.withSuspicion())
		}
	}
	return e
}

// WithQuarantine returns the evidence with the subject in quarantine, on another host's word.
func (e Evidence) WithQuarantine(s Subject) Evidence {
	t := e.Stat(s)
	t.Health = Quarantined
	e.stats = e.stats.Set(s, t)
	return e.withSuspectClasses(s)
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
