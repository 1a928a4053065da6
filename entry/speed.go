package entry

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/speed"
)

const (
	// speedReportEvery is the number of exchanges after which measured speeds are reported: more often, most endpoints would be
	// named again and again for one further sample.
	speedReportEvery = 3
	// speedLogDistance is the difference of a factor's logarithm from which it is logged: a tenth.
	speedLogDistance = 0.095
)

// takeSpeeds returns what this host has measured of the speed of endpoints, if that is due.
func (e *Entry) takeSpeeds() ctlrpc.SpeedReport {
	if e.sequence%speedReportEvery != 0 {
		return nil
	}
	return e.Relay.Speeds.Take(time.Now())
}

// applySpeeds takes over the speeds of endpoints that the hosts found out together.
func (e *Entry) applySpeeds(u ctlrpc.SpeedUpdate) {
	if e.Relay.Speeds == nil {
		return
	}
	if u.Shared {
		e.Set.ConfirmSpeeds(time.Now())
	}
	h := e.Metrics.GetOrCreateHistogram("endpoint_speed_factor")
	for _, c := range e.Set.SetSpeeds(u.Factors, u.New, time.Now()) {
		h.Update(c.After.At(0))
		if c.After.Distance(c.Before) >= speedLogDistance {
			e.Log.WithFields(logrus.Fields{
				"endpoint": c.ID, "service": c.Service, "born": c.After.Born, "factors": rounded(c.After), "before": rounded(c.Before), "control": e.address,
			}).Info("entry: endpoint's speed changed")
		}
	}
}

// rounded returns the factors at all bands of load, in hundredths.
func rounded(f speed.Factor) [speed.Bands]float64 {
	var r [speed.Bands]float64
	for b := range r {
		r[b] = math.Round(100*f.At(b)) / 100
	}
	return r
}
