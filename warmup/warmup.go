// Package warmup bounds the requests that all entry hosts together send to an endpoint that is still cold after its start. Each
// control host of the control log owns a part of the limit of each cold endpoint and lends it, as a permit under a lease, to one
// entry host at a time. A host without a permit sends nothing to a cold endpoint. The package uses no network and no clock: times
// are durations since an origin that the caller chooses.
//
// With n control hosts and a rate of r requests a second, a permit allows one request each n/r seconds, also across a change of its
// holder. A request is sent within SendTime of its choice or not at all. In any window of one second a permit hence lets at most
//
//	floor((1 s + SendTime) * r / n) + 1
//
// requests through. Limits.lenders bounds the control hosts that lend so that the sum keeps within the limit, with room for one that
// was added or removed without the knowledge of the others. No number of entry hosts is part of it.
package warmup

import (
	"math"
	"time"
)

const (
	// SendTime is how long after its choice a request may be sent under a permit.
	SendTime = 150 * time.Millisecond
	// leaseTime is how long a host may use a permit after it has asked for it.
	leaseTime = time.Second
	// holdTime is how long a control host counts a permit as lent after it has built the reply. It exceeds leaseTime by what clocks
	// and the times of events may differ.
	holdTime = 1200 * time.Millisecond
	// window is the span in which the limit counts requests.
	window = time.Second
	// MaxWishes bounds the endpoints that a host asks for at once.
	MaxWishes = 32
)

// Limits are what a cold endpoint accepts in any window of one second: Overage times the rate of its service, plus Slack. The zero
// value turns the limit off.
type Limits struct{ Overage, Slack float64 }

// On reports whether cold endpoints have a limit.
func (l Limits) On() bool { return l.Overage > 0 || l.Slack > 0 }

// interval returns the time between two requests under the permit of one of n control hosts.
func interval(rate float64, controls int) time.Duration {
	d := math.Ceil(float64(controls) / rate * float64(time.Second))
	return time.Duration(min(d, float64(maxInterval)))
}

// maxInterval bounds the interval of very low rates, so that sums of times don't overflow.
const maxInterval = time.Hour

// perPermit returns how many requests the permit of one of n control hosts lets through at most in a window.
func perPermit(rate float64, controls int) float64 {
	return math.Floor(float64(window+SendTime)/float64(interval(rate, controls))) + 1
}

// lenders returns how many of a number of control hosts may lend a rate. They, and one more that was added or removed without their knowledge, keep within
// the limit. While control hosts change from n-1 to n, permits of both numbers are in use, and those of n-1 let more through: so there are at most one
// more lenders than for n-1, and what the others leave of the limit.
func (l Limits) lenders(rate float64, controls int) int {
	if !l.On() || rate <= 0 || controls <= 0 {
		return 0
	}
	limit := l.Overage*rate + l.Slack
	if controls == 1 {
		return int(min(limit/perPermit(rate, 1), 1))
	}
	m, left := 0, 0.0
	for n := 2; n <= controls; n++ {
		p := perPermit(rate, n)
		k := int(min(limit/p-1, float64(n)))
		if m > 0 { // with n-1 some lend
			k = int(min(float64(k), float64(m+1)+left/p))
		}
		m = max(0, k)
		left = limit - float64(m+1)*p
	}
	return m
}

// Wish is a cold endpoint that a host would use now.
type Wish struct {
	Endpoint string
	// Rate is the number of requests a second that the endpoint takes while it is cold.
	Rate float64
}

// Permit allows a host to send requests to a cold endpoint.
type Permit struct {
	Endpoint string
	// Lease is how long the permit may be used after the host has asked for it, and Interval the least time between two requests.
	Lease, Interval time.Duration
	// Delay is how long after it has asked the host waits with the first request under a new permit.
	Delay time.Duration
}
