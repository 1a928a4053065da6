package pick_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/reach"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

const (
	coldRate    = 10
	coldTime    = 3 * time.Second
	coldStep    = 5 * time.Millisecond
	coldPoll    = 150 * time.Millisecond
	coldTimeout = 700 * time.Millisecond
	// coldReply is how long after a request a control host replies at the earliest.
	coldReply = 20 * time.Millisecond
	coldAsk   = 250 * time.Millisecond
	heartbeat = 1200 * time.Millisecond
	// coldRequest is how long a request takes.
	coldRequest = 400 * time.Millisecond
)

var coldLimits = warmup.Limits{Overage: 1.5, Slack: 5}

// coldFleet models entry hosts, control hosts and endpoints that start, start again and turn cold.
type coldFleet struct {
	hosts, controls, endpoints int
	// greedy is set if each host always has a request that waits. Otherwise all hosts together get perSec requests a second.
	greedy bool
	perSec float64
	// faults is set if messages are late and lost, hosts are cut off and start again, and endpoints start again and turn cold.
	faults bool
	// allCold is set if all endpoints stay cold.
	allCold bool
	// free is set if hosts send to cold endpoints without permits.
	free   bool
	length time.Duration

	random  *rand.Rand
	now     time.Duration
	events  coldEvents
	nodes   []*coldControl
	members []*coldHost
	servers []*coldEndpoint
	starts  int64
}

// coldEvents are what happens later, the first first.
type coldEvents []coldEvent

type coldEvent struct {
	at time.Duration
	do func()
}

func (e coldEvents) Len() int           { return len(e) }
func (e coldEvents) Less(a, b int) bool { return e[a].at < e[b].at }
func (e coldEvents) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *coldEvents) Push(x any)        { *e = append(*e, x.(coldEvent)) }

// Pop removes the last event.
func (e *coldEvents) Pop() any {
	l := len(*e) - 1
	x := (*e)[l]
	*e = (*e)[:l]
	return x
}

// coldControl models a control host.
type coldControl struct {
	rank, known int
	id          string
	began       time.Duration
	fleet       fleet.State
	lender      *warmup.Lender
	// loads holds what hosts have reported, by host.
	loads map[string]map[string]ctlrpc.Load
	// waiting wakes the exchanges that wait for changes.
	waiting   []func()
	downUntil time.Duration
	// side is where it is in a partition: it exchanges messages with the hosts and control hosts there.
	side int
}

// coldHost models an entry host.
type coldHost struct {
	name    string
	start   int64
	set     *pick.Set
	control int
	// id and revision are what it holds of the fleet.
	id       string
	revision uint64
	// exchange numbers its exchanges, and next is when the next request is tried.
	exchange int
	next     time.Duration
	// clock is that of its leases, which runs a little fast or slow.
	clock     func() time.Duration
	downUntil time.Duration
	side      int
	// told holds the newest start of each endpoint that the host knows, by ID, and whether that start was last reported to be warm.
	told map[string]toldStart
}

type toldStart struct {
	born, sequence int64
	warm           bool
}

// coldEndpoint models an endpoint.
type coldEndpoint struct {
	id             string
	born, sequence int64
	coldUntil      time.Duration
	downUntil      time.Duration
	beat           time.Duration
	// aware holds the requests that came while the endpoint was cold from hosts that know of its start, and that were told last that it
	// is cold, or nothing about it. unaware holds those of other hosts.
	aware, unaware []time.Duration
}

func (f *coldFleet) later(d time.Duration, do func()) {
	heap.Push(&f.events, coldEvent{f.now + d, do})
}

// delay returns how long a message takes, and false if it is lost.
func (f *coldFleet) delay() (time.Duration, bool) {
	d := time.Millisecond + time.Duration(f.random.Int64N(int64(4*time.Millisecond)))
	if !f.faults {
		return d, true
	}
	switch f.random.IntN(40) {
	case 0:
		return 0, false
	case 1, 2:
		return d + time.Duration(f.random.Int64N(int64(1500*time.Millisecond))), true
	}
	return d, true
}

// run runs the model of a seed.
func (f *coldFleet) run(seed uint64) {
	f.random = rand.New(rand.NewPCG(seed, 11))
	for k := range f.controls {
		c := &coldControl{rank: k, known: f.controls}
		f.nodes = append(f.nodes, c)
		f.startControl(c, 0)
	}
	for k := range f.endpoints {
		e := &coldEndpoint{id: fmt.Sprint("e", k), born: 1, beat: time.Duration(f.random.Int64N(int64(heartbeat)))}
		if f.allCold {
			e.coldUntil = time.Hour
		}
		f.servers = append(f.servers, e)
		r := f.report(e)
		for _, c := range f.nodes {
			c.fleet, _ = c.fleet.WithReport(r, 0)
		}
	}
	for k := range f.hosts {
		h := &coldHost{name: fmt.Sprint("h", k)}
		f.members = append(f.members, h)
		f.startHost(h)
	}
	for ; f.now < f.length; f.now += coldStep {
		if f.faults {
			f.injectFaults()
		}
		for len(f.events) > 0 && f.events[0].at <= f.now {
			heap.Pop(&f.events).(coldEvent).do()
		}
		for _, e := range f.servers {
			if f.now >= e.beat && f.now >= e.downUntil {
				e.beat = f.now + heartbeat
				f.beat(e)
			}
		}
		for _, h := range f.members {
			if f.now >= h.next && f.now >= h.downUntil {
				f.request(h)
			}
		}
	}
}

func (f *coldFleet) startControl(c *coldControl, down time.Duration) {
	f.starts++
	first := c.id == ""
	c.id, c.began, c.downUntil, c.lender = fmt.Sprint("c", f.starts), f.now+down, f.now+down, warmup.NewLender(0)
	c.loads = map[string]map[string]ctlrpc.Load{}
	o := c.fleet
	if c.fleet = fleet.New(); !first {
		for _, r := range o.Reports() { // from its file
			c.fleet, _ = c.fleet.WithReport(r, 0)
		}
	}
}

func (f *coldFleet) startHost(h *coldHost) {
	f.starts++
	h.start, h.set, h.told, h.id = f.starts, pick.NewSet("a"), map[string]toldStart{}, ""
	h.control = f.random.IntN(f.controls)
	b, r := f.now, 0.99+0.02*f.random.Float64()
	h.clock = func() time.Duration { return time.Duration(float64(f.now-b) * r) }
	if !f.free {
		h.set.LimitCold(h.clock)
	}
	h.set.SetColdLimits(map[string]pick.ColdLimit{"s": {Rate: coldRate, Time: coldTime}})
	h.next = f.now + time.Duration(f.random.Int64N(int64(coldPoll)))
	f.later(h.next-f.now, func() { f.exchange(h, h.start, true) })
	f.later(h.next-f.now, func() { f.askOthers(h, h.start) })
}

func (f *coldFleet) report(e *coldEndpoint) fleet.Report {
	e.sequence++
	return fleet.Report{ID: e.id, Born: e.born, Sequence: e.sequence, Service: "s", Address: e.id, DataCentre: "a", Version: "v", Slots: 64, ColdLeft: max(0, e.coldUntil-f.now)}
}

// beat sends a report of an endpoint to a control host that runs, which passes it on to the others.
func (f *coldFleet) beat(e *coldEndpoint) {
	r := f.report(e)
	up := slices.DeleteFunc(slices.Clone(f.nodes), func(c *coldControl) bool { return f.now < c.downUntil })
	if len(up) == 0 {
		return
	}
	k := up[f.random.IntN(len(up))]
	f.learn(k, r)
	for _, o := range f.nodes {
		if d, ok := f.delay(); ok && o.side == k.side {
			f.later(d, func() {
				if f.now >= o.downUntil {
					f.learn(o, r)
				}
			})
		}
	}
}

// exchange lets a host ask its control host, and ask again after the reply or a time. Nothing follows if the host has started again.
func (f *coldFleet) exchange(h *coldHost, start int64, again bool) {
	if h.start != start || f.now < h.downUntil {
		return
	}
	h.exchange++
	x, c, asked, q, loads := h.exchange, f.nodes[h.control], h.clock(), f.lending(h), h.set.LocalLoads()
	next := func() {
		if again && h.start == start && h.exchange == x {
			f.exchange(h, start, true)
		}
	}
	f.later(coldTimeout, func() {
		if h.exchange == x && h.start == start {
			h.control = f.random.IntN(f.controls)
		}
		next()
	})
	d, ok := f.delay()
	if !ok || h.side != c.side || f.now < c.downUntil {
		return
	}
	f.poll(c, d, func() {
		if f.now < c.downUntil {
			return
		}
		p := c.lend(q, f.now)
		id, s, current := c.id, c.fleet, f.current(c)
		f.noteLoads(h, c, loads)
		remote := c.otherLoads(h.name)
		d, ok := f.delay()
		if !ok || h.side != c.side {
			return
		}
		f.later(d, func() {
			if h.start != start || h.exchange != x || f.now < h.downUntil {
				return
			}
			f.adopt(h, id, s)
			h.set.AcceptPermits(id, p, asked)
			h.set.SetRemoteLoads(remote)
			if current {
				h.set.RecordControlReply()
			}
			next()
		})
	})
}

// poll lets a control host reply to a request that comes after a delay: after coldPoll, or coldReply after it came once the fleet has changed.
func (f *coldFleet) poll(c *coldControl, d time.Duration, reply func()) {
	f.later(d, func() {
		done := false
		once := func() {
			if !done {
				done = true
				reply()
			}
		}
		f.later(coldPoll, once)
		b := f.now
		c.waiting = append(c.waiting, func() { f.later(max(0, b+coldReply-f.now), once) })
	})
}

// learn lets a control host take over a report, and wakes the exchanges that wait for changes.
func (f *coldFleet) learn(c *coldControl, r fleet.Report) {
	v := c.fleet.Revision
	c.fleet, _ = c.fleet.WithReport(r, f.now)
	if c.fleet.Revision == v {
		return
	}
	for _, wake := range c.waiting {
		wake()
	}
	c.waiting = nil
}

// current reports whether a control host reaches a majority, so that it can tell the newest state.
func (f *coldFleet) current(c *coldControl) bool {
	n := 0
	for _, o := range f.nodes {
		if o.side == c.side && f.now >= o.downUntil {
			n++
		}
	}
	return 2*n > f.controls
}

// noteLoads takes over the loads of a host, and passes them on to the other control hosts.
func (f *coldFleet) noteLoads(h *coldHost, c *coldControl, loads map[string]ctlrpc.Load) {
	for _, o := range f.nodes {
		if o.side == c.side {
			o.loads[h.name] = loads
		}
	}
}

// otherLoads returns the sum of the loads of all hosts but one.
func (c *coldControl) otherLoads(host string) map[string]ctlrpc.Load {
	r := map[string]ctlrpc.Load{}
	for h, l := range c.loads {
		for e, v := range l {
			if h != host {
				r[e] = r[e].Plus(v)
			}
		}
	}
	return r
}

// askOthers asks further control hosts for permits where there are few hosts, as package entry does.
func (f *coldFleet) askOthers(h *coldHost, start int64) {
	if h.start != start || f.now < h.downUntil {
		return
	}
	q, asked := f.lending(h), h.clock()
	n := min(f.controls-1, (4*f.controls+f.hosts-1)/f.hosts-1)
	for k := range n {
		c := f.nodes[(h.control+1+k)%f.controls]
		d, ok := f.delay()
		if !ok || h.side != c.side {
			continue
		}
		f.later(d, func() {
			if f.now < c.downUntil {
				return
			}
			p, id := c.lend(q, f.now), c.id
			if d, ok := f.delay(); ok {
				f.later(d, func() {
					if h.start == start && f.now >= h.downUntil {
						h.set.AcceptPermits(id, p, asked)
					}
				})
			}
		})
	}
	f.later(coldAsk, func() { f.askOthers(h, start) })
}

func (c *coldControl) lend(q warmup.Request, now time.Duration) []warmup.Permit {
	q.Controls, q.Rank = c.known, c.rank
	return c.lender.Lend(q, now-c.began)
}

func (f *coldFleet) lending(h *coldHost) warmup.Request {
	return warmup.Request{Host: h.name, Start: h.start, Wishes: h.set.ColdWishes(f.time()), Limits: coldLimits}
}

func (f *coldFleet) time() time.Time { return epoch.Add(f.now) }

// adopt takes over the fleet of a control host as far as it has changed.
func (f *coldFleet) adopt(h *coldHost, id string, s fleet.State) {
	changed, gone, ok := s.ChangesSince(h.revision)
	switch {
	case h.id == id && ok:
		h.set.Merge(changed, gone)
	default:
		changed = s.Reports()
		h.set.Replace(changed)
	}
	h.id, h.revision = id, s.Revision
	for _, r := range changed {
		o := h.told[r.ID]
		if r.Born > o.born || r.Born == o.born && r.Sequence > o.sequence {
			h.told[r.ID] = toldStart{r.Born, r.Sequence, r.ColdLeft == 0}
		}
	}
}

// request sends a request of a host, if there is an endpoint for it.
func (f *coldFleet) request(h *coldHost) {
	if f.greedy {
		h.next = f.now + 20*time.Millisecond + time.Duration(f.random.Int64N(int64(20*time.Millisecond)))
	} else {
		h.next = f.now + time.Duration(f.random.ExpFloat64()*float64(f.hosts)/f.perSec*float64(time.Second))
	}
	q := pick.Request{Service: "s", Slots: 64, Work: 20 * time.Millisecond, SlotTime: coldRequest, LinkDraw: f.random.Float64()}
	c, ok := h.set.Choose(q, f.time())
	if !ok {
		return
	}
	f.later(time.Duration(f.random.Int64N(int64(20*time.Millisecond))), func() {
		if h.set.MayStillSend(c, f.time()) {
			f.arrive(h, c.ID)
		}
	})
	s := h.set
	f.later(coldRequest, func() {
		s.AnswerStarted(c.ID, q.Work)
		s.RequestEnded(c.ID)
	})
}

// arrive counts a request that is sent to an endpoint while it is cold.
func (f *coldFleet) arrive(h *coldHost, id string) {
	k := slices.IndexFunc(f.servers, func(e *coldEndpoint) bool { return e.id == id })
	e := f.servers[k]
	if f.now < e.downUntil {
		h.set.RecordOpening(reach.Opening{Endpoint: id, Began: f.time(), Ended: f.time(), Outcome: reach.Refused})
		return
	}
	if f.now >= e.coldUntil {
		return
	}
	if t := h.told[id]; t.born == e.born && !t.warm {
		e.aware = append(e.aware, f.now)
	} else {
		e.unaware = append(e.unaware, f.now)
	}
}

// most returns the most requests within a window of one second.
func most(sent []time.Duration) int {
	sent = slices.Sorted(slices.Values(sent))
	m, b := 0, 0
	for k, t := range sent {
		for t-sent[b] >= time.Second {
			b++
		}
		m = max(m, k-b+1)
	}
	return m
}
