package ctlrpc

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/shed"
)

// Demand is the work that was asked for lately, by service. Without services it says nothing.
type Demand struct {
	Services map[string]shed.Demand
	// Age is the time since it was counted, or that of the oldest part of a sum.
	Age time.Duration
	// SumAge is the time since a sum was made, and Summed is set by builds that state it.
	SumAge time.Duration
	Summed bool
}

// HasServices reports whether it says anything.
func (d Demand) HasServices() bool { return len(d.Services) > 0 }

// Order returns the age by which sums are ordered. Older builds state only that of the oldest part.
func (d Demand) Order() time.Duration {
	if d.Summed {
		return d.SumAge
	}
	return d.Age
}

// Plus returns the sum of two demands, with the higher age.
func (d Demand) Plus(o Demand) Demand {
	r := Demand{Services: make(map[string]shed.Demand, len(d.Services)), Age: max(d.Age, o.Age)}
	for s, v := range d.Services {
		r.Services[s] = v
	}
	for s, v := range o.Services {
		r.Services[s] = r.Services[s].Plus(v)
	}
	return r
}
