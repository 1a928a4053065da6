package store_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/store"
)

// writeThreeRecords creates a log with three records of equal length and returns its path and content.
func writeThreeRecords(t *testing.T) (path string, content []byte) {
	t.Helper()
	i := is.New(t)
	path = filepath.Join(t.TempDir(), "x.log")
	l, r, err := store.OpenLog(path)
	i.NoErr(err)
	i.Equal(len(r), 0)
	for k := range 3 {
		l.Append(fmt.Appendf(nil, "record %d", k))
	}
	i.NoErr(l.Sync())
	i.NoErr(l.Close())
	content, err = os.ReadFile(path)
	i.NoErr(err)
	return path, content
}

// TestOpenLogTruncatesTornRecord cuts the file off at every length, as a crash during a write can. OpenLog must keep
// the complete records and drop the incomplete one, and the log must accept further records.
func TestOpenLogTruncatesTornRecord(t *testing.T) {
	i := is.New(t)
	p, b := writeThreeRecords(t)
	for n := range len(b) {
		i.NoErr(os.WriteFile(p, b[:n], 0o600))
		l, r, err := store.OpenLog(p)
		i.NoErr(err)
		i.Equal(len(r), 3*n/len(b)) // complete records, all of equal length
		l.Append([]byte("after"))
		i.NoErr(l.Sync())
		i.NoErr(l.Close())
		l, s, err := store.OpenLog(p)
		i.NoErr(err)
		i.Equal(len(s), len(r)+1)
		i.NoErr(l.Close())
	}
}

// TestOpenLogTruncatesZeroBytes appends zero bytes to the file, as a crash leaves them when blocks were allocated but
// not written. OpenLog must drop them like an incomplete record.
func TestOpenLogTruncatesZeroBytes(t *testing.T) {
	i := is.New(t)
	p, b := writeThreeRecords(t)
	for _, n := range []int{1, 16, 4096} {
		i.NoErr(os.WriteFile(p, append(bytes.Clone(b), make([]byte, n)...), 0o600))
		l, r, err := store.OpenLog(p)
		i.NoErr(err)
		i.Equal(len(r), 3)
		i.NoErr(l.Close())
	}
}

// TestOpenLogReportsCorruptedByte changes one bit in each byte in turn, including those of the last record. OpenLog
// must report each change as corruption and must not drop the record as incomplete.
func TestOpenLogReportsCorruptedByte(t *testing.T) {
	i := is.New(t)
	p, b := writeThreeRecords(t)
	for n := range b {
		c := bytes.Clone(b)
		c[n] ^= 0x40
		i.NoErr(os.WriteFile(p, c, 0o600))
		_, _, err := store.OpenLog(p)
		var d *store.CorruptionError
		i.True(errors.As(err, &d)) // corruption is reported
	}
}

// TestLogRejectsWritesAfterFailedSync makes a write fail by closing the file. The log must reject all later writes,
// even if the disk works again, since the content of the disk is unknown after a failed write.
func TestLogRejectsWritesAfterFailedSync(t *testing.T) {
	i := is.New(t)
	l, _, err := store.OpenLog(filepath.Join(t.TempDir(), "x.log"))
	i.NoErr(err)
	i.NoErr(l.Close())
	l.Append([]byte("lost"))
	i.True(l.Sync() != nil)
	l.Append([]byte("after"))
	i.True(errors.Is(l.Sync(), store.ErrLogFailed))
	i.True(errors.Is(l.Rewrite(nil), store.ErrLogFailed))
}

// TestDiskRestoresQuorumState persists entries, then entries that replace some of them, then a snapshot. Reopening the
// disk must return the last hard state, the snapshot, the entries after the snapshot and the same disk identity.
func TestDiskRestoresQuorumState(t *testing.T) {
	i := is.New(t)
	f := t.TempDir()
	d, _, err := store.OpenDisk(f)
	i.NoErr(err)
	n := d.Identity
	e := func(x, m uint64) quorum.Entry { return quorum.Entry{Index: x, Term: m, Data: []byte{byte(x)}} }
	i.NoErr(d.Persist(quorum.Persist{Hard: &quorum.HardState{Term: 1, Vote: "a"}, Entries: []quorum.Entry{e(1, 1), e(2, 1), e(3, 1)}}))
	i.NoErr(d.Persist(quorum.Persist{Hard: &quorum.HardState{Term: 2}, Entries: []quorum.Entry{e(2, 2), e(3, 2), e(4, 2)}}))
	i.NoErr(d.Persist(quorum.Persist{Snapshot: &quorum.Snapshot{Index: 2, Term: 2, Data: []byte("s")}}))
	i.NoErr(d.Close())
	d, _, err = store.OpenDisk(f)
	i.NoErr(err)
	h := d.QuorumState()
	i.Equal(d.Identity, n)
	i.Equal(h.Hard, quorum.HardState{Term: 2})
	i.Equal(h.Snapshot.Index, uint64(2))
	i.Equal(h.Entries, []quorum.Entry{e(3, 2), e(4, 2)})
}
