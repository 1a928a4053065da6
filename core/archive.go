package core

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/ledger"
)

const (
	// archiveEvery is the interval at which settled lines are handed over to hosts with a disk.
	archiveEvery = 2 * time.Second
	// archiveAge is how old a settled line is before it leaves a host's memory; late copies of it have
	// come by then.
	archiveAge = time.Minute
	// archiveBatch bounds the lines handed over at a time.
	archiveBatch = 2000
	// archiveCopies is how many disks hold a line before a host without a disk forgets it.
	archiveCopies = 2
)

// ArchiveRecords hands lines over to all the named hosts; the runner answers with Archived once each of them
// has synced the lines.
type ArchiveRecords struct {
	To    []string
	Lines []ledger.Line
}

// Archived tells that lines are on enough disks to be forgotten here.
type Archived struct{ RequestIDs []string }

func (ArchiveRecords) effect() {}
func (Archived) event()        {}

// archive bounds the memory of the ledger: a host with a disk forgets settled lines that its disk has, and
// another one hands them over first.
func (r *reducer) archive() {
	if r.Now < r.archived+archiveEvery {
		return
	}
	r.archived = r.Now
	l := r.Ledger.OldestSettled(archiveBatch, archiveAge)
	if len(l) == 0 {
		return
	}
	if r.HasDisk {
		r.Ledger = r.Ledger.Without(ids(l))
		return
	}
	if t := r.archivists(); len(t) > 0 {
		r.emit(ArchiveRecords{To: t, Lines: l})
	}
}

func ids(lines []ledger.Line) []string {
	var r []string
	for _, l := range lines {
		r = append(r, l.RequestID)
	}
	return r
}

// archivists returns the hosts with a disk that take lines over: two, or the only one there is; none while
// too few of them are heard.
func (r *reducer) archivists() []string {
	var t []string
	n := 0
	for _, m := range r.members() {
		if !m.Voter {
			continue
		}
		n++
		if r.Members.Fresh(m.Name, r.Now) && len(t) < archiveCopies {
			t = append(t, m.Name)
		}
	}
	if len(t) < min(n, archiveCopies) {
		return nil
	}
	return t
}
