package host

import (
	"encoding/json"
	"fmt"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// writerQueue is how many outputs may wait for the disk.
const writerQueue = 4096

// writer syncs what the control log asks for, and sends its messages only after that.
type writer struct {
	host    *Host
	outputs chan core.QuorumOutput
}

func newWriter(h *Host) *writer {
	return &writer{host: h, outputs: make(chan core.QuorumOutput, writerQueue)}
}

// loop goes on to take outputs after a failed sync, and drops them.
func (w *writer) loop() {
	f := false
	for {
		select {
		case <-w.host.done:
			return
		case o := <-w.outputs:
			b := w.gather(o)
			f = f || !w.write(b)
		}
	}
}

// gather merges the outputs that wait, so that one sync serves them all. A snapshot ends the batch.
func (w *writer) gather(o core.QuorumOutput) []core.QuorumOutput {
	r := []core.QuorumOutput{o}
	for o.Persist.Snapshot == nil {
		select {
		case o = <-w.outputs:
			r = append(r, o)
		default:
			return r
		}
	}
	return r
}

// write returns false after a failed sync: the disk's content is unknown then, so nothing more is
// written or sent in its name.
func (w *writer) write(outputs []core.QuorumOutput) bool {
	var p quorum.Persist
	for _, o := range outputs {
		p.Entries = append(p.Entries, o.Persist.Entries...)
		if o.Persist.Hard != nil {
			p.Hard = o.Persist.Hard
		}
		if o.Persist.Snapshot != nil {
			p.Snapshot = o.Persist.Snapshot
		}
	}
	if !p.Empty() && !w.persist(p) {
		return false
	}
	for _, o := range outputs {
		w.host.sendQuorum(o.Messages)
	}
	if k := len(p.Entries); k > 0 {
		e := p.Entries[k-1]
		w.host.post(core.QuorumPersisted{Persisted: quorum.Persisted{Index: e.Index, Term: e.Term}})
	}
	return true
}

// persist writes entries before a snapshot that comes after them, as the log produced them.
func (w *writer) persist(p quorum.Persist) bool {
	s := p.Snapshot
	p.Snapshot = nil
	err := w.host.disk.Persist(p)
	if err == nil && s != nil {
		err = w.host.disk.Persist(quorum.Persist{Snapshot: s})
	}
	if err == nil {
		return true
	}
	w.host.log.WithError(err).Error("quorum: the control log can't be written, this host no longer takes part in it")
	return false
}

// billWriter syncs lines of the ledger.
type billWriter struct {
	host  *Host
	queue chan core.SyncRecords
}

func newBillWriter(h *Host) *billWriter {
	return &billWriter{host: h, queue: make(chan core.SyncRecords, writerQueue)}
}

// loop goes on to take lines after a failed sync, and drops them: nobody is told that they are kept.
func (w *billWriter) loop() {
	f := false
	for {
		select {
		case <-w.host.done:
			return
		case o := <-w.queue:
			b := w.gather(o)
			if f {
				continue
			}
			if err := w.write(b); err != nil {
				f = true
				w.host.log.WithError(err).Error("ledger: lines can't be written, this host takes no more requests")
				w.host.post(core.Stopping{})
			}
		}
	}
}

func (w *billWriter) gather(o core.SyncRecords) []core.SyncRecords {
	r := []core.SyncRecords{o}
	for {
		select {
		case o = <-w.queue:
			r = append(r, o)
		default:
			return r
		}
	}
}

func (w *billWriter) write(batch []core.SyncRecords) error {
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
	if err := w.host.disk.PersistBills(r); err != nil {
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
