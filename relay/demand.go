package relay

import (
	"sync"
	"time"

	"github.com/hickoryshelf/hickoryshelf/tiers"
)

// demands holds what this host has seen of the requests to each service. It is safe for concurrent use.
type demands struct {
	lock     *sync.Mutex
	services map[string]serviceDemand
}

// serviceDemand is the demand for a service and the error of the estimated waits at its endpoints.
type serviceDemand struct {
	demand   tiers.Demand
	lateness tiers.Lateness
}

func newDemands() demands {
	return demands{lock: &sync.Mutex{}, services: map[string]serviceDemand{}}
}

// addRequest adds a request to the demand for a service.
func (d demands) addRequest(service string, value float64) {
	d.lock.Lock()
	defer d.lock.Unlock()
	s := d.services[service]
	s.demand = s.demand.WithRequest(value)
	d.services[service] = s
}

// addWait adds the measured wait for the start of an answer, and its estimate.
func (d demands) addWait(service string, measured, estimated time.Duration) {
	d.lock.Lock()
	defer d.lock.Unlock()
	s := d.services[service]
	s.lateness = s.lateness.With(measured, estimated)
	d.services[service] = s
}

// get returns the demand for a service and the error of the estimated waits at its endpoints.
func (d demands) get(service string) (tiers.Demand, tiers.Lateness) {
	d.lock.Lock()
	defer d.lock.Unlock()
	s := d.services[service]
	return s.demand, s.lateness
}
