package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/model"
)

// lineCopies is how many other hosts have to keep a line, so that any two hosts may be lost at once. Fewer do
// where no more can be reached, but at least one.
const lineCopies = 2

// pendingRecord is a line whose caller waits for a copy.
type pendingRecord struct {
	// key is the name under which copies and syncs are confirmed; id names the caller that waits.
	key  string
	id   string
	line ledger.Line
	// copied is true once another host keeps the line, or none exists; synced once the disk has it, or
	// there is none.
	copied bool
	synced bool
	// hosts are the hosts that were hosts; kept counts those that confirmed, failed those that could not be
	// reached.
	hosts     []string
	confirmed int
	failed    int
}

// RecordKey is the name under which copies of a line are confirmed; a request may have two stages pending.
func RecordKey(l ledger.Line) string { return l.RequestID + "/" + l.Stage.String() }

// storeLines merges lines and has them synced under a key where there is a disk.
func (r *reducer) storeLines(key string, lines ...ledger.Line) {
	for _, l := range lines {
		r.Ledger = r.Ledger.WithLine(l)
	}
	if r.HasDisk && len(lines) > 0 {
		r.emit(SyncRecords{Key: key, Lines: lines})
	}
}

func (r *reducer) recordRequested(e RecordRequested) {
	p := pendingRecord{key: RecordKey(e.Line), id: e.ID, line: e.Line, synced: !r.HasDisk}
	r.storeLines(p.key, e.Line)
	p.hosts = r.copyToPeers(e.Line)
	p.copied = len(p.hosts) == 0 && len(r.members()) <= 1
	if len(p.hosts) == 0 && !p.copied {
		r.emit(AnswerRecord{ID: e.ID})
		return
	}
	r.setRecord(p)
}

// setRecord stores a pending record, or answers it when nothing is missing.
func (r *reducer) setRecord(p pendingRecord) {
	if !p.copied || !p.synced {
		r.records = r.records.Set(p.key, p)
		return
	}
	r.records = r.records.Delete(p.key)
	r.emit(AnswerRecord{ID: p.id, OK: true})
}

// copyToPeers sends a line to hosts of the data centre, or of others when too few of it are heard.
func (r *reducer) copyToPeers(l ledger.Line) []string {
	t := r.copyHosts(nil)
	if len(t) > 0 {
		r.emit(CopyRecords{To: t, Line: l})
	}
	return t
}

// copyHosts returns up to copies hosts that were heard of late: one with a disk where there is one, and those
// of this data centre first.
func (r *reducer) copyHosts(exclude []string) []string {
	var c []model.Member
	for _, m := range r.members() {
		if m.Name != r.Members.Self.Name && r.Members.Alive(m.Name, r.Now) && !slices.Contains(exclude, m.Name) {
			c = append(c, m)
		}
	}
	n := func(m model.Member) int {
		if m.DataCentre == r.Members.Self.DataCentre {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(c, func(a, b model.Member) int { return cmp.Compare(n(a), n(b)) })
	if i := slices.IndexFunc(c, func(m model.Member) bool { return m.Voter }); i > 0 {
		v := c[i]
		c = slices.Insert(slices.Delete(c, i, i+1), 0, v)
	}
	var t []string
	for _, m := range c[:min(lineCopies, len(c))] {
		t = append(t, m.Name)
	}
	return t
}

func (r *reducer) recordsReceived(e RecordsReceived) {
	r.storeLines(e.ID, e.Lines...)
	r.setRecord(pendingRecord{key: e.ID, id: e.ID, copied: true, synced: !r.HasDisk || len(e.Lines) == 0})
}

func (r *reducer) recordsCopied(e RecordsCopied) {
	for _, k := range e.Keys {
		if p, ok := r.records.Get(k); ok && slices.Contains(p.hosts, e.Host) {
			p.confirmed++
			p.copied = p.copied || p.confirmed >= lineCopies || p.confirmed+p.failed == len(p.hosts)
			r.setRecord(p)
		}
	}
}

func (r *reducer) recordsFailed(e RecordsFailed) {
	for _, k := range e.Keys {
		p, ok := r.records.Get(k)
		if !ok || p.copied || !slices.Contains(p.hosts, e.Host) {
			continue
		}
		r.recordFailed(p)
	}
}

// recordFailed asks another host in place of one that could not be reached.
func (r *reducer) recordFailed(p pendingRecord) {
	p.failed++
	if t := r.copyHosts(p.hosts); len(t) > 0 {
		p.hosts = append(slices.Clone(p.hosts), t[0])
		r.records = r.records.Set(p.key, p)
		r.emit(CopyRecords{To: t[:1], Line: p.line})
		return
	}
	switch {
	case p.confirmed+p.failed < len(p.hosts):
		r.records = r.records.Set(p.key, p)
	case p.confirmed > 0:
		p.copied = true
		r.setRecord(p)
	default:
		r.records = r.records.Delete(p.key)
		r.emit(AnswerRecord{ID: p.id})
	}
}

func (r *reducer) recordsSynced(e RecordsSynced) {
	for _, k := range e.Keys {
		if p, ok := r.records.Get(k); ok {
			p.synced = true
			r.setRecord(p)
		}
	}
}

// NewLine returns the line of a request that is about to be sent to an endpoint.
func NewLine(requestID string, host string, incarnation uint64, decision Decision, at time.Time) ledger.Line {
	v := decision.Version
	if decision.Service.Name != "" {
		v = decision.Service.Name
	}
	return ledger.Line{
		RequestID: requestID, Customer: decision.Contract.Customer, Host: host, Incarnation: incarnation,
		Version: v, Endpoint: decision.Endpoint.ID, Outcome: model.OutcomeUnknown, At: at,
	}
}
