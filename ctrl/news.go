package ctrl

import (
	"maps"
	"sync"
	"time"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
)

const (
	// digestAge is how old sums over all entry hosts may be.
	digestAge = 30 * time.Millisecond
	// mostLoads bounds the changed loads in one answer to an entry host.
	mostLoads = 40
	// mostTold is the number of entry hosts from which those that have gone are looked for.
	mostTold = 64
)

// teller answers exchanges with what entry hosts don't hold yet. It is safe for concurrent use.
type teller struct {
	lock   sync.Mutex
	told   map[string]told
	digest digest
}

// told is what an entry host was told of loads.
type told struct {
	start int64
	// sequence is that of the newest report that was answered.
	sequence uint64
	loads    map[string]ctlrpc.Load
	at       time.Duration
}

// digest holds sums over all entry hosts.
type digest struct {
	at    time.Duration
	made  bool
	loads map[string]ctlrpc.Load
	views []canary.View
}

func newTeller() *teller { return &teller{told: map[string]told{}} }

// news returns what an entry host doesn't hold.
func (t *teller) news(s State, q ctlrpc.ExchangeRequest) ctlrpc.ExchangeReply {
	t.lock.Lock()
	defer t.lock.Unlock()
	if !t.digest.made || s.Now-t.digest.at > digestAge {
		t.digest = digest{at: s.Now, made: true, loads: s.Loads(), views: s.Views()}
	}
	n := ctlrpc.ExchangeReply{
		Control: s.Start, Sure: s.Sure, Current: s.Current(), FleetRevision: s.Fleet.Revision, Entries: s.Entries(), Controls: s.Controls(),
	}
	if d := s.Machine.Document; s.Sure && d.Version > q.Known.TableVersion {
		n.TableVersion, n.Document = d.Version, d.Content
	}
	if s.Sure {
		n.Rollouts = t.digest.views
	}
	tellFleet(&n, s, q)
	t.tellLoads(&n, s, q)
	return n
}

// tellFleet adds changes of endpoints, or all of them for a host that holds those of another start and not the
// same.
func tellFleet(n *ctlrpc.ExchangeReply, s State, q ctlrpc.ExchangeRequest) {
	if q.Known.Control == s.Start && q.Known.FleetRevision == s.Fleet.Revision {
		return
	}
	n.Reads = s.Reads()
	if q.Known.Control == s.Start {
		c, g, ok := s.Fleet.ChangesSince(q.Known.FleetRevision)
		if ok {
			n.Reports, n.Gone = c, g
			return
		}
	}
	if q.Known.Control != s.Start && q.Known.FleetSum != 0 && q.Known.FleetSum == s.Fleet.FingerprintSum {
		return
	}
	n.FleetNew, n.Reports = true, s.Fleet.Reports()
}

// tellLoads adds loads of other hosts. An answer that a later exchange has overtaken may not arrive: it counts as
// not told.
func (t *teller) tellLoads(n *ctlrpc.ExchangeReply, s State, q ctlrpc.ExchangeRequest) {
	r := q.Report
	o, ok := t.told[r.Host]
	if ok && (r.Start < o.start || r.Start == o.start && r.Sequence < o.sequence) {
		return
	}
	w := t.others(s, r.Host)
	if !ok || o.start != r.Start || q.Known.Control != s.Start {
		n.LoadsNew, n.Loads = true, w
		t.keep(r.Host, told{r.Start, r.Sequence, w, s.Now}, s)
		return
	}
	n.Loads = ctlrpc.LoadChanges(o.loads, w, mostLoads)
	l := maps.Clone(o.loads)
	maps.Copy(l, n.Loads)
	maps.DeleteFunc(l, func(_ string, v ctlrpc.Load) bool { return v == ctlrpc.Load{} })
	t.keep(r.Host, told{r.Start, r.Sequence, l, s.Now}, s)
}

// others returns the loads of all entry hosts but one.
func (t *teller) others(s State, host string) map[string]ctlrpc.Load {
	r := maps.Clone(t.digest.loads)
	for e, k := range s.OwnLoads(host) {
		if l := r[e].Minus(k); l != (ctlrpc.Load{}) {
			r[e] = l
		} else {
			delete(r, e)
		}
	}
	return r
}

// keep notes what a host was told, and forgets hosts that have gone.
func (t *teller) keep(host string, v told, s State) {
	t.told[host] = v
	if len(t.told) > mostTold {
		maps.DeleteFunc(t.told, func(_ string, o told) bool { return o.at+forgetAfter < s.Now })
	}
}
