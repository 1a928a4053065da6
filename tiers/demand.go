package tiers

import "time"

// demandWindow is the number of requests over which Demand averages.
const demandWindow = 50

// Demand describes the requests that share the endpoints of a service, by a moving average over those of this host. It is
// an immutable value; the zero value stands for no requests.
type Demand struct {
	// value is the mean value of a request, and requests their number up to the one from which the mean moves slowly.
	value    float64
	requests int
}

// WithRequest returns the demand after a request with a value.
func (d Demand) WithRequest(value float64) Demand {
	d.requests = min(d.requests+1, demandWindow)
	d.value += (value - d.value) / float64(d.requests)
	return d
}

// Value returns the mean value of a request.
func (d Demand) Value() float64 { return d.value }

// delayCost returns the value that other requests lose if an endpoint is busy for the given time, where requests wait
// for queue on average: those in the queue each wait for that much longer. rate is the share of a mean value that is lost
// for each second of work and each second of the queue.
func (d Demand) delayCost(work, queue time.Duration, rate float64) float64 {
	return d.value * rate * queue.Seconds() * work.Seconds()
}
