package entry

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/speed"
)

const (
	// speedReportEvery is the number of exchanges after which measured speeds are reported: more often, most endpoints would be
	// named again and again for one further sample.
	speedReportEvery = 3
	// speedLogDistance is the difference of a factor's logarithm from the one last logged from which it is logged: a tenth.
	speedLogDistance = 0.095
	// maxSpeedLines is the number of changes in one reply above which a single line counts them.
	maxSpeedLines = 3
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
	l := e.Set.SetSpeeds(u.Factors, u.New, time.Now())
	for _, c := range l {
		h.Update(c.After.At(0))
	}
	if u.New {
		maps.DeleteFunc(e.loggedSpeeds, func(i string, _ speed.Factor) bool { return u.Factors[i].Born == 0 })
	}
	e.logSpeeds(e.speedsToLog(l))
}

// speedsToLog returns the changes by which a factor differs by a tenth or more from the one last logged, as changes from that.
func (e *Entry) speedsToLog(changes []pick.SpeedChange) []pick.SpeedChange {
	if e.loggedSpeeds == nil {
		e.loggedSpeeds = map[string]speed.Factor{}
	}
	var r []pick.SpeedChange
	for _, c := range changes {
		if c.Before = e.loggedSpeeds[c.ID]; c.Before.Born != c.After.Born {
			c.Before = speed.Factor{Born: c.After.Born}
		}
		if c.After.Distance(c.Before) >= speedLogDistance {
			e.loggedSpeeds[c.ID] = c.After
			r = append(r, c)
		}
	}
	return r
}

// logSpeeds logs changes of factors, many of them in one line with the largest.
func (e *Entry) logSpeeds(l []pick.SpeedChange) {
	if len(l) > maxSpeedLines {
		c := slices.MaxFunc(l, func(a, b pick.SpeedChange) int {
			return cmp.Compare(a.After.Distance(a.Before), b.After.Distance(b.Before))
		})
		e.logSpeed(c).WithField("count", len(l)).Info("entry: speeds of endpoints changed, this one most")
		return
	}
	for _, c := range l {
		e.logSpeed(c).Info("entry: endpoint's speed changed")
	}
}

// logSpeed returns a log entry with the fields of a change.
func (e *Entry) logSpeed(c pick.SpeedChange) *logrus.Entry {
	return e.Log.WithFields(logrus.Fields{
		"endpoint": c.ID, "service": c.Service, "born": c.After.Born, "factors": rounded(c.After), "before": rounded(c.Before), "control": e.address,
	})
}

// rounded returns the factors at all bands of load, in hundredths.
func rounded(f speed.Factor) [speed.Bands]float64 {
	var r [speed.Bands]float64
	for b := range r {
		r[b] = math.Round(100*f.At(b)) / 100
	}
	return r
}
