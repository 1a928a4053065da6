// Package placer holds the placement of versions on engines: which of them should load or unload a version, so
// that each live version is held by as many endpoints of each data centre as it is declared for, and withdrawn
// ones by none.
package placer

import (
	"cmp"
	"slices"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// Order tells an endpoint to load or unload a version. It is idempotent: the same order again changes nothing.
type Order struct {
	// Fence grows from leader to leader; endpoints that check it refuse an order with a lower one.
	Fence    uint64
	Endpoint model.Endpoint
	// Load and Unload name versions; one of them is empty.
	Load   string
	Unload string
}

// Next returns the orders that bring the endpoints nearer to the configuration, at most one for each
// endpoint that isn't busy, and at most loads of them to load, since the weight store's rate is limited.
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

func orderableIn(endpoints []model.Endpoint, dataCentre string) []model.Endpoint {
	return slices.DeleteFunc(slices.Clone(endpoints), func(e model.Endpoint) bool {
		return e.DataCentre != dataCentre || e.Leaving || !e.TakesOrders
	})
}

// unloadOrders takes a withdrawn version off every endpoint that holds it.
func unloadOrders(v model.Version, endpoints []model.Endpoint, busy func(model.Endpoint) bool) []Order {
	var r []Order
	for _, e := range endpoints {
		if e.TakesOrders && e.Holding(v.Name) && !busy(e) {
			r = append(r, Order{Endpoint: e, Unload: v.Name})
		}
	}
	return r
}

// replicaOrder returns one order at most: a load where too few endpoints hold the version, an unload where too
// many do. A stopped roll-out goes on or back with the number of replicas, from wherever it stands.
func replicaOrder(v model.Version, endpoints []model.Endpoint, busy func(model.Endpoint) bool) []Order {
	var h, f []model.Endpoint
	for _, e := range endpoints {
		switch {
		case e.Holding(v.Name):
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
