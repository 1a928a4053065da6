package ttft_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ttft"
)

const (
	// perToken is the true prefill time of the first token in nanoseconds. quadratic is the factor of the squared
	// prompt length, since each token is attended to by all later ones.
	perToken  = 43000.0
	quadratic = 0.53
	cost      = 0.3
)

// trueWait returns the true prefill time of a prompt on an idle endpoint.
func trueWait(tokens int) time.Duration {
	t := float64(tokens)
	return time.Duration(t*perToken + t*t*quadratic)
}

// Some waits are shorter than on an idle endpoint because part of the prompt is cached, and some are longer because
// of other requests. The estimate still matches the idle endpoint, for short and for very long prompts.
func TestEstimateIsAccurateForAllPromptLengths(t *testing.T) {
	for s := range uint64(20) {
		d := rand.New(rand.NewPCG(s, 1))
		e := ttft.New()
		for range 150 {
			n := 1500 + int(d.ExpFloat64()*6000)
			w := trueWait(n)
			switch x := d.Float64(); {
			case x < 0.2:
				w = time.Duration(float64(w) * (0.2 + 0.7*d.Float64()))
			case x > 0.6:
				w += time.Duration(d.ExpFloat64() * float64(w) / 2)
			}
			e.Observe("m", cost, n, ttft.BaseLatency+w, 0)
		}
		for _, n := range []int{2000, 10000, 25000, 50000} {
			if r := float64(e.PrefillTime("m", cost, n)) / float64(trueWait(n)); r < 0.85 || r > 1.2 {
				t.Errorf("seed %d: the estimate for %d tokens is %.2f of the true time", s, n, r)
			}
		}
	}
}

func TestWaitsWithBacklogAreIgnored(t *testing.T) {
	p := ttft.New()
	b := p.PrefillTime("m", cost, 10000)
	for range 100 {
		p.Observe("m", cost, 10000, time.Minute, time.Second)
	}
	if a := p.PrefillTime("m", cost, 10000); a != b {
		t.Errorf("the estimate changed from %v to %v", b, a)
	}
}
