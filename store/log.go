// Package store keeps records in files that survive a crash: a record counts once Sync has returned.
//
// A log file is a row of records. Each record has a header (magic, length, checksum of the header), the
// payload, the payload's checksum and an end mark. A tail that a crash cut short is dropped when the log is
// opened; a record that was written whole and reads otherwise now is damage and stops the opening.
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
	// maxRecordBytes bounds one record, so that a damaged length can't exhaust the memory.
	maxRecordBytes = 256 << 20
)

// CorruptionError reports a record that was synced and can no longer be read.
type CorruptionError struct {
	Path   string
	Offset int64
	Reason string
}

// Error names the file, the place and the remedy.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: damaged at byte %d (%s); this disk's records can't be trusted: move the data folder "+
		"away and let the host rejoin as a new member", e.Path, e.Offset, e.Reason)
}

// ErrLogFailed is returned by a log after a write or sync has failed once.
var ErrLogFailed = errors.New("an earlier write to the log failed; check the disk and restart the host")

// Log is an append-only file of records. It is not safe for concurrent use.
type Log struct {
	path string
	file *os.File
	// size is the length of the whole records in the file, in bytes.
	size   int64
	buffer []byte
	failed bool
}

// OpenLog reads all records of the file at path, drops a torn tail and returns a log to append to.
// It returns a DamageError where a synced record can't be read.
func OpenLog(path string) (*Log, [][]byte, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, nil, fmt.Errorf("open log: %w; make the data folder writable", err)
	}
	b, err := io.ReadAll(f)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("read log: %w; check the disk", err), f.Close())
	}
	r, n, err := parseRecords(path, b)
	if err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	l := &Log{path: path, file: f, size: n}
	if err := l.truncateTail(); err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	return l, r, nil
}

// ReadLog returns the whole records of a log that may be written meanwhile.
func ReadLog(path string) ([][]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read log: %w; check the disk", err)
	}
	r, _, err := parseRecords(path, b)
	return r, err
}

// truncateTail drops what stands behind the last whole record.
func (l *Log) truncateTail() error {
	if err := l.file.Truncate(l.size); err != nil {
		return fmt.Errorf("cut torn tail: %w; check the disk", err)
	}
	if _, err := l.file.Seek(l.size, io.SeekStart); err != nil {
		return fmt.Errorf("seek log: %w; check the disk", err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("sync log: %w; check the disk", err)
	}
	return syncDirectory(filepath.Dir(l.path))
}

// parseRecords returns the whole records and the length they take up.
func parseRecords(path string, b []byte) (records [][]byte, size int64, err error) {
	for o := 0; o < len(b); {
		p, n, w := parseRecord(b[o:])
		switch {
		case w != "":
			return nil, 0, &CorruptionError{Path: path, Offset: int64(o), Reason: w}
		case n == 0:
			return records, int64(o), nil
		}
		records = append(records, p)
		o += n
	}
	return records, int64(len(b)), nil
}

// parseRecord returns the first record and its length, a length of 0 for a torn one, or what is damaged.
func parseRecord(b []byte) (payload []byte, length int, corruption string) {
	if len(b) < headerBytes || allZero(b[:headerBytes]) {
		return nil, 0, ""
	}
	if binary.LittleEndian.Uint32(b) != magic || binary.LittleEndian.Uint64(b[8:]) != xxhash.Sum64(b[:8]) {
		return nil, 0, "record header fails its checksum"
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > maxRecordBytes {
		return nil, 0, "record length exceeds the limit"
	}
	e := headerBytes + n + trailerBytes
	if len(b) < e || b[e-1] == 0 {
		return nil, 0, ""
	}
	p := b[headerBytes : headerBytes+n]
	if b[e-1] != endMark || binary.LittleEndian.Uint64(b[headerBytes+n:]) != xxhash.Sum64(p) {
		return nil, 0, "record fails its checksum"
	}
	return p, e, ""
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

func appendRecord(b, payload []byte) []byte {
	s := len(b)
	b = binary.LittleEndian.AppendUint32(b, magic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b[s:s+8]))
	b = append(b, payload...)
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(payload))
	return append(b, endMark)
}

// Append adds a record to those that the next Sync writes.
func (l *Log) Append(payload []byte) { l.buffer = appendRecord(l.buffer, payload) }

// Sync writes the appended records and returns once they are on the disk. After an error the log
// accepts nothing more, because what the disk holds is no longer known.
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

func (l *Log) flush() error {
	n, err := l.file.Write(l.buffer)
	if err != nil {
		return err
	}
	l.size += int64(n)
	l.buffer = l.buffer[:0]
	return l.file.Sync()
}

// Size returns the length of the file in bytes.
func (l *Log) Size() int64 { return l.size }

// Rewrite replaces all records by the given ones in one step: after a crash either the old or the new
// records are there.
func (l *Log) Rewrite(records [][]byte) error {
	if l.failed {
		return ErrLogFailed
	}
	var b []byte
	for _, r := range records {
		b = appendRecord(b, r)
	}
	if err := l.replace(b); err != nil {
		l.failed = true
		return fmt.Errorf("rewrite %s: %w; free or replace the disk and restart the host", l.path, err)
	}
	return nil
}

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
	l.file, l.size, l.buffer = f, int64(len(b)), nil
	return o.Close()
}

// Close closes the file without a sync.
func (l *Log) Close() error { return l.file.Close() }

// WriteFile replaces a file in one step and returns once it is on the disk.
func WriteFile(path string, content []byte) error {
	t := path + ".new"
	f, err := os.OpenFile(t, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.Write(content); err != nil {
		return errors.Join(err, f.Close())
	}
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

func syncDirectory(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
