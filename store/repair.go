package store

import (
	"bytes"
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// payloadWithoutDamage returns the payload that the record at the start of b, which is at a place, had before a single byte of it was changed. It
// is false if the record is intact, or differs in more than one byte or in the payload of an unmarked record. A torn write never differs
// in one byte only, since disks write whole sectors.
func payloadWithoutDamage(b []byte, at place) (payload []byte, ok bool) {
	if len(b) < headerBytes {
		return nil, false
	}
	if _, err := recordLength(b); err == nil {
		return repairBody(b, at)
	}
	h := bytes.Clone(b[:headerBytes])
	for i := range h {
		for range 256 {
			h[i]++
			n, err := recordLength(h)
			if err == nil && n <= len(b) && bodyIntact(b[:n]) {
				return b[headerBytes : n-trailerBytes], true
			}
		}
	}
	return nil, false
}

// repairBody returns the payload of a record with an intact header and one changed byte after it. An end mark of zero is a
// part that wasn't written.
func repairBody(b []byte, at place) (payload []byte, ok bool) {
	n, err := recordLength(b)
	if err != nil || n > len(b) || b[n-1] == 0 {
		return nil, false
	}
	p, s := b[headerBytes:n-trailerBytes], binary.LittleEndian.Uint64(b[n-trailerBytes:])
	switch h := xxhash.Sum64(p); {
	case h == s:
		return p, b[n-1] != endMark
	case b[n-1] != endMark:
		return nil, false
	case inOneByte(h ^ s):
		return p, true // the checksum was changed
	}
	return repairPayload(p, s, at)
}

// inOneByte reports whether all bits of v that are set are in one of its bytes.
func inOneByte(v uint64) bool {
	return v != 0 && bits.LeadingZeros64(v)/8+bits.TrailingZeros64(v)/8 == 7
}

// repairPayload returns the marked payload at a place with the given checksum that differs from p in one byte.
func repairPayload(p []byte, checksum uint64, at place) (payload []byte, ok bool) {
	if len(p) < len(crcKey)+crcDigits {
		return nil, false
	}
	c, r := payloadCRC(p, at), bytes.Clone(p)
	copy(r[len(crcKey):], formatCRC(c))
	if xxhash.Sum64(r) == checksum {
		return r, differences(r, p) == 1
	}
	s, ok := parseCRC(p)
	if !ok {
		return nil, false
	}
	i, d, ok := changedByte(s^c, len(p))
	if !ok {
		return nil, false
	}
	r = bytes.Clone(p)
	r[i] ^= d
	return r, xxhash.Sum64(r) == checksum
}

// differences returns the number of bytes in which a and b, of the same length, differ.
func differences(a, b []byte) int {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return n
}

// changedByte returns the position and the changed bits of the one byte whose change makes the CRC of n bytes differ by
// difference. It goes back through the steps of the CRC from the end: without later changes each step is invertible, as the
// high bytes of the table's values are all different.
func changedByte(difference uint64, n int) (position int, change byte, ok bool) {
	for i := n - 1; i >= 0; i-- {
		e := crcIndex[difference>>56]
		if crcTable[e] == difference {
			return i, e, true
		}
		difference = (difference^crcTable[e])<<8 | uint64(e)
	}
	return 0, 0, false
}

// crcIndex holds the index of the table's value with each high byte.
var crcIndex = newCRCIndex()

func newCRCIndex() (x [256]byte) {
	for i, v := range crcTable {
		x[v>>56] = byte(i)
	}
	return x
}
