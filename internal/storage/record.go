package storage

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// record is the unit in which the log file is written and synced.
type record struct {
	Hard    *consensus.HardState `json:"hard,omitempty"`
	Entries []consensus.Entry    `json:"entries,omitempty"`
}

// recordHeaderBytes is the size of a record header. The header holds three little-endian
// 32-bit numbers: the length of the body, the CRC-32C of the body, and the CRC-32C of the
// first two numbers.
const recordHeaderBytes = 12

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

func encodeRecord(r record) ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	out := make([]byte, recordHeaderBytes, recordHeaderBytes+len(body))
	binary.LittleEndian.PutUint32(out, uint32(len(body)))
	binary.LittleEndian.PutUint32(out[4:], crc32.Checksum(body, castagnoliTable))
	binary.LittleEndian.PutUint32(out[8:], crc32.Checksum(out[:8], castagnoliTable))
	return append(out, body...), nil
}

// recordStatus says whether a record could be read.
type recordStatus int

const (
	recordIntact recordStatus = iota
	// recordTorn means that a crash interrupted the write before it was synced.
	recordTorn
	// recordDamaged means that the record can't be read for any other reason.
	recordDamaged
)

// decodeRecord decodes the record at the start of b, which must extend to the end of the
// file. size is the length of the record in bytes. A torn record either is cut short, or
// ends in blocks that were never written and contain zeros. The body of an intact record ends
// with a closing brace, so a zero as its last byte shows that the end was not written.
func decodeRecord(b []byte) (r record, size int, status recordStatus) {
	if len(b) < recordHeaderBytes {
		return record{}, 0, recordTorn
	}
	if crc32.Checksum(b[:8], castagnoliTable) != binary.LittleEndian.Uint32(b[8:]) {
		return record{}, 0, tornOrDamaged(allZeros(b[recordHeaderBytes:]) && b[recordHeaderBytes-1] == 0)
	}
	n := int(binary.LittleEndian.Uint32(b))
	size = recordHeaderBytes + n
	if len(b) < size {
		return record{}, 0, recordTorn
	}
	body := b[recordHeaderBytes:size]
	if crc32.Checksum(body, castagnoliTable) != binary.LittleEndian.Uint32(b[4:]) {
		return record{}, 0, tornOrDamaged(len(b) == size && body[n-1] == 0)
	}
	if json.Unmarshal(body, &r) != nil {
		return record{}, 0, recordDamaged
	}
	return r, size, recordIntact
}

func tornOrDamaged(torn bool) recordStatus {
	if torn {
		return recordTorn
	}
	return recordDamaged
}

func allZeros(b []byte) bool {
	return len(bytes.Trim(b, "\x00")) == 0
}
