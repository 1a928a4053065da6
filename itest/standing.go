package itest

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/hickoryshelf/hickoryshelf/store"
)

// standingFiles holds the standing files of all tests by path.
var standingFiles sync.Map

func init() {
	store.BeforeSync = func(path string) {
		if f, ok := standingFiles.Load(path); ok {
			f.(*StandingFile).stand()
		}
	}
}

// StandingFile is a file of this process whose syncs stand, as on a disk that doesn't respond.
type StandingFile struct {
	// Began is closed when the first of them begins.
	Began   chan struct{}
	release chan struct{}
	once    sync.Once
}

// NewStandingFile lets the syncs of the file at a path stand until Release is called, which has to be before the end of the test.
func NewStandingFile(t testing.TB, path string) *StandingFile {
	f := &StandingFile{Began: make(chan struct{}), release: make(chan struct{})}
	standingFiles.Store(path, f)
	t.Cleanup(func() { standingFiles.Delete(path) })
	return f
}

// Release ends the syncs. It is called once.
func (f *StandingFile) Release() { close(f.release) }

// AwaitRelease returns once Release was called.
func (f *StandingFile) AwaitRelease() { <-f.release }

func (f *StandingFile) stand() {
	f.once.Do(func() { close(f.Began) })
	<-f.release
}

// OpenFiles returns the files in a folder that this process holds open.
func OpenFiles(t testing.TB, folder string) []string {
	t.Helper()
	const descriptors = "/proc/self/fd"
	l, err := os.ReadDir(descriptors)
	if err != nil {
		t.Fatal(err)
	}
	var r []string
	for _, e := range l {
		p, err := os.Readlink(filepath.Join(descriptors, e.Name()))
		if err == nil && strings.HasPrefix(p, folder+"/") { // an error: it was closed meanwhile
			r = append(r, p)
		}
	}
	return r
}
