package storage

import "bytes"

// A torn write lacks any of its parts: where the file grew, a missing part is cut off or
// holds zeros. A record is torn if its missing parts can be told from flipped bits: the
// body is JSON text, which has no zero bytes, and the length of a body is never zero.

const (
	// blockBytes is the unit in which a disk stores or loses a part of a write.
	blockBytes = 512
	// lengthBytes is the size of the first number of a record header.
	lengthBytes = 4
)

// bodyTorn reports whether a part of a body whose checksum is wrong was never written. One
// zero byte inside the text may be a flipped bit.
func bodyTorn(body []byte) bool {
	return body[0] == 0 || body[len(body)-1] == 0 || bytes.Contains(body, []byte{0, 0})
}

// headerTorn reports whether a part of the header at offset, whose checksum is wrong, was
// never written.
func headerTorn(file []byte, offset int) bool {
	b := file[offset:]
	header := b[:recordHeaderBytes]
	if len(b) == recordHeaderBytes && header[recordHeaderBytes-1] == 0 {
		return true
	}
	if len(b) > recordHeaderBytes && b[recordHeaderBytes] == 0 {
		return true // the end of the header and the start of the body
	}
	if allZeros(header[:lengthBytes]) && !oneBitFlipped(header, 0) {
		return true // the start of the header
	}
	n := blockBytes - offset%blockBytes // bytes of the header in its first block
	return n <= lengthBytes && allZeros(header[:n]) && !oneBitFlipped(header, n)
}

// oneBitFlipped reports whether one flipped bit at or after byte from explains the wrong
// checksum of a header.
func oneBitFlipped(header []byte, from int) bool {
	b := bytes.Clone(header)
	for i := from; i < len(b); i++ {
		for bit := byte(1); bit != 0; bit <<= 1 {
			b[i] ^= bit
			if validHeader(b) {
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
