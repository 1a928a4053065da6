package warmup

import (
	"maps"
	"time"
)

const (
	// wishTime is how long a host counts as waiting for a permit after it has asked for it. Hosts ask again with each exchange.
	wishTime = 500 * time.Millisecond
	// maxTenure is how long a host keeps a permit while others wait for it. A change of the holder leaves the permit unused for
	// holdTime and an interval, so that it has to be rare.
	maxTenure = 12 * time.Second
)

// Lender lends the permits of one control host. It isn't safe for concurrent use.
type Lender struct {
	// firstAt is when the last permit of a process before on this control host has ended.
	firstAt time.Duration
	loans   map[string]*loan
}

// loan is what was lent of a cold endpoint.
type loan struct {
	// host and start identify the process that holds the permit, or held it last.
	host  string
	start int64
	// since is when it was lent to that process, and until when that process can't use it any more.
	since, until time.Duration
	// interval is the time between two requests of that process.
	interval time.Duration
	// wishes holds when hosts asked for the permit last.
	wishes map[string]time.Duration
}

// NewLender returns the lender of a control host that starts now. It lends nothing that a process before may have lent.
func NewLender(now time.Duration) *Lender {
	return &Lender{firstAt: now + holdTime, loans: map[string]*loan{}}
}

// Request is what an entry host asks of a control host.
type Request struct {
	Host string
	// Start identifies the process of the host.
	Start  int64
	Wishes []Wish
	Limits Limits
	// Controls is the number of control hosts in the control log, or 0 if this one isn't among them. Rank is its place among them,
	// from 0, or negative if it isn't among them.
	Controls, Rank int
}

// delay returns how long the first request under a new permit waits. Those under the permits of all control hosts are spread over an
// interval: otherwise they would come at once, beside those of hosts that haven't heard of the start yet.
func (r Request) delay(i time.Duration) time.Duration {
	return time.Duration(float64(i) * float64(r.Rank) / float64(r.Controls))
}

// Lend returns the permits of a host until it asks again. Those that it held before and doesn't ask for end with their lease.
func (l *Lender) Lend(r Request, now time.Duration) []Permit {
	if len(r.Wishes) == 0 {
		return nil
	}
	l.sweep(now)
	var p []Permit
	held := l.held(now)
	for _, w := range r.Wishes[:min(len(r.Wishes), MaxWishes)] {
		if r.Rank < 0 || r.Rank >= r.Limits.lenders(w.Rate, r.Controls) {
			continue
		}
		i := interval(w.Rate, r.Controls)
		o := l.loan(w.Endpoint)
		o.wishes[r.Host] = now
		var d time.Duration
		if !o.renewable(r, now) {
			if now < o.freeAt(i) || o.heldBy(r) && o.othersWait(r.Host, now, nil) || o.othersWait(r.Host, now, held) {
				continue
			}
			held[r.Host]++
			d = r.delay(i)
		}
		if !o.heldBy(r) || now >= o.until {
			o.host, o.start, o.since = r.Host, r.Start, now
		}
		o.until, o.interval = max(o.until, now+holdTime), i
		p = append(p, Permit{Endpoint: w.Endpoint, Lease: leaseTime, Interval: i, Delay: d})
	}
	return p
}

// loan returns the loan of an endpoint.
func (l *Lender) loan(endpoint string) *loan {
	o, ok := l.loans[endpoint]
	if !ok {
		o = &loan{until: l.firstAt, wishes: map[string]time.Duration{}}
		l.loans[endpoint] = o
	}
	return o
}

// heldBy reports whether the process that asks was the last one to hold the permit. It knows when it used it last.
func (o *loan) heldBy(r Request) bool { return o.host == r.Host && o.start == r.Start }

// renewable reports whether the process that asks may keep the permit, or have it back.
func (o *loan) renewable(r Request, now time.Duration) bool {
	over := now >= o.until || now-o.since > maxTenure
	return o.heldBy(r) && !(over && o.othersWait(r.Host, now, nil))
}

// freeAt returns when another process may get the permit with an interval.
func (o *loan) freeAt(i time.Duration) time.Duration { return o.until + max(i, o.interval) }

// othersWait reports whether another host has asked lately. If the numbers of permits that hosts hold are given, only those with fewer
// permits count.
func (o *loan) othersWait(host string, now time.Duration, held map[string]int) bool {
	for h, t := range o.wishes {
		if h != host && t+wishTime > now && (held == nil || held[h] < held[host]) {
			return true
		}
	}
	return false
}

// held returns how many permits each host holds.
func (l *Lender) held(now time.Duration) map[string]int {
	n := map[string]int{}
	for _, o := range l.loans {
		if o.host != "" && o.until > now {
			n[o.host]++
		}
	}
	return n
}

// sweep forgets wishes that are old, and loans that have ended for so long that they say nothing.
func (l *Lender) sweep(now time.Duration) {
	for e, o := range l.loans {
		maps.DeleteFunc(o.wishes, func(_ string, t time.Duration) bool { return t+wishTime <= now })
		if len(o.wishes) == 0 && o.freeAt(0) <= now {
			delete(l.loans, e)
		}
	}
}

// Held returns the number of permits that are lent.
func (l *Lender) Held(now time.Duration) int {
	n := 0
	for _, k := range l.held(now) {
		n += k
	}
	return n
}
