// Package canary holds the staged roll-out of a version: how much of a service's traffic the new version gets
// while evidence is gathered, and when the roll-out ends. All functions are pure.
package canary

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
	// Wait is the sum of the times to the start of each answer, and Expected that of the estimates for a sound
	// endpoint under its load.
	Wait     time.Duration
	Expected time.Duration
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
	// sessionlessShare is the part of the exposure bound that requests without a session may use while sessions stay.
	sessionlessShare = 0.2
	// trialShare is the same for all requests from moveFrom until traffic moves.
	trialShare = 0.8
	// sessionsFrom is the part of the time budget from which sessions may move too.
	sessionsFrom = 0.5
	// rampFrom and rampTo bound the move of all traffic, and doneAfter is when a good version takes over for
	// good: each as a part of the time before the budget ends, in units of the exposure bound. What the target
	// gets on trial and after rampFrom stays within the bound, also where it shows nothing.
	rampFrom     = 0.6
	rampTo       = 0.4
	promoteAfter = 0.18
	// minEvidence is how many answers of the target speak for it.
	minEvidence = 30
	// minAnswers and minFailures are needed before a rate of failures counts.
	minAnswers  = 6
	minFailures = 4
	// excessRate is how far the target's rate of failures may lie above three times that of the others, and
	// excessFailures how many failures more.
	excessRate     = 0.04
	excessFailures = 2.5
	// doubtShare of this excess holds the end of a roll-out back.
	doubtShare = 0.5
	// maxKindSlowdown is how many times slower than others, each against its estimates, a version may answer one kind
	// of request, and slowRatioAll all of them, from slowAnswers answers on.
	maxKindSlowdown    = 2.6
	maxOverallSlowdown = 1.6
	minSlowAnswers     = 24
	// slowSlack is added to the mean wait that still counts as normal.
	slowSlack = 25 * time.Millisecond
	// minSoleEndpointFailures are needed where answers of one endpoint only were seen.
	minSoleEndpointFailures = 16
	// maxTrimmed is how many of the target's endpoints with the worst answers are left out, at most half of
	// them, since a fault of one endpoint says nothing of its version.
	maxTrimmed = 2
)

// counts adds up tallies.
type counts struct {
	answers  int
	failures int
	wait     time.Duration
	expected time.Duration
}

func (s counts) withTally(t Tally) counts {
	s.answers += t.Answers
	s.failures += t.Failures
	s.wait += t.Wait
	s.expected += t.Expected
	return s
}

func (s counts) plus(o counts) counts {
	return counts{s.answers + o.answers, s.failures + o.failures, s.wait + o.wait, s.expected + o.expected}
}

func (s counts) failureRate() float64 {
	if s.answers == 0 {
		return 0
	}
	return float64(s.failures) / float64(s.answers)
}

func (s counts) failureScore() float64 { return float64(s.failures) }

// slowdown is the wait as a multiple of the estimates.
func (s counts) slowdown() float64 {
	if s.expected == 0 {
		return 0
	}
	return float64(s.wait) / float64(s.expected)
}

// Evidence is what all hosts saw of a target and of the other versions.
type Evidence struct {
	target  map[string]map[string]counts
	others  map[string]counts
	answers int
}

// Gather sorts the tallies of a roll-out.
func Gather(r Rollout, tallies []Tally) Evidence {
	e := Evidence{target: map[string]map[string]counts{}, others: map[string]counts{}}
	for _, t := range tallies {
		switch {
		case t.Serial != r.Serial:
		case t.Version == r.Target:
			if e.target[t.Kind] == nil {
				e.target[t.Kind] = map[string]counts{}
			}
			e.target[t.Kind][t.Endpoint] = e.target[t.Kind][t.Endpoint].withTally(t)
			e.answers += t.Answers
		default:
			e.others[t.Kind] = e.others[t.Kind].withTally(t)
		}
	}
	return e
}

// Answers is how many answers of the target were seen.
func (e Evidence) Answers() int { return e.answers }

// Regression says why the target is worse than the other versions, or returns an empty text.
func (e Evidence) Regression() string {
	f, w := e.worstEndpoints(counts.failureScore), e.worstEndpoints(counts.slowdown)
	for r, m := range e.target {
		o := e.others[r]
		switch {
		case failsMore(comparison{sumWithout(m, f), o}, 1):
			return "fails more often than the others for " + r
		case isSlower(comparison{sumWithout(m, w), o}, maxKindSlowdown, minAnswers):
			return "answers more slowly than the others for " + r
		}
	}
	switch {
	case failsMore(e.totalsWithout(f), 1):
		return "fails more often than the others"
	case isSlower(e.totalsWithout(w), maxOverallSlowdown, minSlowAnswers):
		return "answers more slowly than the others"
	}
	return ""
}

// doubtful says whether the target fails a little more often than the others, so that more answers are needed.
func (e Evidence) doubtful() bool {
	return failsMore(e.totalsWithout(e.worstEndpoints(counts.failureScore)), doubtShare)
}

// comparison holds answers of the target and of the other versions to the same kinds of request.
type comparison struct {
	target counts
	others counts
}

// totalsWithout adds up all kinds of request, without the target's endpoints named.
func (e Evidence) totalsWithout(without []string) comparison {
	var t, o []counts
	for r, m := range e.target {
		t, o = append(t, sumWithout(m, without)), append(o, e.others[r])
	}
	return comparison{sumAll(t), sumAll(o)}
}

// worstEndpoints returns the target's endpoints with the highest score over all kinds of request, whose faults may be
// their own.
func (e Evidence) worstEndpoints(score func(counts) float64) []string {
	f := map[string]counts{}
	for _, m := range e.target {
		for n, s := range m {
			f[n] = f[n].plus(s)
		}
	}
	v := slices.SortedFunc(maps.Keys(f), func(a, b string) int {
		return cmp.Or(cmp.Compare(score(f[b]), score(f[a])), strings.Compare(a, b))
	})
	return v[:min(maxTrimmed, len(v)/2)]
}

// sumWithout adds up the endpoints without those named. Few failures of a sole endpoint may be its own.
func sumWithout(m map[string]counts, without []string) counts {
	var v []counts
	for n, s := range m {
		if !slices.Contains(without, n) {
			v = append(v, s)
		}
	}
	t := sumAll(v)
	if len(m) == 1 && t.failures < minSoleEndpointFailures {
		t.failures = 0
	}
	return t
}

func sumAll(v []counts) counts {
	var t counts
	for _, s := range v {
		t = t.plus(s)
	}
	return t
}

// isSlower says whether the target takes longer than the others, each against its estimates, by more than a ratio.
func isSlower(p comparison, ratio float64, answers int) bool {
	t, o := p.target, p.others
	if t.answers < answers || o.answers < answers || t.expected == 0 || o.expected == 0 {
		return false
	}
	return float64(t.wait) > ratio*o.slowdown()*float64(t.expected)+float64(slowSlack)*float64(t.answers)
}

// failsMore says whether the target fails more often by a part of the excess that makes a version bad.
func failsMore(p comparison, part float64) bool {
	t := p.target
	x := part * (excessRate + excessFailures/float64(max(t.answers, 1)))
	return t.answers >= minAnswers && t.failures >= minFailures && t.failureRate() > 3*p.others.failureRate()+x
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
	if e.Regression() != "" {
		return Plan{}
	}
	f := elapsedShare(r, elapsed)
	if f < sessionsFrom {
		return Plan{Fresh: sessionlessShare * exposure}
	}
	t := trialShare * exposure
	if e.answers < minEvidence {
		return Plan{Fresh: t, Bound: t}
	}
	a, b := 1-rampFrom*exposure, 1-rampTo*exposure
	p := t + (1-t)*max(0, min(1, (f-a)/(b-a)))
	return Plan{Fresh: p, Bound: p}
}

// elapsedShare is the part of a roll-out's time budget that is over.
func elapsedShare(r Rollout, elapsed time.Duration) float64 {
	return float64(elapsed) / float64(max(r.Budget, time.Second))
}

// EndpointCounts counts the endpoints that a roll-out could use.
type EndpointCounts struct {
	Target int
	Others int
}

// Decide returns how a running roll-out should end now and why; ended is false while it goes on. exposure is
// the bound that Traffic goes by.
func Decide(r Rollout, elapsed time.Duration, exposure float64, e Evidence, f EndpointCounts) (o Outcome, why string, ended bool) {
	if w := e.Regression(); w != "" {
		return RolledBack, w, true
	}
	p := elapsedShare(r, elapsed)
	k := f.Target > 0 && 2*f.Target >= f.Others
	switch {
	case p >= 1-promoteAfter*exposure && k && e.answers >= minEvidence && !e.doubtful():
		return Done, "answers as well as the others", true
	case p >= 1 && k:
		return Done, "nothing speaks against it", true
	case p >= 1 && f.Target == 0:
		return RolledBack, "no endpoint of the version came", true
	}
	return Running, "", false
}
