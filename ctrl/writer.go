package ctrl

import (
	"errors"
	"os"
	"time"

	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/store"
)

// reopenInterval is the interval of attempts to reopen a data folder after a failed write.
const reopenInterval = 400 * time.Millisecond

// writer syncs the writes of the control log to disk and sends their messages only after the sync. After a failed write
// it drops all writes of the log until the data folder can be opened again; the log then restarts from the content of the disk.
type writer struct {
	host  *Host
	disk  *store.Disk
	queue *WriteQueue
}

func newWriter(h *Host, d *store.Disk) *writer {
	return &writer{host: h, disk: d, queue: NewWriteQueue()}
}

// run writes what is queued until the host stops, and then closes the disk.
func (w *writer) run() {
	defer w.close()
	for {
		select {
		case <-w.queue.wake:
		case <-w.host.stop:
			return
		}
		if err := w.write(w.queue.Take()); err != nil {
			w.host.log.WithError(err).Error("control: dependency lost, the control log can't be written")
			w.reopen(w.queue.Advance())
		}
	}
}

// write syncs queued writes in order, in as few batches as snapshots allow.
func (w *writer) write(q []Write) error {
	for len(q) > 0 {
		n := batchLength(q)
		if err := w.writeBatch(q[:n]); err != nil {
			return err
		}
		q = q[n:]
	}
	return nil
}

// batchLength returns how many writes at the front of the queue may be synced together. A snapshot replaces the entries
// before it, so a write with a snapshot ends the batch.
func batchLength(q []Write) int {
	for i, o := range q {
		if o.Persist.Snapshot != nil {
			return i + 1
		}
	}
	return len(q)
}

// writeBatch syncs the entries and the last hard state of a batch, then its snapshot, and then sends its messages.
func (w *writer) writeBatch(q []Write) error {
	var p, s quorum.Persist
	for _, o := range q {
		p.Entries = append(p.Entries, o.Persist.Entries...)
		if o.Persist.Hard != nil {
			p.Hard = o.Persist.Hard
		}
		s.Snapshot = o.Persist.Snapshot
	}
	for _, v := range []quorum.Persist{p, s} {
		if err := w.persist(v); err != nil {
			return err
		}
	}
	for _, o := range q {
		w.host.links.send(o.Messages)
	}
	if k := len(p.Entries); k > 0 {
		e := p.Entries[k-1]
		_ = w.host.post(Persisted{quorum.Persisted{Index: e.Index, Term: e.Term}}) // nobody waits for it once the host has stopped
	}
	return nil
}

// persist syncs what has to be written, if there is anything.
func (w *writer) persist(p quorum.Persist) error {
	if p.Empty() {
		return nil
	}
	h := w.host
	h.strain.writeBegins(h.sinceStart())
	defer func() { h.strain.writeEnds(h.sinceStart()) }()
	return w.disk.Persist(p)
}

// reopen closes the disk and tries to open it until it accepts writes again. It then posts DiskReopened, with which the
// generation begins.
func (w *writer) reopen(generation uint64) {
	if err := w.disk.Close(); err != nil {
		w.host.log.WithError(err).Warn("control: can't close the data folder after a failed write")
	}
	t := time.NewTicker(reopenInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-w.host.stop:
			return
		}
		d, err := w.openWritable()
		if err != nil {
			w.host.log.WithError(err).Warn("control: the data folder can't be opened for writing yet")
			continue
		}
		w.disk = d
		w.host.log.Info("control: dependency regained, the control log can be written")
		_ = w.host.post(DiskReopened{State: d.QuorumState(), Generation: generation}) // nobody waits for it once the host has stopped
		return
	}
}

// close closes the disk, unless it is closed already after a failed write.
func (w *writer) close() {
	if err := w.disk.Close(); err != nil && !errors.Is(err, os.ErrClosed) {
		w.host.log.WithError(err).Warn("control: can't close the data folder at the stop")
	}
}

// openWritable opens the disk and writes the control log to a new file: parts of the old one may be in memory only, and the disk has to accept
// writes.
func (w *writer) openWritable() (*store.Disk, error) {
	d, _, err := store.OpenDisk(w.host.settings.DataFolder)
	if err != nil {
		return nil, err
	}
	w.host.logTorn(d.Torn())
	if err := d.Renew(); err != nil {
		if e := d.Close(); e != nil {
			w.host.log.WithError(e).Warn("control: can't close the data folder after a failed write")
		}
		return nil, err
	}
	return d, nil
}
