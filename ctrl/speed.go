package ctrl

import (
	"maps"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/speed"
)

const (
	// maxSpeedAge is how long factors of speed are reused.
	maxSpeedAge = 250 * time.Millisecond
	// speedSweepInterval is the least interval at which sweeps of faded samples begin.
	speedSweepInterval = 10 * time.Second
	// speedLearnTime is how long after its start a control host doesn't know all that entry hosts have measured.
	speedLearnTime = 10 * time.Second
)

// mergeSpeeds returns what a report and a later one of the same start of an entry host have measured.
func mergeSpeeds(a, b ctlrpc.SpeedReport) ctlrpc.SpeedReport {
	if len(a) == 0 {
		return b
	}
	r := maps.Clone(a)
	maps.Copy(r, b)
	return r
}

// sweepSpeeds begins to remove faded samples if it is due, or goes on with that.
func (t *transition) sweepSpeeds() {
	if t.Now-t.speedsSweptAt >= speedSweepInterval && !t.speeds.IsSweeping() {
		t.speeds, t.speedsSweptAt = t.speeds.WithSweepBegun(t.Now), t.Now
		return
	}
	t.speeds = t.speeds.WithSweepStep(t.Now)
}

// Speeds returns the factors of speed of the endpoints that were measured lately. Those that differ little from previous ones
// stay as they were.
func (s State) Speeds(previous map[string]speed.Factor) map[string]speed.Factor {
	return s.speeds.Estimate(s.Now, func(yield func(speed.Endpoint) bool) {
		for e := range s.Fleet.All {
			if e.Phase == fleet.Ready && !yield(speed.Endpoint{ID: e.ID, Service: e.Service, Born: e.Born}) {
				return
			}
		}
	}, previous)
}

// speedCache holds the newest factors of speed.
type speedCache struct {
	factors    map[string]speed.Factor
	computedAt time.Duration
}

// update computes the factors again if they are too old.
func (c *speedCache) update(s State) {
	if c.factors == nil || s.Now-c.computedAt > maxSpeedAge {
		c.factors, c.computedAt = s.Speeds(c.factors), s.Now
	}
}

// sentSpeeds is what an entry host has got of the factors of speed from this start of the control host.
type sentSpeeds struct {
	factors map[string]speed.Factor
	// complete is set if the host has got all factors from a control host that knew them, so that it holds no others.
	complete bool
}

// speedUpdate returns what an entry host lacks of the speeds, and what it has with that. One that holds nothing from this start of
// the control host gets all factors. They replace the ones that it has only if this host is current and knows them long enough. A
// host that connects before gets all again then, since what it holds from other control hosts isn't known here.
func (c *speedCache) speedUpdate(s State, q ctlrpc.ExchangeRequest, first bool, sent sentSpeeds) (ctlrpc.SpeedUpdate, sentSpeeds) {
	if !q.Known.SharesSpeeds {
		return ctlrpc.SpeedUpdate{}, sentSpeeds{}
	}
	c.update(s)
	k := s.Now > speedLearnTime && s.Current()
	if first || k && !sent.complete {
		return ctlrpc.SpeedUpdate{Shared: true, New: k, Factors: c.factors}, sentSpeeds{c.factors, k}
	}
	u := ctlrpc.SpeedUpdate{Shared: true, Factors: speed.Changes(sent.factors, c.factors, speed.MaxChanges)}
	if len(u.Factors) == 0 {
		return u, sent
	}
	n := maps.Clone(sent.factors)
	if n == nil {
		n = map[string]speed.Factor{}
	}
	maps.Copy(n, u.Factors)
	return u, sentSpeeds{n, sent.complete}
}
