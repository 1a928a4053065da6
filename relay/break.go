package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/poison"
)

const (
	// probeTimeout bounds the wait for the answer to a probe. It adds to the time until the request is sent again.
	probeTimeout = 60 * time.Millisecond
	// maxPromptKeys bounds the parts of a prompt that are looked at.
	maxPromptKeys = 64
	// maxEndChecks bounds the checks that run at once.
	maxEndChecks = 64
)

// sinceStart returns the time since the start of this host on the runtime's clock. Times of Poison are as of it.
func (r *Relay) sinceStart() time.Duration { return time.Since(r.start) }

// recordBreak finds out whether the endpoint has ended after an attempt broke off there, and logs it with what was in
// flight. An attempt that this host cancelled itself tells nothing about the endpoint, and neither does one at an
// endpoint that was about to stop.
func (u *upstreamAttempt) recordBreak(cause error) {
	if u.context.Err() != nil {
		return
	}
	u.job.addDigest()
	l := u.probe()
	v := u.poisonRun()
	u.log().WithError(cause).WithFields(logrus.Fields{
		"born": v.Boot.Born, "liveness": l.String(), "answering": u.answering, "suspect-for": v.Age.Milliseconds(), "keys": u.job.keys,
	}).Warn("attempt: broken off in flight")
	if !u.job.relay.Endpoints.IsReady(u.choice.ID) {
		return
	}
	u.job.relay.Poison.Broke(v, u.job.relay.sinceStart())
	if l == Ended && u.hasEnded() {
		u.recordEnd()
	}
}

// endCheck finds out whether an endpoint has ended with an answer that looked complete.
type endCheck struct {
	relay    *Relay
	endpoint fleet.Report
	log      *logrus.Entry
}

// checkEnd looks after the endpoint of an answer that may be incomplete, if others of its service have ended lately. The news of an end may
// come too late to tell which answers ended with it.
func (u *upstreamAttempt) checkEnd() {
	r := u.job.relay
	if u.way != pick.Direct || !r.Poison.Ending(u.job.service.Name, r.sinceStart()) || !r.Endpoints.IsReady(u.choice.ID) {
		return
	}
	select {
	case r.endChecks <- struct{}{}:
		c := endCheck{r, u.choice.Report, u.log()}
		go c.run()
	default: // the news of an end is waited for
	}
}

func (c endCheck) run() {
	defer func() { <-c.relay.endChecks }()
	x, f := context.WithTimeout(context.Background(), probeTimeout)
	defer f()
	if c.relay.probe(x, c.endpoint, false) == Ended && c.relay.hasEnded(context.Background(), c.endpoint) {
		c.relay.recordEnd(c.endpoint, c.log)
	}
}

// probe finds out whether the endpoint still runs. The way through another host doesn't tell.
func (u *upstreamAttempt) probe() Liveness {
	if u.way != pick.Direct {
		return Unclear
	}
	c, f := context.WithTimeout(u.context, probeTimeout)
	defer f()
	return u.job.relay.probe(c, u.choice.Report, false)
}

// poisonRun returns what the suspicion of a request is based on: what was in flight where, and for how long.
func (u *upstreamAttempt) poisonRun() poison.Run {
	j := u.job
	b := u.sent
	if u.answering {
		b = b.Add(u.wait)
	}
	return poison.Run{
		Boot: u.boot(), Service: j.service.Name, Keys: j.keys, Account: j.account, Age: time.Since(b), Answering: u.answering, OpenEnded: u.openEnded,
		Endpoints: j.relay.Endpoints.ReadyCounts()[j.service.Name], Hosts: int(j.relay.entryHosts.Load()),
	}
}

// boot returns the start of the endpoint that the attempt went to.
func (u *upstreamAttempt) boot() poison.Boot { return bootOf(u.choice.Report) }

// bootOf returns the start of an endpoint.
func bootOf(e fleet.Report) poison.Boot { return poison.Boot{Endpoint: e.ID, Born: e.Born} }

// recordEnd records that the endpoint's process has ended.
func (u *upstreamAttempt) recordEnd() { u.job.relay.recordEnd(u.choice.Report, u.log()) }

// recordEnd records that an endpoint's process has ended, and logs it if requests broke off with it.
func (r *Relay) recordEnd(e fleet.Report, l *logrus.Entry) {
	if n := r.Poison.Ended(bootOf(e), r.sinceStart()); n > 0 {
		r.Metrics.GetOrCreateCounter("endpoint_ends_total").Inc()
		l.WithFields(logrus.Fields{"born": e.Born, "broken-off": n}).Warn("poison: an endpoint has ended with requests in flight")
	}
}

// recordComplete records that the endpoint has written a whole answer. An answer that ends with its connection may be
// incomplete; it counts as broken off if the endpoint turns out to have ended, and as complete once the endpoint answers a later
// request.
func (u *upstreamAttempt) recordComplete(status int) {
	j := u.job
	switch {
	case u.openEnded:
		j.relay.Poison.Broke(u.poisonRun(), j.relay.sinceStart())
		u.checkEnd()
	case status < http.StatusMultipleChoices:
		j.relay.logLifted(j.relay.Poison.Served(j.service.Name, j.keys, j.relay.sinceStart()))
	}
}

// logLifted logs the keys whose rules have ended because requests with them were served.
func (r *Relay) logLifted(keys []poison.Key) {
	for _, k := range keys {
		r.Log.WithField("key", k.String()).Warn("poison: requests like those that were held back were served, the rule ends")
	}
}

// isHeldBack reports whether the request may not be sent because requests like it end the endpoints that run them.
func (j *job) isHeldBack() bool {
	r, ok := j.relay.Poison.Held(j.keys, j.account, j.relay.sinceStart())
	if ok {
		j.log().WithFields(logrus.Fields{"key": r.Key.String(), "with": r.With, "crashes": r.Crashes}).Info("request: held back, requests like it end endpoints")
	}
	return ok
}

// ConfirmEnds looks among the endpoints where runs broke off for those that have ended or gone on since.
func (r *Relay) ConfirmEnds() {
	for _, b := range r.Poison.Pending() {
		if !r.Endpoints.HasEnded(b.Endpoint, b.Born) {
			if t := r.Endpoints.LastAnswered(b.Endpoint); !t.IsZero() {
				r.logLifted(r.Poison.Alive(b, t.Sub(r.start), r.sinceStart()))
			}
			continue
		}
		if n := r.Poison.Ended(b, r.sinceStart()); n > 0 {
			r.Log.WithFields(logrus.Fields{"endpoint": b.Endpoint, "born": b.Born, "broken-off": n}).Warn("poison: an endpoint has ended with requests in flight")
		}
	}
}

// inlineDigestBytes is the longest body of which each request's digest is computed.
const inlineDigestBytes = 4 << 10

// setKeys sets what the request may have in common with others that end endpoints. The digest of a long body is left out
// unless something is known against such a request.
func (j *job) setKeys() {
	j.keys = j.request.Prompt.poisonKeys()
	if h := j.identity().HeadKey(); j.request.BodyLen() > inlineDigestBytes && !j.relay.Poison.Knows(h) {
		j.relay.Poison.Started(j.service.Name, append(slices.Clone(j.keys), h), j.relay.sinceStart())
		return
	}
	j.addDigest()
	j.relay.Poison.Started(j.service.Name, j.keys, j.relay.sinceStart())
}

// addDigest adds the key of the whole request to its keys.
func (j *job) addDigest() {
	if !slices.ContainsFunc(j.keys, func(k poison.Key) bool { return k.Kind == poison.Request }) {
		j.keys = append(j.keys, j.identity().Key())
	}
}

// identity returns what makes another request the same as this one.
func (j *job) identity() poison.Identity {
	q := j.request
	return poison.Identity{Account: j.account, Method: q.Method, Host: q.Host, Target: q.Target, Body: q.Body, Rest: q.Rest}
}

// poisonKeys returns the keys of the parts that other requests may have in common with this one: all but the last.
func (p Prompt) poisonKeys() []poison.Key {
	var r []poison.Key
	for n := range min(maxPromptKeys, len(p.Parts)-1) {
		if k := (poison.Key{Kind: poison.Part, ID: p.Parts[n].ID}); !slices.Contains(r, k) {
			r = append(r, k)
		}
	}
	return r
}

// TakePoison returns what this host has observed of requests that end endpoints since the last call. The caller reports
// it to a control host, and calls Poison.Restore if that fails.
func (r *Relay) TakePoison() poison.Report { return r.Poison.Take(r.sinceStart()) }

// AdoptPoison puts in force which requests a control host orders to hold back.
func (r *Relay) AdoptPoison(p poison.Report) {
	a, d := r.Poison.Adopt(p, r.sinceStart())
	for _, v := range a {
		r.Log.WithFields(logrus.Fields{"key": v.Key.String(), "with": v.With, "account": v.Account, "any-account": v.AnyAccount, "crashes": v.Crashes}).Warn("poison: requests are held back from now on")
	}
	for _, v := range d {
		r.Log.WithField("key", v.Key.String()).Warn("poison: requests are no longer held back")
	}
}
