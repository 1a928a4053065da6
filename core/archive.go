package core

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/ledger"
)

const (
	// archiveInterval is the interval at which settled lines are handed over to hosts with a disk.
	archiveInterval = 2 * time.Second
	// archiveMinAge is how old a settled line is before it leaves a host's memory; late copies of it have
	// come by then.
	archiveMinAge = time.Minute
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

// RecordsArchived tells that lines are on enough disks to be forgotten here.
type RecordsArchived struct{ RequestIDs []string }

func (ArchiveRecords) effect() {}
func (RecordsArchived) event() {}

// archiveSettled bounds the memory of the ledger: a host with a disk forgets settled lines that its disk has, and
// another one hands them over first.
func (r *reducer) archiveSettled() {
	if r.Now < r.archivedAt+archiveInterval {
		return
	}
	r.archivedAt = r.Now
	l := r.Ledger.Aged(archiveBatch, archiveMinAge)
	if len(l) == 0 {
		return
	}
	if r.HasDisk {
		r.Ledger = r.Ledger.Without(requestIDs(l))
		return
	}
	if t := r.archiveHosts(); len(t) > 0 {
		r.emit(ArchiveRecords{To: t, Lines: l})
	}
}

func requestIDs(lines []ledger.Line) []string {
	var r []string
	for _, l := range lines {
		r = append(r, l.RequestID)
	}
	return r
}

// archiveHosts returns the hosts with a disk that take lines over: two, or the only one there is; none while
// too few of them are heard.
func (r *reducer) archiveHosts() []string {
	var t []string
	n := 0
	for _, m := range r.members() {
		if !m.Voter {
			continue
		}
		n++
		if r.Members.Alive(m.Name, r.Now) && len(t) < archiveCopies {
			t = append(t, m.Name)
		}
	}
	if len(t) < min(n, archiveCopies) {
		return nil
	}
	return t
}
