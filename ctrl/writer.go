package ctrl

import (
	"sync"
	"time"

	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/store"
)

// reopenInterval is how often a disk that failed is tried again.
const reopenInterval = 400 * time.Millisecond

// writer syncs what the control log asks for, and sends messages only after that. After a failed write it
// drops everything until the disk can be opened again; the log then starts anew from what the disk holds.
type writer struct {
	host *Host
	disk *store.Disk

	lock  sync.Mutex
	queue []Write
	wake  chan struct{}
}

func newWriter(h *Host, d *store.Disk) *writer {
	return &writer{host: h, disk: d, wake: make(chan struct{}, 1)}
}

// enqueue queues a write; the queue is bounded by what the log appends, which needs answers of other hosts.
func (w *writer) enqueue(o Write) {
	w.lock.Lock()
	w.queue = append(w.queue, o)
	w.lock.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *writer) dequeueAll() []Write {
	w.lock.Lock()
	defer w.lock.Unlock()
	q := w.queue
	w.queue = nil
	return q
}

func (w *writer) run() {
	for {
		select {
		case <-w.wake:
		case <-w.host.stop:
			return
		}
		if err := w.write(w.dequeueAll()); err != nil {
			w.host.log.WithError(err).Error("control: dependency lost, the control log can't be written")
			w.reopen()
		}
	}
}

// write syncs a batch with as few syncs as its order allows.
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

// batchLength returns how many outputs may be synced together: a snapshot stands for the entries before
// it, so it ends a group.
func batchLength(q []Write) int {
	for i, o := range q {
		if o.Persist.Snapshot != nil {
			return i + 1
		}
	}
	return len(q)
}

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
		if v.Empty() {
			continue
		}
		if err := w.disk.Persist(v); err != nil {
			return err
		}
	}
	for _, o := range q {
		w.host.links.send(o.Messages)
	}
	if k := len(p.Entries); k > 0 {
		e := p.Entries[k-1]
		w.host.post(Persisted{quorum.Persisted{Index: e.Index, Term: e.Term}})
	}
	return nil
}

// reopen tries the disk until it takes writes again.
func (w *writer) reopen() {
	if err := w.disk.Close(); err != nil {
		w.host.log.WithError(err).Warn("control: the failed log could not be closed")
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
			w.host.log.WithError(err).Warn("control: the disk still fails")
			continue
		}
		w.disk = d
		w.dequeueAll()
		w.host.log.Info("control: dependency regained, the control log can be written")
		w.host.post(DiskReopened{Held: d.Held()})
		return
	}
}

// openWritable opens the disk and writes its hard state again, to see whether it takes writes.
func (w *writer) openWritable() (*store.Disk, error) {
	d, _, err := store.OpenDisk(w.host.settings.DataFolder)
	if err != nil {
		return nil, err
	}
	h := d.Held().Hard
	if err := d.Persist(quorum.Persist{Hard: &h}); err != nil {
		if e := d.Close(); e != nil {
			w.host.log.WithError(e).Warn("control: the failed log could not be closed")
		}
		return nil, err
	}
	return d, nil
}
