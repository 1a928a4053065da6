package budget_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/budget"
)

// fleet models hosts that exchange statements with one of several control hosts.
type fleet struct {
	budget.Limits
	hosts, controls int
	// perSec is the number of requests a second for each host.
	perSec float64
	// Until burstEnd there are burst times as many requests.
	burst    float64
	burstEnd time.Duration
	// optional returns the number of optional retries that a request at a time asks for, and greedy is set if all retries
	// are made that are allowed. faults returns the number of retries after faults that a request asks for at once. Both are
	// asked from a time on.
	optional, faults func(r *rand.Rand) int
	greedy           bool
	from             time.Duration
	// lost is the share of exchanges whose reply is lost, and moves that of those after which a host changes control hosts.
	lost, moves float64
	// From cutAt to cutEnd the fleet falls into parts, each with the hosts and control hosts whose number has the same rest.
	parts         int
	cutAt, cutEnd time.Duration
	// From pauseAt to pauseEnd no exchange ends. Hosts go on on the same connections then.
	pauseAt, pauseEnd time.Duration
	// hostStarts and controlStarts are when all hosts and all control hosts start again. A host exchanges nothing for silence
	// after its start.
	hostStarts, controlStarts []time.Duration
	silence                   time.Duration
	// oneStarts is when one host starts again. It takes requests from its first reply on, which brings its configuration.
	oneStarts []time.Duration
	// unaware is set if the last control host was added to the control log without the knowledge of the others, or removed from it
	// without its own.
	unaware bool
	// mixed is set if every other host, and every other control host, is of a build that doesn't lend on demand.
	mixed  bool
	length time.Duration
	// pulses are requests that come at the same time at all hosts, beside the others.
	pulses []pulse
	// granted is set if all hosts got their whole starting balance before the first request.
	granted bool
}

// control models a control host.
type control struct {
	pool *budget.Pool
	// id differs between starts.
	id string
	// known is the number of control hosts in its control log.
	known int
	// first is set if none was there before it.
	first bool
}

// member models an entry host.
type member struct {
	*budget.Host
	start int64
	// control is the number of its control host, begun is set before the first exchange with it, and next is when the next one is due.
	control int
	begun   bool
	next    time.Duration
	// waits is set while it takes no requests.
	waits bool
}

// model is a fleet that runs.
type model struct {
	fleet
	random   *rand.Rand
	members  []*member
	controls []*control
	due      []optionalRetry
	uses     uses
	// asked and refused count optional retries.
	asked, refused int
	// refusals are when optional retries were refused, and mostShares is the greatest sum of all shares at a time.
	refusals   []time.Duration
	mostShares float64
}

// play returns when requests and retries were made, and how many optional retries were asked for and refused.
func (f fleet) play(seed uint64) (u uses, asked, refused int) {
	m := f.run(seed)
	return m.uses, m.asked, m.refused
}

// run returns the model when it has run.
func (f fleet) run(seed uint64) *model {
	m := &model{fleet: f, random: rand.New(rand.NewPCG(seed, 3))}
	for c := range f.controls {
		m.controls = append(m.controls, &control{pool: budget.NewPool(-setUp), id: fmt.Sprint("c", c), known: f.known(c), first: true})
	}
	for k := range f.hosts {
		h := budget.NewHost(f.Limits)
		h.Expect("s", -setUp)
		m.members = append(m.members, &member{Host: h, control: k % f.controls, begun: true, next: time.Duration(m.random.Int64N(int64(exchangeEvery))) - setUp})
	}
	for now := -setUp; now < f.length; now += step {
		m.restart(now)
		for k, h := range m.members {
			if now >= h.next && !m.paused(now) {
				h.next = max(h.next, now) + exchangeEvery
				m.exchange(k, now)
				m.sumShares(now)
			}
			if now >= 0 && m.random.Float64() < f.rate(now)*step.Seconds() {
				m.request(k, now)
			}
		}
		m.makeDue(now)
		m.pulse(now)
	}
	return m
}

// pulse is a number of requests at all hosts that come within pulseTime, with the time from which on all retries are made that are allowed.
type pulse struct {
	requests        int
	at, from, until time.Duration
}

const pulseTime = 50 * time.Millisecond

// pulse lets hosts take the requests of pulses and make their retries.
func (m *model) pulse(now time.Duration) {
	for _, p := range m.pulses {
		for k := range p.requests {
			if now == p.at+time.Duration(k)*pulseTime/time.Duration(p.requests)/step*step {
				m.members[k%m.hosts].Deposit("s", now)
				m.uses.requests = append(m.uses.requests, now)
			}
		}
		for _, h := range m.members {
			for now >= p.from && now < p.until && h.Withdraw("s", now) {
				m.uses.retries = append(m.uses.retries, now)
			}
		}
	}
}

// rate returns the number of requests a second for each host at a time.
func (f fleet) rate(now time.Duration) float64 {
	if now < f.burstEnd {
		return f.perSec * f.burst
	}
	return f.perSec
}

// known returns the number of control hosts in the control log as one of them knows it.
func (f fleet) known(control int) int {
	if f.unaware && control < f.controls-1 {
		return f.controls - 1
	}
	return f.controls
}

// lendable returns the sum of what the control hosts may lend, as parts of the slack: one part remains for a change of the control
// log that a control host doesn't know.
func (f fleet) lendable() (n float64) {
	for c := range f.controls {
		n += 1 / float64(f.known(c)+1)
	}
	return min(n, 1)
}

// sumShares records the sum of the shares of all hosts.
func (m *model) sumShares(now time.Duration) {
	var n float64
	for _, h := range m.members {
		n += h.Level("s", now).Share
	}
	m.mostShares = max(m.mostShares, n)
}

const (
	// step is the resolution of the model.
	step = 5 * time.Millisecond
	// setUp is the time before the first request, in which hosts exchange messages.
	setUp = time.Second
)

// restart starts all hosts and all control hosts again at their times.
func (m *model) restart(now time.Duration) {
	if slices.Contains(m.controlStarts, now) {
		for c, o := range m.controls {
			m.controls[c] = &control{pool: budget.NewPool(now), id: o.id + "+", known: o.known}
		}
		for _, h := range m.members { // their connections have ended
			m.move(h, now)
		}
	}
	if slices.Contains(m.hostStarts, now) {
		for _, h := range m.members {
			m.start(h, now)
		}
	}
	if slices.Contains(m.oneStarts, now) {
		m.start(m.members[0], now)
		m.members[0].waits = true
	}
}

// start starts a host again.
func (m *model) start(h *member, now time.Duration) {
	h.Host = budget.NewHost(m.Limits)
	h.Expect("s", now)
	h.start++
	h.begun, h.next = true, now+m.silence+time.Duration(m.random.Int64N(int64(exchangeEvery)))
}

// apart reports whether two numbers are in different parts of the fleet.
func (m *model) apart(a, b int, now time.Duration) bool {
	return m.parts > 0 && now >= m.cutAt && now < m.cutEnd && a%m.parts != b%m.parts
}

// paused reports whether no exchange ends.
func (m *model) paused(now time.Duration) bool { return now >= m.pauseAt && now < m.pauseEnd }

// exchange lets a host exchange messages with its control host. If that can't be reached, it goes on with another one.
func (m *model) exchange(k int, now time.Duration) {
	h := m.members[k]
	if m.apart(k, h.control, now) {
		m.move(h, now)
		return
	}
	c := m.controls[h.control]
	l, g := c.pool.Exchange(budget.Request{
		Host: fmt.Sprint("h", k), Start: h.start, Begin: h.begun, Statements: m.statements(k, now), Holding: h.Holding(now), Controls: c.known, New: c.first, Window: m.Window,
	}, now)
	h.begun = false
	if m.mixed && (k%2 == 0 || h.control%2 == 1) {
		l.Pieces = nil
	}
	if m.granted && now < 0 {
		l.Starts = map[string]float64{"s": h.Statements(now)["s"].Start}
	}
	switch {
	case m.random.Float64() < m.moves:
		m.move(h, now)
	case m.random.Float64() >= m.lost:
		h.Accept(c.id, l, g, now)
		h.waits = false
	}
}

// statements returns what reaches a host's control host of its statements.
func (m *model) statements(k int, now time.Duration) map[string]budget.Statement {
	s := m.members[k].Statements(now)
	if m.mixed && (k%2 == 0 || m.members[k].control%2 == 1) {
		for n, v := range s {
			s[n] = budget.Statement{Spare: v.Spare, Wanted: v.Wanted, Start: v.Start}
		}
	}
	return s
}

// move connects a host to another control host.
func (m *model) move(h *member, now time.Duration) {
	h.control, h.begun = m.random.IntN(len(m.controls)), true
	h.Begin(now)
}

// request lets a host take a request and asks for its retries.
func (m *model) request(k int, now time.Duration) {
	h := m.members[k]
	if h.waits {
		return
	}
	h.Deposit("s", now)
	m.uses.requests = append(m.uses.requests, now)
	if now < m.from {
		return
	}
	for m.greedy && m.random.IntN(20) > 0 && h.Withdraw("s", now) {
		m.uses.retries = append(m.uses.retries, now)
	}
	if m.faults != nil {
		for range m.faults(m.random) {
			if h.Withdraw("s", now) {
				m.uses.retries = append(m.uses.retries, now)
			}
		}
	}
	if m.optional == nil {
		return
	}
	for n := range m.optional(m.random) {
		m.due = append(m.due, optionalRetry{k, now + time.Duration(n)*answerTime})
	}
}

// makeDue makes the optional retries that are due.
func (m *model) makeDue(now time.Duration) {
	m.due = slices.DeleteFunc(m.due, func(o optionalRetry) bool {
		if o.at > now {
			return false
		}
		if m.asked++; m.members[o.host].WithdrawOptional("s", now) {
			m.uses.retries = append(m.uses.retries, now)
		} else {
			m.refused++
			m.refusals = append(m.refusals, now)
		}
		return true
	})
}

// answerTime is the time from one optional retry of a request to the next.
const answerTime = 500 * time.Millisecond

// optionalRetry is an optional retry that a host asks for at a time.
type optionalRetry struct {
	host int
	at   time.Duration
}
