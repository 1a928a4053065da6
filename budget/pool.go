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
	// spareTime bounds the time whose spare retries are lent in one exchange. After a longer pause of exchanges the older ones were
	// earned too long ago.
	spareTime = 500 * time.Millisecond
	// memberTime is how long a host that reports nothing is remembered.
	memberTime = time.Minute
)

// Pool lends shares of the slack to hosts, and what some of them can't keep to those that want it. It belongs to one control host and the entry hosts that
// exchange messages with it. It isn't safe for concurrent use.
type Pool struct {
	services map[string]*fund
	members  map[string]*member
	swept    time.Duration
	lender   lender
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
	// askedAt is when the host sent what it stated last, on its own clock.
	askedAt time.Duration
}

// skipOld leaves out what the host could not keep before the last spareTime of the time since its last statement, in proportion.
func (m *member) skipOld(statements map[string]Statement, askedAt time.Duration) {
	e := askedAt - m.askedAt
	m.askedAt = askedAt
	if e <= spareTime {
		return
	}
	for s, v := range statements {
		n := (v.Spare - m.spare[s]) * spareTime.Seconds() / e.Seconds()
		m.spare[s] = max(m.spare[s], v.Spare-n)
	}
}

// NewPool returns a pool of a control host that starts now.
func NewPool(now time.Duration) *Pool {
	return &Pool{services: map[string]*fund{}, members: map[string]*member{}, lender: newLender(now)}
}

// Request is what an entry host tells a control host of its budget, with what the control host knows.
type Request struct {
	Host string
	// Start identifies the process of the host. A lower one than before comes late, unless Begin is set.
	Start int64
	// Begin is set if the host hasn't exchanged with this process before: what it could not keep until then isn't lent, as another
	// process may have done so.
	Begin      bool
	Statements map[string]Statement
	Holding    Holding
	// Controls is the number of control hosts in the control log, or 0 if this one isn't among them.
	Controls int
	// New is set if no process before has lent anything on this control host's behalf.
	New bool
	// Window is that of the limits.
	Window time.Duration
}

// part returns the part of the slack that the control host may lend. It leaves one part to a control host that was added or
// removed without its knowledge.
func (r Request) part() float64 {
	if r.Controls == 0 {
		return 0
	}
	return 1 / float64(r.Controls+1)
}

// Exchange takes what a host states and returns the share that is lent to it and what else was lent to it so far.
func (p *Pool) Exchange(r Request, now time.Duration) (Loan, map[string]Grant) {
	p.sweep(now)
	m, ok := p.members[r.Host]
	if ok && r.Start < m.start && !r.Begin {
		return Loan{}, nil
	}
	if !ok || r.Begin || r.Start != m.start {
		m = &member{start: r.Start, spare: map[string]float64{}, granted: map[string]Grant{}}
		for s, v := range r.Statements {
			m.spare[s] = v.Spare
		}
		p.members[r.Host] = m
	}
	m.heardAt = now
	m.skipOld(r.Statements, r.Holding.AskedAt)
	g := make(map[string]Grant, len(r.Statements))
	for _, s := range slices.Sorted(maps.Keys(r.Statements)) {
		v := r.Statements[s]
		f := p.fund(s)
		if o, ok := m.spare[s]; !ok || v.Spare > o {
			f.parts = append(f.parts, part{v.Spare - o, now})
			m.spare[s] = v.Spare
		}
		m.granted[s] += Grant(f.lend(v.Wanted, now))
		g[s] = m.granted[s]
	}
	return p.lender.lend(r, now), g
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
