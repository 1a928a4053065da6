package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/speed"
)

const (
	// settleTime is the time until the model's hosts know the endpoints, and playTime the end of a play.
	settleTime = 10 * time.Second
	playTime   = 30 * time.Second
	// tenth is the logarithm that a factor within a tenth of 1 doesn't exceed.
	tenth = 0.1
)

func even(int, time.Duration, int) float64 { return 1 }

func uneven(k int, _ time.Duration, _ int) float64 { return []float64{0.6, 1, 1.6}[k%3] }

// play returns the figures of a world without and with shared speeds, and the model with them.
func play(t *testing.T, seed uint64, load float64, w world) (off, on figures, m *model) {
	t.Helper()
	o := newModel(seed, load, false, w)
	o.run(playTime)
	m = newModel(seed, load, true, w)
	m.run(playTime)
	off, on = o.figures(settleTime), m.figures(settleTime)
	t.Logf("seed %d, load %.1f, off: %v", seed, load, off)
	t.Logf("seed %d, load %.1f, on:  %v", seed, load, on)
	return off, on, m
}

// Guards against hosts that don't find out which endpoints are fast, so that slow ones get as much as fast ones.
func TestUnevenEndpointsUnderHighLoadAreLateLessOften(t *testing.T) {
	i := is.New(t)
	var before, after float64
	for seed := range uint64(3) {
		off, on, m := play(t, seed+1, highLoad, uneven)
		before, after = before+off.late, after+on.late
		i.True(m.meanFactor(0) < 0.75 && m.meanFactor(2) > 1.3)
	}
	i.True(after < before)
}

// Guards against factors that noise makes, and against hosts that all choose the same endpoint because they know the same. The
// sums of several plays are compared, since the model isn't the same twice: pick takes any of equal endpoints.
func TestEvenEndpointsUnderHighLoadStayAsTheyWere(t *testing.T) {
	i := is.New(t)
	var before, after float64
	for seed := range uint64(3) {
		off, on, m := play(t, seed+1, highLoad, even)
		before, after = before+off.late, after+on.late
		i.True(m.largestLog() <= tenth)
	}
	i.True(after <= before)
}

// Guards against factors that noise makes at bands of load with few samples.
func TestEvenEndpointsUnderUsualLoadKeepTheFactorOne(t *testing.T) {
	i := is.New(t)
	m := newModel(3, usualLoad, true, even)
	for range 20 {
		m.run(time.Second)
		i.True(m.largestLog() <= tenth)
	}
}

// Guards against a memory that is too long, and against an endpoint that is avoided so that nobody sees it get faster again.
func TestChangeOfSpeedUnderUsualLoadIsFollowedWithinFiveSeconds(t *testing.T) {
	i := is.New(t)
	const slower, faster, change = 7, 8, 15 * time.Second
	m := newModel(4, usualLoad, true, func(k int, t time.Duration, _ int) float64 {
		if k == slower && t >= change || k == faster && t < change {
			return 1.6
		}
		return 1
	})
	m.run(change)
	a, b := m.factor(slower, 1), m.factor(faster, 1)
	m.run(5 * time.Second)
	c, d := m.factor(slower, 1), m.factor(faster, 1)
	t.Logf("slower from %.2f to %.2f, faster from %.2f to %.2f", a, c, b, d)
	h := math.Sqrt(1.6) // half of the change
	i.True(c >= h)
	i.True(d <= h)
	i.True(m.arrivals(faster, 5*time.Second, change) > 0)
}

// Guards against an endpoint that gets as many requests as others although it slows down long before it is full.
func TestEndpointThatBendsAtHalfOfItsSlotsUnderHighLoadGetsLess(t *testing.T) {
	i := is.New(t)
	const bent = 5
	w := func(k int, _ time.Duration, inFlight int) float64 {
		if k == bent && inFlight > modelSlots/2 {
			return 3
		}
		return 1
	}
	o := newModel(5, highLoad, false, w)
	o.run(playTime)
	m := newModel(5, highLoad, true, w)
	m.run(playTime)
	a, b := o.arrivals(bent, settleTime, playTime), m.arrivals(bent, settleTime, playTime)
	var t0 float64
	for k := range modelEndpoints {
		t0 += m.arrivals(k, settleTime, playTime) / modelEndpoints
	}
	t.Logf("requests to the endpoint: off %.0f, on %.0f; mean endpoint %.0f; factors %v", a, b, t0, m.factors[m.endpoints[bent].report.ID])
	i.True(b < t0)
}

// Guards against a failure of the whole from factors that are wrong, as from a fault in the measurement.
func TestWrongFactorsUnderUsualLoadCostLittle(t *testing.T) {
	i := is.New(t)
	d := rand.New(rand.NewPCG(6, 6))
	w := map[string]speed.Factor{}
	o := newModel(6, usualLoad, false, even)
	o.run(playTime)
	m := newModel(6, usualLoad, true, even)
	for _, e := range m.endpoints {
		f := speed.Factor{Born: 1}
		s := int8(d.IntN(41) - 20) // from 0.67 to 1.49
		for b := range f.Steps {
			f.Steps[b] = s
		}
		w[e.report.ID] = f
	}
	m.change = func(map[string]speed.Factor) map[string]speed.Factor { return w }
	m.run(playTime)
	off, on := o.figures(settleTime), m.figures(settleTime)
	t.Log("off:", off)
	t.Log("wrong:", on)
	i.True(on.late <= off.late+0.01)
}

// Guards against a host that learns anew after its start what the others know.
func TestHostThatStartsTakesOverWhatOthersKnow(t *testing.T) {
	i := is.New(t)
	m := newModel(7, usualLoad, true, uneven)
	m.run(settleTime)
	h := m.hosts[3]
	m.startHost(h)
	m.exchange(h)
	i.True(len(m.factors) > 0)
	i.Equal(len(h.set.SetSpeeds(m.factors, true, m.at())), 0) // no change: it holds them all
}

// Guards against figures of the process before that are used for an endpoint that has started again.
func TestEndpointThatStartsAgainIsUnknown(t *testing.T) {
	i := is.New(t)
	now := settleTime
	slow := true
	m := newModel(8, usualLoad, true, func(k int, _ time.Duration, _ int) float64 {
		if k == 2 && slow {
			return 1.6
		}
		return 1
	})
	m.run(now)
	i.True(m.factor(2, 1) > 1.3)
	o := m.factors[m.endpoints[2].report.ID]
	slow = false
	m.startEndpoint(2)
	for _, h := range m.hosts {
		i.Equal(len(h.set.SetSpeeds(map[string]speed.Factor{"e002": o}, false, m.at())), 0) // of the start before
	}
	m.run(300 * time.Millisecond) // the estimate is renewed
	i.True(math.Abs(math.Log(m.factor(2, 1))) <= tenth)
}

// meanFactor returns the mean factor at the second band of every third endpoint.
func (m *model) meanFactor(first int) float64 {
	var t, n float64
	for k := first; k < modelEndpoints; k += 3 {
		t, n = t+m.factor(k, 1), n+1
	}
	return t / n
}

// largestLog returns the largest logarithm of a factor, without its sign.
func (m *model) largestLog() float64 {
	var x float64
	for _, f := range m.factors {
		for b := range speed.Bands {
			x = max(x, math.Abs(math.Log(f.At(b))))
		}
	}
	return x
}
