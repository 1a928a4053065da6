package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/relay"
	"github.com/hickoryshelf/hickoryshelf/speed"
)

// pacedReader yields events with pauses between them, or between bursts of them.
type pacedReader struct {
	pause  time.Duration
	burst  int
	events int
	buffer bytes.Buffer
	sent   int
}

func (r *pacedReader) Read(b []byte) (int, error) {
	if r.buffer.Len() == 0 && r.sent < r.events {
		time.Sleep(r.pause)
		r.sent++
		for k := range max(1, r.burst) {
			_, _ = fmt.Fprintf(&r.buffer, "id: %d-%d\ndata: x\n\n", r.sent, k)
		}
	}
	return r.buffer.Read(b)
}

// gapsOf returns the weight of the samples of gaps that a meter has to report, and the mean of their logarithms.
func gapsOf(m *speed.Meter) (count, mean float64) {
	for _, s := range m.Take(time.Now()) {
		for _, c := range s.Cells {
			if c.Place/speed.Bands == int(speed.Gap) {
				count, mean = count+float64(c.Count)/1000, mean+float64(c.Sum)/1000
			}
		}
	}
	return count, mean / max(count, 0.001)
}

// Guards against samples that are never taken, and against samples on hosts whose settings don't ask for them.
func TestStreamsTellSpeedOfEndpoints(t *testing.T) {
	for _, shared := range []bool{false, true} {
		t.Run(fmt.Sprint(shared), func(t *testing.T) {
			inSynctest(t, func(t *testing.T, i *is.I) {
				h := newHarness(2, func(_ int, _ context.Context, _ relay.Attempt) relay.Reply {
					r := ran("")
					r.Body = body{Reader: &pacedReader{pause: 30 * time.Millisecond, events: 30}}
					return r
				})
				if shared {
					h.relay.Speeds = speed.NewMeter()
				}
				for range 8 {
					i.Equal(h.serve(t.Context(), "/write/a", "key").status, 200)
				}
				if !shared {
					i.True(h.relay.Speeds == nil)
					return
				}
				n, _ := gapsOf(h.relay.Speeds)
				i.True(n > 3) // faded
			})
		})
	}
}

// Guards against gaps that are divided by the factor at the time of the choice: a factor that comes during an answer, or that of
// another band, would change what counts as usual.
func TestGapsCarryTheFactorOfNow(t *testing.T) {
	inSynctest(t, func(t *testing.T, i *is.I) {
		var h *harness
		h = newHarness(1, func(_ int, _ context.Context, a relay.Attempt) relay.Reply {
			f := map[string]speed.Factor{a.Endpoint.ID: {Born: a.Endpoint.Born, Steps: [speed.Bands]int8{35, 35, 35, 35}}}
			h.relay.Endpoints.SetSpeeds(f, true, time.Now())
			r := ran("")
			r.Body = body{Reader: &pacedReader{pause: 60 * time.Millisecond, events: 80}}
			return r
		})
		h.relay.Speeds = speed.NewMeter()
		for range 2 {
			i.Equal(h.serve(t.Context(), "/write/a", "key").status, 200)
			h.relay.Endpoints.SetSpeeds(nil, true, time.Now()) // the next choice knows no factor
		}
		n, mean := gapsOf(h.relay.Speeds)
		i.True(n > 0 && mean > 0.6) // twice the usual time: 0.69
	})
}

// Guards against samples that hold the interval of bursts, or nothing, where a host reads several events at once.
func TestGapsOfEventsThatArriveAtOnceAreTheirMean(t *testing.T) {
	inSynctest(t, func(t *testing.T, i *is.I) {
		burst := 1
		h := newHarness(1, func(_ int, _ context.Context, _ relay.Attempt) relay.Reply {
			r := ran("")
			r.Body = body{Reader: &pacedReader{pause: time.Duration(burst) * 30 * time.Millisecond, burst: burst, events: 162 / burst}}
			return r
		})
		h.relay.Speeds = speed.NewMeter()
		for burst = 1; burst <= 3; burst++ {
			i.Equal(h.serve(t.Context(), "/write/a", "key").status, 200)
			n, mean := gapsOf(h.relay.Speeds)
			i.True(n > 0 && math.Abs(mean) < 0.15)
		}
	})
}

// Guards against an endpoint that looks fast because it refuses at once: failures tell nothing of its speed.
func TestFailuresTellNoSpeed(t *testing.T) {
	for _, status := range []int{200, 404} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			inSynctest(t, func(t *testing.T, i *is.I) {
				h := newHarness(1, func(_ int, _ context.Context, _ relay.Attempt) relay.Reply {
					r := ran("x")
					r.Status = status
					time.Sleep(30 * time.Millisecond)
					return r
				})
				h.relay.Speeds = speed.NewMeter()
				h.set.SetSpeeds(nil, true, time.Now())
				for range 20 {
					i.Equal(h.serve(t.Context(), "/look/a", "key").status, status)
				}
				i.Equal(len(h.relay.Speeds.Take(time.Now())) > 0, status == 200)
			})
		})
	}
}
