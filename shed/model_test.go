package shed_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/shed"
	"github.com/hickoryshelf/hickoryshelf/tiers"
)

// sort is a kind of requests.
type sort struct {
	name     string
	priority int
	perSec   float64
	// begin is the time from a slot to the first event, and hold that for which the slot is taken, on the smallest model. The larger one
	// takes twice as long.
	begin, hold         time.Duration
	objective, deadline time.Duration
}

// site models entry hosts that send requests to endpoints with slots and a queue.
type site struct {
	shed                    bool
	hosts, centres, perSite int
	slots                   int
	sorts                   []sort
	accounts                int
	length                  time.Duration
	factor                  func(now time.Duration) float64
	// accountFactor returns how many times as much as others an account sends of a kind.
	accountFactor func(account int, sort string) float64
	// From cutAt on, if it is set, the endpoints of the first data centre have ended.
	cutAt time.Duration
	// exchange is how often hosts hear of each other's load, and stale how old the fleet's demand is that they get. Without demand
	// they get none. startAt is when all hosts start anew, if it is set.
	exchange, stale time.Duration
	demand          bool
	startAt         time.Duration
	// retries is how often a caller comes back, and impatient is set if it does so at once.
	retries   int
	impatient bool
}

// usual is a site at 0.8 of its capacity with three kinds.
func usual() site {
	return site{
		hosts: 8, centres: 2, perSite: 4, slots: 12, accounts: 12, length: 20 * time.Second, exchange: 150 * time.Millisecond, demand: true, retries: 1,
		sorts: []sort{
			{"explanation", 0, 40, 40 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond, 20 * time.Second},
			{"tag", 1, 60, 60 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 5 * time.Second},
			{"summary", 2, 18, 220 * time.Millisecond, 1500 * time.Millisecond, 8 * time.Second, 20 * time.Second},
		},
		factor:        func(time.Duration) float64 { return 1 },
		accountFactor: func(int, string) float64 { return 1 },
	}
}

// result counts the requests of callers by what became of them.
type result struct{ asked, inTime, late, refused int }

func (r result) served() float64 { return float64(r.inTime+r.late) / float64(max(1, r.asked)) }
func (r result) timely() float64 { return float64(r.inTime) / float64(max(1, r.asked)) }
func (r result) String() string {
	return fmt.Sprintf("%d asked, %.3f in time, %.3f late, %.3f refused", r.asked, r.timely(), r.served()-r.timely(), float64(r.refused)/float64(max(1, r.asked)))
}

// event is something that happens at a time.
type event struct {
	at time.Duration
	do func()
}
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(a, b int) bool { return e[a].at < e[b].at }
func (e events) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// asked is a request of a caller.
type asked struct {
	sort      sort
	account   int
	at        time.Duration
	retries   int
	deadline  time.Duration
	attempted int
}

// endpoint is a model engine. waiting holds what starts when a slot is free.
type endpoint struct {
	busy    int
	waiting []func()
	ended   bool
}

// host is an entry host.
type host struct {
	set    *pick.Set
	ledger *shed.Ledger
	demand tiers.Demand
	late   tiers.Lateness
	// known is what the control hosts hold of its demand.
	known map[string]shed.Demand
}

// run is a site that runs.
type run struct {
	site
	random    *rand.Rand
	now       time.Duration
	events    events
	endpoints map[string]*endpoint
	hosts     []*host
	total     result
	bySort    map[string]*result
	byAccount map[int]*result
	// idle counts refusals while an endpoint had a free slot.
	idle int
	// history holds the fleet's demand of each exchange.
	history []map[string]shed.Demand
	returns map[int]int
}

var start = time.Unix(1000, 0)

func (r *run) time() time.Time { return start.Add(r.now) }

func (r *run) after(d time.Duration, do func()) { heap.Push(&r.events, event{r.now + d, do}) }

// play runs a site.
func (s site) play(seed uint64) *run {
	r := &run{site: s, random: rand.New(rand.NewPCG(seed, 7)), endpoints: map[string]*endpoint{}, bySort: map[string]*result{}, byAccount: map[int]*result{}, returns: map[int]int{}}
	for range s.hosts {
		r.hosts = append(r.hosts, r.newHost())
	}
	for _, o := range s.sorts {
		r.bySort[o.name] = &result{}
		r.arrive(o)
	}
	for a := range s.accounts {
		r.byAccount[a] = &result{}
	}
	r.after(0, r.swap)
	if s.cutAt > 0 {
		r.after(s.cutAt, r.cut)
	}
	if s.startAt > 0 {
		r.after(s.startAt, r.restart)
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r
}

func (r *run) newHost() *host {
	h := &host{set: pick.NewSet("0"), ledger: shed.NewLedger()}
	var l []fleet.Report
	for c := range r.centres {
		for k := range r.perSite {
			id := fmt.Sprint(c, "-", k)
			if r.endpoints[id] == nil {
				r.endpoints[id] = &endpoint{}
			}
			if !r.endpoints[id].ended {
				l = append(l, fleet.Report{ID: id, Service: "s", DataCentre: strconv.Itoa(c), Address: id, Version: "v", Sequence: 1})
			}
		}
	}
	h.set.Replace(l)
	return h
}

// arrive lets requests of a kind come.
func (r *run) arrive(s sort) {
	r.after(time.Duration(r.random.ExpFloat64()/(s.perSec*r.factor(r.now))*float64(time.Second)), func() {
		if r.now >= r.length {
			return
		}
		r.ask(s)
		r.arrive(s)
	})
}

// account draws the account of a request.
func (r *run) account(s sort) int {
	var t float64
	for a := range r.accounts {
		t += r.accountFactor(a, s.name)
	}
	d := r.random.Float64() * t
	for a := range r.accounts {
		if d -= r.accountFactor(a, s.name); d < 0 {
			return a
		}
	}
	return 0
}

func (r *run) each(q *asked, do func(*result)) {
	do(&r.total)
	do(r.bySort[q.sort.name])
	do(r.byAccount[q.account])
}

// swap lets hosts hear of each other.
func (r *run) swap() {
	sum := map[string]ctlrpc.Load{}
	d := map[string]shed.Demand{}
	for _, h := range r.hosts {
		for e, l := range h.set.LocalLoads() {
			sum[e] = sum[e].Plus(l)
		}
		if k := h.ledger.Report(r.now); k != nil {
			h.known = k
		}
		for s, v := range h.known {
			d[s] = d[s].Plus(v)
		}
	}
	r.history = append(r.history, d)
	for _, h := range r.hosts {
		o := map[string]ctlrpc.Load{}
		for e, l := range sum {
			o[e] = l.Minus(h.set.LocalLoads()[e])
		}
		h.set.SetRemoteLoads(o)
		if n := len(r.history) - 1 - int(r.stale/r.exchange); r.demand && n >= 0 {
			h.ledger.Adopt(r.history[n], r.stale, r.stale, r.now)
		}
	}
	if r.now < r.length+10*time.Second {
		r.after(r.exchange, r.swap)
	}
}

// cut ends the endpoints of the first data centre. What runs there is lost and counts as late.
func (r *run) cut() {
	for k := range r.perSite {
		r.endpoints[fmt.Sprint("0-", k)].ended = true
	}
	for _, h := range r.hosts {
		var l []fleet.Report
		for c := 1; c < r.centres; c++ {
			for k := range r.perSite {
				id := fmt.Sprint(c, "-", k)
				l = append(l, fleet.Report{ID: id, Service: "s", DataCentre: strconv.Itoa(c), Address: id, Version: "v", Sequence: 2})
			}
		}
		h.set.Replace(l)
	}
}

// restart starts all hosts anew. Callers that came in the waitTime before come at once.
func (r *run) restart() {
	const waitTime = 4
	for k := range r.hosts {
		r.hosts[k] = r.newHost()
	}
	for _, s := range r.sorts {
		for range int(s.perSec * waitTime) {
			r.after(time.Duration(r.random.IntN(100))*time.Millisecond, func() { r.ask(s) })
		}
	}
}

// ask lets a caller send a request.
func (r *run) ask(s sort) {
	q := &asked{sort: s, account: r.account(s), at: r.now, deadline: r.now + s.deadline}
	r.each(q, func(o *result) { o.asked++ })
	r.serve(q)
}

// tierRequest returns what package tiers weighs.
func (h *host) tierRequest(q *asked, k pick.Queue, left time.Duration) tiers.Request {
	s := q.sort
	w := func(f time.Duration) tiers.Tier {
		return tiers.Tier{Wait: k.Least + f*s.begin, Work: f*s.begin + time.Duration(k.Full*float64(f*s.hold)/12), Price: float64(f)}
	}
	return tiers.Request{Tiers: []tiers.Tier{w(1), w(2)}, Errors: tiers.NewErrorRates(2), AttemptsLeft: 1, TimeLeft: left, Lateness: h.late, Demand: h.demand, Queue: k.Mean}
}

// serve lets a host decide on a request and send it.
func (r *run) serve(q *asked) {
	h := r.hosts[r.random.IntN(len(r.hosts))]
	s := q.sort
	p := pick.Request{Service: "s", Slots: r.slots, Work: s.begin, SlotTime: s.hold, Stream: true}
	k := h.set.Queue(p, r.time())
	t := h.tierRequest(q, k, q.at+s.objective-r.now)
	c := tiers.NewChooser(tiers.DefaultWeights())
	h.demand = h.demand.WithRequest(c.Value(t.Tiers))
	tier := c.First(t)
	if r.shed {
		d := r.decide(h, q, t, p)
		if tier = d.Tier; d.Outcome != shed.Serve {
			if r.idleSlots() {
				r.idle++
			}
			r.refuse(q, d.RetryAfter)
			return
		}
	}
	f := time.Duration(tier + 1)
	p.Work, p.SlotTime = f*s.begin, f*s.hold
	e, ok := h.set.Choose(p, r.time())
	if !ok {
		r.refuse(q, 500*time.Millisecond)
		return
	}
	if r.now+e.Wait > q.deadline {
		h.set.AnswerStarted(e.ID, p.Work)
		h.set.RequestEnded(e.ID)
		r.refuse(q, 500*time.Millisecond)
		return
	}
	r.send(h, q, p, e)
}

// idleSlots reports whether an endpoint has a free slot and nothing waits at any.
func (r *run) idleSlots() bool {
	free := false
	for _, n := range r.endpoints {
		if n.ended {
			continue
		}
		if len(n.waiting) > 0 {
			return false
		}
		free = free || n.busy < r.slots
	}
	return free
}

// decide asks package shed.
func (r *run) decide(h *host, q *asked, t tiers.Request, p pick.Request) shed.Decision {
	s := q.sort
	h.ledger.Add("s", shed.Use{Kind: s.name, Account: strconv.Itoa(q.account), Priority: s.priority, SlotTime: s.hold, Work: s.begin, Objective: s.objective}, r.now)
	v := h.ledger.View("s", r.now)
	p.SlotTime = v.SlotTime
	k := h.set.Queue(p, r.time())
	return shed.NewChooser(tiers.NewChooser(tiers.DefaultWeights())).First(shed.Request{
		Tiers: t, SlotTimes: []time.Duration{s.hold, 2 * s.hold}, MeanSlotTime: v.SlotTime, Wait: k.Least, Full: k.Full >= 1, Waiting: k.Waiting, Allowed: v.Allowed, Work: s.begin, Left: q.deadline - r.now,
		Account: strconv.Itoa(q.account), Priority: s.priority, Demand: v.Demand, Draw: r.random.Float64(), ReturnDraw: r.random.Float64(),
	})
}

// refuse tells a caller to come back.
func (r *run) refuse(q *asked, after time.Duration) {
	if r.impatient {
		after = 20 * time.Millisecond
	}
	if q.attempted++; q.attempted > r.retries || after > (q.deadline-r.now)/3 {
		r.each(q, func(o *result) { o.refused++ })
		return
	}
	r.returns[int((r.now+after)/(100*time.Millisecond))]++
	r.after(after, func() { r.serve(q) })
}

// send sends a request to an endpoint.
func (r *run) send(h *host, q *asked, p pick.Request, e pick.Choice) {
	const oneWay = 2 * time.Millisecond
	n := r.endpoints[e.ID]
	sent := r.now
	begin := func() {
		if n.ended || r.now >= q.deadline {
			h.set.AnswerStarted(e.ID, p.Work)
			h.set.RequestEnded(e.ID)
			r.each(q, func(o *result) { o.refused++ })
			return
		}
		n.busy++
		r.after(p.Work, func() {
			h.set.AnswerStarted(e.ID, p.Work)
			h.set.RecordSuccess(e.ID, pick.Direct, r.now-sent, e.Wait)
			h.late = h.late.With(r.now-sent, e.Expected)
			r.each(q, func(o *result) {
				if r.now <= q.at+q.sort.objective {
					o.inTime++
				} else {
					o.late++
				}
			})
		})
		r.after(p.SlotTime, func() {
			h.set.RequestEnded(e.ID)
			n.busy--
			r.next(n)
		})
	}
	r.after(oneWay, func() {
		n.waiting = append(n.waiting, begin)
		r.next(n)
	})
}

// next starts what waits at an endpoint while it has free slots.
func (r *run) next(n *endpoint) {
	for n.busy < r.slots && len(n.waiting) > 0 {
		w := n.waiting[0]
		n.waiting = n.waiting[1:]
		w()
	}
}

// both plays a site with and without shedding, and logs what became of the requests.
func (s site) both(t *testing.T) (with, without *run) {
	t.Helper()
	s.shed = true
	with = s.play(1)
	s.shed = false
	without = s.play(1)
	for _, r := range []*run{with, without} {
		t.Logf("shed %v: %v", r.shed, r.total)
		for _, o := range s.sorts {
			t.Logf("  %s: %v", o.name, *r.bySort[o.name])
		}
		t.Logf("  account 0: %v; account 1: %v", *r.byAccount[0], *r.byAccount[1])
	}
	return with, without
}

// leastServed returns the least served share of a kind or an account over that of all.
func (r *run) leastServed() float64 {
	m := math.Inf(1)
	for _, o := range r.bySort {
		m = min(m, o.served()/r.total.served())
	}
	for _, o := range r.byAccount {
		m = min(m, o.served()/r.total.served())
	}
	return m
}
