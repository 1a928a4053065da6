package host

import (
	"encoding/json"
	"fmt"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// writerQueueLength is how many outputs may wait for the disk.
const writerQueueLength = 4096

// quorumWriter syncs what the control log asks for, and sends its messages only after that. After a failed sync
// the disk's content is unknown, so nothing more is written or sent in its name.
type quorumWriter struct {
	host   *Host
	failed bool
}

// write writes a batch of outputs with as few syncs as their order allows.
func (w *quorumWriter) write(batch []core.QuorumOutput) {
	for len(batch) > 0 && !w.failed {
		n := groupLength(batch)
		w.writeGroup(batch[:n])
		batch = batch[n:]
	}
}

// groupLength returns how many outputs may be synced together: a snapshot stands for the entries before
// it, so it ends a group.
func groupLength(batch []core.QuorumOutput) int {
	for i, o := range batch {
		if o.Persist.Snapshot != nil {
			return i + 1
		}
	}
	return len(batch)
}

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

func (w *quorumWriter) persist(p quorum.Persist) bool {
	if p.Empty() {
		return true
	}
	if err := w.host.disk.Persist(p); err != nil {
		w.failed = true
		w.host.log.WithError(err).Error("quorum: the control log can't be written, this host no longer takes part in it")
	}
	return !w.failed
}

// ledgerWriter syncs lines of the ledger. After a failed sync it drops them: nobody is told that they are kept.
type ledgerWriter struct {
	host   *Host
	failed bool
}

func (w *ledgerWriter) write(batch []core.SyncRecords) {
	if w.failed {
		return
	}
	if err := w.sync(batch); err != nil {
		w.failed = true
		w.host.log.WithError(err).Error("ledger: lines can't be written, this host takes no more requests")
		w.host.post(core.Stopping{})
	}
}

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

// decodeLines reads the ledger that a disk holds.
func decodeLines(records [][]byte) (ledger.State, error) {
	s := ledger.NewState()
	for i, b := range records {
		var l ledger.Line
		if err := json.Unmarshal(b, &l); err != nil {
			return s, fmt.Errorf("bill record %d: %w; run the build that wrote it", i, err)
		}
		s = s.WithLine(l)
	}
	return s, nil
}
