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

// writeThreeRecords makes a log of three records and returns its path and content.
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

// TestOpenLogTruncatesTornRecord cuts the file at every length: whole records stay, the torn one goes, and the log goes on.
func TestOpenLogTruncatesTornRecord(t *testing.T) {
	i := is.New(t)
	p, b := writeThreeRecords(t)
	for n := range len(b) {
		i.NoErr(os.WriteFile(p, b[:n], 0o600))
		l, r, err := store.OpenLog(p)
		i.NoErr(err)
		i.Equal(len(r), 3*n/len(b)) // records of equal length
		l.Append([]byte("after"))
		i.NoErr(l.Sync())
		i.NoErr(l.Close())
		l, s, err := store.OpenLog(p)
		i.NoErr(err)
		i.Equal(len(s), len(r)+1)
		i.NoErr(l.Close())
	}
}

// TestOpenLogTruncatesZeroBytes treats blocks that were allocated and never written as a torn tail.
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

// TestOpenLogReportsCorruptedByte flips every byte, the last record's among them: each is reported, none is passed over.
func TestOpenLogReportsCorruptedByte(t *testing.T) {
	i := is.New(t)
	p, b := writeThreeRecords(t)
	for n := range b {
		c := bytes.Clone(b)
		c[n] ^= 0x40
		i.NoErr(os.WriteFile(p, c, 0o600))
		_, _, err := store.OpenLog(p)
		var d *store.CorruptionError
		i.True(errors.As(err, &d)) // damage is reported
	}
}

// TestLogRejectsWritesAfterFailedSync makes a write fail: the log accepts nothing more, even if the disk recovers.
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

// TestDiskRestoresQuorumState writes entries, a conflict and a snapshot, and reads them back.
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
