// Package assist chooses the host through which requests go to endpoints that this host doesn't reach, and bounds what a
// host does for others. It uses no network and no clock.
package assist

import (
	"maps"
	"sync"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
)

const (
	// maxReportAge is the age from which what is known of a host no longer counts.
	maxReportAge = 2 * time.Second
	// failurePause is how long a host that didn't respond is left out.
	failurePause = 700 * time.Millisecond
	// remoteLoad is the number of requests in flight by which a host in another data centre counts as busier.
	remoteLoad = 24
)

// Helper is a host that may send requests to endpoints for others, as a control host names it.
type Helper struct {
	Host       string
	DataCentre string
	// Address is the address at which the host takes requests of other hosts.
	Address string
	// Token proves to the host that a control host has named it. Another start of the host has another token.
	Token string
	// AnsweredAt holds when the host last got an answer.
	AnsweredAt map[ctlrpc.Pool]time.Time
	// Taken is the number of requests that the host has in flight for others.
	Taken int
}

// Board holds the helpers that a host knows. It is safe for concurrent use.
type Board struct {
	dataCentre string
	lock       sync.Mutex
	helpers    map[string]*entry
}

// entry is a helper and what this host has seen of it.
type entry struct {
	Helper
	namedAt time.Time
	// sent is the number of requests in flight that this host has sent there.
	sent int
	// pausedUntil is until when the host gets no requests, because it declined one or didn't respond.
	pausedUntil time.Time
}

// NewBoard returns a board without helpers, for a host in a data centre.
func NewBoard(dataCentre string) *Board {
	return &Board{dataCentre: dataCentre, helpers: map[string]*entry{}}
}

// Set stores the helpers that a control host has named at now. Others stay until they are too old.
func (b *Board) Set(helpers []Helper, now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, h := range helpers {
		e, ok := b.helpers[h.Host]
		if !ok {
			e = &entry{}
			b.helpers[h.Host] = e
		}
		if e.Token != h.Token {
			e.pausedUntil = time.Time{}
		}
		e.Helper, e.namedAt = h, now
	}
	maps.DeleteFunc(b.helpers, func(_ string, e *entry) bool { return e.sent == 0 && now.Sub(e.namedAt) > maxReportAge })
}

// reached returns the data centres in which the helper has reached endpoints of a service after this host lost them.
func (h Helper) reached(service string, lost map[string]time.Time) map[string]bool {
	var r map[string]bool
	for c, t := range lost {
		if !h.AnsweredAt[ctlrpc.Pool{Service: service, DataCentre: c}].After(t) {
			continue
		}
		if r == nil {
			r = map[string]bool{}
		}
		r[c] = true
	}
	return r
}

// Choice is a host through which a request may go.
type Choice struct {
	Helper
	// Centres holds the data centres in which the host has reached endpoints of the service.
	Centres map[string]bool
}

// Choose returns a host that has reached endpoints of a service after this host lost them, and counts the request as sent
// there until End. lost holds the data centres in which this host reaches none of them, and since when. Choose prefers
// hosts in the own data centre and those with little to do for others. tried holds the names of hosts that must not be
// chosen.
func (b *Board) Choose(service string, lost map[string]time.Time, now time.Time, tried map[string]bool) (c Choice, ok bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	e, r := b.best(service, lost, now, tried)
	if e == nil {
		return c, false
	}
	e.sent++
	return Choice{e.Helper, r}, true
}

// Reaches reports whether Choose would return a host.
func (b *Board) Reaches(service string, lost map[string]time.Time, now time.Time, tried map[string]bool) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	e, _ := b.best(service, lost, now, tried)
	return e != nil
}

// best returns the host that Choose returns and the data centres in which it has reached endpoints, or nil.
func (b *Board) best(service string, lost map[string]time.Time, now time.Time, tried map[string]bool) (best *entry, centres map[string]bool) {
	for _, e := range b.helpers {
		if tried[e.Host] || now.Before(e.pausedUntil) || now.Sub(e.namedAt) > maxReportAge || best != nil && b.load(e) >= b.load(best) {
			continue
		}
		if r := e.reached(service, lost); r != nil {
			best, centres = e, r
		}
	}
	return best, centres
}

// load returns what a host has to do for others, as it counts for the choice. Taken holds what this host had sent by then;
// since either may be the newer figure, the larger one counts.
func (b *Board) load(e *entry) int {
	n := max(e.Taken, e.sent)
	if e.DataCentre != b.dataCentre {
		n += remoteLoad
	}
	return n
}

// End counts a request that was sent to a host as ended.
func (b *Board) End(host string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if e, ok := b.helpers[host]; ok {
		e.sent = max(0, e.sent-1)
	}
}

// Decline records that a host takes no requests for a time.
func (b *Board) Decline(host string, pause time.Duration, now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if e, ok := b.helpers[host]; ok {
		e.pausedUntil = now.Add(pause)
	}
}

// Fail records that a host didn't respond, or that its connection broke off.
func (b *Board) Fail(host string, now time.Time) { b.Decline(host, failurePause, now) }
