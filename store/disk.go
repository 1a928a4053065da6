package store

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	identityFile = "disk-id"
	quorumFile   = "quorum.log"
	ledgerFile   = "bills.log"
)

// record is one element of the quorum log file.
type record struct {
	Hard     *quorum.HardState `json:"hard,omitempty"`
	Entry    *quorum.Entry     `json:"entry,omitempty"`
	Snapshot *quorum.Snapshot  `json:"snapshot,omitempty"`
}

// Disk is the data folder of a host.
type Disk struct {
	// Identity is drawn when the folder is first used; a wiped folder gets another.
	Identity  string
	quorumLog *Log
	ledgerLog *Log
	state     QuorumState
}

// QuorumState is what a disk remembers for the control log.
type QuorumState struct {
	Hard     quorum.HardState
	Snapshot quorum.Snapshot
	Entries  []quorum.Entry
}

// OpenDisk opens a data folder, making it where it is missing, and returns the bill records it holds.
func OpenDisk(folder string) (*Disk, [][]byte, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, fmt.Errorf("data folder: %w; name a folder that can be written", err)
	}
	i, err := loadIdentity(folder)
	if err != nil {
		return nil, nil, err
	}
	q, r, err := OpenLog(filepath.Join(folder, quorumFile))
	if err != nil {
		return nil, nil, err
	}
	b, s, err := OpenLog(filepath.Join(folder, ledgerFile))
	if err != nil {
		return nil, nil, errors.Join(err, q.Close())
	}
	h, err := replayRecords(r)
	if err != nil {
		return nil, nil, errors.Join(err, q.Close(), b.Close())
	}
	return &Disk{Identity: i, quorumLog: q, ledgerLog: b, state: h}, s, nil
}

func loadIdentity(folder string) (string, error) {
	p := filepath.Join(folder, identityFile)
	b, err := os.ReadFile(p)
	if err == nil && len(b) > 0 {
		return string(b), nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", fmt.Errorf("read disk identity: %w; check the disk", err)
	}
	i := rand.Text()[:12]
	if err := WriteFile(p, []byte(i)); err != nil {
		return "", fmt.Errorf("write disk identity: %w; make the data folder writable", err)
	}
	return i, nil
}

func replayRecords(records [][]byte) (QuorumState, error) {
	var h QuorumState
	for i, b := range records {
		var r record
		if err := json.Unmarshal(b, &r); err != nil {
			return QuorumState{}, fmt.Errorf("control record %d: %w; this build can't read the log, run the one that wrote it", i, err)
		}
		h = h.withRecord(r)
	}
	return h, nil
}

func (h QuorumState) withRecord(r record) QuorumState {
	switch {
	case r.Hard != nil:
		h.Hard = *r.Hard
	case r.Snapshot != nil:
		h.Snapshot = *r.Snapshot
		h.Entries = entriesAfter(h.Entries, r.Snapshot.Index, r.Snapshot.Term)
	case r.Entry != nil:
		k := int(r.Entry.Index - h.Snapshot.Index - 1)
		h.Entries = append(h.Entries[:min(k, len(h.Entries))], *r.Entry)
	}
	return h
}

// entriesAfter returns the entries behind a snapshot, or none where they don't continue it.
func entriesAfter(entries []quorum.Entry, index, term uint64) []quorum.Entry {
	for i, e := range entries {
		if e.Index == index && e.Term == term {
			return append([]quorum.Entry(nil), entries[i+1:]...)
		}
	}
	return nil
}

// QuorumState returns what the disk held when it was opened.
func (d *Disk) QuorumState() QuorumState { return d.state }

// Persist writes and syncs what the control log asks for.
func (d *Disk) Persist(p quorum.Persist) error {
	if p.Snapshot != nil {
		return d.compact(p)
	}
	for _, r := range toRecords(p) {
		b, err := json.Marshal(r)
		if err != nil {
			return fmt.Errorf("encode control record: %w; report this as a fault", err)
		}
		d.quorumLog.Append(b)
		d.state = d.state.withRecord(r)
	}
	return d.quorumLog.Sync()
}

func toRecords(p quorum.Persist) []record {
	var r []record
	if p.Snapshot != nil {
		r = append(r, record{Snapshot: p.Snapshot})
	}
	if p.Hard != nil {
		r = append(r, record{Hard: p.Hard})
	}
	for i := range p.Entries {
		r = append(r, record{Entry: &p.Entries[i]})
	}
	return r
}

// compact rewrites the log as a snapshot, the hard state and the entries behind it.
func (d *Disk) compact(p quorum.Persist) error {
	for _, r := range toRecords(p) {
		d.state = d.state.withRecord(r)
	}
	var w [][]byte
	for _, r := range toRecords(quorum.Persist{Snapshot: &d.state.Snapshot, Hard: &d.state.Hard, Entries: d.state.Entries}) {
		b, err := json.Marshal(r)
		if err != nil {
			return fmt.Errorf("encode control record: %w; report this as a fault", err)
		}
		w = append(w, b)
	}
	return d.quorumLog.Rewrite(w)
}

// PersistLedger writes and syncs bill records.
func (d *Disk) PersistLedger(records [][]byte) error {
	for _, r := range records {
		d.ledgerLog.Append(r)
	}
	return d.ledgerLog.Sync()
}

// LedgerRecords returns all bill records that the disk holds.
func (d *Disk) LedgerRecords() ([][]byte, error) { return ReadLog(d.ledgerLog.path) }

// QuorumLogSize returns the bytes that the control log takes up.
func (d *Disk) QuorumLogSize() int64 { return d.quorumLog.Size() }

// Close closes the files.
func (d *Disk) Close() error { return errors.Join(d.quorumLog.Close(), d.ledgerLog.Close()) }

// BootstrapDisk opens a data folder at the first start of a deployment. A folder that is new starts from the
// snapshot, with the identity given; one that was used before is opened as it is. Where the snapshot is
// empty, the host doesn't found the log and gets an identity of its own.
func BootstrapDisk(folder, identity string, snapshot quorum.Snapshot) (*Disk, error) {
	d, _, err := OpenDisk(folder)
	if err != nil || snapshot.Index == 0 || d.state.Snapshot.Index > 0 || len(d.state.Entries) > 0 {
		return d, err
	}
	p := quorum.Persist{Snapshot: &snapshot, Hard: &quorum.HardState{Term: snapshot.Term}}
	if err := d.Persist(p); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	if err := WriteFile(filepath.Join(folder, identityFile), []byte(identity)); err != nil {
		return nil, errors.Join(fmt.Errorf("write disk identity: %w; make the data folder writable", err), d.Close())
	}
	d.Identity = identity
	return d, nil
}
