// Package placer decides which endpoints load or unload a version, so that each live version has its declared number of
// replicas in each data centre and withdrawn versions have none.
package placer

import (
	"cmp"
	"slices"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// Order tells an endpoint to load or unload a version. Orders are idempotent: repeating one changes nothing.
type Order struct {
	// Fence is the fencing number, which grows with each new leader. Endpoints that check it refuse an order with a
	// lower number than they have seen.
	Fence    uint64
	Endpoint model.Endpoint
	// Load and Unload are the names of versions; one of the two is empty.
	Load   string
	Unload string
}

// Next returns the orders that move the endpoints towards the configuration: at most one order for each endpoint that
// isn't busy, and at most maxLoads orders to load, because the weight store limits the rate of loads.
func Next(config model.Config, endpoints []model.Endpoint, busy func(endpoint string) bool, maxLoads int) []Order {
	var r []Order
	t := func(e model.Endpoint) bool {
		return busy(e.ID) || slices.ContainsFunc(r, func(o Order) bool { return o.Endpoint.ID == e.ID })
	}
	for _, v := range config.Versions {
		if v.State == model.VersionWithdrawn {
			r = append(r, unloadOrders(v, endpoints, t)...)
		}
	}
	for _, v := range config.Versions {
		if v.State != model.VersionLive || v.Replicas == 0 {
			continue
		}
		for _, d := range config.DataCentres() {
			for _, o := range replicaOrder(v, orderableIn(endpoints, d), t) {
				if o.Load != "" && maxLoads <= 0 {
					continue
				}
				if o.Load != "" {
					maxLoads--
				}
				r = append(r, o)
			}
		}
	}
	return r
}

// orderableIn returns the endpoints of a data centre that take orders and aren't leaving.
func orderableIn(endpoints []model.Endpoint, dataCentre string) []model.Endpoint {
	return slices.DeleteFunc(slices.Clone(endpoints), func(e model.Endpoint) bool {
		return e.DataCentre != dataCentre || e.Leaving || !e.TakesOrders
	})
}

// unloadOrders returns orders to unload a withdrawn version from each endpoint that holds it and isn't busy.
func unloadOrders(v model.Version, endpoints []model.Endpoint, busy func(model.Endpoint) bool) []Order {
	var r []Order
	for _, e := range endpoints {
		if e.TakesOrders && e.Serves(v.Name) && !busy(e) {
			r = append(r, Order{Endpoint: e, Unload: v.Name})
		}
	}
	return r
}

// replicaOrder returns at most one order: to load the version if too few endpoints hold it, to unload it if too many do.
// It compares only the endpoints' current state with the number of replicas, so a rollout that was interrupted continues
// or is undone from any intermediate state.
func replicaOrder(v model.Version, endpoints []model.Endpoint, busy func(model.Endpoint) bool) []Order {
	var h, f []model.Endpoint
	for _, e := range endpoints {
		switch {
		case e.Serves(v.Name):
			h = append(h, e)
		case !busy(e):
			f = append(f, e)
		}
	}
	if len(h) < v.Replicas && len(f) > 0 {
		e := slices.MinFunc(f, func(a, b model.Endpoint) int {
			return cmp.Or(cmp.Compare(len(a.Holds), len(b.Holds)), cmp.Compare(a.ID, b.ID))
		})
		return []Order{{Endpoint: e, Load: v.Name}}
	}
	if len(h) > v.Replicas {
		e := slices.MaxFunc(h, func(a, b model.Endpoint) int {
			return cmp.Or(cmp.Compare(len(a.Holds), len(b.Holds)), cmp.Compare(a.ID, b.ID))
		})
		if !busy(e) {
			return []Order{{Endpoint: e, Unload: v.Name}}
		}
	}
	return nil
}
