package gate

import (
	"context"
	"time"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/route"
)

// judgeTimeout bounds the wait for the rating of an answer that is held back.
const judgeTimeout = time.Second

// mayJudge reports whether the request may be run again on another version: neither it nor its session
// names one, it hasn't been escalated yet, and it may run more than once.
func (j *job) mayJudge(once bool) bool {
	return !once && j.x.version == "" && j.x.session.Version == "" && len(j.ask.ExcludeVersions) == 0
}

// judge decides whether a finished answer is delivered. Answers of classes that want it, and those of
// versions in doubt, are rated first.
func (j *job) judge(ctx context.Context, answer string) route.Verdict {
	s := route.Subject{Version: j.decision.Version, Class: j.decision.Terms.Class}
	e := j.gate.router.State().Routes.Evidence
	if !j.decision.Terms.Judge && e.Stat(s).Health == route.Healthy {
		return route.Deliver
	}
	c, f := context.WithTimeout(ctx, judgeTimeout)
	defer f()
	v, err := j.gate.raters.rate(c, j.sample(answer))
	if err == nil {
		j.judged = true
		j.gate.router.Rate(route.Rating{Kind: route.Quality, Version: s.Version, Class: s.Class, Value: v})
	}
	return j.gate.router.State().Routes.Evidence.Judge(s, j.decision.Terms.Quality, v, err == nil)
}

// escalate gets a decision for another version after an answer was judged too low. The answer stands
// where no other version may run the request.
func (j *job) escalate(ctx context.Context) bool {
	o, v := j.decision, j.decision.Version
	j.finish(ending{kind: core.EndedWell, started: true})
	j.ask.ExcludeVersions = append(j.ask.ExcludeVersions, v)
	j.exclude = nil
	j.other = true
	f := j.decide(ctx)
	j.other = false
	if f != nil {
		j.decision = o
		return false
	}
	j.judged = false
	j.usage = model.Usage{}
	j.gate.metrics.GetOrCreateCounter(`hickoryshelf_escalations_total{version="` + v + `"}`).Inc()
	j.gate.log.WithField("request", j.x.id).WithField("from", v).WithField("to", j.decision.Version).
		Info("gate: an answer was judged too low, another version runs the request")
	return true
}
