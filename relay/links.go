package relay

import (
	"context"
	"errors"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/reach"
)

const (
	// linkProbeTimeout bounds the wait for the answer to a probe of a link, with the opening of its connection.
	linkProbeTimeout = 180 * time.Millisecond
	// neighbourWait is how long an attempt waits for what is heard of the neighbours of an endpoint that may have ended.
	neighbourWait = 220 * time.Millisecond
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
)

// Prober probes the links that are in doubt.
type Prober struct {
	Relay *Relay
	Stop  <-chan struct{}
}

// Start starts to probe until Stop is closed.
func (p Prober) Start() { go p.run() }

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

// linkProbe asks an endpoint whether it runs and records the outcome.
type linkProbe struct {
	relay    *Relay
	endpoint fleet.Report
}

func (p linkProbe) run() {
	o := p.relay.othersAnswered(p.endpoint)
	c, f := context.WithTimeout(context.Background(), linkProbeTimeout)
	defer f()
	l := p.relay.probe(c, p.endpoint, true)
	if o && l == Mute {
		p.relay.Endpoints.ConfirmCut(p.endpoint.ID)
	}
	p.relay.Log.WithFields(logrus.Fields{"endpoint": p.endpoint.ID, "data-centre": p.endpoint.DataCentre, "liveness": l.String()}).Debug("link: probed")
	wake(p.relay.linkWake)
}

// othersAnswered reports whether another host has had answers from the pool of an endpoint since this host's link to it was cut. It
// makes this host look for such hosts while that would decide about the link.
func (r *Relay) othersAnswered(e fleet.Report) bool {
	l := r.Endpoints.Link(e.ID)
	if r.Detour == nil || l.State() != reach.Cut || l.Decided() {
		return false
	}
	r.seek()
	return r.Helpers.Reaches(e.Service, map[string]time.Time{e.DataCentre: l.CutSince()}, time.Now(), nil)
}

// probe asks an endpoint whether it runs and records what that tells about the link. decides is set if the probe was made for the link:
// only then does an endpoint count against it that accepts the connection and is slow to answer. It tells nothing if this host was
// suspended meanwhile, and opens no connection to an endpoint of a drained data centre.
func (r *Relay) probe(ctx context.Context, e fleet.Report, decides bool) Liveness {
	if r.Endpoints.InDrainedCentre(e) {
		return Unclear
	}
	b := time.Now()
	if !r.Endpoints.MayProbe(e.ID, b) {
		return Unclear // it counts as a request
	}
	l, k := r.Sender.Probe(ctx, e.Address, r.healthPath(e.Service))
	r.Endpoints.RecordCold(e.ID, k)
	o := reach.Opening{Endpoint: e.ID, Began: b, Ended: time.Now(), Outcome: l.outcome(), Probe: decides}
	if o.Outcome == reach.Answered || o.Outcome == reach.Refused || o.Ended.Sub(b) < linkProbeTimeout+maxProberLag {
		r.Endpoints.RecordOpening(o)
	}
	return l
}

// healthPath returns the path at which endpoints of a service tell that they run, or an empty one if it isn't known.
func (r *Relay) healthPath(service string) string {
	v := r.table.Load()
	if v == nil {
		return ""
	}
	s, _ := v.table.Service(service)
	return s.HealthPath
}

// outcome returns what a probe tells about the link.
func (l Liveness) outcome() reach.Outcome {
	switch l {
	case Alive:
		return reach.Answered
	case Ended:
		return reach.Refused
	case Mute:
		return reach.Unanswered
	}
	return reach.Silent
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
			e.WithField("since", time.Since(c.CutSince).Milliseconds()).Warn("link: dependency lost, no endpoint of the pool answers on new connections")
			r.seek()
		case reach.Returning:
			e.Warn("link: dependency regained, endpoints of the pool answer again")
		default:
			e.Info("link: changed")
		}
	}
}

// recordOpening records what became of a connection that the attempt opened, and returns how long the endpoint is ejected if it failed.
func (u *upstreamAttempt) recordOpening(r Reply) time.Duration {
	if u.way == pick.Direct {
		return u.job.relay.RecordOpening(u.choice.ID, u.sent, r)
	}
	if r.Unreachable {
		return u.job.relay.Endpoints.RecordNotReached(u.choice.ID, u.way, time.Now())
	}
	return 0
}

// RecordOpening records what became of a connection that was opened for a request. It returns how long the endpoint is ejected if
// none opened, or 0.
func (r *Relay) RecordOpening(endpoint string, sent time.Time, p Reply) time.Duration {
	n := time.Now()
	if p.Status != 0 && !p.ConnectedAt.IsZero() {
		r.Endpoints.ConfirmStart(endpoint, p.ConnectedAt, sent)
	}
	o := reach.Opening{Endpoint: endpoint, Began: sent, Ended: n}
	switch {
	case p.Connected && p.Status != 0:
		o.Outcome = reach.Answered
	case p.Connected && brokeOff(p.Cause):
		o.Outcome = reach.Unanswered
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

// brokeOff reports whether a cause says that the other side reset or closed the connection.
func brokeOff(cause error) bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(cause, e) {
			return true
		}
	}
	return false
}

// linkGrace returns how long the attempt may be without an answer before the link is doubted.
func (u *upstreamAttempt) linkGrace() time.Duration { return u.choice.Wait + startLinkGrace }

// checkLink looks after the link of an attempt that is silent. It returns true if the link is cut and the request may go
// another way.
func (u *upstreamAttempt) checkLink() bool {
	j := u.job
	if u.way != pick.Direct {
		return false
	}
	l := j.relay.Endpoints.Link(u.choice.ID)
	if l.State() != reach.Cut {
		j.relay.Endpoints.Doubt(u.choice.ID, time.Now())
		wake(j.relay.linkWake)
		return false
	}
	if !l.Decided() || j.rerunLimit(u.uncounted()) != "" {
		return false
	}
	u.linkLost = true
	return true
}

// linkDoubted reports whether what happened to the attempt may be due to this host's own link.
func (u *upstreamAttempt) linkDoubted() bool {
	return u.way == pick.Direct && (u.linkLost || u.job.relay.Endpoints.Link(u.choice.ID).State() != reach.Sound)
}

// hasEnded reports whether the endpoint of the attempt, whose host refuses connections, has ended.
func (u *upstreamAttempt) hasEnded() bool {
	return u.way == pick.Direct && u.job.relay.hasEnded(u.context, u.choice.Report)
}

// hasEnded reports whether an endpoint whose host refuses connections has ended, which matters only if runs broke off there.
// This host's own links may be the reason for the refusal: probes of the endpoint's neighbours decide, or what is heard of
// other endpoints if it has none.
func (r *Relay) hasEnded(ctx context.Context, e fleet.Report) bool {
	if !slices.Contains(r.Poison.Pending(), bootOf(e)) {
		return false
	}
	b := time.Now()
	r.Endpoints.Suspect(e.ID, b)
	wake(r.linkWake)
	for time.Since(b) < neighbourWait && ctx.Err() == nil {
		time.Sleep(wayPoll)
		if r.Endpoints.NeighboursHeard(e.ID, b) {
			return true
		}
	}
	return false
}
