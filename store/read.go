package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// TornWrite is the end of a log that was dropped because the write that left it wasn't acknowledged.
type TornWrite struct {
	Path string
	// Offset is the position of the first dropped byte in the file, and Bytes the number of dropped ones.
	Offset, Bytes int64
}

// Why a record can't be read.
var (
	errHeader     = errors.New("record header fails its checksum")
	errLength     = errors.New("record length exceeds the limit")
	errIncomplete = errors.New("record is incomplete")
	errChecksum   = errors.New("record fails its checksum")
	errForeign    = errors.New("record belongs in another place")
)

// reading is what was read from the beginning of a log file.
type reading struct {
	// payloads are those of the records without sync marks.
	payloads [][]byte
	// size is the length of the records that were read, in bytes.
	size int64
	// file is the checksum of the first record.
	file uint64
	// last is what the last record that was read says about syncs. Its position is never lower than that of a marked record
	// before it.
	last mark
}

// withRecord returns the reading after a record of n bytes.
func (r reading) withRecord(payload []byte, n int) reading {
	if r.size == 0 {
		r.file = xxhash.Sum64(payload)
	}
	r.last = markOf(payload)
	r.size += int64(n)
	if !r.last.bare {
		r.payloads = append(r.payloads, payload)
	}
	return r
}

// next returns the payload and the length of the record that follows in the file with content b.
func (r reading) next(b []byte) (payload []byte, length int, err error) {
	p, n, err := parseRecord(b[r.size:])
	if err != nil {
		return nil, 0, err
	}
	if m := markOf(p); m.marked && (!isAt(p, r.end()) || r.last.marked && m.synced < r.last.synced) {
		return nil, 0, errForeign
	}
	return p, n, nil
}

// end returns the place after the records that were read.
func (r reading) end() place { return place{r.file, r.size} }

// readRecords reads the records of a log file with content b. What follows them, if anything, is a torn write. It returns a
// CorruptionError if records that may have been synced can't be read.
func readRecords(path string, b []byte) (reading, error) {
	var r reading
	for r.size < int64(len(b)) {
		p, n, err := r.next(b)
		if err != nil {
			return r, r.checkEnd(path, b, err)
		}
		r = r.withRecord(p, n)
	}
	return r, nil
}

// checkEnd returns a CorruptionError unless what follows the records that were read, which can't be read for the given
// reason, is a torn write.
func (r reading) checkEnd(path string, b []byte, reason error) error {
	e := b[r.size:]
	corrupted := func(w string) error {
		return &CorruptionError{Path: path, Offset: r.size, Reason: fmt.Sprintf("%s, %s", reason, w)}
	}
	if r.wasSynced(b) {
		return corrupted("and what was written after its sync can be read")
	}
	if p, ok := payloadWithoutDamage(e, r.end()); ok && !r.isLastMark(b, p) {
		return corrupted("one byte of it has changed, which no torn write does")
	}
	if !r.last.marked && !isUnfinished(e, r.size) {
		return corrupted("and a record of a build without sync marks may have been synced")
	}
	return nil
}

// wasSynced reports whether a record after the first one that can't be read was written after the sync of that one. A sync
// mark in its place says so even if it isn't of the file of the first record, since either of the two may be the wrong one. An
// unmarked record may always have been written later.
func (r reading) wasSynced(b []byte) bool {
	return anyRecord(b, r.size+1, func(p []byte, at int64) bool {
		switch m := markOf(p); {
		case !m.marked:
			return true
		case m.bare:
			return m.synced == at
		default:
			return m.synced > r.size && (r.size == 0 || isAt(p, place{r.file, at}))
		}
	})
}

// isLastMark reports whether a payload is that of a sync mark after which the file with content b holds no other record.
func (r reading) isLastMark(b, payload []byte) bool {
	return markOf(payload).bare && !anyRecord(b, r.size+1, func([]byte, int64) bool { return true })
}

// anyRecord reports whether f is true for the payload and position of any intact record in b that begins at the position from
// or later.
func anyRecord(b []byte, from int64, f func(payload []byte, at int64) bool) bool {
	w := binary.LittleEndian.AppendUint32(nil, magic)
	for o := int(from); o < len(b); o++ {
		i := bytes.Index(b[o:], w)
		if i < 0 {
			return false
		}
		o += i
		if p, _, err := parseRecord(b[o:]); err == nil && f(p, int64(o)) {
			return true
		}
	}
	return false
}

// isUnfinished reports whether the unmarked record at the start of b, which is the end of a file from a position on, shows by
// itself that it wasn't written to its end: the file ends within it, or its header, its end mark or the part of it in a
// sector is zero.
func isUnfinished(b []byte, position int64) bool {
	if len(b) < headerBytes || allZero(b[:headerBytes]) {
		return true
	}
	n, err := recordLength(b)
	if err != nil {
		return hasZeroSector(b, position)
	}
	return n > len(b) || b[n-1] == 0 || hasZeroSector(b[:n], position)
}

// zeroBytes is the least number of zeros in a sector that aren't taken for content or for the change of one byte.
const zeroBytes = 8

// hasZeroSector reports whether all bytes of b in a sector are zero, of which there have to be zeroBytes. The first byte of b
// is at the given position of its file.
func hasZeroSector(b []byte, position int64) bool {
	for len(b) > 0 {
		n := min(len(b), sectorBytes-int(position%sectorBytes))
		if n >= zeroBytes && allZero(b[:n]) {
			return true
		}
		b, position = b[n:], position+int64(n)
	}
	return false
}

// allZero reports whether all bytes of b are zero.
func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// parseRecord returns the payload and the encoded length of the first record in b.
func parseRecord(b []byte) (payload []byte, length int, err error) {
	if len(b) < headerBytes {
		return nil, 0, errIncomplete
	}
	n, err := recordLength(b)
	if err != nil {
		return nil, 0, err
	}
	if n > len(b) || b[n-1] == 0 {
		return nil, 0, errIncomplete
	}
	if !bodyIntact(b[:n]) {
		return nil, 0, errChecksum
	}
	return b[headerBytes : n-trailerBytes], n, nil
}

// recordLength returns the encoded length of the record with the header at the start of b.
func recordLength(b []byte) (int, error) {
	if binary.LittleEndian.Uint32(b) != magic || binary.LittleEndian.Uint64(b[8:]) != xxhash.Sum64(b[:8]) {
		return 0, errHeader
	}
	n := binary.LittleEndian.Uint32(b[4:])
	if n > maxRecordBytes {
		return 0, errLength
	}
	return headerBytes + int(n) + trailerBytes, nil
}

// bodyIntact reports whether the payload of an encoded record matches its checksum and its end mark is there.
func bodyIntact(b []byte) bool {
	n := len(b) - trailerBytes
	return b[len(b)-1] == endMark && binary.LittleEndian.Uint64(b[n:]) == xxhash.Sum64(b[headerBytes:n])
}
