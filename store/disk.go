package store

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	identityFile = "disk-id"
	quorumFile   = "quorum.log"
	ledgerFile   = "bills.log"
)

// record is one record of the control log file. Exactly one of its fields is set.
type record struct {
	Hard     *quorum.HardState `json:"hard,omitempty"`
	Entry    *quorum.Entry     `json:"entry,omitempty"`
	Snapshot *quorum.Snapshot  `json:"snapshot,omitempty"`
}

// Disk is the open data folder of a host. It holds the disk identity, the control log and the ledger.
type Disk struct {
	// Identity is generated when the folder is first used. An emptied folder gets a new one.
	Identity  string
	quorumLog *Log
	ledgerLog *Log
	state     QuorumState
}

// QuorumState is the persisted state of the control log: the hard state, the latest snapshot and the entries after it.
type QuorumState struct {
	Hard     quorum.HardState
	Snapshot quorum.Snapshot
	Entries  []quorum.Entry
}

// OpenDisk opens a data folder, which it creates if necessary, and returns the ledger records in the folder. It
// returns a CorruptionError when a synced record can't be read.
func OpenDisk(folder string) (*Disk, [][]byte, error) { return openDisk(folder, "") }

// openDisk opens a data folder. An identity that it generates begins with prefix.
func openDisk(folder, prefix string) (*Disk, [][]byte, error) {
	if err := makeFolder(folder); err != nil {
		return nil, nil, fmt.Errorf("create data folder: %w; set data-folder to a writable folder", err)
	}
	i, err := loadIdentity(folder, prefix)
	if err != nil {
		return nil, nil, err
	}
	q, r, err := OpenMarkedLog(filepath.Join(folder, quorumFile))
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

// makeFolder creates a folder and the ones above it where they are missing, and syncs the directories that get an entry. Other hosts may
// create the same ones meanwhile.
func makeFolder(path string) error {
	if isFolder(path) {
		return nil
	}
	p := folderAbove(path)
	if p != path {
		if err := makeFolder(p); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, 0o700); err != nil && !isFolder(path) {
		return err
	}
	return syncDirectory(p)
}

func isFolder(path string) bool {
	s, err := os.Stat(path)
	return err == nil && s.IsDir()
}

// folderAbove returns a path without its last element. Unlike filepath.Dir it keeps elements like "..", which may follow a link.
func folderAbove(path string) string {
	p, _ := filepath.Split(strings.TrimRight(path, "/"))
	switch t := strings.TrimRight(p, "/"); {
	case t != "":
		return t
	case p != "":
		return "/"
	}
	return "."
}

// loadIdentity returns the disk identity in the folder. If there is none, it generates one that begins with prefix and writes it.
func loadIdentity(folder, prefix string) (string, error) {
	p := filepath.Join(folder, identityFile)
	b, err := os.ReadFile(p)
	if err == nil && len(b) > 0 {
		return string(b), nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", fmt.Errorf("read disk identity: %w; check the disk", err)
	}
	i := prefix + rand.Text()[:12]
	if err := WriteFile(p, []byte(i)); err != nil {
		return "", fmt.Errorf("write disk identity: %w; make the data folder writable", err)
	}
	return i, nil
}

// replayRecords decodes the records of the control log file and returns the state that results from applying them.
func replayRecords(records [][]byte) (QuorumState, error) {
	var s QuorumState
	for i, b := range records {
		var r record
		if err := json.Unmarshal(b, &r); err != nil {
			return QuorumState{}, fmt.Errorf("decode control log record %d: %w; run the build that wrote the log", i, err)
		}
		s = s.withRecord(r)
	}
	return s, nil
}

// withRecord returns the state after r. An entry replaces all stored entries from its index on; a snapshot removes the
// entries that it covers.
func (s QuorumState) withRecord(r record) QuorumState {
	switch {
	case r.Hard != nil:
		s.Hard = *r.Hard
	case r.Snapshot != nil:
		s.Snapshot = *r.Snapshot
		s.Entries = entriesAfter(s.Entries, r.Snapshot.Index, r.Snapshot.Term)
	case r.Entry != nil:
		k := int(r.Entry.Index - s.Snapshot.Index - 1)
		s.Entries = append(s.Entries[:min(k, len(s.Entries))], *r.Entry)
	}
	return s
}

// entriesAfter returns the entries that follow the entry with the given index and term, the last one that a snapshot
// covers. It returns nil when entries doesn't contain that entry.
func entriesAfter(entries []quorum.Entry, index, term uint64) []quorum.Entry {
	for i, e := range entries {
		if e.Index == index && e.Term == term {
			return append([]quorum.Entry(nil), entries[i+1:]...)
		}
	}
	return nil
}

// QuorumState returns the state of the control log as read by OpenDisk, with all later changes passed to Persist.
func (d *Disk) QuorumState() QuorumState { return d.state }

// Torn returns the torn writes that were dropped when the disk was opened.
func (d *Disk) Torn() []TornWrite {
	var w []TornWrite
	for _, l := range []*Log{d.quorumLog, d.ledgerLog} {
		if t, ok := l.Torn(); ok {
			w = append(w, t)
		}
	}
	return w
}

// Persist writes and syncs changes of the control log. A change with a snapshot rewrites the whole log file.
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

// toRecords returns the records for p in the order in which they are written.
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

// compact applies p and rewrites the log file as the snapshot, the hard state and the entries after the snapshot.
func (d *Disk) compact(p quorum.Persist) error {
	for _, r := range toRecords(p) {
		d.state = d.state.withRecord(r)
	}
	return d.Renew()
}

// Renew writes what the control log holds to a new file, syncs it and puts it in the place of the log file. After a failed sync of the old
// one, parts of that may be in memory only, which no later sync of it writes.
func (d *Disk) Renew() error {
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

// PersistLedger appends ledger records and syncs them.
func (d *Disk) PersistLedger(records [][]byte) error {
	for _, r := range records {
		d.ledgerLog.Append(r)
	}
	return d.ledgerLog.Sync()
}

// LedgerRecords returns all ledger records on the disk.
func (d *Disk) LedgerRecords() ([][]byte, error) { return ReadLog(d.ledgerLog.path) }

// QuorumLogSize returns the size of the control log file in bytes.
func (d *Disk) QuorumLogSize() int64 { return d.quorumLog.Size() }

// Close closes the files without a sync.
func (d *Disk) Close() error { return errors.Join(d.quorumLog.Close(), d.ledgerLog.Close()) }

// BootstrapDisk opens a data folder at the first start of a deployment. A folder without a control log gets the given
// snapshot and the given disk identity; a folder with a control log is opened unchanged. An empty snapshot means that
// the host doesn't take part in creating the control log: a new folder gets a generated identity that begins with the given
// one and a hyphen.
func BootstrapDisk(folder, identity string, snapshot quorum.Snapshot) (*Disk, error) {
	d, _, err := openDisk(folder, identity+"-")
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
