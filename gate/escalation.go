package gate

import (
	"context"
	"net/http"
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

// judgeUnrated decides whether an answer is delivered that can't be held back until it is rated.
func (j *job) judgeUnrated() route.Verdict {
	s := route.Subject{Version: j.decision.Version, Class: j.decision.Terms.Class}
	return j.gate.router.State().Routes.Evidence.Judge(s, j.decision.Terms.Quality, 0, false)
}

// keptAnswer is a complete answer that was judged too low. It is delivered if no other version gives one.
type keptAnswer struct {
	attempt *attempt
	// usage is the job's, rated is whether the answer was rated.
	usage model.Usage
	rated bool
	// answer is the answer unless it is a stream, and stream holds it otherwise.
	answer signal
	stream *streamProxy
}

// escalate gets a decision for another version after the answer k of the current attempt was judged too low, and keeps that
// answer. It returns false if no other version may run the request; the answer is delivered then.
func (j *job) escalate(ctx context.Context, k keptAnswer) bool {
	v := j.decision.Version
	k.attempt, k.usage, k.rated = j.current, j.usage, j.rated
	j.finish(attemptResult{ending: core.EndedWell, mayHaveStarted: true})
	j.routeRequest.ExcludeVersions = append(j.routeRequest.ExcludeVersions, v)
	j.exclude = nil
	j.escalating = true
	f := j.decide(ctx)
	j.escalating = false
	if f != nil {
		return false
	}
	j.kept = &k
	j.rated = false
	j.usage = model.Usage{}
	j.gate.metrics.GetOrCreateCounter(`hickoryshelf_escalations_total{version="` + v + `"}`).Inc()
	j.gate.log.WithField("request", j.request.id).WithField("from", v).WithField("to", j.decision.Version).
		Info("gate: an answer was judged too low, another version runs the request")
	return true
}

// mayRestore reports whether a kept answer can be delivered to a caller who is still there.
func (j *job) mayRestore(ctx context.Context) bool { return j.kept != nil && ctx.Err() == nil }

// restore makes the kept answer that of the job again after the failure f of the other version, and returns it.
func (j *job) restore(w http.ResponseWriter, f *failure) keptAnswer {
	k := *j.kept
	j.kept = nil
	j.current, j.decision = k.attempt, k.attempt.decision
	j.usage, j.rated = k.usage, k.rated
	_ = j.setHeaders(w)
	j.gate.log.WithField("request", j.request.id).WithField("version", j.decision.Version).WithError(f).
		Warn("gate: no other version answers, the answer judged too low is delivered")
	return k
}
