package host

import (
	"encoding/json"
	"fmt"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// writerQueueLength is the maximum number of effects queued for each disk writer.
const writerQueueLength = 4096

// quorumWriter syncs the outputs of the control log to disk, and sends their messages only after the sync. After a
// failed sync the content of the disk is unknown, so the writer neither writes nor sends anything more.
type quorumWriter struct {
	host   *Host
	failed bool
}

// write persists a batch of outputs with as few syncs as their order allows.
func (w *quorumWriter) write(batch []core.QuorumOutput) {
	for len(batch) > 0 && !w.failed {
		n := groupLength(batch)
		w.writeGroup(batch[:n])
		batch = batch[n:]
	}
}

// groupLength returns the number of outputs at the start of batch that may be synced together. A snapshot replaces the
// entries before it, so an output with a snapshot is the last of its group.
func groupLength(batch []core.QuorumOutput) int {
	for i, o := range batch {
		if o.Persist.Snapshot != nil {
			return i + 1
		}
	}
	return len(batch)
}

// writeGroup persists the entries and the last hard state of the outputs, then the snapshot if there is one. It then
// sends the messages and reports the last entry as persisted. After a failed write it does neither.
func (w *quorumWriter) writeGroup(outputs []core.QuorumOutput) {
	var p, s quorum.Persist
	for _, o := range outputs {
		p.Entries = append(p.Entries, o.Persist.Entries...)
		if o.Persist.Hard != nil {
			p.Hard = o.Persist.Hard
		}
		s.Snapshot = o.Persist.Snapshot
	}
	if !w.persist(p) || !w.persist(s) {
		return
	}
	for _, o := range outputs {
		w.host.sendQuorum(o.Messages)
	}
	if k := len(p.Entries); k > 0 {
		e := p.Entries[k-1]
		w.host.post(core.QuorumPersisted{Persisted: quorum.Persisted{Index: e.Index, Term: e.Term}})
	}
}

// persist writes and syncs p. It returns false when the write fails.
func (w *quorumWriter) persist(p quorum.Persist) bool {
	if p.Empty() {
		return true
	}
	if err := w.host.disk.Persist(p); err != nil {
		w.failed = true
		w.host.log.WithError(err).Error("quorum: writing the control log failed, this host no longer takes part in the control log")
	}
	return !w.failed
}

// ledgerWriter syncs ledger lines to disk. After a failed write it drops all further lines without reporting
// RecordsSynced, so that no caller is told that a line is stored.
type ledgerWriter struct {
	host   *Host
	failed bool
}

// write syncs a batch of ledger lines. A failed write marks the host as stopping, so that it takes no more requests.
func (w *ledgerWriter) write(batch []core.SyncRecords) {
	if w.failed {
		return
	}
	if err := w.sync(batch); err != nil {
		w.failed = true
		w.host.log.WithError(err).Error("ledger: writing lines to disk failed, this host takes no more requests")
		w.host.post(core.Stopping{})
	}
}

// sync writes all lines of the batch with one sync and reports RecordsSynced for their keys.
func (w *ledgerWriter) sync(batch []core.SyncRecords) error {
	var r [][]byte
	var k []string
	for _, o := range batch {
		k = append(k, o.Key)
		for _, l := range o.Lines {
			b, err := json.Marshal(l)
			if err != nil {
				return err
			}
			r = append(r, b)
		}
	}
	if err := w.host.disk.PersistLedger(r); err != nil {
		return err
	}
	w.host.post(core.RecordsSynced{Keys: k})
	return nil
}

// decodeLines decodes ledger records from disk and merges them to one line for each request.
func decodeLines(records [][]byte) (ledger.State, error) {
	s := ledger.NewState()
	for i, b := range records {
		var l ledger.Line
		if err := json.Unmarshal(b, &l); err != nil {
			return s, fmt.Errorf("decode ledger record %d: %w; run the build that wrote the ledger", i, err)
		}
		s = s.WithLine(l)
	}
	return s, nil
}
