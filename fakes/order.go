package fakes

import (
	"encoding/json"
	"net/http"
	"slices"
)

// Order tells an engine to load or unload a version.
type Order struct {
	// Fence is the fencing number; engines that check it refuse an order with a lower one than they have seen.
	Fence  uint64 `json:"fence"`
	Load   string `json:"load"`
	Unload string `json:"unload"`
}

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

// LoadedVersions returns the versions that the engine holds.
func (e *Engine) LoadedVersions() []string {
	e.lock.Lock()
	defer e.lock.Unlock()
	return slices.Clone(e.loaded)
}

// StaleOrders returns how many orders came with an old fencing number.
func (e *Engine) StaleOrders() int {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.staleOrders
}
