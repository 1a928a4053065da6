package store_test

import (
	"path/filepath"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/store"
)

// recordSyncs returns the paths of the files and directories that are synced from now on.
func recordSyncs(t *testing.T) *[]string {
	var l []string
	b := store.BeforeSync
	store.BeforeSync = func(p string) { l = append(l, p) }
	t.Cleanup(func() { store.BeforeSync = b })
	return &l
}

// Guards against the loss of what was acknowledged, on all control hosts that lose power after their first start: the entry of a new data
// folder in the directory above it wasn't synced, so that the folder is gone with all files.
func TestNewDataFolderIsSyncedInItsParents(t *testing.T) {
	i := is.New(t)
	d := t.TempDir()
	l := recordSyncs(t)
	k, _, err := store.OpenDisk(filepath.Join(d, "a", "b"))
	i.NoErr(err)
	i.NoErr(k.Persist(quorum.Persist{Hard: &quorum.HardState{Term: 1}}))
	i.NoErr(k.Close())
	n := slices.Index(*l, filepath.Join(d, "a", "b", "quorum.log"))
	i.True(n > 0)
	for _, p := range []string{d, filepath.Join(d, "a"), filepath.Join(d, "a", "b")} {
		i.True(slices.Contains((*l)[:n], p)) // before the first sync of the log
	}
}

// Guards against a control log that is gone, or is an older one, after a loss of power: the directory isn't synced after a file was created or
// replaced.
func TestDirectoryIsSyncedAfterFilesAreReplaced(t *testing.T) {
	i := is.New(t)
	d := t.TempDir()
	k, _, err := store.OpenDisk(d)
	i.NoErr(err)
	l := recordSyncs(t)
	i.NoErr(k.Persist(quorum.Persist{Entries: []quorum.Entry{{Index: 1, Term: 1}}}))
	i.NoErr(k.Persist(quorum.Persist{Snapshot: &quorum.Snapshot{Index: 1, Term: 1}}))
	i.Equal(*l, []string{filepath.Join(d, "quorum.log"), filepath.Join(d, "quorum.log"), d})
	i.NoErr(k.Close())
}

// Guards against a control host that doesn't start, since the settings write its new data folder in another usual form.
func TestNewDataFolderMayBeWrittenInAnyForm(t *testing.T) {
	for _, v := range []string{"a/b/", "a//b", "a/./b", "a/../b", "a/b/."} {
		t.Run(v, func(t *testing.T) {
			i := is.New(t)
			k, _, err := store.OpenDisk(t.TempDir() + "/" + v)
			i.NoErr(err)
			i.NoErr(k.Close())
		})
	}
}

// Guards against control hosts that don't start, since several create the folder above their data folders at the same time.
func TestNewDataFoldersMayBeCreatedAtTheSameTime(t *testing.T) {
	for range 50 {
		d := filepath.Join(t.TempDir(), "a", "b")
		var w sync.WaitGroup
		for _, n := range []string{"1", "2", "3", "4"} {
			w.Go(func() {
				k, _, err := store.OpenDisk(filepath.Join(d, n))
				if err != nil {
					t.Error(err)
					return
				}
				_ = k.Close() // an error while closing doesn't affect the test
			})
		}
		w.Wait()
	}
}
