package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/pick"
)

const (
	// wayPoll is the interval at which a request looks for a way to an endpoint, and verdictWait is how long it waits for the
	// verdict on a link. helperWait is how long this host looks for others to send requests through before it refuses them.
	wayPoll     = 10 * time.Millisecond
	verdictWait = 300 * time.Millisecond
	helperWait  = 500 * time.Millisecond
	// seekRetention is how long after the last request that needed one other hosts are looked for.
	seekRetention = 2 * time.Second
	// minDetourWait is the wait for an answer from which another way is considered, though this host reaches endpoints.
	minDetourWait = 800 * time.Millisecond
	// maxHops bounds the hosts that one request is offered to.
	maxHops = 4
	// cutOffRetryAfter is the least Retry-After of a host that reaches no endpoint. It is short because the retry reaches
	// another host.
	cutOffRetryAfter = 50 * time.Millisecond
)

// findWay decides by which way the next attempt goes: directly, or through another host if this one reaches no endpoint of
// the service. It waits a moment while probes are to decide, or helpers are looked for. It reports false if there is no way.
func (j *job) findWay(ctx context.Context, q *pick.Request) bool {
	for b := time.Now(); ctx.Err() == nil; time.Sleep(wayPoll) {
		if w := j.tryWay(q, time.Since(b)); w != undecidedWay {
			return w == foundWay
		}
	}
	return false
}

// tryWay is like findWay, but doesn't wait. waited is how long the attempt has waited for a way.
func (j *job) tryWay(q *pick.Request, waited time.Duration) wayResult {
	q.LinkDraw = j.fraction
	n := time.Now()
	c := j.relay.Endpoints.CutOff(*q, n)
	switch {
	case c.Cut:
		return j.wayOfCutOff(q, c, n)
	case c.Undecided && waited <= verdictWait:
		return undecidedWay
	}
	j.considerHelper(q, c, n)
	return foundWay
}

// releaseWay gives up the way of an attempt that isn't made.
func (j *job) releaseWay(q pick.Request) {
	if q.Way == pick.Relayed {
		j.relay.Helpers.End(j.helper.Host)
	}
}

// wayResult is the result of looking for a way.
type wayResult int

const (
	// undecidedWay means that a way may be found in a moment.
	undecidedWay wayResult = iota
	// foundWay means that the attempt can be sent.
	foundWay
	// noWay means that there is no way.
	noWay
)

// wayOfCutOff looks for a way while no endpoint of the service is known to be reached directly: a helper, or a direct attempt
// after all, where that may succeed or fails at once.
func (j *job) wayOfCutOff(q *pick.Request, c pick.CutOff, now time.Time) wayResult {
	r := j.relay
	if r.Detour != nil {
		if j.takeHelper(q, c, now) {
			return foundWay
		}
		r.seek()
	}
	switch {
	case c.Returning, !c.Probed && !c.Pending:
		return foundWay
	case r.seeking(now):
		return undecidedWay
	case !c.Probed, !c.Silent, j.runs > 0:
		return foundWay
	}
	return noWay
}

// takeHelper sets the way through another host that reaches endpoints of the service. It reports false if there is none.
func (j *job) takeHelper(q *pick.Request, c pick.CutOff, now time.Time) bool {
	h, ok := j.relay.Helpers.Choose(j.service.Name, c.Lost, now, j.refusedBy)
	if ok {
		j.helper, q.Way, q.Centres, q.Tried = h, pick.Relayed, h.Centres, j.tried
	}
	return ok
}

// considerHelper sets the way through another host if this one has lost some data centres, and the endpoints that it still
// reaches would answer much later than those that the other one reaches.
func (j *job) considerHelper(q *pick.Request, c pick.CutOff, now time.Time) {
	if len(c.Lost) == 0 || j.relay.Detour == nil {
		return
	}
	w, ok := j.relay.Endpoints.Wait(*q, now)
	if ok && w < minDetourWait {
		return
	}
	d := *q
	if !j.takeHelper(&d, c, now) {
		j.relay.seek()
		return
	}
	if v, reached := j.relay.Endpoints.Wait(d, now); !reached || ok && v > w/2 {
		j.relay.Helpers.End(j.helper.Host)
		return
	}
	*q = d
}

// seek makes this host look for others to send requests through.
func (r *Relay) seek() {
	n := time.Now().UnixNano()
	if o := r.soughtAt.Swap(n); n-o > int64(seekRetention) {
		r.seekingSince.Store(n)
	}
	wake(r.seekWake)
}

// seeking reports whether this host has begun to look for others less than helperWait ago, so that one may be found soon.
func (r *Relay) seeking(now time.Time) bool {
	return r.Detour != nil && now.Sub(time.Unix(0, r.seekingSince.Load())) < helperWait
}

// Seeking reports whether requests need other hosts, or did within seekRetention.
func (r *Relay) Seeking() bool { return time.Since(time.Unix(0, r.soughtAt.Load())) < seekRetention }

// SeekWake returns the channel that is signalled when this host begins to look for others.
func (r *Relay) SeekWake() <-chan struct{} { return r.seekWake }

// send sends the attempt by its way.
func (u *upstreamAttempt) send() (Reply, Hop) {
	r := u.job.relay
	if u.way == pick.Direct {
		return r.Sender.Send(u.context, u.order), Hop{}
	}
	return r.Detour.Send(u.context, u.helper.Helper, u.order)
}

// refuseBy keeps further attempts of the request from a host between.
func (j *job) refuseBy(host string) {
	if j.refusedBy == nil {
		j.refusedBy = map[string]bool{}
	}
	j.refusedBy[host] = true
}

// avoidCentre keeps further attempts of the request from a data centre: another host knows that it is drained, and this one will hear of it.
func (j *job) avoidCentre(dataCentre string) {
	if j.avoided == nil {
		j.avoided = map[string]bool{}
	}
	j.avoided[dataCentre] = true
}

// handleHop records that another host didn't send the attempt, or that it is unknown whether it did.
func (u *upstreamAttempt) handleHop(r Reply, h Hop) nextStep {
	j := u.job
	n := time.Now()
	j.hops++
	switch {
	case h.Drained:
		j.avoidCentre(u.choice.DataCentre)
	case h.Result == Declined:
		j.refuseBy(u.helper.Host)
		j.hopWait = max(j.hopWait, h.RetryAfter)
		j.relay.Helpers.Decline(u.helper.Host, h.RetryAfter, n)
	default:
		j.refuseBy(u.helper.Host)
		if u.context.Err() == nil {
			j.relay.Helpers.Fail(u.helper.Host, n)
		}
	}
	u.log().WithError(r.Cause).WithFields(logrus.Fields{"hop": h.Result.String(), "reason": h.Reason, "outcome": r.Verdict.String(), "not-run-by": u.notRunBy.String()}).Info("attempt: another host didn't send the request")
	if r.Verdict == NotRun {
		j.sends--
		if j.callerContext.Err() != nil || time.Until(j.deadline) <= 0 {
			return ended
		}
		return declined
	}
	j.runs++
	j.mayHaveRun = true
	if j.callerContext.Err() != nil || time.Until(j.deadline) <= 0 {
		return ended
	}
	return rerun
}

// cutOffRetryAfter returns when the caller of a host that reaches no endpoint should come back.
func (j *job) cutOffRetryAfter() time.Duration {
	h := max(cutOffRetryAfter, j.hopWait)
	return h + time.Duration(j.fraction*float64(h))
}
