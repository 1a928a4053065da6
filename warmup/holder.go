package warmup

import (
	"maps"
	"time"
)

// Holder holds the permits of one entry host. It isn't safe for concurrent use. Create it with NewHolder.
type Holder struct {
	// grants holds the permits by endpoint and control host.
	grants map[string]map[string]grant
}

// grantKey names the part of a control host in the limit of an endpoint. control identifies the process of the control host.
type grantKey struct{ control, endpoint string }

// grant is a permit and its last use.
type grant struct {
	// from is when the first request may be sent.
	from, until, interval time.Duration
	// used is set once it was used, at usedAt.
	used   bool
	usedAt time.Duration
}

// NewHolder returns a holder without permits.
func NewHolder() *Holder { return &Holder{grants: map[string]map[string]grant{}} }

// Accept takes over what a control host has lent in reply to what this host asked at askedAt. control identifies its process. A permit
// that isn't lent again ends with its lease.
func (h *Holder) Accept(control string, permits []Permit, askedAt, now time.Duration) {
	for e, l := range h.grants {
		maps.DeleteFunc(l, func(_ string, g grant) bool { return g.isOver(now) })
		if len(l) == 0 {
			delete(h.grants, e)
		}
	}
	for _, p := range permits {
		g, ok := h.grants[p.Endpoint][control]
		if !ok {
			g.from = askedAt + p.Delay
		}
		if u := askedAt + p.Lease; u > g.until {
			g.until, g.interval = u, max(p.Interval, 1)
			h.store(grantKey{control, p.Endpoint}, g)
		}
	}
}

// store stores a grant.
func (h *Holder) store(k grantKey, g grant) {
	if h.grants[k.endpoint] == nil {
		h.grants[k.endpoint] = map[string]grant{}
	}
	h.grants[k.endpoint][k.control] = g
}

// isOver reports whether nothing follows from a grant any more. The last use counts for an interval: the same control host may lend
// the permit again at once.
func (g grant) isOver(now time.Duration) bool {
	return now >= g.until && (!g.used || now >= g.usedAt+g.interval)
}

// readyAt returns when a request may be sent under the grant.
func (g grant) readyAt() time.Duration {
	if !g.used {
		return g.from
	}
	return g.usedAt + g.interval
}

// Ready reports whether a request may be sent to a cold endpoint.
func (h *Holder) Ready(endpoint string, now time.Duration) bool {
	_, ok := h.ready(endpoint, now)
	return ok
}

// ready returns the grant under which a request may be sent.
func (h *Holder) ready(endpoint string, now time.Duration) (grantKey, bool) {
	for c, g := range h.grants[endpoint] {
		if now < g.until && now >= g.readyAt() {
			return grantKey{c, endpoint}, true
		}
	}
	return grantKey{}, false
}

// Has reports whether the host holds a permit for an endpoint, whether a request may be sent now or not.
func (h *Holder) Has(endpoint string, now time.Duration) bool {
	for _, g := range h.grants[endpoint] {
		if now < g.until {
			return true
		}
	}
	return false
}

// Held returns the number of permits that the host holds.
func (h *Holder) Held(now time.Duration) int {
	n := 0
	for _, l := range h.grants {
		for _, g := range l {
			if now < g.until {
				n++
			}
		}
	}
	return n
}

// Use is the use of a permit for one request.
type Use struct {
	key grantKey
	// at is when the permit was used, and before the state of the permit before that.
	at     time.Duration
	before grant
}

// SendBy returns the time until which the request may be sent.
func (u Use) SendBy() time.Duration { return u.at + SendTime }

// Use uses a permit for a request that is sent within SendTime. ok is false if there is none.
func (h *Holder) Use(endpoint string, now time.Duration) (u Use, ok bool) {
	k, ok := h.ready(endpoint, now)
	if !ok {
		return Use{}, false
	}
	g := h.grants[k.endpoint][k.control]
	u = Use{key: k, at: now, before: g}
	g.used, g.usedAt = true, now
	h.store(k, g)
	return u, true
}

// Return takes back the use of a permit whose request wasn't sent and never will be.
func (h *Holder) Return(u Use) {
	g, ok := h.grants[u.key.endpoint][u.key.control]
	if ok && g.used && g.usedAt == u.at {
		g.used, g.usedAt = u.before.used, u.before.usedAt
		h.store(u.key, g)
	}
}
