package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/route"
)

// newState returns a state with endpoints in one data centre that hold the first two versions, a configuration with
// rated versions and a contract that allows all of them.
func newState(endpoints, versions int) (route.State, model.Config, model.Contract) {
	s := route.NewState()
	var c model.Config
	k := model.Contract{Customer: "c", Share: 1, Classes: []model.ClassTerms{{Class: "x", Quality: 0.5}}}
	for v := range versions {
		n := fmt.Sprintf("v%d@1", v)
		c = c.WithVersion(model.Version{Name: n, Cost: model.Price{OutputMicros: int64(100 + v)}, Trusted: true})
		k.Versions = append(k.Versions, n)
		for range 50 {
			s.Evidence, _, _ = s.Evidence.WithRating(route.Rating{Kind: route.Quality, Version: n, Class: "x", Value: 0.8}, 0)
		}
	}
	for e := range endpoints {
		s = s.WithAnnouncement(model.Endpoint{
			ID: fmt.Sprintf("e%d", e), DataCentre: "d", Address: "a", Incarnation: 1, Sequence: 1, Holds: k.Versions[:min(2, versions)], Capacity: 16, Running: e % 16,
		}, 0, 0)
	}
	return s, c.WithRevision(1), k
}

// BenchmarkDecision measures one routing decision: choosing a version and an endpoint, and counting a request at
// the endpoint in and out.
func BenchmarkDecision(b *testing.B) {
	for _, v := range []int{4, 31} {
		for _, e := range []int{12, 120, 610} {
			b.Run(fmt.Sprintf("versions=%d/endpoints=%d", v, e), func(b *testing.B) {
				s, c, k := newState(e, v)
				q := route.VersionQuery{Contract: k, Terms: k.Classes[0], Draw: 0.9}
				d := []string{"d"}
				h := func(n string) bool { return s.HasUsableEndpoint(n, d) }
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					x := route.ChooseVersion(c, s.Evidence, q, h, time.Second)
					p, ok := s.ChooseEndpoint(route.EndpointQuery{Target: x.Versions[0], DataCentres: d, Seed: uint64(i)}, time.Second)
					if !ok {
						b.Fatal("no endpoint")
					}
					s = s.WithOwnRequests(p.Endpoint.ID, 1, 1, time.Second).WithOwnRequests(p.Endpoint.ID, 1, -1, time.Second)
				}
			})
		}
	}
}
