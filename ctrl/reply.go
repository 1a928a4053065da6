package ctrl

import (
	"maps"
	"sync"
	"time"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
)

const (
	// maxAggregateAge is how old sums over all entry hosts may be.
	maxAggregateAge = 30 * time.Millisecond
	// maxLoadChanges bounds the changed loads in one answer to an entry host.
	maxLoadChanges = 40
	// sentCleanupSize is the number of entry hosts from which those that have gone are looked for.
	sentCleanupSize = 64
)

// replyBuilder answers exchanges with what entry hosts don't hold yet. It is safe for concurrent use.
type replyBuilder struct {
	lock      sync.Mutex
	sent      map[string]sentLoads
	aggregate aggregate
}

// sentLoads is what an entry host was sentLoads of loads.
type sentLoads struct {
	start int64
	// sequence is that of the newest report that was answered.
	sequence uint64
	loads    map[string]ctlrpc.Load
	sentAt   time.Duration
}

// aggregate holds sums over all entry hosts.
type aggregate struct {
	computedAt time.Duration
	valid      bool
	loads      map[string]ctlrpc.Load
	views      []canary.View
}

func newReplyBuilder() *replyBuilder { return &replyBuilder{sent: map[string]sentLoads{}} }

// build returns what an entry host doesn't hold.
func (t *replyBuilder) build(s State, q ctlrpc.Query) ctlrpc.News {
	t.lock.Lock()
	defer t.lock.Unlock()
	if !t.aggregate.valid || s.Now-t.aggregate.computedAt > maxAggregateAge {
		t.aggregate = aggregate{computedAt: s.Now, valid: true, loads: s.Loads(), views: s.Views()}
	}
	n := ctlrpc.News{
		Control: s.StartID, Sure: s.Synced, Current: s.Current(), FleetRevision: s.Fleet.Revision, Entries: s.EntryHosts(), Controls: s.ControlAddresses(),
	}
	if d := s.Machine.Document; s.Synced && d.Version > q.Known.TableVersion {
		n.TableVersion, n.Document = d.Version, d.Content
	}
	if s.Synced {
		n.Rollouts = t.aggregate.views
	}
	addFleetChanges(&n, s, q)
	t.addLoadChanges(&n, s, q)
	return n
}

// addFleetChanges adds changes of endpoints, or all of them for a host that holds those of another start and not the
// same.
func addFleetChanges(n *ctlrpc.News, s State, q ctlrpc.Query) {
	if q.Known.Control == s.StartID && q.Known.FleetRevision == s.Fleet.Revision {
		return
	}
	n.Reads = s.PrefillTimes()
	if q.Known.Control == s.StartID {
		c, g, ok := s.Fleet.Since(q.Known.FleetRevision)
		if ok {
			n.Reports, n.Gone = c, g
			return
		}
	}
	if q.Known.Control != s.StartID && q.Known.FleetSum != 0 && q.Known.FleetSum == s.Fleet.Sum {
		return
	}
	n.FleetNew, n.Reports = true, s.Fleet.Reports()
}

// addLoadChanges adds loads of other hosts. An answer that a later exchange has overtaken may not arrive: it counts as
// not told.
func (t *replyBuilder) addLoadChanges(n *ctlrpc.News, s State, q ctlrpc.Query) {
	r := q.Report
	o, ok := t.sent[r.Host]
	if ok && (r.Start < o.start || r.Start == o.start && r.Sequence < o.sequence) {
		return
	}
	w := t.otherLoads(s, r.Host)
	if !ok || o.start != r.Start || q.Known.Control != s.StartID {
		n.LoadsNew, n.Loads = true, w
		t.recordSent(r.Host, sentLoads{r.Start, r.Sequence, w, s.Now}, s)
		return
	}
	n.Loads = ctlrpc.Changes(o.loads, w, maxLoadChanges)
	l := maps.Clone(o.loads)
	maps.Copy(l, n.Loads)
	maps.DeleteFunc(l, func(_ string, v ctlrpc.Load) bool { return v == ctlrpc.Load{} })
	t.recordSent(r.Host, sentLoads{r.Start, r.Sequence, l, s.Now}, s)
}

// otherLoads returns the loads of all entry hosts but one.
func (t *replyBuilder) otherLoads(s State, host string) map[string]ctlrpc.Load {
	r := maps.Clone(t.aggregate.loads)
	for e, k := range s.HostLoads(host) {
		if l := r[e].Less(k); l != (ctlrpc.Load{}) {
			r[e] = l
		} else {
			delete(r, e)
		}
	}
	return r
}

// recordSent notes what a host was told, and forgets hosts that have gone.
func (t *replyBuilder) recordSent(host string, v sentLoads, s State) {
	t.sent[host] = v
	if len(t.sent) > sentCleanupSize {
		maps.DeleteFunc(t.sent, func(_ string, o sentLoads) bool { return o.sentAt+hostExpiry < s.Now })
	}
}
