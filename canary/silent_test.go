package canary_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/canary"
)

// muteReason is the reason for which a version without any answer is rolled back.
const muteReason = "no endpoint of the version has answered a request"

// muteDay is a day on which the endpoints of the new version are ready and take no request.
func muteDay(perSec float64, sessions int) day {
	d := portal()
	d.mute, d.perSec, d.sessions = true, perSec, sessions
	return d
}

// Guards against a promotion that ends the old endpoints though none of the new ones, which are ready, has ever answered a request.
func TestVersionThatAnswersNothingIsRolledBack(t *testing.T) {
	for _, perSec := range []float64{5, 31, 100} {
		for _, sessions := range []int{0, 40} {
			t.Run(fmt.Sprint(perSec, " a second, sessions ", sessions), func(t *testing.T) {
				for s := range uint64(20) {
					if r := play(muteDay(perSec, sessions), s); r.outcome != canary.RolledBack || r.reason != muteReason {
						t.Errorf("seed %d: %s at %v (%s)", s, r.outcome, r.at, r.reason)
					}
				}
			})
		}
	}
}

// Guards against taking a version for bad, or for good, that has got no request by chance since its service has few.
func TestVersionWithoutAnswersGoesOnWhileOthersHaveFew(t *testing.T) {
	for _, n := range []int{30, 60, 99} {
		i := is.New(t)
		_, _, ok := canary.Decide(rollout, 3*budget, bound, canary.Assessment{OtherAnswers: n}, canary.EndpointCounts{Target: 4, Others: 4})
		i.True(!ok) // neither promoted nor rolled back
	}
}

// Guards against good versions of services with sessions and few requests that are rolled back since they have got no request by chance.
func TestGoodVersionIsNotTakenForMute(t *testing.T) {
	for _, perSec := range []float64{2, 4, 5, 8, 31} {
		for s := range uint64(100) {
			d := muteDay(perSec, 40)
			d.mute = false
			if r := play(d, s); r.outcome == canary.Running || r.reason == muteReason {
				t.Errorf("%v a second, seed %d: %s at %v (%s)", perSec, s, r.outcome, r.at, r.reason)
			}
		}
	}
}
