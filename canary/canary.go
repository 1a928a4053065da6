// Package canary implements the staged rollout of a version: the traffic share of the new version while evidence
// is gathered, and the decision to promote the version or roll it back. All functions are pure.
package canary

import (
	"math"
	"slices"
	"time"
)

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
	// Rejected holds the earlier targets that were rolled back, or replaced before they were promoted, since the last
	// promotion. They get no requests.
	Rejected []string `json:"rejected,omitempty"`
}

// After returns the rollout as the next one after o, the newest rollout of the service so far.
func (r Rollout) After(o Rollout) Rollout {
	r.Rejected = nil
	if o.Outcome != Done {
		r.Rejected = slices.DeleteFunc(append(slices.Clone(o.Rejected), o.Target), func(v string) bool { return v == r.Target })
	}
	return r
}

// MayRun reports whether an endpoint with a version may get requests of the service.
func (r Rollout) MayRun(version string) bool { return !slices.Contains(r.Rejected, version) }

// Plan is the share of a service's traffic that goes to the target, from 0 to 1.
type Plan struct {
	// Fresh is the share for requests without a session, and Bound the share for requests of a session. Neither falls while
	// the rollout runs, unless the target turns out to be bad.
	Fresh float64
	Bound float64
	// Extra is added to Fresh for the kinds of request that it names. It rises and falls with what the trial has used.
	Extra map[string]float64
}

// Share returns the target's share of the requests of a kind that belong to a session or not.
func (p Plan) Share(kind string, inSession bool) float64 {
	if inSession {
		return p.Bound
	}
	return min(1, p.Fresh+p.Extra[kind])
}

// Exposure bounds the requests that an unproven version gets within the time budget of its rollout: Share, from 0 to 1,
// of all requests to the service, and Slack more.
type Exposure struct {
	Share float64
	Slack float64
}

// View is a rollout with its plan, as control hosts send it to entry hosts.
type View struct {
	Rollout
	Plan Plan
	// Proven is set while the rollout runs if the evidence for the target is good enough to promote it. Control hosts of older builds leave
	// it out.
	Proven bool
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
	// slackShare is the share of Exposure.Slack that the trial may use.
	slackShare = 0.85
	// safeShare is the share of Exposure.Slack that may be used at all, since the number of requests is estimated.
	safeShare = 0.9
	// countDelay is how long a request to the target may not be counted yet.
	countDelay = 700 * time.Millisecond
	// trialHorizon is the time for which a plan is made: the delay until its requests are counted.
	trialHorizon = time.Second
	// maxExtra bounds each value of Plan.Extra.
	maxExtra = 0.5
	// Traffic moves to the target below rampOdds; above, undecidedShare is used in place of the ramp, so that both sides
	// give evidence.
	rampOdds       = 0.05
	undecidedShare = 0.5
	// A target is promoted below promoteOdds and rolled back above rollBackOdds. Promotion waits longer, since no old
	// endpoint is left after it. From badAnswers unexpected bad answers on, or lastDecision time budgets after the order,
	// even odds decide.
	promoteOdds  = 0.007
	rollBackOdds = 50
	badAnswers   = 25
	lastDecision = 2
	// sureRollBackOdds replaces rollBackOdds once the trial is over, if sureAnswers answers of the other versions tell the
	// usual rates of bad answers well.
	sureRollBackOdds = 10
	sureAnswers      = 1000
	// minTraffic is the number of answers of all versions within the budget below which a promotion at its end can't do
	// much harm, and more evidence isn't to be expected.
	minTraffic = 30
	// muteAnswers is the number of answers of the other versions from which a target that has given none isn't taken for one
	// that got no request by chance.
	muteAnswers = 100
)

// Assessment sums up the evidence about a running rollout.
type Assessment struct {
	// LogOdds is the logarithm of the odds that the target is bad.
	LogOdds float64
	// Suspicion says what the target is most probably bad at, if it is bad.
	Suspicion string
	// Unexpected is the number of bad answers of the target beyond what the rate of the other versions gives, without the
	// worst of several endpoints.
	Unexpected float64
	// Answers and Bad count the answers of the target, and those of them that failed or were slow. OtherAnswers and
	// OtherBad count those of the other versions.
	Answers, Bad           int
	OtherAnswers, OtherBad int
	// Exposed is the number of requests that the target has got as far as is known: its answers, and the requests whose
	// callers left early.
	Exposed int
	// Kinds holds the counts of the target and of the other versions by kind of request.
	Kinds map[string]KindCounts
	// Needs tells by kind of request how much more of it than of the average the trial needs: kinds that are rare, or
	// that fail often anyway, tell less about the target.
	Needs map[string]float64
}

// KindCounts compares the answers of the target with those of the other versions to one kind of request.
type KindCounts struct {
	Target Counts
	Others Counts
}

// Assess weighs the tallies that belong to a rollout and ignores the others.
func Assess(r Rollout, tallies []Tally) Assessment {
	e := gather(r, tallies)
	l, w := e.logOdds()
	t, o := e.totals()
	return Assessment{
		LogOdds: l, Suspicion: w.String(),
		Answers: t.Answers, Bad: t.Failures + t.Slow, OtherAnswers: o.Answers, OtherBad: o.Failures + o.Slow, Exposed: t.Answers + t.Left,
		Unexpected: e.unexpected(), Kinds: e.kinds, Needs: e.needs(),
	}
}

// odds returns the odds that the target is bad.
func (a Assessment) odds() float64 { return math.Exp(a.LogOdds) }

// IsProven reports whether the evidence for a target is good enough to promote it.
func (a Assessment) IsProven() bool { return a.Answers > 0 && a.odds() < promoteOdds }

// Traffic returns the plan of a rollout. elapsed is the time since the rollout was ordered.
func Traffic(r Rollout, elapsed time.Duration, x Exposure, a Assessment) Plan {
	switch r.Outcome {
	case Done:
		return Plan{Fresh: 1, Bound: 1}
	case RolledBack:
		return Plan{}
	}
	if a.odds() > rollBackOdds {
		return Plan{}
	}
	f := elapsedShare(r, elapsed)
	p := ramp(r, f, x, a)
	p.Extra = extra(r, elapsed, x, a, p.Fresh)
	return p
}

// ramp returns the part of the plan that follows from the share of the time budget that has passed. A target that
// is still in doubt gets undecidedShare at the end, and one without answers only after the budget.
func ramp(r Rollout, f float64, x Exposure, a Assessment) Plan {
	if f < sessionsFrom {
		return Plan{Fresh: sessionlessShare * x.Share}
	}
	t := trialShare * x.Share
	b, c := 1-rampFrom*x.Share, 1-rampTo*x.Share
	switch {
	case f < b || f < 1 && a.Answers == 0:
		return Plan{Fresh: t, Bound: t}
	case a.odds() > rampOdds:
		t = min(undecidedShare, max(t, affordable(r, f, x, a)))
		return Plan{Fresh: t, Bound: t}
	}
	p := t + (1-t)*max(0, min(1, (f-b)/(c-b)))
	p = min(p, max(t, affordable(r, f, x, a)))
	return Plan{Fresh: p, Bound: p}
}

// affordable returns the share of the requests until the end of the time budget with which the target stays within the
// exposure bound. It exceeds 1 where all of them are allowed.
func affordable(r Rollout, f float64, x Exposure, a Assessment) float64 {
	n := float64(a.Answers+a.OtherAnswers) / f
	if n == 0 || f >= 1 {
		return 1
	}
	u := n * elapsedShare(r, countDelay)
	return (x.Share*n + safeShare*x.Slack - u - float64(a.Exposed)) / (n * (1 - f))
}

// extra returns the share that requests without a session may use on top of fresh, so that the trial uses the slack of the
// exposure bound evenly until the ramp, and what the requests of sessions leave. It is divided by Assessment.Needs. Nothing
// is added once the evidence is enough.
func extra(r Rollout, elapsed time.Duration, x Exposure, a Assessment, fresh float64) map[string]float64 {
	if elapsed < trialHorizon || a.Answers+a.OtherAnswers == 0 || a.odds() < promoteOdds {
		return nil
	}
	n := float64(a.Answers + a.OtherAnswers)
	u := elapsedShare(r, elapsed+trialHorizon)
	b := 1 - rampFrom*x.Share
	s := slackShare * x.Slack * min(1, u/b)
	s += trialUse(u) * x.Share * n / elapsedShare(r, elapsed)
	d := n * float64(trialHorizon) / float64(elapsed)
	e := (s-float64(a.Exposed))/d - fresh
	if e <= 0 {
		return nil
	}
	m := map[string]float64{}
	for k, v := range a.Needs {
		m[k] = min(maxExtra, e*v)
	}
	return m
}

// trialUse returns the part of the exposure bound that the plan of ramp uses until a share of the time budget.
func trialUse(f float64) float64 {
	return sessionlessShare*min(f, sessionsFrom) + trialShare*max(0, f-sessionsFrom)
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

// Decide returns the outcome of a running rollout and the reason. ended is false while the rollout goes on. A rollout
// without enough evidence goes on after its time budget.
func Decide(r Rollout, elapsed time.Duration, x Exposure, a Assessment, n EndpointCounts) (o Outcome, reason string, ended bool) {
	p := elapsedShare(r, elapsed)
	k := n.Target > 0 && 2*n.Target >= n.Others
	switch {
	case a.speaksAgainst(p, x):
		return RolledBack, "the target is probably bad: " + a.Suspicion, true
	case p >= 1-promoteAfter*x.Share && k && a.odds() < promoteOdds && affordable(r, p, x, a) >= 1:
		return Done, "answers as well as the others", true
	case k && a.isQuiet(p):
		return Done, "too few requests to tell the versions apart", true
	case p >= lastDecision && k && a.Answers > 0:
		return Done, "nothing speaks against it", true
	case p >= lastDecision && k && a.OtherAnswers >= muteAnswers:
		return RolledBack, "no endpoint of the version has answered a request", true
	case p >= 1 && n.Target == 0:
		return RolledBack, "no endpoint of the version came", true
	}
	return Running, "", false
}

// speaksAgainst reports whether the target is to be rolled back once a share p of the time budget has passed.
func (a Assessment) speaksAgainst(p float64, x Exposure) bool {
	d := a.odds()
	switch {
	case a.Unexpected >= badAnswers || p >= lastDecision || a.isQuiet(p):
		return d > 1
	case p >= 1-promoteAfter*x.Share && a.OtherAnswers >= sureAnswers:
		return d > sureRollBackOdds
	}
	return d > rollBackOdds
}

// isQuiet reports whether the time budget has passed with too few requests to expect more evidence.
func (a Assessment) isQuiet(p float64) bool { return p >= 1 && a.Answers+a.OtherAnswers < minTraffic }
