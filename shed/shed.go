// Package shed decides what happens to requests while the endpoints of a service have more of them than they can answer in time. A request
// may wait for a model, or be refused at once with a time to come back. What it loses by that is weighed against what it takes from the
// others that wait. The decision is a pure function of its inputs: it uses no network, no clock and no random numbers of its own.
package shed

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/tiers"
)

const (
	// freeShare is the part of the time that requests may wait below which all are admitted. Above it the admitted share falls to 0 at
	// fullShare, so that the wait settles between them whatever the demand is. The rest covers that hosts know each other's load late.
	freeShare = 0.4
	fullShare = 0.8
	// leastShare is the part of the mean admitted share that each kind and each client account keeps. A quarter is what all of them are
	// owed; the rest covers that waits are estimated.
	leastShare = 0.35
	// leastReturn is the least time after which a refused caller is asked to come back.
	leastReturn = 100 * time.Millisecond
	// returnShare is the part of the time left for which callers honour a time to come back.
	returnShare = 1.0 / 3
)

// Request is a request that needs an endpoint, with what its host knows of the others.
type Request struct {
	// Tiers are the models that may answer, as package tiers weighs them. Its list is empty where the caller chooses the model.
	Tiers tiers.Request
	// SlotTimes are the times for which the request would occupy a slot on each of them, and MeanSlotTime that of all requests.
	SlotTimes    []time.Duration
	MeanSlotTime time.Duration
	// Wait is the least estimated wait at the endpoints that may be used before they begin with the request, and Full is set if none of
	// them has a free slot.
	Wait time.Duration
	Full bool
	// Waiting is the least number of requests that wait at one of those endpoints beyond its slots.
	Waiting int
	// Allowed is the longest wait by which all kinds of requests that share the endpoints are in time.
	Allowed time.Duration
	// Work is the time from then on to the start of the answer, and Left the time until the deadline.
	Work, Left time.Duration
	Account    string
	Priority   int
	// Demand is that of the service.
	Demand Demand
	// Draw and ReturnDraw are independent random numbers from 0 to 1.
	Draw, ReturnDraw float64
}

// Outcome is what happens to a request.
type Outcome int

// Outcomes of requests.
const (
	// Serve means that the request waits for an endpoint.
	Serve Outcome = iota // serve
	// Hopeless means that no endpoint is expected to begin its answer before the deadline.
	Hopeless // hopeless
	// Shed means that the request is refused since others lose more by its wait than it loses by coming back.
	Shed // shed
)

//go:generate go tool stringer -type=Outcome -linecomment -output=enum_string.go

// Decision is what was decided on a request, and why.
type Decision struct {
	Outcome Outcome
	// Tier is the model that answers first.
	Tier int
	// RetryAfter is the time after which a refused caller should come back.
	RetryAfter time.Duration
	// Mean is the share of all requests that is admitted, and Share that of requests like this one.
	Mean, Share float64
}

// Chooser chooses among the options of a request. It is an immutable value.
type Chooser struct{ tiers tiers.Chooser }

// NewChooser returns a chooser that chooses models as c does.
func NewChooser(c tiers.Chooser) Chooser { return Chooser{tiers: c} }

// First decides on a request that no endpoint has run.
func (c Chooser) First(r Request) Decision {
	d := Decision{Tier: c.tier(r), Mean: 1, Share: 1}
	if !r.isShort() {
		return d
	}
	d.Mean = r.meanShare()
	d.Share = r.share(d.Mean)
	switch {
	case r.Wait+r.Work >= r.Left:
		d.Outcome = Hopeless
	case r.Draw >= d.Share:
		d.Outcome = Shed
	default:
		return d
	}
	d.RetryAfter = r.retryAfter()
	return d
}

// tier returns the model by which least is lost: its own utility counts, and what others lose whose place it takes. The longer requests
// wait, the surer it is that one for which there is no room is refused for the time that a larger model takes.
func (c Chooser) tier(r Request) int {
	n := c.tiers.First(r.Tiers)
	if !r.isShort() || r.Allowed <= 0 || r.MeanSlotTime <= 0 || r.Tiers.AttemptsLeft <= 0 {
		return n
	}
	p := r.scarcity() * r.Tiers.Demand.Value() / r.MeanSlotTime.Seconds()
	b := 0.0
	for k, u := range c.tiers.Utilities(r.Tiers) {
		if k >= len(r.SlotTimes) {
			break
		}
		if u -= p * r.SlotTimes[k].Seconds(); k == 0 || u > b {
			b, n = u, k
		}
	}
	return n
}

// scarcity returns the probability, from 0 to 1, that an endpoint's time that is taken is missing for another request.
func (r Request) scarcity() float64 {
	return min(1, r.Wait.Seconds()/(freeShare*r.Allowed.Seconds()))
}

// MayEscalate reports whether a larger model may be asked for a request that has an answer: the request loses less by keeping that one
// than those lose that would be refused for its work.
func (c Chooser) MayEscalate(r Request) bool {
	return !r.isShort() || r.Draw < r.share(r.meanShare())
}

// isShort reports whether requests have to wait for a slot: no endpoint has a free one, and some wait at each.
func (r Request) isShort() bool { return r.Full && r.Waiting > 0 && r.Wait > 0 }

// meanShare returns the share of all work that may be admitted at the wait: where all wait for longer than allowed, none is, since each
// request that is admitted makes those late that come after it.
func (r Request) meanShare() float64 {
	if r.Allowed <= 0 {
		return 1
	}
	w := r.Wait.Seconds() / r.Allowed.Seconds()
	return min(1, max(0, (fullShare-w)/(fullShare-freeShare)))
}

// share returns the share of requests like this one that is admitted if that of all work is mean.
func (r Request) share(mean float64) float64 {
	if mean <= 0 || mean >= 1 {
		return mean
	}
	a := r.Demand.accountShare(r.Account, mean) / mean
	p := r.Demand.priorityShare(r.Priority, mean) / mean
	return min(1, max(leastShare, a*p)*mean)
}

// retryAfter returns the time after which the endpoints are expected to have room, spread over as long again or as requests may wait, so that
// callers don't return together. It doesn't exceed what callers honour, and is spread over half of that at least.
func (r Request) retryAfter() time.Duration {
	n := max(leastReturn, r.Wait-time.Duration(freeShare*float64(r.Allowed)))
	honoured := time.Duration(returnShare * float64(r.Left))
	end := min(n+max(n, r.Allowed), honoured)
	begin := min(n, honoured/2)
	return max(leastReturn, begin+time.Duration(r.ReturnDraw*float64(end-begin)))
}
