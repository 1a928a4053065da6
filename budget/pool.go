package budget

import (
	"maps"
	"slices"
	"time"
)

const (
	// lendTime is how long what a host could not keep is lent to others. It is short against a window, since retries that
	// are made later count in a later one.
	lendTime = 300 * time.Millisecond
	// memberTime is how long a host that reports nothing is remembered.
	memberTime = time.Minute
)

// Pool lends what some hosts can't keep to those that want it. It belongs to one control host and the entry hosts that
// exchange messages with it. It isn't safe for concurrent use.
type Pool struct {
	services map[string]*fund
	members  map[string]*member
	swept    time.Duration
}

// fund holds what may be lent for a service, the oldest first.
type fund struct{ parts []part }

// part is what a host could not keep, with the time of its report.
type part struct {
	retries float64
	at      time.Duration
}

// member is an entry host.
type member struct {
	start   int64
	spare   map[string]float64
	granted map[string]Grant
	heardAt time.Duration
}

// NewPool returns a pool that has nothing to lend.
func NewPool() *Pool { return &Pool{services: map[string]*fund{}, members: map[string]*member{}} }

// Exchange takes the statements of a start of a host and returns what was lent to it so far. With begin the host hasn't
// exchanged with this process before: what it could not keep until then isn't lent, as another process may have done so.
func (p *Pool) Exchange(host string, start int64, begin bool, statements map[string]Statement, now time.Duration) map[string]Grant {
	p.sweep(now)
	m, ok := p.members[host]
	if ok && start < m.start {
		return nil
	}
	if !ok || begin || start != m.start {
		m = &member{start: start, spare: map[string]float64{}, granted: map[string]Grant{}}
		for s, v := range statements {
			m.spare[s] = v.Spare
		}
		p.members[host] = m
	}
	m.heardAt = now
	r := make(map[string]Grant, len(statements))
	for _, s := range slices.Sorted(maps.Keys(statements)) {
		v := statements[s]
		f := p.fund(s)
		if o, ok := m.spare[s]; !ok || v.Spare > o {
			f.parts = append(f.parts, part{v.Spare - o, now})
			m.spare[s] = v.Spare
		}
		m.granted[s] += Grant(f.lend(v.Wanted, now))
		r[s] = m.granted[s]
	}
	return r
}

func (p *Pool) fund(service string) *fund {
	f, ok := p.services[service]
	if !ok {
		f = &fund{}
		p.services[service] = f
	}
	return f
}

// lend takes up to a number of retries from the fund.
func (f *fund) lend(wanted float64, now time.Duration) float64 {
	for len(f.parts) > 0 && f.parts[0].at+lendTime < now {
		f.parts = f.parts[1:]
	}
	var n float64
	for len(f.parts) > 0 && n < wanted {
		t := min(wanted-n, f.parts[0].retries)
		n += t
		if f.parts[0].retries -= t; f.parts[0].retries <= 0 {
			f.parts = f.parts[1:]
		}
	}
	return n
}

// sweep forgets hosts that report nothing any more.
func (p *Pool) sweep(now time.Duration) {
	if now < p.swept+memberTime {
		return
	}
	p.swept = now
	for h, m := range p.members {
		if m.heardAt+memberTime < now {
			delete(p.members, h)
		}
	}
}
