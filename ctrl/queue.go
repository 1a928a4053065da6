package ctrl

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/poison"
)

// maxQueuedCases bounds the cases of evidence about requests that end endpoints from one host, or gossiped apart from hosts'
// reports, in a ReportQueue. The oldest are dropped.
const maxQueuedCases = 1024

// Source says where a report comes from.
type Source int

// Sources of reports: the endpoint or entry host itself, or another control host that has passed the report on.
const (
	Direct Source = iota
	Relayed
)

// reportKey identifies what reports are about: an endpoint, a start of an entry host, or neither of them for evidence
// about requests that end endpoints.
type reportKey struct {
	source   Source
	endpoint string
	host     string
	start    int64
}

// queuedReport is a report that waits. Only the part that its key names is set, and evidence, which hosts report too.
type queuedReport struct {
	endpoint fleet.Report
	// host holds no evidence.
	host ctlrpc.HostReport
	// evidence holds the evidence of the merged reports, the oldest first.
	evidence []poison.Arrival
	// at is when the newest of the merged reports came. Ages in it count from then.
	at time.Duration
}

// ReportQueue holds reports in the order in which they came. Reports about the same endpoint or entry host are merged, so
// that the queue doesn't grow with the time that they wait. It is safe for concurrent use.
type ReportQueue struct {
	// now returns the time since the start of the host.
	now func() time.Duration
	// wake gets a value when the queue isn't empty.
	wake chan struct{}

	lock    sync.Mutex
	order   []reportKey
	reports map[reportKey]queuedReport
	// dropped is the number of cases that were dropped.
	dropped int
}

// NewReportQueue returns an empty queue. now returns the time since the start of the host.
func NewReportQueue(now func() time.Duration) *ReportQueue {
	return &ReportQueue{now: now, wake: make(chan struct{}, 1), reports: map[reportKey]queuedReport{}}
}

// AddEndpoint queues an endpoint's report.
func (q *ReportQueue) AddEndpoint(s Source, r fleet.Report) {
	q.add(reportKey{source: s, endpoint: r.ID}, queuedReport{endpoint: r, at: q.now()})
}

// AddHost queues an entry host's report.
func (q *ReportQueue) AddHost(s Source, r ctlrpc.HostReport) {
	n := queuedReport{at: q.now()}
	if !r.Poison.Empty() {
		n.evidence = []poison.Arrival{{Report: r.Poison, At: n.at}}
	}
	r.Poison = poison.Report{}
	n.host = r
	q.add(reportKey{source: s, host: r.Host, start: r.Start}, n)
}

// AddGossip queues the reports of a gossip message one by one.
func (q *ReportQueue) AddGossip(s Source, g ctlrpc.Gossip) {
	for _, r := range g.Reports {
		q.AddEndpoint(s, r)
	}
	for _, r := range g.Hosts {
		q.AddHost(s, r)
	}
	if !g.Poison.Empty() {
		n := q.now()
		q.add(reportKey{source: s}, queuedReport{evidence: []poison.Arrival{{Report: g.Poison, At: n}}, at: n})
	}
}

func (q *ReportQueue) add(k reportKey, r queuedReport) {
	q.lock.Lock()
	defer q.lock.Unlock()
	o, ok := q.reports[k]
	if ok {
		r = o.merge(r)
	} else {
		q.order = append(q.order, k)
	}
	r.evidence = q.bound(r.evidence)
	q.reports[k] = r
	q.signal()
}

// bound returns evidence without the oldest reports, so that it holds at most maxQueuedCases cases unless it is one report.
func (q *ReportQueue) bound(l []poison.Arrival) []poison.Arrival {
	n := 0
	for _, a := range l {
		n += len(a.Report.Cases)
	}
	for n > maxQueuedCases && len(l) > 1 {
		k := len(l[0].Report.Cases)
		n -= k
		q.dropped += k
		l = l[1:]
	}
	return l
}

func (q *ReportQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Load returns the number of reports that wait, and that of the cases of evidence that were dropped since the start.
func (q *ReportQueue) Load() (waiting, dropped int) {
	q.lock.Lock()
	defer q.lock.Unlock()
	return len(q.order), q.dropped
}

// restore puts reports back that were popped and could not be sent. They are merged with newer ones.
func (q *ReportQueue) restore(keys []reportKey, reports map[reportKey]queuedReport) {
	q.lock.Lock()
	defer q.lock.Unlock()
	for _, k := range keys {
		r := reports[k]
		n, ok := q.reports[k]
		if ok {
			r = r.merge(n)
		} else {
			q.order = append(q.order, k)
		}
		q.reports[k] = r
	}
}

// Pop removes the report that has waited longest and returns it as an event.
func (q *ReportQueue) Pop() (Event, bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if len(q.order) == 0 {
		return nil, false
	}
	k := q.order[0]
	r := q.reports[k].aged(q.now())
	delete(q.reports, k)
	if q.order = q.order[1:]; len(q.order) > 0 {
		q.signal()
	}
	switch {
	case k.source == Direct && k.endpoint != "":
		return EndpointReported{Report: r.endpoint}, true
	case k.source == Direct && k.host != "":
		return HostReported{Report: r.hostReport()}, true
	}
	return GossipReceived{Gossip: r.gossip(k)}, true
}

// popAll removes all reports.
func (q *ReportQueue) popAll() ([]reportKey, map[reportKey]queuedReport) {
	q.lock.Lock()
	defer q.lock.Unlock()
	k, r := q.order, q.reports
	q.order, q.reports = nil, map[reportKey]queuedReport{}
	return k, r
}

// gossip returns the report with a key as a gossip message.
func (r queuedReport) gossip(k reportKey) ctlrpc.Gossip {
	switch {
	case k.endpoint != "":
		return ctlrpc.Gossip{Reports: []fleet.Report{r.endpoint}}
	case k.host != "":
		return ctlrpc.Gossip{Hosts: []ctlrpc.HostReport{r.hostReport()}}
	}
	return ctlrpc.Gossip{Poison: poison.Collect(r.evidence, r.at)}
}

// aged returns the report with the ages that it has at a time.
func (r queuedReport) aged(now time.Duration) queuedReport {
	r.host, r.at = r.host.WithAge(now-r.at), now
	return r
}

// hostReport returns the report of an entry host with its evidence.
func (r queuedReport) hostReport() ctlrpc.HostReport {
	h := r.host
	h.Poison = poison.Collect(r.evidence, r.at)
	return h
}

// merge returns what a report and a later one about the same say together.
func (r queuedReport) merge(n queuedReport) queuedReport {
	r = r.aged(n.at)
	n.endpoint = fleet.Merge(r.endpoint, n.endpoint)
	n.evidence = append(r.evidence, n.evidence...)
	n.host = mergeHostReports(r.host, n.host)
	return n
}

// mergeHostReports returns what two reports of one start of an entry host say together. Parts that only some reports hold
// are taken from the one that has them.
func mergeHostReports(a, b ctlrpc.HostReport) ctlrpc.HostReport {
	if b.Sequence < a.Sequence {
		a, b = b, a
	}
	if b.Assist.Address == "" {
		b.Assist = a.Assist
	}
	if !b.Demand.HasServices() {
		b.Demand = a.Demand
	}
	if b.Reads == nil {
		b.Reads = a.Reads
	}
	b.Speeds = mergeSpeeds(a.Speeds, b.Speeds)
	b.Active = slices.Concat(a.Active, b.Active)
	b.Tallies = mergeTallies(a.Tallies, b.Tallies)
	return b
}

// mergeTallies returns the tallies of two reports, of those with the same key the one that counts more.
func mergeTallies(a, b []canary.Tally) []canary.Tally {
	if len(a) == 0 {
		return b
	}
	m := map[string]canary.Tally{}
	for _, t := range slices.Concat(a, b) {
		if o, ok := m[t.Key()]; !ok || t.Supersedes(o) {
			m[t.Key()] = t
		}
	}
	return slices.Collect(maps.Values(m))
}
