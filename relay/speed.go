package relay

import (
	"net/http"
	"time"

	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/speed"
	"github.com/hickoryshelf/hickoryshelf/ttft"
)

const (
	// gapsPerSample is the number of gaps between events whose mean is a sample of the endpoint's speed. A whole stream would
	// tell of a change only at its end. minGaps is the number of gaps from which the rest of a stream is a sample.
	gapsPerSample = 8
	minGaps       = 4
	// maxQueueShare is the share of an estimate that may be waiting for other requests if the wait is to tell the endpoint's
	// speed: queues are known late.
	maxQueueShare = 1.0 / 3
)

// usual returns the time that the mean endpoint of the service would have taken where this one took d. Averages of models and
// routes hold that time, so that they don't depend on the endpoints that answered.
func (u *upstreamAttempt) usual(d time.Duration) time.Duration {
	if f := u.choice.Factor; f > 0 && f != 1 {
		return time.Duration(float64(d) / f)
	}
	return d
}

// usualWait is usual for a wait for the first event, whose base latency doesn't depend on the endpoint.
func (u *upstreamAttempt) usualWait(wait time.Duration) time.Duration {
	return ttft.BaseLatency + u.usual(wait-ttft.BaseLatency)
}

// measuresSpeed reports whether the times of the attempt tell the speed of its endpoint.
func (u *upstreamAttempt) measuresSpeed() bool {
	return u.job.relay.Speeds != nil && u.way == pick.Direct && !u.onTrial()
}

// recordSpeed records what the wait for the answer tells of the endpoint. Where hosts share speeds, that of a failure tells nothing of
// its speed: it may refuse at once.
func (u *upstreamAttempt) recordSpeed(wait time.Duration, status int) {
	if u.job.relay.Speeds != nil && status >= http.StatusBadRequest {
		u.job.relay.Endpoints.RecordSuccess(u.choice.ID, u.way, wait, 0)
		return
	}
	u.job.relay.Endpoints.RecordStart(u.choice, u.way, wait)
	u.recordWaitSpeed(wait)
}

// recordWaitSpeed adds the wait for the answer to the samples of the endpoint's speed, unless it was queued there or may have
// been shortened by a cache.
func (u *upstreamAttempt) recordWaitSpeed(wait time.Duration) {
	e := u.choice.Expected
	if u.choice.Cached || e <= 0 || float64(e-u.work) > maxQueueShare*float64(e) || !u.measuresSpeed() {
		return
	}
	u.observeSpeed(speed.Wait, u.choice.Band, u.choice.Factor, float64(wait)/float64(e))
}

// recordArrival counts an event of the answer that arrived at now, until there are enough for a sample.
func (u *upstreamAttempt) recordArrival(now time.Time) {
	if u.job.relay.Speeds == nil {
		return
	}
	if u.lastArrival = now; u.firstArrival.IsZero() {
		u.firstArrival = now
		return
	}
	if u.gaps++; u.gaps >= gapsPerSample {
		u.recordGapSpeed()
	}
}

// recordGapSpeed adds the mean time between the last events to the samples of the endpoint's speed, at its load now. Hosts that are
// busy read several events at once, so that single times between events tell nothing.
func (u *upstreamAttempt) recordGapSpeed() {
	n, d := u.gaps, u.lastArrival.Sub(u.firstArrival)
	u.gaps, u.firstArrival = 0, u.lastArrival
	if n < minGaps || !u.measuresSpeed() {
		return
	}
	if b, f, ok := u.job.relay.Endpoints.SpeedNow(u.choice.ID, u.choice.Born, u.job.service.Slots); ok {
		u.observeSpeed(speed.Gap, b, f, d.Seconds()/float64(n))
	}
}

// observeSpeed adds a sample. Only samples of the same route and model are compared.
func (u *upstreamAttempt) observeSpeed(k speed.Kind, band int, factor, took float64) {
	u.job.relay.Speeds.Observe(speed.Sample{
		Kind: k, Work: u.job.kind(), Endpoint: u.choice.ID, Born: u.choice.Born, Band: band, Factor: factor, Took: took,
	}, time.Now())
}
