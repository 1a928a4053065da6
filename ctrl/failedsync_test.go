package ctrl_test

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/itest"
	"github.com/hickoryshelf/hickoryshelf/store"
)

// failSync returns what makes the next sync of the file at a path fail once its content was written: the descriptor is made that of a device
// that can't be synced. It is called before the file is opened.
func failSync(t *testing.T, path string) *atomic.Bool {
	var armed atomic.Bool
	b := store.BeforeSync
	store.BeforeSync = func(p string) {
		if p == path && armed.CompareAndSwap(true, false) {
			replaceDescriptor(t, path)
		}
		b(p)
	}
	t.Cleanup(func() { store.BeforeSync = b })
	return &armed
}

// replaceDescriptor makes the descriptor of an open file that of a device.
func replaceDescriptor(t *testing.T, path string) {
	const descriptors = "/proc/self/fd"
	l, err := os.ReadDir(descriptors)
	if err != nil {
		t.Error(err)
		return
	}
	n, err := os.Open(os.DevNull)
	if err != nil {
		t.Error(err)
		return
	}
	defer n.Close() //nolint:errcheck // its copy stays open
	for _, e := range l {
		d := 0
		if p, err := os.Readlink(filepath.Join(descriptors, e.Name())); err != nil || p != path {
			continue
		}
		if _, err := fmt.Sscan(e.Name(), &d); err != nil {
			t.Error(err)
			return
		}
		if err := syscall.Dup3(int(n.Fd()), d, syscall.O_CLOEXEC); err != nil {
			t.Error(err)
		}
	}
}

// Guards against entries that count as synced after a failed sync and are lost with the power: what can be read from the file may be only in
// memory, and no later sync of it writes that. A host has to write all entries to a new file.
func TestLogIsWrittenAgainAfterFailedSync(t *testing.T) {
	i := is.New(t)
	d := t.TempDir()
	p := filepath.Join(d, "quorum.log")
	f := failSync(t, p)
	h, _ := startHost(t, startOptions{Folder: d, Seeds: []string{"127.0.0.1"}})
	t.Cleanup(h.Stop)
	putConfiguration(h, 1)
	b, err := os.Stat(p)
	i.NoErr(err)
	f.Store(true)
	h.Do(ctlrpc.Order{Verb: ctlrpc.Put, Version: 2, Document: []byte("{}")}) // its write fails
	itest.Eventually(t, 10*time.Second, func() error {
		if r := h.Do(ctlrpc.Order{Verb: ctlrpc.Put, Version: 3, Document: []byte("{}")}); r.Status != ctlrpc.Accepted {
			return fmt.Errorf("the order is answered with %v", r.Status)
		}
		return nil
	})
	n, err := os.Stat(p)
	i.NoErr(err)
	i.True(!os.SameFile(b, n)) // the entries are in another file
	i.Equal(h.Do(ctlrpc.Order{Verb: ctlrpc.Read}).Version, int64(3))
}
