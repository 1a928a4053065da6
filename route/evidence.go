package route

import (
	"cmp"
	"math"
	"time"

	"github.com/benbjohnson/immutable"
)

//go:generate go tool stringer -type=Health,Observation,Verdict -linecomment -output=enum_string.go

// Observation is the kind of value that a rating carries.
type Observation int

// Kinds of observations.
const (
	// Quality is the rating service's score for an answer, from 0 (worst) to 1 (best).
	Quality Observation = iota // quality
	// Fault is 1 for a request that the engine failed or answered far too slowly, and 0 for any other request.
	Fault // fault
	// TokenTime is the time per output token of an answer, in milliseconds.
	TokenTime // pace
)

// Rating is one observation of a version in production.
type Rating struct {
	Kind    Observation
	Version string
	Class   string
	Value   float64
	// Endpoint is the id of the endpoint that gave the answer. It is used only for TokenTime.
	Endpoint string
}

// Health is the health of a version in one task class.
type Health int

// Values of Health, from best to worst.
const (
	// Healthy versions are chosen by cost and evidence.
	Healthy Health = iota // sound
	// Suspect versions get a bounded share of the requests until further ratings restore or quarantine them.
	Suspect // suspect
	// Quarantined versions get no requests. Later ratings don't change that.
	Quarantined // quarantined
)

const (
	// ratingWindow bounds the count by which the moving averages divide, so that a new rating always has a weight
	// of at least 1/400.
	ratingWindow = 400
	// warmUpRatings is the number of ratings before the change detector and the check for slow tokens start.
	warmUpRatings = 10
	// detectedDrop is the drop in mean quality for which the change detector is tuned.
	detectedDrop = 0.3
	// minDeviation is the lower bound of the standard deviation of ratings.
	minDeviation = 0.05
	// suspectThreshold and quarantineThreshold are limits of Stat.Fall, in standard deviations of a rating.
	suspectThreshold    = 3.5
	quarantineThreshold = 8.0
	// toleratedFaultShare is the share of faulty requests at which Stat.Faults doesn't grow.
	toleratedFaultShare = 0.1
	// faultSuspectThreshold and faultQuarantineThreshold are limits of Stat.Faults, in faults above the tolerated
	// share.
	faultSuspectThreshold    = 2.0
	faultQuarantineThreshold = 6.0
	// slowTokenFactor is the multiple of the average time per token from which an answer counts as slow.
	slowTokenFactor = 3.0
	// evidenceHalfLife is the time without quality ratings after which evidence has half its weight.
	evidenceHalfLife = 30 * time.Minute
)

// Stat holds the evidence about one version in one task class.
type Stat struct {
	// Count is the number of quality ratings, at most ratingWindow. Mean and Variance are moving averages over
	// this number of ratings.
	Count    float64
	Mean     float64
	Variance float64
	// Baseline is the mean of the ratings that came while the version was healthy; it doesn't change in other
	// states.
	Baseline float64
	// Fall and Faults are the cumulative sums (CUSUM) of the detectors for dropping quality and for faults. They
	// are never below 0.
	Fall   float64
	Faults float64
	// Pace is the moving average of the time per output token in milliseconds. Paces is the number of observations
	// in it, at most ratingWindow.
	Pace  float64
	Paces float64
	// Slow is the id of the endpoint that last gave a slow answer.
	Slow string
	// Updated is the time of the last quality rating on this host's clock.
	Updated time.Duration
	Health  Health
}

// deviation returns the standard deviation of one rating, at least minDeviation.
func (s Stat) deviation() float64 { return math.Max(math.Sqrt(s.Variance), minDeviation) }

// LowerBound returns the lower confidence bound of the mean quality, z standard errors below the mean. The
// number of ratings is discounted by their age; with less than one left the result is 0.
func (s Stat) LowerBound(z float64, now time.Duration) float64 {
	n := s.Count * math.Exp2(-float64(now-s.Updated)/float64(evidenceHalfLife))
	if n < 1 {
		return 0
	}
	return s.Mean - z*s.deviation()/math.Sqrt(n)
}

// UpperBound returns the upper confidence bound of the mean quality, z standard errors above the mean. The
// number of ratings is discounted by their age; with less than one left the result is 1.
func (s Stat) UpperBound(z float64, now time.Duration) float64 {
	n := s.Count * math.Exp2(-float64(now-s.Updated)/float64(evidenceHalfLife))
	if n < 1 {
		return 1
	}
	return s.Mean + z*s.deviation()/math.Sqrt(n)
}

// withRating returns the evidence after one more rating. Evidence of a quarantined version doesn't change.
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
		s.Baseline += (r.Value - s.Baseline) / n
	}
	return s.withHealth()
}

// withTokenTime updates the average time per token. A time of at least slowTokenFactor times the average counts as a
// fault of the version instead, unless it comes from the endpoint that was last found slow: then that endpoint is the
// likely cause.
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

// withQualityDrop adds a rating to the cumulative sum Fall, which grows while quality is more than half of
// detectedDrop below the baseline.
func (s Stat) withQualityDrop(value float64) Stat {
	if s.Count < warmUpRatings {
		return s
	}
	f := (s.Baseline - value - detectedDrop/2) / s.deviation()
	s.Fall = math.Max(0, s.Fall+f)
	return s
}

// withHealth derives the health from the cumulative sums. A suspect version becomes healthy only when Fall is back
// at zero and Faults is below its threshold.
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

// withSuspicion marks a healthy version as suspect because its health got worse in another task class.
func (s Stat) withSuspicion() Stat {
	if s.Health == Healthy {
		s.Health = Suspect
		s.Fall = suspectThreshold
	}
	return s
}

// Subject identifies a version in a task class.
type Subject struct {
	Version string
	Class   string
}

type subjectComparer struct{}

// Compare orders subjects by version, then by class.
func (subjectComparer) Compare(a, b Subject) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Class, b.Class))
}

// Evidence holds a host's evidence about all versions. It is immutable; methods that change something return a
// copy.
type Evidence struct {
	stats *immutable.SortedMap[Subject, Stat]
}

// NewEvidence returns empty evidence.
func NewEvidence() Evidence {
	return Evidence{stats: immutable.NewSortedMap[Subject, Stat](subjectComparer{})}
}

// Stat returns the evidence about a subject, or the zero Stat if there is none.
func (e Evidence) Stat(s Subject) Stat {
	t, _ := e.stats.Get(s)
	return t
}

// Entry is the evidence about one subject, in the form in which hosts exchange it.
type Entry struct {
	Subject
	Stat Stat
}

// Entries returns all evidence, sorted by subject.
func (e Evidence) Entries() []Entry {
	var r []Entry
	for i := e.stats.Iterator(); !i.Done(); {
		s, t, _ := i.Next()
		r = append(r, Entry{s, t})
	}
	return r
}

// WithRating returns the evidence after a rating, and the subject's health before and after it. If the health
// gets worse, the version becomes suspect in its other task classes too.
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

// withSuspectClasses marks the version as suspect in all its other task classes, because a problem in one class
// usually affects the others as well.
func (e Evidence) withSuspectClasses(s Subject) Evidence {
	for _, t := range e.Entries() {
		if t.Version == s.Version && t.Class != s.Class {
			e.stats = e.stats.Set(t.Subject, t.Stat.withSuspicion())
		}
	}
	return e
}

// WithQuarantine returns the evidence after another host has reported that it quarantined the subject.
func (e Evidence) WithQuarantine(s Subject) Evidence {
	t := e.Stat(s)
	t.Health = Quarantined
	e.stats = e.stats.Set(s, t)
	return e.withSuspectClasses(s)
}

// WithEntries adds another host's evidence about subjects for which this host has no quality ratings. The evidence
// counts as updated at now, because Stat.Updated refers to the clock of the host that holds it.
func (e Evidence) WithEntries(entries []Entry, now time.Duration) Evidence {
	for _, t := range entries {
		if e.Stat(t.Subject).Count == 0 {
			t.Stat.Updated = now
			e.stats = e.stats.Set(t.Subject, t.Stat)
		}
	}
	return e
}
