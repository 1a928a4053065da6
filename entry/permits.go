package entry

import (
	"cmp"
	"net/rpc"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/dial"
)

const (
	// permitInterval is the interval at which further control hosts are asked for permits. It is a fraction of a lease.
	permitInterval = 250 * time.Millisecond
	// permitTimeout bounds the wait for the answer. A permit that comes later would have ended soon.
	permitTimeout = 500 * time.Millisecond
	// hostsPerControl is the mean number of entry hosts that each control host shall hear of: with fewer, some hear of none and lend
	// nothing.
	hostsPerControl = 4
)

// planPermits chooses the control hosts that are asked for permits beside the current one. Where there are many entry hosts there are
// none: then each control host exchanges messages with some.
func (e *Entry) planPermits(entries int) {
	if !e.Settings.Bounds.ColdLimits().On() {
		return
	}
	n := (hostsPerControl*len(e.roster.Members())+entries-1)/max(1, entries) - 1
	l := slices.DeleteFunc(slices.Clone(e.roster.Members()), e.isConnected)
	slices.SortFunc(l, func(a, b string) int { return cmp.Compare(e.weight(a), e.weight(b)) })
	l = l[:max(0, min(n, len(l)))]
	e.permitControls.Store(&l)
}

// weight orders the control hosts differently on each entry host.
func (e *Entry) weight(control string) uint64 {
	return xxhash.Sum64String(e.Settings.Name + "\x00" + control)
}

// permitPoller asks further control hosts for permits while this host wants some.
type permitPoller struct {
	entry   *Entry
	clients map[string]*rpc.Client
}

func (a permitPoller) run() {
	t := time.NewTicker(permitInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.askAll()
		case <-a.entry.stop:
			a.keep(nil)
			return
		}
	}
}

// askAll asks each of the planned control hosts once, at the same time.
func (a permitPoller) askAll() {
	l := a.entry.permitControls.Load()
	if l == nil || len(*l) == 0 {
		return
	}
	w := a.entry.Set.ColdWishes(time.Now())
	if len(w) == 0 {
		return
	}
	a.keep(*l)
	q := ctlrpc.PermitRequest{Host: a.entry.Settings.Name, Start: a.entry.start, WarmUp: ctlrpc.WarmUp{Wishes: w}}
	d := make(chan permitQuestion, len(*l))
	for _, c := range *l {
		k := permitQuestion{entry: a.entry, address: c, client: a.clients[c], request: q, ended: d}
		go k.run()
	}
	for range *l {
		k := <-d
		a.clients[k.address] = k.client
	}
}

// keep closes the connections to all but some control hosts.
func (a permitPoller) keep(controls []string) {
	for k, c := range a.clients {
		if !slices.Contains(controls, k) {
			if c != nil {
				_ = c.Close() // nothing is under way on it
			}
			delete(a.clients, k)
		}
	}
}

// permitQuestion asks one control host for permits. It opens a connection unless client is set, and leaves client nil if the control
// host doesn't answer. One of an earlier build lends nothing.
type permitQuestion struct {
	entry   *Entry
	address string
	client  *rpc.Client
	request ctlrpc.PermitRequest
	ended   chan<- permitQuestion
}

func (q permitQuestion) run() {
	defer func() { q.ended <- q }()
	if q.client == nil {
		c, err := dial.Connect(q.address)
		if err != nil {
			return
		}
		q.client = rpc.NewClient(c)
	}
	var r ctlrpc.PermitReply
	b := q.entry.Relay.Now()
	d := q.client.Go(ctlrpc.ServiceName+".Permits", q.request, &r, make(chan *rpc.Call, 1))
	t := time.NewTimer(permitTimeout)
	defer t.Stop()
	select {
	case <-d.Done:
		if _, old := d.Error.(rpc.ServerError); d.Error == nil || old {
			q.entry.Set.AcceptPermits(r.Control, r.Permits, b)
			return
		}
	case <-t.C:
	}
	_ = q.client.Close() // nothing is under way on it that matters
	q.client = nil
}
