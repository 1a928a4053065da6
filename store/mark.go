package store

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash/crc64"
	"strconv"
)

// A marked record has a payload that is a JSON object whose first two keys are "crc" and "synced": a checksum of the
// payload and of the place where the record is, and the position up to which the file was synced when the record was written.
// A sync mark is a marked record without further keys, at the very position that it names. Builds before marked records ignore
// both keys.
const (
	crcKey    = `{"crc":"`
	syncedKey = `","synced":`
	crcDigits = 16
	// sectorBytes is the unit that a disk writes as a whole.
	sectorBytes = 512
	// pieceBytes is the least part of a marked record in a sector, so that the loss of a sector changes more than one byte. At
	// the beginning of a record it holds the whole header.
	pieceBytes = headerBytes
)

// noCRC stands in the place of the checksum while it is computed.
var noCRC = bytes.Repeat([]byte{'0'}, crcDigits)

var crcTable = crc64.MakeTable(crc64.ECMA)

// place is where a marked record is. What a file system leaves in sectors that weren't written has another place.
type place struct {
	// file is the checksum of the first record in the file. It is zero for that record itself.
	file uint64
	// position is that of the record in the file, in bytes.
	position int64
}

// crc returns the checksum of a place.
func (l place) crc() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, l.file)
	b = binary.LittleEndian.AppendUint64(b, uint64(l.position))
	return crc64.Checksum(b, crcTable)
}

// markedPayload returns the payload of a marked record at a place. The payload is a JSON object with a key or more, or empty
// for a sync mark. Spaces at the end keep the end of the record away from the borders of sectors.
func markedPayload(payload []byte, synced int64, at place) []byte {
	b := fmt.Appendf(nil, "%s%s%s%d", crcKey, noCRC, syncedKey, synced)
	if len(payload) > 0 {
		b = append(b, ',')
		b = append(b, payload[1:]...)
	} else {
		b = append(b, '}')
	}
	for nearBorder(at.position + headerBytes + int64(len(b)) + trailerBytes) {
		b = append(b, ' ')
	}
	copy(b[len(crcKey):], formatCRC(payloadCRC(b, at)))
	return b
}

// nearBorder reports whether the border of a sector is less than pieceBytes from a position, and not at it.
func nearBorder(position int64) bool {
	r := position % sectorBytes
	return r != 0 && (r < pieceBytes || r > sectorBytes-pieceBytes)
}

// payloadCRC returns the checksum of a marked record's payload at a place. The digits of the checksum itself count as zeros.
func payloadCRC(payload []byte, at place) uint64 {
	c := crc64.Update(at.crc(), crcTable, payload[:len(crcKey)])
	c = crc64.Update(c, crcTable, noCRC)
	return crc64.Update(c, crcTable, payload[len(crcKey)+crcDigits:])
}

// isAt reports whether the payload of a marked record was written at a place.
func isAt(payload []byte, at place) bool {
	c, ok := parseCRC(payload)
	return ok && c == payloadCRC(payload, at)
}

func formatCRC(c uint64) []byte { return fmt.Appendf(nil, "%016x", c) }

// parseCRC returns the checksum that a marked record's payload holds. It is false for a payload that holds none.
func parseCRC(payload []byte) (c uint64, ok bool) {
	if len(payload) < len(crcKey)+crcDigits {
		return 0, false
	}
	var b [crcDigits / 2]byte
	if _, err := hex.Decode(b[:], payload[len(crcKey):len(crcKey)+crcDigits]); err != nil {
		return 0, false
	}
	for _, d := range b {
		c = c<<8 | uint64(d)
	}
	return c, true
}

// mark is what a payload says about syncs.
type mark struct {
	// marked is false for the payload of an unmarked record; the other fields are then zero.
	marked bool
	// synced is the position up to which the file was synced when the record was written, in bytes.
	synced int64
	// bare is set for a sync mark, which holds nothing else.
	bare bool
}

// markOf returns what a payload says about syncs.
func markOf(payload []byte) mark {
	b, ok := bytes.CutPrefix(payload, []byte(crcKey))
	if !ok || len(b) < crcDigits {
		return mark{}
	}
	b, ok = bytes.CutPrefix(b[crcDigits:], []byte(syncedKey))
	if !ok {
		return mark{}
	}
	e := bytes.IndexAny(b, ",}")
	if e < 0 {
		return mark{}
	}
	n, err := strconv.ParseInt(string(b[:e]), 10, 64)
	if err != nil {
		return mark{}
	}
	return mark{marked: true, synced: n, bare: b[e] == '}'}
}
