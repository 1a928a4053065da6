// Package limit divides the rate of requests that an endpoint takes among the entry hosts that send to it.
package limit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rate is a number of requests per second. 0 means that there is no limit.
type Rate float64

const (
	// spareHosts is the number of entry hosts that share a limit of 0. Each further request per second adds one, so that
	// each of these hosts may save up a whole request without exceeding the limit together.
	spareHosts = 3
	// All hosts together may save up the requests of burst, and spareRequests more.
	burst         = 2 * time.Second
	spareRequests = 3
	// endDelay is how long an endpoint has to answer without naming a limit until the limit ends. Answers from before may
	// arrive after those that name it.
	endDelay = time.Second
)

// Named is what an endpoint's answers say about its limit. The zero value means that they have never named one.
type Named struct {
	Rate Rate
	// HeardAt is when an answer last named the limit, or when the limit ended.
	HeardAt time.Time
}

// WithAnswer returns what is known after an answer at now that names a rate, or none if rate is 0.
func (n Named) WithAnswer(rate Rate, now time.Time) Named {
	switch {
	case rate > 0:
		return Named{Rate: rate, HeardAt: now}
	case n.Rate > 0 && now.Sub(n.HeardAt) > endDelay:
		return Named{HeardAt: now}
	}
	return n
}

// Newer returns the one of both that was heard last.
func (n Named) Newer(o Named) Named {
	if o.HeardAt.After(n.HeardAt) {
		return o
	}
	return n
}

// Allotment is the part of a limit that one host may use.
type Allotment struct {
	Rate Rate
	// Burst is the number of requests that the host may save up. It is at least 1 if Rate isn't 0.
	Burst float64
}

// Allot returns what a host may send to an endpoint with a limit. hosts are the IDs of all entry hosts. Few of them share a
// low limit: those whose weights for the endpoint are highest. A host that isn't in hosts gets nothing.
func Allot(rate Rate, endpoint, host string, hosts []string) Allotment {
	if !slices.Contains(hosts, host) {
		return Allotment{}
	}
	n := min(len(hosts), spareHosts+int(rate))
	w := weight(endpoint, host)
	r := 0
	for _, h := range hosts {
		if h != host && weight(endpoint, h) > w {
			r++
		}
	}
	if r >= n {
		return Allotment{}
	}
	return share(rate, n)
}

// Whole returns the allotment of a host that sends alone.
func Whole(rate Rate) Allotment { return share(rate, 1) }

// share returns the allotment of each of n hosts.
func share(rate Rate, n int) Allotment {
	return Allotment{Rate: rate / Rate(n), Burst: max(1, (float64(rate)*burst.Seconds()+spareRequests)/float64(n))}
}

// weight returns the weight of a host for an endpoint (rendezvous hashing).
func weight(endpoint, host string) uint64 { return xxhash.Sum64String(endpoint + "\x00" + host) }

// Bucket counts what a host may send now. The zero value is empty.
type Bucket struct {
	// tokens is the number of requests that may be sent at updated.
	tokens  float64
	updated time.Time
}

// At returns the bucket at now, filled since its last update.
func (b Bucket) At(now time.Time, a Allotment) Bucket {
	if b.updated.IsZero() {
		return Bucket{updated: now}
	}
	t := b.tokens + float64(a.Rate)*max(0, now.Sub(b.updated).Seconds())
	return Bucket{tokens: min(t, a.Burst), updated: now}
}

// Ready reports whether a request may be sent.
func (b Bucket) Ready() bool { return b.tokens >= 1 }

// WithRequest returns the bucket after a request.
func (b Bucket) WithRequest() Bucket {
	b.tokens--
	return b
}
