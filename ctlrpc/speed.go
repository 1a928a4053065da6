package ctlrpc

import "github.com/hickoryshelf/hickoryshelf/speed"

// SpeedReport is what an entry host has measured of endpoints, by endpoint ID: those that have changed since it last reported,
// at most speed.MaxChanges.
type SpeedReport map[string]speed.Sums

// SpeedUpdate holds what all entry hosts together found out about the speed of endpoints.
type SpeedUpdate struct {
	// Shared is set by control hosts that share speeds, for hosts that ask. Older builds don't set it.
	Shared bool
	// New is set if Factors is complete. Otherwise it holds some of the factors that have changed, at most speed.MaxChanges.
	New     bool
	Factors map[string]speed.Factor
}
