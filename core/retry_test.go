package core_test

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/model"
)

const (
	apiKey  = "key"
	version = "fitting@1"
	// refusedRetries is more than the retry budget can hold.
	refusedRetries = 100
)

// retry asks for another attempt that isn't sent to the endpoint "first", and returns the next state and the decision.
func retry(s core.State, id string) (core.State, core.Decision) {
	a := core.RouteRequest{ID: id, RequestID: id, KeyHash: model.HashKey(apiKey), Version: version, ExcludeEndpoints: []string{"first"}, Retry: true}
	s, e := core.Reduce(s, s.Now, core.RouteRequested{Request: a})
	for _, x := range e {
		if r, ok := x.(core.AnswerRoute); ok {
			return s, r.Decision
		}
	}
	return s, core.Decision{}
}

// announce returns the state after an endpoint has announced itself.
func announce(s core.State, id string) core.State {
	e := model.Endpoint{ID: id, Address: id + ":1", Incarnation: 1, Sequence: 1, Holds: []string{version}, Capacity: 1}
	s, _ = core.Reduce(s, s.Now, core.EndpointAnnounced{Endpoint: e})
	return s
}

// TestRefusedRetryLeavesBudget guards against further attempts that are refused for lack of budget though none was made: the
// attempts asked for before had no endpoint.
func TestRefusedRetryLeavesBudget(t *testing.T) {
	i := is.New(t)
	s := core.NewState(core.Options{})
	s.Config.Contracts = []model.Contract{{
		Customer: "customer", KeyHashes: []string{model.HashKey(apiKey)}, Versions: []string{version}, Share: 1, MaxOutputTokens: 100,
		Classes: []model.ClassTerms{{Class: "chat"}},
	}}
	s = announce(s, "first")
	var d core.Decision
	for n := range refusedRetries {
		s, d = retry(s, "a"+strconv.Itoa(n))
		i.True(d.Refusal != nil) // no other endpoint
	}
	s = announce(s, "other")
	s, d = retry(s, "b")
	i.True(d.Refusal == nil)
	i.Equal(d.Endpoint.ID, "other")
}

// TestRetriesAreBounded guards against more further attempts than the retry budget allows.
func TestRetriesAreBounded(t *testing.T) {
	const burst = 20
	i := is.New(t)
	s := core.NewState(core.Options{})
	s.Config.Contracts = []model.Contract{{
		Customer: "customer", KeyHashes: []string{model.HashKey(apiKey)}, Versions: []string{version}, Share: 1, MaxOutputTokens: 100,
		Classes: []model.ClassTerms{{Class: "chat"}},
	}}
	n := 0
	for k := range refusedRetries {
		s = announce(s, "other"+strconv.Itoa(k))
		var d core.Decision
		if s, d = retry(s, "a"+strconv.Itoa(k)); d.Refusal == nil && d.Endpoint.ID != "" {
			n++
		}
	}
	i.True(n > 0)
	i.True(n <= burst)
}
