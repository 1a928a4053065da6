package model

import "slices"

// Endpoint is one announcement of a model engine or plain service.
type Endpoint struct {
	// ID is unique among endpoints and outlives restarts of the endpoint.
	ID         string `json:"id"`
	DataCentre string `json:"data-centre"`
	// Address is the IP and port that take requests.
	Address string `json:"address"`
	// Incarnation grows with each start of the endpoint; a higher one supersedes all lower.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Holds are the names of loaded versions, or the name of the plain service.
	Holds []string `json:"holds"`
	// Capacity is the number of requests the endpoint runs at once, at least 1.
	Capacity int `json:"capacity"`
	// Running and Waiting are the endpoint's own counts when it announced.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// ChecksFence is true where the endpoint refuses orders with an old fencing number.
	ChecksFence bool `json:"checks-fence"`
	// TakesOrders is true for engines that load and unload versions on order.
	TakesOrders bool `json:"takes-orders"`
	// Leaving is true once the endpoint wants no new work; it never returns to false within an incarnation.
	Leaving bool `json:"leaving"`
}

// Check returns an error that names the field, the fault and the remedy.
func (e Endpoint) Check() error {
	switch {
	case e.ID == "" || e.DataCentre == "" || e.Address == "":
		return fault("endpoint", "lacks an id, a data centre or an address", "announce all three")
	case e.Incarnation == 0:
		return fault("incarnation", "is 0", "announce the start time as the incarnation")
	case e.Capacity < 1:
		return fault("capacity", "is below 1", "announce how many requests run at once")
	}
	return nil
}

// Serves reports whether the endpoint holds the named version or service.
func (e Endpoint) Serves(name string) bool { return slices.Contains(e.Holds, name) }

// Supersedes reports whether the announcement is newer than the other of the same endpoint.
func (e Endpoint) Supersedes(other Endpoint) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	return e.Sequence > other.Sequence
}
