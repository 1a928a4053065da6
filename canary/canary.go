// Package canary implements the staged rollout of a version: the traffic share of the new version while evidence
// is gathered, and the decision to promote the version or roll it back. All functions are pure.
package canary

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

//go:generate go tool stringer -type=Outcome -linecomment -output=enum_string.go

// Outcome is the state of a rollout.
type Outcome int

// Outcomes of rollouts.
const (
	Running    Outcome = iota // running
	Done                      // done
	RolledBack                // rolled-back
)

// Rollout moves the traffic of a service to a target version.
type Rollout struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Budget is the time within which a good version has to be promoted.
	Budget  time.Duration `json:"budget"`
	Outcome Outcome       `json:"outcome"`
	// Serial identifies a rollout of a service and grows from one rollout to the next.
	Serial uint64 `json:"serial"`
}

// Tally counts the answers of one endpoint to one kind of request, as one entry host saw them during a rollout.
type Tally struct {
	Serial   uint64
	Version  string
	Endpoint string
	// Kind is the route and the model, since answers of different models are not comparable.
	Kind    string
	Answers int
	// Failures counts answers with a server error, and requests that broke off while they ran.
	Failures int
	// Wait is the sum of the times to the start of each answer. Expected is the sum of the estimates of these times
	// for a healthy endpoint under the same load.
	Wait     time.Duration
	Expected time.Duration
}

// Key returns the key of the tally among the tallies of one entry host for one rollout.
func (t Tally) Key() string {
	return strings.Join([]string{t.Version, t.Endpoint, t.Kind}, "\x00")
}

// Plan is the share of a service's traffic that goes to the target, from 0 to 1.
type Plan struct {
	// Fresh is the share for requests without a session, and Bound the share for requests of a session.
	Fresh float64
	Bound float64
}

// View is a rollout with its plan, as control hosts send it to entry hosts.
type View struct {
	Rollout
	Plan Plan
	// Elapsed is the time since the rollout was ordered, as far as the control host knows.
	Elapsed time.Duration
}

const (
	// sessionlessShare is the share of the exposure bound that requests without a session may use while sessions
	// stay on the old version.
	sessionlessShare = 0.2
	// trialShare is the share of the exposure bound that all requests may use from sessionsFrom until the ramp.
	trialShare = 0.8
	// sessionsFrom is the share of the time budget after which sessions may move to the target too.
	sessionsFrom = 0.5
	// The ramp moves all traffic to the target, and promoteAfter is the earliest time at which a good version is
	// promoted. rampFrom, rampTo and promoteAfter are times before the end of the budget, as shares of the budget
	// divided by the exposure bound. With these values the requests that the target gets on trial and after
	// rampFrom stay within the bound, even if nothing shows that the target is bad.
	rampFrom     = 0.6
	rampTo       = 0.4
	promoteAfter = 0.18
	// minEvidence is the number of answers of the target that is needed to ramp up traffic and to promote before
	// the budget ends.
	minEvidence = 30
	// minAnswers and minFailures are the numbers of answers and failures below which a failure rate is ignored.
	minAnswers  = 6
	minFailures = 4
	// A target is bad if its failure rate exceeds three times the rate of the other versions by excessRate plus
	// excessFailures divided by the number of its answers.
	excessRate     = 0.04
	excessFailures = 2.5
	// doubtShare is the share of this excess that delays promotion.
	doubtShare = 0.5
	// Slowdown is the wait divided by the estimates. A target is too slow if its slowdown exceeds the slowdown of
	// the other versions by the factor maxKindSlowdown for one kind of request, or by the factor maxOverallSlowdown
	// for all kinds together. The second rule needs minSlowAnswers answers.
	maxKindSlowdown    = 2.6
	maxOverallSlowdown = 1.6
	minSlowAnswers     = 24
	// slowSlack is the extra mean wait per answer that is tolerated on top of the ratio.
	slowSlack = 25 * time.Millisecond
	// minSoleEndpointFailures is the number of failures below which failures are ignored if only one endpoint
	// answered.
	minSoleEndpointFailures = 16
	// maxTrimmed is the number of the target's worst endpoints that are left out of the comparison, up to half of
	// its endpoints, since a fault of a single endpoint doesn't show that the version is bad.
	maxTrimmed = 2
)

// counts is a sum of tallies.
type counts struct {
	answers  int
	failures int
	wait     time.Duration
	expected time.Duration
}

func (c counts) withTally(t Tally) counts {
	c.answers += t.Answers
	c.failures += t.Failures
	c.wait += t.Wait
	c.expected += t.Expected
	return c
}

func (c counts) plus(o counts) counts {
	return counts{c.answers + o.answers, c.failures + o.failures, c.wait + o.wait, c.expected + o.expected}
}

func (c counts) failureRate() float64 {
	if c.answers == 0 {
		return 0
	}
	return float64(c.failures) / float64(c.answers)
}

// failureScore returns the number of failures, by which endpoints are ranked.
func (c counts) failureScore() float64 { return float64(c.failures) }

// slowdown returns the wait divided by the estimates, or 0 if there are none.
func (c counts) slowdown() float64 {
	if c.expected == 0 {
		return 0
	}
	return float64(c.wait) / float64(c.expected)
}

// Evidence holds the results of all entry hosts for the target and for the other versions.
type Evidence struct {
	// target is keyed by kind of request and then by endpoint; others is keyed by kind.
	target map[string]map[string]counts
	others map[string]counts
	// answers is the number of answers of the target.
	answers int
}

// Gather sums up the tallies that belong to a rollout and ignores the others.
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

// Answers returns the number of answers of the target.
func (e Evidence) Answers() int { return e.answers }

// Regression returns the reason why the target is worse than the other versions, or an empty string if it isn't.
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

// doubtful reports whether the target fails somewhat more often than the others, so that more answers are needed.
func (e Evidence) doubtful() bool {
	return failsMore(e.totalsWithout(e.worstEndpoints(counts.failureScore)), doubtShare)
}

// comparison holds the results of the target and of the other versions for the same kinds of request.
type comparison struct {
	target counts
	others counts
}

// totalsWithout sums up all kinds of request and leaves out the given endpoints of the target.
func (e Evidence) totalsWithout(without []string) comparison {
	var t, o []counts
	for r, m := range e.target {
		t, o = append(t, sumWithout(m, without)), append(o, e.others[r])
	}
	return comparison{sumAll(t), sumAll(o)}
}

// worstEndpoints returns the endpoints of the target with the highest scores over all kinds of request. Their
// faults may be their own rather than the version's.
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

// sumWithout sums up the results of endpoints other than the given ones. If m has a single endpoint, fewer than
// minSoleEndpointFailures failures are ignored, since they may be the endpoint's own.
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

// isSlower reports whether the target's slowdown exceeds the slowdown of the others by more than ratio, after
// slowSlack is allowed for. It returns false if either side has fewer than the given number of answers.
func isSlower(c comparison, ratio float64, answers int) bool {
	t, o := c.target, c.others
	if t.answers < answers || o.answers < answers || t.expected == 0 || o.expected == 0 {
		return false
	}
	return float64(t.wait) > ratio*o.slowdown()*float64(t.expected)+float64(slowSlack)*float64(t.answers)
}

// failsMore reports whether the target's failure rate exceeds three times the others' failure rate by more than the
// allowed excess (see excessRate). part scales this excess. It returns false below minAnswers or minFailures.
func failsMore(c comparison, part float64) bool {
	t := c.target
	x := part * (excessRate + excessFailures/float64(max(t.answers, 1)))
	return t.answers >= minAnswers && t.failures >= minFailures && t.failureRate() > 3*c.others.failureRate()+x
}

// Traffic returns the plan of a rollout. exposure is the exposure bound: the largest share of requests that an
// unproven version may get. elapsed is the time since the rollout was ordered.
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

// elapsedShare returns the share of a rollout's time budget that has passed; it exceeds 1 after the budget.
func elapsedShare(r Rollout, elapsed time.Duration) float64 {
	return float64(elapsed) / float64(max(r.Budget, time.Second))
}

// EndpointCounts holds the number of available endpoints of the target and of the other versions.
type EndpointCounts struct {
	Target int
	Others int
}

// Decide returns the outcome of a running rollout and the reason. ended is false while the rollout goes on.
// exposure is the bound that is passed to Traffic.
func Decide(r Rollout, elapsed time.Duration, exposure float64, e Evidence, n EndpointCounts) (o Outcome, reason string, ended bool) {
	if w := e.Regression(); w != "" {
		return RolledBack, w, true
	}
	p := elapsedShare(r, elapsed)
	k := n.Target > 0 && 2*n.Target >= n.Others
	switch {
	case p >= 1-promoteAfter*exposure && k && e.answers >= minEvidence && !e.doubtful():
		return Done, "answers as well as the others", true
	case p >= 1 && k:
		return Done, "nothing speaks against it", true
	case p >= 1 && n.Target == 0:
		return RolledBack, "no endpoint of the version came", true
	}
	return Running, "", false
}
