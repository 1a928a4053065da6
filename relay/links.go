package relay

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/reach"
)

const (
	// linkProbeTimeout bounds the wait for the answer to a probe of a link: two opening packets.
	linkProbeTimeout = 110 * time.Millisecond
	// proberInterval is the interval at which probes are made that are due, and maxProberLag is how much longer than its
	// timeout a probe may take. If it takes longer, this host was suspended and the probe tells nothing.
	proberInterval = 25 * time.Millisecond
	maxProberLag   = 100 * time.Millisecond
	// maxOpenTime is how long opening a connection may take; see maxProberLag.
	maxOpenTime = 400 * time.Millisecond
	// startLinkGrace is how long after the estimate an answer may begin before the link is doubted, and eventLinkGrace
	// replaces it between the events of a stream. linkCheckInterval is the interval of the checks after that.
	startLinkGrace    = 200 * time.Millisecond
	eventLinkGrace    = 300 * time.Millisecond
	linkCheckInterval = 100 * time.Millisecond
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

// Prober probes the links that are in doubt.
type Prober struct {
	Relay *Relay
	Stop  <-chan struct{}
}

// Run probes until Stop is closed.
func (p Prober) Run() { p.run() }

func (p Prober) run() {
	t := time.NewTicker(proberInterval)
	defer t.Stop()
	for {
		c := t.C
		if n, _ := p.Relay.Endpoints.LinkCounts(); n == 0 {
			c = nil // only something that speaks against a link makes probes due
		}
		select {
		case <-c:
		case <-p.Relay.linkWake:
		case <-p.Stop:
			return
		}
		for _, e := range p.Relay.Endpoints.DueProbes(time.Now()) {
			q := linkProbe{p.Relay, e}
			go q.run()
		}
		p.Relay.logLinks()
	}
}

// linkProbe opens a connection to an endpoint and records the outcome.
type linkProbe struct {
	relay    *Relay
	endpoint fleet.Report
}

func (p linkProbe) run() {
	c, f := context.WithTimeout(context.Background(), linkProbeTimeout)
	defer f()
	l := p.relay.probe(c, p.endpoint)
	p.relay.Log.WithFields(logrus.Fields{"endpoint": p.endpoint.ID, "data-centre": p.endpoint.DataCentre, "liveness": l.String()}).Debug("link: probed")
	wake(p.relay.linkWake)
}

// probe opens a connection to an endpoint and records what that tells about the link. It tells nothing if this host was
// suspended meanwhile.
func (r *Relay) probe(ctx context.Context, e fleet.Report) Liveness {
	b := time.Now()
	l := r.Sender.Probe(ctx, e.Address)
	o := reach.Opening{Endpoint: e.ID, Began: b, Ended: time.Now(), Outcome: reach.Silent}
	switch l {
	case Alive:
		o.Outcome = reach.Opened
	case Ended:
		o.Outcome = reach.Refused
	}
	if o.Outcome != reach.Silent || o.Ended.Sub(b) < linkProbeTimeout+maxProberLag {
		r.Endpoints.RecordOpening(o)
	}
	return l
}

// wake signals a channel with room for one signal.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// logLinks logs the changes of links.
func (r *Relay) logLinks() {
	for _, c := range r.Endpoints.TakeLinkChanges() {
		e := r.Log.WithFields(logrus.Fields{"service": c.Service, "data-centre": c.DataCentre, "before": c.Before.String(), "after": c.After.String()})
		switch c.After {
		case reach.Cut:
			e.WithField("since", time.Since(c.CutSince).Milliseconds()).Warn("link: dependency lost, no endpoint of the pool accepts connections")
			r.seek()
		case reach.Returning:
			e.Warn("link: dependency regained, endpoints of the pool accept connections again")
		default:
			e.Info("link: changed")
		}
	}
}

// recordOpening records whether the attempt opened a connection, and returns how long the endpoint is ejected if it failed.
func (u *upstreamAttempt) recordOpening(r Reply) time.Duration {
	if u.way == pick.Direct {
		return u.job.relay.RecordOpening(u.choice.ID, u.sent, r)
	}
	if r.Unreachable {
		return u.job.relay.Endpoints.RecordNotReached(u.choice.ID, u.way, time.Now())
	}
	return 0
}

// RecordOpening records whether a request that was sent to an endpoint directly opened a connection. It returns how long the
// endpoint is ejected if that failed, or 0.
func (r *Relay) RecordOpening(endpoint string, sent time.Time, p Reply) time.Duration {
	n := time.Now()
	o := reach.Opening{Endpoint: endpoint, Began: sent, Ended: n}
	switch {
	case p.Connected:
		o.Ended = sent
	case p.Refused:
		o.Outcome = reach.Refused
	case p.Unreachable && n.Sub(sent) <= maxOpenTime:
		o.Outcome = reach.Silent
	case p.Unreachable:
		return r.Endpoints.RecordNotReached(endpoint, pick.Direct, n)
	default:
		return 0
	}
	defer wake(r.linkWake)
	return r.Endpoints.RecordOpening(o)
}

// linkGrace returns how long the attempt may be without an answer before the link is doubted.
func (u *upstreamAttempt) linkGrace() time.Duration { return u.choice.Wait + startLinkGrace }

// checkLink looks after the link of an attempt that has been silent for a time. It returns true if the link is cut and the
// request may go another way.
func (u *upstreamAttempt) checkLink(silent time.Duration) bool {
	j := u.job
	if u.way != pick.Direct {
		return false
	}
	if j.relay.Endpoints.Link(u.choice.ID) != reach.Cut {
		j.relay.Endpoints.Doubt(u.choice.ID, time.Now())
		wake(j.relay.linkWake)
		return false
	}
	if !j.route.Idempotent() || j.runs+1 >= max(1, j.route.Attempts) && !j.answering || j.runs >= max(1, j.route.Attempts) {
		return false
	}
	u.linkLost.Store(true)
	u.log().WithField("silent", silent.Milliseconds()).Info("attempt: given up, the link to the endpoint is cut")
	return true
}

// linkDoubted reports whether what happened to the attempt may be due to this host's own link.
func (u *upstreamAttempt) linkDoubted() bool {
	return u.way == pick.Direct && (u.linkLost.Load() || u.job.relay.Endpoints.Link(u.choice.ID) != reach.Sound)
}

// hasEnded reports whether an endpoint whose host refuses connections has ended. If only this host is refused, others open
// connections to it: unless runs broke off there, which matters only then, probes of its neighbours decide.
func (u *upstreamAttempt) hasEnded() bool {
	r := u.job.relay
	if u.way != pick.Direct || !slices.Contains(r.Poison.Pending(), u.boot()) {
		return u.way != pick.Direct
	}
	b := time.Now()
	r.Endpoints.Doubt(u.choice.ID, b)
	wake(r.linkWake)
	for t := b; r.Endpoints.Link(u.choice.ID) == reach.Suspect && time.Since(t) < 2*linkProbeTimeout && u.context.Err() == nil; {
		time.Sleep(wayPoll)
	}
	return r.Endpoints.Link(u.choice.ID) == reach.Sound
}

// findWay decides by which way the next attempt goes: directly, or through another host if this one reaches no endpoint of
// the service. It reports false if there is no way.
func (j *job) findWay(ctx context.Context, q *pick.Request) bool {
	q.LinkDraw = j.fraction
	r := j.relay
	for b := time.Now(); ; {
		n := time.Now()
		c := r.Endpoints.CutOff(*q, n)
		if !c.Cut && (!c.Undecided || n.Sub(b) > verdictWait) {
			j.considerHelper(q, c, n)
			return true
		}
		if c.Cut && r.Detour != nil {
			if j.takeHelper(q, c, n) {
				return true
			}
			r.seek()
		}
		if c.Cut && (c.Returning || !c.Probed) {
			return true
		}
		if c.Cut && !r.seeking(n) {
			return !c.Silent || j.runs > 0
		}
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(wayPoll)
	}
}

// takeHelper sets the way through another host that reaches endpoints of the service. It reports false if there is none.
func (j *job) takeHelper(q *pick.Request, c pick.CutOff, now time.Time) bool {
	h, ok := j.relay.Helpers.Choose(j.service.Name, c.Lost, now, j.refusedBy)
	if ok {
		j.helper, q.Way, q.Centres = h, pick.Relayed, h.Centres
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

// helper returns the name of the host that the attempt goes through, or an empty text.
func (u *upstreamAttempt) helper() string {
	if u.way == pick.Direct {
		return ""
	}
	return u.job.helper.Host
}

// send sends the attempt by its way.
func (u *upstreamAttempt) send(a Attempt) (Reply, Hop) {
	j := u.job
	if u.way == pick.Direct {
		return j.relay.Sender.Send(u.context, a), Hop{}
	}
	return j.relay.Detour.Send(u.context, j.helper.Helper, a)
}

// handleHop records that another host didn't send the attempt, or that it is unknown whether it did.
func (u *upstreamAttempt) handleHop(r Reply, h Hop) nextStep {
	j := u.job
	n := time.Now()
	if j.refusedBy == nil {
		j.refusedBy = map[string]bool{}
	}
	j.refusedBy[j.helper.Host] = true
	j.hops++
	j.hopWait = max(j.hopWait, h.RetryAfter)
	if h.Result == Declined {
		j.relay.Helpers.Decline(j.helper.Host, h.RetryAfter, n)
	} else if u.context.Err() == nil {
		j.relay.Helpers.Fail(j.helper.Host, n)
	}
	u.log().WithError(r.Cause).WithFields(logrus.Fields{"hop": h.Result.String(), "reason": h.Reason, "outcome": r.Verdict.String()}).Info("attempt: another host didn't send the request")
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
