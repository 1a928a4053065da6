package canary

import (
	"strconv"
	"strings"
	"time"
)

const (
	// slicesPerBudget is the number of time slices into which a rollout's time budget is divided.
	slicesPerBudget = 12
	// slowFactor is the multiple of its estimate from which an answer counts as slow, and minEstimate the least estimate.
	slowFactor  = 2.5
	minEstimate = 10 * time.Millisecond
)

// Tally counts the answers of a version to one kind of request in one time slice, as one entry host saw them during a
// rollout. A run that ends without an answer counts as a failed answer.
type Tally struct {
	Serial  uint64
	Version string
	// Endpoint is the ID of the endpoint that answered, or empty for versions other than the target, whose endpoints
	// aren't told apart.
	Endpoint string
	// Kind is the route and the model, since answers of different models are not comparable.
	Kind string
	// Slice is the number of the time slice since the order in which the answers came.
	Slice int
	// Answers is at least Failures plus Slow.
	Answers int
	// Failures counts answers with a server error, and requests that broke off while they ran.
	Failures int
	// Slow counts the answers without failure that came later than slowFactor times their estimate.
	Slow int
	// Left counts the requests whose callers left before an answer could be told from a slow one. They aren't in Answers.
	Left int
}

// Key returns the key of the tally among the tallies of one entry host for one rollout.
func (t Tally) Key() string {
	return strings.Join([]string{strconv.FormatUint(t.Serial, 10), t.Version, t.Endpoint, t.Kind, strconv.Itoa(t.Slice)}, "\x00")
}

// WithAnswer returns the tally with one more answer. wait is the time until the answer began, or for which it was awaited
// in vain. expected is the estimate of this time for a healthy endpoint under the same load.
func (t Tally) WithAnswer(failed bool, wait, expected time.Duration) Tally {
	t.Answers++
	switch {
	case failed:
		t.Failures++
	case IsSlow(wait, expected):
		t.Slow++
	}
	return t
}

// WithLeaver returns the tally with one more request whose caller left early.
func (t Tally) WithLeaver() Tally {
	t.Left++
	return t
}

// Supersedes reports whether the tally counts more than an earlier one with the same key.
func (t Tally) Supersedes(o Tally) bool {
	return t.Answers+t.Left > o.Answers+o.Left || t.Answers+t.Left == o.Answers+o.Left && t.Failures > o.Failures
}

// WithLateFailure returns the tally after an answer that it counts has broken off. slow tells how it was counted.
func (t Tally) WithLateFailure(slow bool) Tally {
	t.Failures++
	if slow && t.Slow > 0 {
		t.Slow--
	}
	return t
}

// IsSlow reports whether an answer that began after wait counts as slow.
func IsSlow(wait, expected time.Duration) bool {
	return float64(wait) > slowFactor*float64(max(expected, minEstimate))
}

// Slice returns the number of the time slice that holds a time since the order.
func (r Rollout) Slice(elapsed time.Duration) int {
	return int(elapsedShare(r, max(elapsed, 0)) * slicesPerBudget)
}

// Counts is a sum of tallies.
type Counts struct {
	Answers  int
	Failures int
	Slow     int
	Left     int
}

func (c Counts) plus(o Counts) Counts {
	return Counts{c.Answers + o.Answers, c.Failures + o.Failures, c.Slow + o.Slow, c.Left + o.Left}
}

// bad returns the number of answers that are bad in the given way.
func (c Counts) bad(d defect) int {
	if d == failing {
		return c.Failures
	}
	return c.Slow
}

// of returns the number of answers that may be bad in the given way.
func (c Counts) of(d defect) int {
	if d == late {
		return c.Answers - c.Failures
	}
	return c.Answers
}

// bySlice holds the sum of the tallies of each time slice.
type bySlice map[int]Counts

// evidence holds the results of all entry hosts for the target and for the other versions.
type evidence struct {
	// target is keyed by kind of request and then by endpoint; others is keyed by kind.
	target map[string]map[string]bySlice
	others map[string]bySlice
	// kinds holds the counts of both sides by kind of request, and answers is the number of all answers.
	kinds   map[string]KindCounts
	answers int
	// last is the number of the newest slice with an answer.
	last int
}

// gather sums up the tallies that belong to a rollout and ignores the others.
func gather(r Rollout, tallies []Tally) evidence {
	e := evidence{target: map[string]map[string]bySlice{}, others: map[string]bySlice{}}
	for _, t := range tallies {
		if t.Serial != r.Serial {
			continue
		}
		e.last = max(e.last, t.Slice)
		if t.Version != r.Target {
			e.others[t.Kind] = e.others[t.Kind].withTally(t)
			continue
		}
		if e.target[t.Kind] == nil {
			e.target[t.Kind] = map[string]bySlice{}
		}
		e.target[t.Kind][t.Endpoint] = e.target[t.Kind][t.Endpoint].withTally(t)
	}
	return e.withKinds()
}

// withTally adds a tally in place, and returns a new map if there was none.
func (s bySlice) withTally(t Tally) bySlice {
	if s == nil {
		s = bySlice{}
	}
	s[t.Slice] = s[t.Slice].plus(Counts{t.Answers, t.Failures, t.Slow, t.Left})
	return s
}

func (s bySlice) total() Counts {
	var t Counts
	for _, c := range s {
		t = t.plus(c)
	}
	return t
}

// totals returns the results of the target and of the other versions for all kinds of request.
func (e evidence) totals() (target, others Counts) {
	for _, c := range e.kinds {
		target, others = target.plus(c.Target), others.plus(c.Others)
	}
	return target, others
}

// withKinds returns the evidence with its sums by kind of request.
func (e evidence) withKinds() evidence {
	e.kinds = map[string]KindCounts{}
	for k, s := range e.others {
		e.kinds[k] = KindCounts{Others: s.total()}
	}
	for k, m := range e.target {
		c := e.kinds[k]
		for _, s := range m {
			c.Target = c.Target.plus(s.total())
		}
		e.kinds[k] = c
	}
	for _, c := range e.kinds {
		e.answers += c.Target.Answers + c.Others.Answers
	}
	return e
}

// share returns the share of all answers that belong to a kind of request.
func (e evidence) share(kind string) float64 {
	c := e.kinds[kind]
	return float64(c.Target.Answers+c.Others.Answers) / float64(max(1, e.answers))
}

// unexpected returns Assessment.Unexpected.
func (e evidence) unexpected() float64 {
	_, o := e.totals()
	u := float64(o.Failures+o.Slow) / float64(max(1, o.Answers))
	m := map[string]Counts{}
	for _, k := range e.target {
		for i, s := range k {
			m[i] = m[i].plus(s.total())
		}
	}
	var sum, most float64
	for _, c := range m {
		x := float64(c.Failures+c.Slow) - u*float64(c.Answers)
		sum += x
		most = max(most, x)
	}
	if len(m) > 1 {
		sum -= most
	}
	return sum
}
