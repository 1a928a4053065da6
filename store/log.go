// Package store keeps records in files that survive a crash. A record is durable once Sync has returned.
//
// A log file is a sequence of records. Each record has a header (magic number, payload length, checksum of the two),
// the payload, the checksum of the payload and an end mark. Opening a log drops a torn write at the end of the file, as a
// crash during a write leaves one: any sectors of it may be missing. Opening fails when a record that may have been synced
// can't be read. In a marked log, records and sync marks name the position up to which the file was synced, which tells the
// two apart.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

const (
	magic        = uint32(0x68734c31)
	headerBytes  = 4 + 4 + 8
	trailerBytes = 8 + 1
	endMark      = byte(0xA5)
	// maxRecordBytes bounds the payload of one record, so that a corrupted length can't exhaust the memory.
	maxRecordBytes = 256 << 20
)

// CorruptionError reports a record that was synced and can no longer be read.
type CorruptionError struct {
	Path string
	// Offset is the position of the record in the file, in bytes.
	Offset int64
	Reason string
}

// Error returns the file, the position, the reason and the remedy.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: corrupted at byte %d (%s); the records on this disk can't be trusted: move the data "+
		"folder away and let the host rejoin as a new member", e.Path, e.Offset, e.Reason)
}

// ErrLogFailed is returned by Sync and Rewrite after an earlier call of either has failed.
var ErrLogFailed = errors.New("an earlier write to the log failed; check the disk and restart the host")

// BeforeSync is called before each sync of a file or directory with its path, but for the sync of a log that is opened. Programs of tests replace it before they open files, to make
// disks slow.
var BeforeSync = func(string) {}

// Log is an append-only file of records. It is not safe for concurrent use.
type Log struct {
	path string
	file *os.File
	// size is the length of the complete records in the file, in bytes. It is no less than synced.
	size int64
	// synced is the position up to which the file is known to be synced, in bytes.
	synced int64
	// first is the checksum of the first record in a marked log.
	first uint64
	// marked is set in a log of marked records.
	marked bool
	// torn is the torn write that was dropped when the log was opened.
	torn TornWrite
	// buffer holds the encoded records that the next Sync writes.
	buffer []byte
	// failed is set after a failed write or sync.
	failed bool
}

// OpenLog opens or creates the log file at path, drops a torn write at its end, and returns the log and the payloads of its
// records. It returns a CorruptionError when a record that may have been synced can't be read.
func OpenLog(path string) (*Log, [][]byte, error) { return openLog(path, false) }

// OpenMarkedLog is OpenLog for a log of marked records. All payloads are JSON objects with a key or more.
func OpenMarkedLog(path string) (*Log, [][]byte, error) { return openLog(path, true) }

func openLog(path string, marked bool) (*Log, [][]byte, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, nil, fmt.Errorf("open log: %w; make the data folder writable", err)
	}
	b, err := io.ReadAll(f)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("read log: %w; check the disk", err), f.Close())
	}
	r, err := readRecords(path, b)
	if err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	l := &Log{path: path, file: f, size: r.size, first: r.file, marked: marked}
	l.torn = TornWrite{Path: path, Offset: r.size, Bytes: int64(len(b)) - r.size}
	if err := l.truncateTail(); err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	if err := l.markOpened(r.last); err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	return l, r.payloads, nil
}

// Torn returns the torn write that was dropped when the log was opened. It is false if there was none.
func (l *Log) Torn() (TornWrite, bool) { return l.torn, l.torn.Bytes > 0 }

// ReadLog returns the payloads of the complete records in the log file at path. The file may be appended to at the
// same time.
func ReadLog(path string) ([][]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read log: %w; check the disk", err)
	}
	r, err := readRecords(path, b)
	return r.payloads, err
}

// truncateTail removes everything after the last complete record and syncs the file and its directory.
func (l *Log) truncateTail() error {
	if err := l.file.Truncate(l.size); err != nil {
		return fmt.Errorf("truncate incomplete record: %w; check the disk", err)
	}
	if _, err := l.file.Seek(l.size, io.SeekStart); err != nil {
		return fmt.Errorf("seek log: %w; check the disk", err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("sync log: %w; check the disk", err)
	}
	l.synced = l.size
	return syncDirectory(filepath.Dir(l.path))
}

// markOpened adds a sync mark to a marked log that was opened, unless its last record is one. After a record without a mark
// the sync mark is synced too, since the records after it are told from that one by it. A log on a full disk opens without
// the sync mark; its next write fails.
func (l *Log) markOpened(last mark) error {
	if !l.marked || last.bare {
		return nil
	}
	if err := l.writeMark(); err != nil {
		return l.truncateTail()
	}
	if last.marked {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("sync log: %w; check the disk", err)
	}
	l.synced = l.size
	return nil
}

// writeMark writes a sync mark at the end of the file, without a sync of its own.
func (l *Log) writeMark() error {
	b := l.appendMarked(nil, nil, l.synced, l.size)
	if _, err := l.file.Write(b); err != nil {
		return err
	}
	l.size += int64(len(b))
	return nil
}

// appendRecord appends the encoded record of a payload to b.
func appendRecord(b, payload []byte) []byte {
	s := len(b)
	b = binary.LittleEndian.AppendUint32(b, magic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b[s:s+8]))
	b = append(b, payload...)
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(payload))
	return append(b, endMark)
}

// Append buffers a record. The next Sync writes it.
func (l *Log) Append(payload []byte) {
	if l.marked {
		l.buffer = l.appendMarked(l.buffer, payload, l.synced, l.size+int64(len(l.buffer)))
		return
	}
	l.buffer = appendRecord(l.buffer, payload)
}

// appendMarked appends the encoded marked record of a payload to b, which is written at a position.
func (l *Log) appendMarked(b, payload []byte, synced, position int64) []byte {
	if position == 0 {
		p := markedPayload(payload, synced, place{})
		l.first = xxhash.Sum64(p)
		return appendRecord(b, p)
	}
	return appendRecord(b, markedPayload(payload, synced, place{l.first, position}))
}

// Sync writes the buffered records and returns once they are on the disk. After an error the content of the disk is
// unknown, so further calls of Sync and Rewrite return ErrLogFailed.
func (l *Log) Sync() error {
	if l.failed {
		return ErrLogFailed
	}
	if len(l.buffer) == 0 {
		return nil
	}
	if err := l.flush(); err != nil {
		l.failed = true
		return fmt.Errorf("sync %s: %w; free or replace the disk and restart the host", l.path, err)
	}
	return nil
}

// flush writes the buffer to the file and syncs the file. A sync mark follows without a sync: it tells after a crash of the
// process that the write was acknowledged, and after a loss of power if it had reached the disk.
func (l *Log) flush() error {
	n, err := l.file.Write(l.buffer)
	if err != nil {
		return err
	}
	l.size += int64(n)
	l.buffer = l.buffer[:0]
	BeforeSync(l.path)
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.synced = l.size
	if !l.marked {
		return nil
	}
	return l.writeMark()
}

// Size returns the length of the file in bytes, without buffered records.
func (l *Log) Size() int64 { return l.size }

// Rewrite atomically replaces all records: after a crash the file holds either the old or the new ones. Buffered
// records are discarded.
func (l *Log) Rewrite(records [][]byte) error {
	if l.failed {
		return ErrLogFailed
	}
	if err := l.replace(l.encode(records)); err != nil {
		l.failed = true
		return fmt.Errorf("rewrite %s: %w; free or replace the disk and restart the host", l.path, err)
	}
	return nil
}

// encode returns the content of a file with the given records. In a marked log, the sync mark at its end is true because the
// file takes its place only once it is synced.
func (l *Log) encode(records [][]byte) []byte {
	var b []byte
	for _, r := range records {
		if l.marked {
			b = l.appendMarked(b, r, 0, int64(len(b)))
		} else {
			b = appendRecord(b, r)
		}
	}
	if l.marked {
		n := int64(len(b))
		b = l.appendMarked(b, nil, n, n)
	}
	return b
}

// replace replaces the content of the file and reopens it.
func (l *Log) replace(b []byte) error {
	if err := WriteFile(l.path, b); err != nil {
		return err
	}
	f, err := os.OpenFile(l.path, os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.Seek(0, io.SeekEnd); err != nil {
		return errors.Join(err, f.Close())
	}
	o := l.file
	l.file, l.size, l.synced, l.buffer = f, int64(len(b)), int64(len(b)), nil
	return o.Close()
}

// Close closes the file without a sync. Buffered records are lost.
func (l *Log) Close() error { return l.file.Close() }

// WriteFile atomically replaces the file at path, by way of a temporary file with the suffix .new, and returns once
// the content is on the disk.
func WriteFile(path string, content []byte) error {
	t := path + ".new"
	f, err := os.OpenFile(t, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.Write(content); err != nil {
		return errors.Join(err, f.Close())
	}
	BeforeSync(path)
	if err := f.Sync(); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := os.Rename(t, path); err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(path))
}

// syncDirectory syncs a directory, so that created and renamed files in it survive a crash.
func syncDirectory(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	BeforeSync(path)
	return errors.Join(d.Sync(), d.Close())
}
