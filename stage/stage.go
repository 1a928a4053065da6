// Package stage moves a service to a new version: how much traffic the version gets while evidence is
// gathered, and when the move ends. All functions are pure.
package stage

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

//go:generate go tool stringer -type=Outcome -linecomment -output=enum_string.go

// Outcome is where a roll-out stands.
type Outcome int

// Outcomes of a roll-out.
const (
	Running    Outcome = iota // running
	Done                      // done
	RolledBack                // rolled-back
)

// Rollout moves a service's traffic to a target version.
type Rollout struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Budget is the time within which a good version takes over.
	Budget  time.Duration `json:"budget"`
	Outcome Outcome       `json:"outcome"`
	// Serial tells a service's roll-outs apart and grows from one to the next.
	Serial uint64 `json:"serial"`
}

// Tally counts the answers of one endpoint to one kind of request, as one entry host saw them during a
// roll-out.
type Tally struct {
	Serial   uint64
	Version  string
	Endpoint string
	// Kind is the route and the model: answers of unlike models can't be compared.
	Kind    string
	Answers int
	// Failures are answers with a server error, and runs that broke off.
	Failures int
	// Wait is the sum of the times to the start of each answer.
	Wait time.Duration
}

// Key tells tallies of one entry host apart.
func (t Tally) Key() string {
	return strings.Join([]string{t.Version, t.Endpoint, t.Kind}, "\x00")
}

// Plan is the part of a service's traffic that the target gets.
type Plan struct {
	// Fresh is for requests without a session, Bound for those with one.
	Fresh float64
	Bound float64
}

// View is a roll-out with its plan, as entry hosts need it.
type View struct {
	Rollout
	Plan Plan
	// Elapsed is the time since the order, as far as the control host knows.
	Elapsed time.Duration
}

const (
	// freshPart is the part of the exposure bound that requests without a session may use while sessions stay.
	freshPart = 0.2
	// trialPart is the same for all requests from moveFrom until traffic moves.
	trialPart = 0.8
	// moveFrom is the part of the time budget from which sessions may move too.
	moveFrom = 0.5
	// rampFrom and rampTo bound the move of all traffic, and doneAfter is when a good version takes over for
	// good: each as a part of the time before the budget ends, in units of the exposure bound. What the target
	// gets on trial and after rampFrom stays within the bound, also where it shows nothing.
	rampFrom  = 0.6
	rampTo    = 0.4
	doneAfter = 0.18
	// enough is how many answers of the target speak for it.
	enough = 30
	// minAnswers and minFailures are needed before a rate of failures counts.
	minAnswers  = 6
	minFailures = 4
	// excessRate is how far the target's rate of failures may lie above three times that of the others, and
	// excessFailures how many failures more.
	excessRate     = 0.04
	excessFailures = 2.5
	// doubtPart of this excess holds the end of a roll-out back.
	doubtPart = 0.5
	// slowRatio is how many times slower than others a version may answer.
	slowRatio = 2.6
	// slowSlack is added to the wait that still counts as normal.
	slowSlack = 50 * time.Millisecond
	// soleFailures are needed where answers of one endpoint only were seen.
	soleFailures = 16
	// trimmed is how many of the target's endpoints with the worst answers are left out, at most half of
	// them, since a fault of one endpoint says nothing of its version.
	trimmed = 2
)

// sum adds up tallies.
type sum struct {
	answers  int
	failures int
	wait     time.Duration
}

func (s sum) with(t Tally) sum {
	s.answers += t.Answers
	s.failures += t.Failures
	s.wait += t.Wait
	return s
}

func (s sum) rate() float64 {
	if s.answers == 0 {
		return 0
	}
	return float64(s.failures) / float64(s.answers)
}

func (s sum) mean() time.Duration {
	if s.answers == 0 {
		return 0
	}
	return s.wait / time.Duration(s.answers)
}

// Evidence is what all hosts saw of a target and of the other versions.
type Evidence struct {
	target  map[string]map[string]sum
	others  map[string]sum
	answers int
}

// Gather sorts the tallies of a roll-out.
func Gather(r Rollout, tallies []Tally) Evidence {
	e := Evidence{target: map[string]map[string]sum{}, others: map[string]sum{}}
	for _, t := range tallies {
		switch {
		case t.Serial != r.Serial:
		case t.Version == r.Target:
			if e.target[t.Kind] == nil {
				e.target[t.Kind] = map[string]sum{}
			}
			e.target[t.Kind][t.Endpoint] = e.target[t.Kind][t.Endpoint].with(t)
			e.answers += t.Answers
		default:
			e.others[t.Kind] = e.others[t.Kind].with(t)
		}
	}
	return e
}

// Answers is how many answers of the target were seen.
func (e Evidence) Answers() int { return e.answers }

// Bad says why the target is worse than the other versions, or returns an empty text.
func (e Evidence) Bad() string {
	f := e.faulty()
	for r, m := range e.target {
		if w := worse(trusted(m, f), e.others[r]); w != "" {
			return w + " for " + r
		}
	}
	if failing(e.totals(), 1) {
		return "fails more often than the others"
	}
	return ""
}

// doubtful says whether the target fails a little more often than the others, so that more answers are needed.
func (e Evidence) doubtful() bool { return failing(e.totals(), doubtPart) }

// pair holds answers of the target and of the other versions to the same kinds of request.
type pair struct {
	target sum
	others sum
}

// totals adds up all kinds of request.
func (e Evidence) totals() pair {
	var t, o []sum
	f := e.faulty()
	for r, m := range e.target {
		t, o = append(t, trusted(m, f)), append(o, e.others[r])
	}
	return pair{total(t), total(o)}
}

// faulty returns the target's endpoints that failed most over all kinds of request, whose faults may be their
// own.
func (e Evidence) faulty() []string {
	f := map[string]int{}
	for _, m := range e.target {
		for n, s := range m {
			f[n] += s.failures
		}
	}
	v := slices.SortedFunc(maps.Keys(f), func(a, b string) int { return cmp.Or(f[b]-f[a], strings.Compare(a, b)) })
	return v[:min(trimmed, len(v)/2)]
}

// trusted adds up the endpoints without those named. Few failures of a sole endpoint may be its own.
func trusted(m map[string]sum, without []string) sum {
	var v []sum
	for n, s := range m {
		if !slices.Contains(without, n) {
			v = append(v, s)
		}
	}
	t := total(v)
	if len(m) == 1 && t.failures < soleFailures {
		t.failures = 0
	}
	return t
}

func total(v []sum) sum {
	var t sum
	for _, s := range v {
		t = sum{t.answers + s.answers, t.failures + s.failures, t.wait + s.wait}
	}
	return t
}

func worse(t, o sum) string {
	if failing(pair{t, o}, 1) {
		return "fails more often than the others"
	}
	if t.answers >= minAnswers && o.answers >= minAnswers && t.mean() > time.Duration(slowRatio*float64(o.mean()))+slowSlack {
		return "answers more slowly than the others"
	}
	return ""
}

// failing says whether the target fails more often by a part of the excess that makes a version bad.
func failing(p pair, part float64) bool {
	t := p.target
	x := part * (excessRate + excessFailures/float64(max(t.answers, 1)))
	return t.answers >= minAnswers && t.failures >= minFailures && t.rate() > 3*p.others.rate()+x
}

// Traffic returns the plan of a running roll-out. exposure is the bound on the part of requests that an
// unproved version may get; elapsed is the time since the order.
func Traffic(r Rollout, elapsed time.Duration, exposure float64, e Evidence) Plan {
	switch r.Outcome {
	case Done:
		return Plan{Fresh: 1, Bound: 1}
	case RolledBack:
		return Plan{}
	}
	if e.Bad() != "" {
		return Plan{}
	}
	f := passed(r, elapsed)
	if f < moveFrom {
		return Plan{Fresh: freshPart * exposure}
	}
	t := trialPart * exposure
	if e.answers < enough {
		return Plan{Fresh: t, Bound: t}
	}
	a, b := 1-rampFrom*exposure, 1-rampTo*exposure
	p := t + (1-t)*max(0, min(1, (f-a)/(b-a)))
	return Plan{Fresh: p, Bound: p}
}

// passed is the part of a roll-out's time budget that is over.
func passed(r Rollout, elapsed time.Duration) float64 {
	return float64(elapsed) / float64(max(r.Budget, time.Second))
}

// Fleet counts the endpoints that a roll-out could use.
type Fleet struct {
	Target int
	Others int
}

// Decide returns how a running roll-out should end now and why; ended is false while it goes on. exposure is
// the bound that Traffic goes by.
func Decide(r Rollout, elapsed time.Duration, exposure float64, e Evidence, f Fleet) (o Outcome, why string, ended bool) {
	if w := e.Bad(); w != "" {
		return RolledBack, w, true
	}
	p := passed(r, elapsed)
	k := f.Target > 0 && 2*f.Target >= f.Others
	switch {
	case p >= 1-doneAfter*exposure && k && e.answers >= enough && !e.doubtful():
		return Done, "answers as well as the others", true
	case p >= 1 && k:
		return Done, "nothing speaks against it", true
	case p >= 1 && f.Target == 0:
		return RolledBack, "no endpoint of the version came", true
	}
	return Running, "", false
}
