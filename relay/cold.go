package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/table"
)

// limitCold makes cold endpoints take requests only under permits.
func (r *Relay) limitCold() {
	e := r.Endpoints
	e.LimitCold(r.Now)
	r.Metrics.GetOrCreateGauge("cold_permits", func() float64 { return float64(e.ColdCounts().Held) })
	r.Metrics.GetOrCreateGauge("cold_requests_total", func() float64 { return float64(e.ColdCounts().Used) })
	r.Metrics.GetOrCreateGauge("cold_passed_over_total", func() float64 { return float64(e.ColdCounts().PassedOver) })
}

// setColdLimits passes the limits of a table for cold endpoints on to the set of endpoints.
func (r *Relay) setColdLimits(t table.Table) {
	l := map[string]pick.ColdLimit{}
	for _, s := range t.Services {
		if s.ColdRate > 0 {
			l[s.Name] = pick.ColdLimit{Rate: s.ColdRate, Time: s.ColdTime}
		}
	}
	r.Endpoints.SetColdLimits(l)
}

// LogCold logs the endpoints that have become cold or warm for this host.
func (r *Relay) LogCold() {
	for _, c := range r.Endpoints.TakeColdChanges() {
		l := r.Log.WithFields(logrus.Fields{
			"endpoint": c.ID, "service": c.Service, "data-centre": c.DataCentre, "born": c.Born, "sequence": c.Sequence, "left": c.ColdLeft.Milliseconds(),
		})
		if c.Cold {
			l.Info("endpoint: is cold, it gets requests only under permits")
		} else {
			l.Info("endpoint: has warmed up")
		}
	}
}

// limitSending keeps an attempt from being sent to an endpoint that is cold, long after its permit was used or without one.
func (u *upstreamAttempt) limitSending() {
	if r := u.job.relay; r.Cold.On() && u.way == pick.Direct {
		c := u.choice
		u.order.MaySend = func() bool { return r.Endpoints.MayStillSend(c, time.Now()) }
	}
}

// RelayedLimit returns what keeps a request of another host from being sent to an endpoint that has become cold, or nil without limits of cold
// endpoints.
func (r *Relay) RelayedLimit(endpoint string) func() bool {
	if !r.Cold.On() {
		return nil
	}
	return func() bool { return !r.Endpoints.IsCold(endpoint, time.Now()) }
}
