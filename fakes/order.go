package fakes

import (
	"encoding/json"
	"net/http"
	"slices"
)

// Order tells an engine to load or unload a version.
type Order struct {
	// Fence is the fencing number. An engine that checks it refuses an order with a lower number than that of an
	// order it has applied.
	Fence  uint64 `json:"fence"`
	Load   string `json:"load"`
	Unload string `json:"unload"`
}

// handleOrder applies an order and announces the new state at once. A refused order is answered with status 409.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.applyOrder(o) {
		http.Error(w, "the fencing number is old", http.StatusConflict)
		return
	}
	e.announcer.trigger()
	w.WriteHeader(http.StatusNoContent)
}

// applyOrder loads and unloads the versions of an order. It returns false, and changes nothing, if the engine checks
// the fencing number and that of the order is stale. Stale orders are counted in any case.
func (e *Engine) applyOrder(o Order) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	if o.Fence < e.fence {
		e.staleOrders++
	}
	if e.options.ChecksFence && o.Fence < e.fence {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	e.loaded = slices.DeleteFunc(e.loaded, func(h string) bool { return h == o.Unload })
	if o.Load != "" && !slices.Contains(e.loaded, o.Load) {
		e.loaded = append(e.loaded, o.Load)
	}
	return true
}

// LoadedVersions returns the versions that are loaded on the engine.
func (e *Engine) LoadedVersions() []string {
	e.lock.Lock()
	defer e.lock.Unlock()
	return slices.Clone(e.loaded)
}

// StaleOrders returns the number of orders with a stale fencing number, applied or not.
func (e *Engine) StaleOrders() int {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.staleOrders
}
