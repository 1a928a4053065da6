package speed_test

import (
	"testing"
	"time"

	"github.com/hickoryshelf/hickoryshelf/speed"
)

func TestTrialParts(t *testing.T) {
	for seed := range uint64(3) {
		play(t, seed+11, highLoad, uneven)
		m := newModel(seed+11, highLoad, true, uneven)
		m.change = func(map[string]speed.Factor) map[string]speed.Factor { return nil }
		m.run(playTime)
		t.Log("preference alone:", m.figures(settleTime))
	}
	for seed := range uint64(2) {
		play(t, seed+11, usualLoad, uneven)
		m := newModel(seed+11, usualLoad, true, uneven)
		m.change = func(map[string]speed.Factor) map[string]speed.Factor { return nil }
		m.run(playTime)
		t.Log("preference alone:", m.figures(settleTime))
	}
	w := func(k int, _ time.Duration, inFlight int) float64 {
		if k == 5 && inFlight > modelSlots/2 {
			return 3
		}
		return 1
	}
	for _, l := range []float64{.6, 1} {
		m := newModel(5, l, true, w)
		o := newModel(5, l, false, w)
		o.run(playTime)
		for range 6 {
			m.run(playTime / 6)
			t.Log("bent", l, m.factors[m.endpoints[5].report.ID], m.arrivals(5, m.now-5*time.Second, m.now), o.arrivals(5, m.now-5*time.Second, m.now), len(m.answers)*5/30/112)
		}
	}
}
