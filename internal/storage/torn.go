package storage

import (
	"bytes"
	"encoding/binary"
)

// A torn write lacks any of its parts: where the file grew, a missing part is cut off or
// holds zeros. A record whose checksum is wrong is torn if it has zeros where none can
// have been written. A flipped bit may also make a byte zero, so a record that one bit
// makes intact is damaged. The body is JSON text, which has no zero bytes.

const (
	// blockBytes is the unit in which a disk stores or loses a part of a write.
	blockBytes = 512
	// lengthBytes is the size of the first number of a record header. A length is never 0.
	lengthBytes = 4
)

// bodyTorn reports whether a part of a body whose checksum is wrong was never written.
func bodyTorn(header, body []byte) bool {
	switch zeros := bytes.Count(body, []byte{0}); zeros {
	case 0:
		return false
	case 1:
		k := bytes.IndexByte(body, 0)
		return !oneBitFlipped(body, k, k+1, func(b []byte) bool { return validBody(header, b) })
	default:
		return true
	}
}

// headerTorn reports whether a part of the header at offset, whose checksum is wrong, was
// never written.
func headerTorn(file []byte, offset int) bool {
	b := file[offset:]
	header := b[:recordHeaderBytes]
	// If the first bytes of the header are the end of a block that is zero, that block is
	// missing, even if one bit would make the header valid.
	n := blockBytes - offset%blockBytes
	if n <= lengthBytes && allZeros(header[:n]) && !oneBitFlipped(header, n, recordHeaderBytes, validHeader) {
		return true
	}
	if oneBitFlipped(header, 0, recordHeaderBytes, validHeader) {
		return false
	}
	return allZeros(header[:lengthBytes]) ||
		bytes.IndexByte(header[lengthBytes:], 0) >= 0 || // in one of the checksums
		b[recordHeaderBytes] == 0 || // at the start of the body
		lengthTorn(b)
}

// lengthTorn reports whether only the length of the record b lacks some bytes, if the record
// ends with the file.
func lengthTorn(b []byte) bool {
	header := bytes.Clone(b[:recordHeaderBytes])
	binary.LittleEndian.PutUint32(header, uint32(len(b)-recordHeaderBytes))
	for i := range lengthBytes {
		if b[i] != 0 && b[i] != header[i] {
			return false
		}
	}
	return validHeader(header)
}

// oneBitFlipped reports whether one flipped bit in the bytes of b between two offsets
// explains that b isn't valid.
func oneBitFlipped(b []byte, from, to int, valid func([]byte) bool) bool {
	b = bytes.Clone(b)
	for i := from; i < to; i++ {
		for bit := byte(1); bit != 0; bit <<= 1 {
			b[i] ^= bit
			if valid(b) {
				return true
			}
			b[i] ^= bit
		}
	}
	return false
}

// containsRecord reports whether an intact record starts anywhere in b.
func containsRecord(b []byte) bool {
	for ; len(b) >= recordHeaderBytes; b = b[1:] {
		if !validHeader(b[:recordHeaderBytes]) {
			continue
		}
		if size := recordBytes(b); size <= len(b) && validBody(b, b[recordHeaderBytes:size]) {
			return true
		}
	}
	return false
}

func allZeros(b []byte) bool {
	return len(bytes.Trim(b, "\x00")) == 0
}
