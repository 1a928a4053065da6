package core

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/ledger"
)

const (
	// archiveInterval is the time between removals of settled ledger lines from memory.
	archiveInterval = 2 * time.Second
	// archiveMinAge is how long a settled line stays in memory, so that late copies of the line arrive while
	// it can still be merged with them.
	archiveMinAge = time.Minute
	// archiveBatch is the maximum number of lines archived at a time.
	archiveBatch = 2000
	// archiveCopies is the number of disks that must hold a line before a host without a disk drops it from
	// memory.
	archiveCopies = 2
)

// ArchiveRecords sends settled ledger lines to all hosts in To. The runner reports RecordsArchived once each of
// these hosts has synced the lines.
type ArchiveRecords struct {
	To    []string
	Lines []ledger.Line
}

// RecordsArchived reports that enough disks hold the lines, so that this host can drop them from memory.
type RecordsArchived struct{ RequestIDs []string }

func (ArchiveRecords) effect() {}
func (RecordsArchived) event() {}

// archiveSettled removes old settled lines from the ledger in memory to bound its size. A host with a disk drops
// the lines at once, since its disk has them; a host without a disk first sends them to hosts that have one.
func (r *reducer) archiveSettled() {
	if r.Now < r.archivedAt+archiveInterval {
		return
	}
	r.archivedAt = r.Now
	l := r.Ledger.OldestSettled(archiveBatch, archiveMinAge)
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

// requestIDs returns the request IDs of the lines.
func requestIDs(lines []ledger.Line) []string {
	var r []string
	for _, l := range lines {
		r = append(r, l.RequestID)
	}
	return r
}

// archiveHosts returns archiveCopies voters that are alive, since voters have a disk, or the only voter if there
// is just one. It returns nil while too few voters are alive.
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
