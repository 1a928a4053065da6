package model

import "slices"

// Endpoint is an announcement by an endpoint, which is a model engine or a plain service.
type Endpoint struct {
	// ID is unique among endpoints and stays the same when the endpoint restarts.
	ID         string `json:"id"`
	DataCentre string `json:"data-centre"`
	// Address is the IP and port at which the endpoint accepts requests.
	Address string `json:"address"`
	// Incarnation increases with each start of the endpoint; a higher incarnation supersedes all lower ones.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each announcement within an incarnation.
	Sequence uint64 `json:"sequence"`
	// Holds lists the names of the loaded model versions, or the name of the plain service.
	Holds []string `json:"holds"`
	// Capacity is the number of requests that the endpoint runs concurrently, at least 1.
	Capacity int `json:"capacity"`
	// Running and Waiting are the endpoint's own counts of requests at the time of the announcement.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// ChecksFence is true if the endpoint refuses orders with an outdated fencing number.
	ChecksFence bool `json:"checks-fence"`
	// TakesOrders is true for engines that load and unload model versions when ordered to.
	TakesOrders bool `json:"takes-orders"`
	// Leaving is true once the endpoint is draining and accepts no new requests; it stays true for the rest of
	// the incarnation.
	Leaving bool `json:"leaving"`
}

// Check returns a *Fault if a field is invalid, and nil otherwise.
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

// Serves reports whether the endpoint has loaded the named version or is the named service.
func (e Endpoint) Serves(name string) bool { return slices.Contains(e.Holds, name) }

// Supersedes reports whether the announcement is newer than other, an announcement by the same endpoint.
func (e Endpoint) Supersedes(other Endpoint) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	return e.Sequence > other.Sequence
}
