package gate

import (
	"context"
	"time"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/route"
)

// heldAnswerRatingTimeout bounds the wait for the rating of an answer that is held back until it is rated.
const heldAnswerRatingTimeout = time.Second

// mayEscalate reports whether the request may be run again on another version: neither the request nor its
// session names a version, the request hasn't been escalated yet, and it may run more than once.
func (j *job) mayEscalate(atMostOnce bool) bool {
	return !atMostOnce && j.request.version == "" && j.request.session.Version == "" && len(j.routeRequest.ExcludeVersions) == 0
}

// judgeAnswer decides whether a finished answer is delivered or escalated. The answer is rated first if its
// class asks for that or if its version is suspect or quarantined; otherwise the answer is delivered.
// If no rating arrives within heldAnswerRatingTimeout, the version's earlier ratings decide.
func (j *job) judgeAnswer(ctx context.Context, answer string) route.Verdict {
	s := route.Subject{Version: j.decision.Version, Class: j.decision.Terms.Class}
	e := j.gate.router.State().Routes.Evidence
	if !j.decision.Terms.Judge && e.Stat(s).Health == route.Healthy {
		return route.Deliver
	}
	c, f := context.WithTimeout(ctx, heldAnswerRatingTimeout)
	defer f()
	v, err := j.gate.ratings.rate(c, j.ratingRequest(answer))
	if err == nil {
		j.rated = true
		j.gate.router.Rate(route.Rating{Kind: route.Quality, Version: s.Version, Class: s.Class, Value: v})
	}
	return j.gate.router.State().Routes.Evidence.Judge(s, j.decision.Terms.Quality, v, err == nil)
}

// escalate gets a decision for another version after an answer was judged too low. It returns false if no
// other version may run the request; the answer is delivered then.
func (j *job) escalate(ctx context.Context) bool {
	o, v := j.decision, j.decision.Version
	j.finish(attemptResult{ending: core.EndedWell, mayHaveStarted: true})
	j.routeRequest.ExcludeVersions = append(j.routeRequest.ExcludeVersions, v)
	j.exclude = nil
	j.escalating = true
	f := j.decide(ctx)
	j.escalating = false
	if f != nil {
		j.decision = o
		return false
	}
	j.rated = false
	j.usage = model.Usage{}
	j.gate.metrics.GetOrCreateCounter(`hickoryshelf_escalations_total{version="` + v + `"}`).Inc()
	j.gate.log.WithField("request", j.request.id).WithField("from", v).WithField("to", j.decision.Version).
		Info("gate: an answer was judged too low, another version runs the request")
	return true
}
