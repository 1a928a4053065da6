// Package pick chooses the endpoint of a request from what the host knows of endpoints: their own reports,
// the load of all hosts, and how their answers went here.
package pick

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
)

const (
	// ejectionBase and banMost bound how long an endpoint is passed over after failures in a row.
	ejectionBase = 300 * time.Millisecond
	maxEjection  = 5 * time.Second
	// unreachableEjectionBase is how long an endpoint is passed over after a connection could not be made.
	unreachableEjectionBase = 500 * time.Millisecond
	// centreEjectThreshold is how many endpoints of a data centre in a row have to be unreachable for all of them to
	// be passed over, for centreBan.
	centreEjectThreshold = 3
	centreEjection       = 700 * time.Millisecond
	// ejectThreshold is how many faults in a row make an endpoint be passed over.
	ejectThreshold = 2
	// faultWeight is the part of the newest answer in an endpoint's rate of faults.
	faultWeight = 0.12
	// faultCost is the expected loss of time through a fault.
	faultCost = 2500 * time.Millisecond
	// slowdownWeight is the part of the newest answer in an endpoint's pace.
	slowdownWeight = 0.15
	// remoteCost is added for an endpoint in another data centre, awayStreamCost where the answer is a stream: a
	// long answer is exposed to losses and cuts on the way.
	remoteCost       = 5 * time.Millisecond
	remoteStreamCost = 150 * time.Millisecond
	// warmUpCost is added for an endpoint that says it is still slow after its start.
	warmUpCost = 60 * time.Millisecond
	// silenceGrace is how much longer than estimated an endpoint may give no sign, and silenceTimes how many
	// times what goes beyond counts as a wait.
	silenceGrace  = 150 * time.Millisecond
	silenceFactor = 4
	// perRequestCost is what a request under way adds to the wait of the next one at an engine.
	perRequestCost = 2 * time.Millisecond
)

// Request is what a request asks of an endpoint.
type Request struct {
	Service string
	// Slots is how many requests an endpoint runs at once.
	Slots int
	// Work is the estimated time from the sending to the start of the answer on a free endpoint.
	Work time.Duration
	// SlotTime is the estimated time that a request occupies a slot.
	SlotTime time.Duration
	// Stream is set where the answer is a series of events.
	Stream bool
	// Affinity names what the request shares with others, and Saved the work that an endpoint that holds
	// it is spared.
	Affinity    uint64
	CacheSaving time.Duration
	// Draw is between 0 and 1 and Bound is set for requests of a session; both decide whether a version
	// that is being rolled out takes the request.
	Draw      float64
	InSession bool
	// Tried are endpoints that the request was sent to before.
	Tried map[string]bool
}

// Choice is the endpoint for a request.
type Choice struct {
	fleet.Endpoint
	// Wait is the estimated time to the start of the answer, and Expected the same for an endpoint that is as
	// fast as its model.
	Wait     time.Duration
	Expected time.Duration
	// Load is what was known to be under way there, and Candidates how many endpoints were weighed.
	Load       ctlrpc.Load
	Candidates int
}

// endpoint is what is known of an endpoint.
type endpoint struct {
	report fleet.Report
	local  ctlrpc.Load
	// remote are the loads of other hosts as last told, and since are own sends after that.
	remote ctlrpc.Load
	// faultRate is the smoothed rate of faultRate; row counts those since the last good answer.
	faultRate         float64
	consecutiveFaults int
	ejectedUntil      time.Time
	// slowdown is how much slower than estimated the endpoint answers.
	slowdown float64
	// lastActive is when the endpoint last gave a sign. unanswered counts requests that got none yet, and silent
	// is since when they wait without any sign of the endpoint.
	lastActive  time.Time
	unanswered  int
	silentSince time.Time
	// replaced is set once another start answered at the endpoint's address.
	replaced bool
	// removed is set once control hosts no longer know the endpoint.
	removed bool
}

// Set is the endpoints of a host. It is safe for concurrent use.
type Set struct {
	dataCentre string
	lock       sync.Mutex
	endpoints  map[string]*endpoint
	rollouts   map[string]canary.View
	// startTimes is when each running roll-out was startTimes, by serial.
	startTimes map[uint64]time.Time
	centres    map[string]*centreState
	// departed are endpoints that leave, kept so that a control host that has forgotten can't bring them back.
	departed map[string]departure
}

// NewSet returns a set without endpoints for a host in a data centre.
func NewSet(dataCentre string) *Set {
	return &Set{dataCentre: dataCentre, endpoints: map[string]*endpoint{}, rollouts: map[string]canary.View{}, startTimes: map[uint64]time.Time{}, centres: map[string]*centreState{}, departed: map[string]departure{}}
}

// Choose returns the endpoint with the shortest estimated wait and counts the request as under way there.
// ok is false where no endpoint may take the request.
func (s *Set) Choose(q Request, now time.Time) (c Choice, ok bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	l := s.candidates(q, now)
	var b *endpoint
	var m time.Duration
	for _, n := range l {
		if k := s.cost(n, q) + n.silencePenalty(now, s.estimate(n, q)); b == nil || k < m {
			b, m = n, k
		}
	}
	if b == nil {
		return c, false
	}
	c.Wait, c.Expected = s.estimate(b, q), s.expected(b, q)
	c.Endpoint.Report, c.Load, c.Candidates = b.report, b.local.Plus(b.remote), len(l)
	b.local.Requests++
	if b.unanswered++; b.unanswered == 1 {
		b.silentSince = now
	}
	b.local.Backlog += int(q.Work.Milliseconds())
	return c, true
}

// candidates are the endpoints that may take the request; where all are passed over for faults, all are
// weighed, and where all were tried, none.
func (s *Set) candidates(q Request, now time.Time) []*endpoint {
	v, ok := s.rollouts[q.Service]
	var a, b []*endpoint
	for _, on := range []bool{s.goesToTarget(v, q), !s.goesToTarget(v, q)} {
		for _, n := range s.endpoints {
			if n.replaced || n.removed || n.report.Service != q.Service || n.report.Phase != fleet.Ready || q.Tried[n.report.ID] {
				continue
			}
			if ok && (n.report.Version == v.Target) != on {
				continue
			}
			if b = append(b, n); now.After(n.ejectedUntil) && now.After(s.centreOf(n.report.DataCentre).ejectedUntil) {
				a = append(a, n)
			}
		}
		if !ok || len(b) > 0 || !s.mayUseOtherVersion(v, on) {
			break
		}
	}
	if len(a) > 0 {
		return a
	}
	return b
}

// goesToTarget reports whether a request goes to the version that is being rolled out.
func (s *Set) goesToTarget(v canary.View, q Request) bool {
	if q.InSession {
		return q.Draw < v.Plan.Bound
	}
	return q.Draw < v.Plan.Fresh
}

// mayUseOtherVersion reports whether a request may go to the other side of a roll-out where its own has no endpoint.
func (s *Set) mayUseOtherVersion(v canary.View, target bool) bool {
	return target || v.Outcome != canary.RolledBack && v.Plan.Bound > 0
}

// estimate is the expected time to the start of the answer.
func (s *Set) estimate(n *endpoint, q Request) time.Duration {
	return time.Duration(float64(s.expected(n, q)) * n.slowdown)
}

// expected is the same for an endpoint that is as fast as its model.
func (s *Set) expected(n *endpoint, q Request) time.Duration {
	l := n.local.Plus(n.remote)
	w := q.Work + time.Duration(l.Backlog)*time.Millisecond + time.Duration(l.Requests)*perRequestCost
	if q.CacheSaving > 0 && s.hasAffinity(n, q) {
		w -= q.CacheSaving
	}
	if k := l.Requests + 1 - q.Slots; q.Slots > 0 && k > 0 {
		w += time.Duration(float64(q.SlotTime) * float64(k) / float64(q.Slots))
	}
	return w
}

// cost is the estimate with what speaks against an endpoint beside its wait.
func (s *Set) cost(n *endpoint, q Request) time.Duration {
	w := s.estimate(n, q) + time.Duration(n.faultRate*float64(faultCost))
	if n.report.DataCentre != s.dataCentre {
		w += s.remotePenalty(q)
	}
	if n.report.ColdLeft > 0 {
		w += warmUpCost
	}
	return w
}

func (s *Set) remotePenalty(q Request) time.Duration {
	if q.Stream {
		return remoteStreamCost
	}
	return remoteCost
}

// hasAffinity reports whether the endpoint is the one that requests with the same affinity prefer.
func (s *Set) hasAffinity(n *endpoint, q Request) bool {
	w := rendezvousWeight(n.report.ID, q.Affinity)
	for _, o := range s.endpoints {
		if o != n && o.report.Service == q.Service && o.report.Phase == fleet.Ready && rendezvousWeight(o.report.ID, q.Affinity) > w {
			return false
		}
	}
	return true
}

func rendezvousWeight(id string, affinity uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id) // a hash can't fail
	return mix64(d.Sum64() ^ affinity)
}

// mix64 spreads the bits of a value.
func mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// AnswerStarted tells that a request has begun to answer; work is what Choose was given.
func (s *Set) AnswerStarted(id string, work time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if n, ok := s.endpoints[id]; ok {
		n.unanswered = max(0, n.unanswered-1)
		n.local.Backlog = max(0, n.local.Backlog-int(work.Milliseconds()))
	}
}

// RequestEnded tells that a request is no longer under way.
func (s *Set) RequestEnded(id string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if n, ok := s.endpoints[id]; ok {
		n.local.Requests = max(0, n.local.Requests-1)
		s.deleteIfIdle(id, n)
	}
}
