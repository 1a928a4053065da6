package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/route"
)

const (
	// deviation is the standard deviation of a rating. It includes the variation of the answers and of the rating
	// service.
	deviation = 0.11
	quality   = 0.84
	// ratingsPerHour is the number of ratings of a version in an hour, at four ratings a second.
	ratingsPerHour = 4 * 3600
)

var subject = route.Subject{Version: "v@1", Class: "x"}

// feedRatings adds up to count random ratings around mean, until the version's health is at least as bad as until.
// It returns the evidence and the number of ratings added.
func feedRatings(e route.Evidence, r *rand.Rand, mean float64, count int, until route.Health) (route.Evidence, int) {
	for k := range count {
		v := min(1, max(0, mean+deviation*r.NormFloat64()))
		e, _, _ = e.WithRating(route.Rating{Kind: route.Quality, Version: subject.Version, Class: subject.Class, Value: v}, time.Duration(k)*time.Second/4)
		if e.Stat(subject).Health >= until {
			return e, k + 1
		}
	}
	return e, count
}

// TestSteadyVersionIsNotQuarantined checks that a version of constant quality isn't quarantined in 100 hours of
// ratings. The users' requirement is at most one false quarantine in 1,000 version-hours.
func TestSteadyVersionIsNotQuarantined(t *testing.T) {
	i := is.New(t)
	e, n := feedRatings(route.NewEvidence(), rand.New(rand.NewPCG(1, 1)), quality, 100*ratingsPerHour, route.Quarantined)
	i.Equal(n, 100*ratingsPerHour)
	i.True(e.Stat(subject).Health != route.Quarantined)
}

// TestQualityDropIsDetected checks that after a drop of quality by 0.3 a version becomes suspect within 4 ratings
// and quarantined within 10 ratings, on average over 100 runs.
func TestQualityDropIsDetected(t *testing.T) {
	i := is.New(t)
	s, q := 0, 0
	for k := range 100 {
		r := rand.New(rand.NewPCG(uint64(k), 2))
		e, _ := feedRatings(route.NewEvidence(), r, quality, 500, route.Quarantined)
		_, n := feedRatings(e, r, quality-0.3, 100, route.Suspect)
		_, m := feedRatings(e, r, quality-0.3, 100, route.Quarantined)
		s, q = s+n, q+m
	}
	t.Logf("suspect after %.1f ratings, quarantined after %.1f", float64(s)/100, float64(q)/100)
	i.True(s <= 400)
	i.True(q <= 1000)
}

// TestOneSlowEndpointKeepsVersionHealthy checks that a single slow endpoint doesn't reduce the health of its version,
// while slow answers from two endpoints quarantine the version.
func TestOneSlowEndpointKeepsVersionHealthy(t *testing.T) {
	i := is.New(t)
	e := route.NewEvidence()
	p := func(endpoint string, v float64) {
		e, _, _ = e.WithRating(route.Rating{Kind: route.TokenTime, Version: subject.Version, Class: subject.Class, Value: v, Endpoint: endpoint}, 0)
	}
	for range 50 {
		p("a", 25)
	}
	for range 50 {
		p("a", 200)
	}
	i.Equal(e.Stat(subject).Health, route.Healthy)
	for range 10 {
		p("a", 200)
		p("b", 200)
	}
	i.Equal(e.Stat(subject).Health, route.Quarantined)
}
