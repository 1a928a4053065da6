package ctrl_test

import (
	"cmp"
	"container/heap"
	"encoding/gob"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/poison"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	// The modelled fleet: entry hosts, control hosts, endpoints of one service and those of them that end at once.
	stormHosts     = 300
	stormControls  = 5
	stormEndpoints = 250
	stormEnded     = 120
	// stormRequests is the number of requests per second, and stormRun the longest time that one runs.
	stormRequests = 1000
	stormRun      = 2 * time.Second
	// stormAt is the time of the ends, and stormLength that of the whole model.
	stormAt     = 4 * time.Second
	stormLength = 12 * time.Second
	// stormRestart is the time after which the endpoints that ended are back.
	stormRestart = 2 * time.Second
	// exchangeEvery is the interval of a host's exchanges, and gossipEvery that of messages between control hosts.
	exchangeEvery = 150 * time.Millisecond
	gossipEvery   = 40 * time.Millisecond
	// maxHostBytes is the number of bytes a second that a host may exchange with its control host, from the target.
	maxHostBytes = 6 << 10
)

// countingWriter counts the bytes that are written.
type countingWriter struct{ n int64 }

func (w *countingWriter) Write(b []byte) (int, error) {
	w.n += int64(len(b))
	return len(b), nil
}

// stormEvent is something that happens at a time.
type stormEvent struct {
	at    time.Duration
	order int
	act   func()
}

type stormQueue []stormEvent

func (q stormQueue) Len() int { return len(q) }
func (q stormQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q stormQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *stormQueue) Push(x any)   { *q = append(*q, x.(stormEvent)) }
func (q *stormQueue) Pop() any {
	o := *q
	e := o[len(o)-1]
	*q = o[:len(o)-1]
	return e
}

// stormHost is an entry host with its connection to a control host.
type stormHost struct {
	name     string
	observer *poison.Observer
	loads    map[string]ctlrpc.Load
	known    ctlrpc.EntryState
	sequence uint64
	up, down countingWriter
	request  *gob.Encoder
	reply    *gob.Encoder
}

// stormControl is a control host with its gossip for the others.
type stormControl struct {
	state   ctrl.State
	replies *ctrl.ReplyBuilder
	gossip  ctlrpc.Gossip
	out     countingWriter
	encoder *gob.Encoder
}

// stormEndpoint is one start of an endpoint with the requests that run there.
type stormEndpoint struct {
	boot poison.Boot
	up   bool
	runs map[*stormRequest]bool
}

// stormRequest is a request in flight.
type stormRequest struct {
	host     *stormHost
	endpoint *stormEndpoint
	keys     []poison.Key
	sent     time.Duration
}

// storm models a fleet in which many endpoints end at once under full load. Control hosts run the code of the product; the
// log isn't modelled.
type storm struct {
	t         testing.TB
	random    *rand.Rand
	now       time.Duration
	events    stormQueue
	order     int
	hosts     []*stormHost
	controls  []*stormControl
	endpoints []*stormEndpoint
	starts    int
}

func newStorm(t testing.TB, seed uint64) *storm {
	s := &storm{t: t, random: rand.New(rand.NewPCG(seed, 5))}
	var l []quorum.NodeID
	for k := range stormControls {
		l = append(l, ctrl.Node(address(k), "founder"))
	}
	p := ctrl.BootstrapPeers(l)
	for k := range stormControls {
		a := address(k)
		n := ctrl.Node(a, "founder")
		st, err := ctrl.New(ctrl.Options{Node: n, StartID: fmt.Sprint("start", k), Heartbeat: 1200 * time.Millisecond, Log: quorum.New(n, timing, quorum.HardState{Term: 1}, quorum.Snapshot{Index: 1, Term: 1, Peers: p}, nil, 1)})
		if err != nil {
			t.Fatal(err)
		}
		c := &stormControl{state: st, replies: ctrl.NewReplyBuilder()}
		c.encoder = gob.NewEncoder(&c.out)
		s.controls = append(s.controls, c)
	}
	for k := range stormHosts {
		h := &stormHost{name: fmt.Sprintf("edge-aarau-halle-%d", k), observer: poison.NewObserver(), loads: map[string]ctlrpc.Load{}}
		h.request, h.reply = gob.NewEncoder(&h.up), gob.NewEncoder(&h.down)
		s.hosts = append(s.hosts, h)
	}
	for range stormEndpoints {
		s.startEndpoint()
	}
	return s
}

func (s *storm) after(d time.Duration, act func()) {
	s.order++
	heap.Push(&s.events, stormEvent{s.now + d, s.order, act})
}

func (s *storm) startEndpoint() {
	s.starts++
	e := &stormEndpoint{boot: poison.Boot{Endpoint: fmt.Sprintf("i-%010x", s.starts*7919), Born: int64(1.7e12) + s.now.Milliseconds()}, up: true, runs: map[*stormRequest]bool{}}
	s.endpoints = append(s.endpoints, e)
	s.report(e, 1)
}

// report lets an endpoint report to a control host, with each heartbeat.
func (s *storm) report(e *stormEndpoint, sequence int64) {
	if !e.up {
		return
	}
	c := s.controls[s.random.IntN(len(s.controls))]
	s.reduce(c, ctrl.EndpointReported{Report: fleet.Report{
		ID: e.boot.Endpoint, Born: e.boot.Born, Sequence: sequence, Phase: fleet.Ready, Service: "hickory-drafting", Address: "10.0.0.1:8000", Version: "v1",
	}})
	s.after(1200*time.Millisecond, func() { s.report(e, sequence+1) })
}

// reduce passes an event to a control host and collects the gossip that follows.
func (s *storm) reduce(c *stormControl, e ctrl.Event) {
	n, f := ctrl.Reduce(c.state, s.now, e)
	c.state = n
	for _, x := range f {
		if g, ok := x.(ctrl.SendGossip); ok {
			c.gossip.Reports = append(c.gossip.Reports, g.Gossip.Reports...)
			c.gossip.Hosts = append(c.gossip.Hosts, g.Gossip.Hosts...)
			c.gossip.Poison = c.gossip.Poison.Plus(g.Gossip.Poison)
		}
	}
}

// encode adds a message to a connection.
func (s *storm) encode(e *gob.Encoder, m any) {
	if err := e.Encode(m); err != nil {
		s.t.Fatal(err)
	}
}

func (s *storm) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(stormEvent)
		s.now = e.at
		e.act()
	}
	s.now = until
}

func (s *storm) start() {
	for k, h := range s.hosts {
		s.after(time.Duration(s.random.Int64N(int64(exchangeEvery))), func() { s.exchange(h, s.controls[k%len(s.controls)]) })
	}
	for _, c := range s.controls {
		s.after(time.Duration(s.random.Int64N(int64(gossipEvery))), func() { s.spread(c) })
		s.after(25*time.Millisecond, func() { s.tick(c) })
	}
	s.request()
	s.after(stormAt, s.endMany)
}

func (s *storm) tick(c *stormControl) {
	s.reduce(c, ctrl.Tick{})
	s.after(25*time.Millisecond, func() { s.tick(c) })
}

// spread sends the gossip of a control host to the others.
func (s *storm) spread(c *stormControl) {
	g := c.gossip
	c.gossip = ctlrpc.Gossip{}
	if len(g.Reports)+len(g.Hosts) > 0 || !g.Poison.Empty() {
		s.encode(c.encoder, g)
		for _, o := range s.controls {
			if o != c {
				s.reduce(o, ctrl.GossipReceived{Gossip: g})
			}
		}
	}
	s.after(gossipEvery, func() { s.spread(c) })
}

// exchange sends a host's report to its control host and applies the reply.
func (s *storm) exchange(h *stormHost, c *stormControl) {
	h.sequence++
	q := ctlrpc.ExchangeRequest{Known: h.known, Report: ctlrpc.HostReport{Host: h.name, Start: 1, Sequence: h.sequence, Loads: maps.Clone(h.loads), Poison: h.observer.Take(s.now)}}
	s.encode(h.request, q)
	s.reduce(c, ctrl.HostReported{Report: q.Report})
	s.after(exchangeEvery, func() {
		r := c.replies.Build(c.state, q)
		s.encode(h.reply, r)
		if r.PoisonSum != h.known.PoisonSum {
			h.observer.Adopt(r.Poison, s.now)
		}
		h.observer.AdoptWatch(r.Watch)
		h.known = ctlrpc.EntryState{Control: r.Control, FleetRevision: r.FleetRevision, PoisonSum: r.PoisonSum, HostsSum: ctlrpc.HostsSum(c.state.HostNames())}
		s.exchange(h, c)
	})
}

// request sends a request and lets the next one follow at random. Its prompt has a first part that many others have and a
// second one that few have.
func (s *storm) request() {
	s.after(time.Duration(s.random.ExpFloat64()/stormRequests*float64(time.Second)), func() {
		var k []poison.Key
		switch s.random.IntN(4) {
		case 0:
			k = stormKeys("agreement", 1, s.random.IntN(1636))
		case 1:
			k = stormKeys("fitting", 32, s.random.IntN(1163*8))
		default:
			k = stormKeys("summary", 160, s.random.IntN(4791*32))
		}
		k = append(k, poison.Key{Kind: poison.Request, ID: fmt.Sprintf("%016x-%032x", s.order, s.order)})
		s.send(s.hosts[s.random.IntN(len(s.hosts))], k, 3)
		s.request()
	})
}

// stormKeys returns the keys of a prompt: one of first parts, and one that follows from n.
func stormKeys(kind string, first, n int) []poison.Key {
	return []poison.Key{
		{Kind: poison.Part, ID: fmt.Sprintf("%s-%012x", kind, n%first)}, {Kind: poison.Part, ID: fmt.Sprintf("%s-%024x", kind, n)},
	}
}

// send sends a request to an endpoint that is up. It may be sent a number of times.
func (s *storm) send(h *stormHost, keys []poison.Key, attempts int) {
	l := slices.DeleteFunc(slices.Clone(s.endpoints), func(e *stormEndpoint) bool { return !e.up })
	if len(l) == 0 || attempts == 0 {
		return
	}
	r := &stormRequest{host: h, endpoint: l[s.random.IntN(len(l))], keys: keys, sent: s.now}
	if attempts == 3 {
		h.observer.Started("hickory-drafting", keys, s.now)
	}
	r.endpoint.runs[r] = true
	v := h.loads[r.endpoint.boot.Endpoint]
	h.loads[r.endpoint.boot.Endpoint] = ctlrpc.Load{Requests: v.Requests + 1, Backlog: v.Backlog + s.random.IntN(50)}
	s.after(time.Duration(s.random.Int64N(int64(stormRun))), func() {
		if !r.endpoint.runs[r] {
			return
		}
		s.end(r)
		h.observer.Served("hickory-drafting", keys, s.now)
	})
}

// end ends a run.
func (s *storm) end(r *stormRequest) {
	delete(r.endpoint.runs, r)
	e := r.endpoint.boot.Endpoint
	if v := r.host.loads[e]; v.Requests > 1 {
		r.host.loads[e] = ctlrpc.Load{Requests: v.Requests - 1, Backlog: v.Backlog / 2}
	} else {
		delete(r.host.loads, e)
	}
}

// endMany ends many endpoints at once with all that runs there.
func (s *storm) endMany() {
	n := 0
	for _, e := range s.endpoints {
		if !e.up || n == stormEnded {
			continue
		}
		n++
		e.up = false
		for r := range e.runs {
			s.end(r)
			r.host.observer.Broke(poison.Run{
				Boot: e.boot, Service: "hickory-drafting", Keys: r.keys, Account: fmt.Sprint("account", s.random.IntN(40)), Age: s.now - r.sent, Endpoints: stormEndpoints, Hosts: stormHosts,
			}, s.now)
			r.host.observer.Ended(e.boot, s.now)
			s.send(r.host, r.keys, 2)
		}
		s.after(stormRestart, s.startEndpoint)
	}
}

// bytes returns the bytes that each host has exchanged with its control host since the last call, in the mean.
func (s *storm) bytes() int64 {
	var n int64
	for _, h := range s.hosts {
		n += h.up.n + h.down.n
		h.up.n, h.down.n = 0, 0
	}
	return n / int64(len(s.hosts))
}

// Guards against messages to all hosts that grow with each end of an endpoint, when many end at once under full load. They
// cost control hosts their memory and processor time.
func TestManyEndsUnderFullLoadCostControlLittle(t *testing.T) {
	i := is.New(t)
	s := newStorm(t, 1)
	s.start()
	s.run(time.Second)
	s.bytes() // the first ones hold all endpoints
	s.run(stormAt)
	calm := float64(s.bytes()) / (stormAt - time.Second).Seconds()
	s.run(stormLength)
	n := float64(s.bytes()) / (stormLength - stormAt).Seconds()
	t.Logf("bytes/s a host: %.0f before the ends, %.0f after them", calm, n)
	i.True(n-calm <= maxHostBytes)
}
