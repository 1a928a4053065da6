package pick

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryshelf/hickoryshelf/speed"
)

const (
	// slowdownMemory is the time in which a slowdown fades to 1/e of its logarithm where hosts share what they know of speeds.
	// It is long against the time between two answers of an endpoint that is in use, so that it concerns avoided ones.
	slowdownMemory = time.Minute
	// maxSlowdownStep is the time by which slowdowns fade at most between two calls of SetSpeeds, so that a host that was cut off from
	// the control hosts doesn't lose them all at once.
	maxSlowdownStep = time.Second
	// preferenceShare is the share of its estimate by which an endpoint counts as faster or slower at most for one host than
	// for another. Hosts that know the same of endpoints would choose the same one until they hear of each other's requests.
	preferenceShare = 0.3
	// maxFactorAge is how long factors count in full after a control host that shares speeds was last heard, which is as long as
	// samples tell anything. They are back at 1 factorFadeTime later.
	maxFactorAge   = 10 * time.Second
	factorFadeTime = 10 * time.Second
)

// SpeedChange is a factor of an endpoint that differs from the one before.
type SpeedChange struct {
	ID, Service   string
	Before, After speed.Factor
}

// SetSpeeds takes over factors of endpoints that the hosts found out together. Those of another start than the known one are
// ignored. If complete is set, endpoints that aren't named are unknown; otherwise they keep theirs. Between two calls the
// slowdowns that this host has seen by itself fade.
func (s *Set) SetSpeeds(factors map[string]speed.Factor, complete bool, now time.Time) []SpeedChange {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.fadeSlowdowns(now)
	s.setPreferences()
	s.keepFactors(factors, complete)
	var r []SpeedChange
	if complete {
		for i, n := range s.endpoints {
			if _, ok := factors[i]; !ok {
				n.setFactor(speed.Factor{Born: n.report.Born})
			}
		}
	}
	for i, f := range factors {
		n, ok := s.endpoints[i]
		if !ok || n.report.Born != f.Born {
			continue
		}
		if o := n.setFactor(f); o != f {
			r = append(r, SpeedChange{ID: i, Service: n.report.Service, Before: o, After: f})
		}
	}
	return r
}

// keepFactors stores factors for endpoints that come back, or that this host doesn't know yet.
func (s *Set) keepFactors(factors map[string]speed.Factor, complete bool) {
	if complete || s.factors == nil {
		s.factors = map[string]speed.Factor{}
	}
	for i, f := range factors {
		switch o := s.factors[i]; {
		case f.Born < o.Born:
		case f == speed.Factor{Born: f.Born}:
			delete(s.factors, i)
		default:
			s.factors[i] = f
		}
	}
}

// keptFactor returns the factor of a start of an endpoint as the control hosts last sent it.
func (s *Set) keptFactor(id string, born int64) speed.Factor {
	if f := s.factors[id]; f.Born == born {
		return f
	}
	return speed.Factor{}
}

// ConfirmSpeeds records that a control host that shares speeds was heard, so that the factors count in full.
func (s *Set) ConfirmSpeeds(now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.speedsHeardAt = now
	s.ageFactors(now)
}

// ageFactors sets how much factors count at a time.
func (s *Set) ageFactors(now time.Time) {
	s.factorWeight = 1
	if !s.speedsHeardAt.IsZero() {
		d := now.Sub(s.speedsHeardAt) - maxFactorAge
		s.factorWeight = 1 - min(1, max(0, d.Seconds()/factorFadeTime.Seconds()))
	}
}

// factorAt returns the factor of an endpoint at a band of load, as far as it counts.
func (s *Set) factorAt(n *endpoint, band int) float64 {
	f := n.factor.At(band)
	if s.factorWeight == 1 || f == 1 {
		return f
	}
	return math.Pow(f, s.factorWeight)
}

// fadeSlowdowns lets slowdowns fade by the time since the last call, up to maxSlowdownStep.
func (s *Set) fadeSlowdowns(now time.Time) {
	if d := now.Sub(s.slowdownsFadedAt); !s.slowdownsFadedAt.IsZero() {
		x := math.Exp(-min(maxSlowdownStep, max(0, d)).Seconds() / slowdownMemory.Seconds())
		for _, n := range s.endpoints {
			if n.slowdown != 1 {
				n.slowdown = math.Pow(n.slowdown, x)
			}
		}
	}
	s.slowdownsFadedAt = now
}

// setPreferences draws for each endpoint how much this host prefers it, if there are other hosts. The draw depends only on the
// names of both.
func (s *Set) setPreferences() {
	h := xxhash.Sum64String(s.hosts.self)
	for _, n := range s.endpoints {
		n.preference = 1
		if len(s.hosts.all) > 1 {
			w := float64(rendezvousWeight(n.report.ID, h)) / math.MaxUint64
			n.preference = 1 + preferenceShare*(2*w-1)
		}
	}
}

// preferencePenalty returns the cost of an endpoint by this host's preference, which is negative for preferred ones. estimate is
// the expected time to the start of an answer.
func (n *endpoint) preferencePenalty(estimate time.Duration) time.Duration {
	if n.preference == 0 {
		return 0
	}
	return time.Duration(float64(estimate) * (n.preference - 1))
}

// setFactor sets the factor and returns the one before. As far as the slowdown explains the same at the known load, it is taken back,
// so that the same slowness doesn't count twice.
func (n *endpoint) setFactor(f speed.Factor) speed.Factor {
	o, b := n.factor, speed.Band(n.local.Requests+n.remote.Requests, n.slots)
	if x := f.At(b) / o.At(b); n.slowdown > 1 && x > 1 {
		n.slowdown = max(1, n.slowdown/x)
	} else if n.slowdown < 1 && x < 1 {
		n.slowdown = min(1, n.slowdown/x)
	}
	n.factor = f
	return o
}

// speedFactor returns the factor of an endpoint for another request at its known load, and the band of that load.
func (s *Set) speedFactor(n *endpoint, q Request) (factor float64, band int) {
	band = speed.Band(n.local.Requests+n.remote.Requests, q.Slots)
	return s.factorAt(n, band), band
}

// SpeedNow returns the band of the known load of an endpoint whose service has a number of slots for each, and the factor at that
// band. The request that asks is part of that load and doesn't count. ok is false if the endpoint isn't known as the same start.
func (s *Set) SpeedNow(id string, born int64, slots int) (band int, factor float64, ok bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n, ok := s.endpoints[id]
	if !ok || n.report.Born != born {
		return 0, 1, false
	}
	band = speed.Band(n.local.Requests+n.remote.Requests-1, slots)
	return band, s.factorAt(n, band), true
}
