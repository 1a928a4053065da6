package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/model"
)

// lineCopies is the number of other hosts that have to store a line, so that the line survives the loss of any two
// hosts at once. One copy is enough when no more hosts can be reached.
const lineCopies = 2

// pendingRecord is a ledger line whose caller waits until the line is copied and synced.
type pendingRecord struct {
	// key identifies the line in confirmations of copies and syncs, id the waiting caller.
	key  string
	id   string
	line ledger.Line
	// copied is true once enough other hosts have stored the line, or when no other host exists.
	copied bool
	// synced is true once this host's disk holds the line, or when this host has no disk.
	synced bool
	// hosts are the hosts to which the line was sent. confirmed counts the hosts that have stored the line,
	// failed the hosts that could not be reached.
	hosts     []string
	confirmed int
	failed    int
}

// RecordKey returns the key that identifies a line in confirmations. It includes the stage, since two stages of a
// request may be pending at once.
func RecordKey(l ledger.Line) string { return l.RequestID + "/" + l.Stage.String() }

// storeLines merges lines into the ledger and, on a host with a disk, has them synced under the key.
func (r *reducer) storeLines(key string, lines ...ledger.Line) {
	for _, l := range lines {
		r.Ledger = r.Ledger.WithLine(l)
	}
	if r.HasDisk && len(lines) > 0 {
		r.emit(SyncRecords{Key: key, Lines: lines})
	}
}

// recordRequested stores a line of this host and sends it to other hosts. The caller gets a failure at once when
// other hosts exist but none is alive.
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

// setRecord stores a pending record, or answers its caller once the line is both copied and synced.
func (r *reducer) setRecord(p pendingRecord) {
	if !p.copied || !p.synced {
		r.records = r.records.Set(p.key, p)
		return
	}
	r.records = r.records.Delete(p.key)
	r.emit(AnswerRecord{ID: p.id, OK: true})
}

// copyToPeers sends a line to the hosts that copyHosts returns, and returns their names.
func (r *reducer) copyToPeers(l ledger.Line) []string {
	t := r.copyHosts(nil)
	if len(t) > 0 {
		r.emit(CopyRecords{To: t, Line: l})
	}
	return t
}

// copyHosts returns the names of up to lineCopies other hosts that are alive and not in exclude. A voter comes first,
// since voters have a disk; then hosts of this data centre come before those of others.
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

// recordsReceived stores lines from another host and answers the caller once the lines are synced.
func (r *reducer) recordsReceived(e RecordsReceived) {
	r.storeLines(e.ID, e.Lines...)
	r.setRecord(pendingRecord{key: e.ID, id: e.ID, copied: true, synced: !r.HasDisk || len(e.Lines) == 0})
}

// recordsCopied counts a confirmed copy. A line is copied once lineCopies hosts have confirmed it, or once every host
// that the line was sent to has confirmed it or failed.
func (r *reducer) recordsCopied(e RecordsCopied) {
	for _, k := range e.Keys {
		if p, ok := r.records.Get(k); ok && slices.Contains(p.hosts, e.Host) {
			p.confirmed++
			p.copied = p.copied || p.confirmed >= lineCopies || p.confirmed+p.failed == len(p.hosts)
			r.setRecord(p)
		}
	}
}

// recordsFailed handles copies that could not be sent to a host.
func (r *reducer) recordsFailed(e RecordsFailed) {
	for _, k := range e.Keys {
		p, ok := r.records.Get(k)
		if !ok || p.copied || !slices.Contains(p.hosts, e.Host) {
			continue
		}
		r.recordFailed(p)
	}
}

// recordFailed sends the line to another host in place of the one that could not be reached. When no other host is
// left and no answer is outstanding, the record succeeds with at least one confirmed copy and fails without any.
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

// recordsSynced marks records whose lines are on this host's disk.
func (r *reducer) recordsSynced(e RecordsSynced) {
	for _, k := range e.Keys {
		if p, ok := r.records.Get(k); ok {
			p.synced = true
			r.setRecord(p)
		}
	}
}

// NewLine returns the ledger line of a request that is about to be sent to an endpoint, with an unknown outcome. For
// a call to a plain service, the line's Version is the name of the service.
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
