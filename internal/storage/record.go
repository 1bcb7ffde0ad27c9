package storage

import (
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

// Parts of the JSON form of a record with entries.
const (
	entriesStart = `"entries":[`
	entriesEnd   = `]}`
)

// encodeRecord encodes r as the generic JSON encoder does. The data of the entries, nearly all of a
// large record, is encoded directly into the result, because the generic encoder needs three more
// buffers of its size.
func encodeRecord(r record) ([]byte, error) {
	text, err := json.Marshal(record{Hard: r.Hard})
	if err != nil {
		return nil, err
	}
	size := recordHeaderBytes + len(text) + len(entriesStart) + len(entriesEnd)
	for _, e := range r.Entries {
		size += consensus.MaxEntryBytes(e) + 1
	}
	out := append(make([]byte, recordHeaderBytes, size), text...)
	if len(r.Entries) > 0 {
		out = out[:len(out)-1] // the closing brace
		if r.Hard != nil {
			out = append(out, ',')
		}
		out = append(out, entriesStart...)
		for i, e := range r.Entries {
			if i > 0 {
				out = append(out, ',')
			}
			if out, err = consensus.AppendEntry(out, e); err != nil {
				return nil, err
			}
		}
		out = append(out, entriesEnd...)
	}
	body := out[recordHeaderBytes:]
	binary.LittleEndian.PutUint32(out, uint32(len(body)))
	binary.LittleEndian.PutUint32(out[4:], crc32.Checksum(body, castagnoliTable))
	binary.LittleEndian.PutUint32(out[8:], crc32.Checksum(out[:8], castagnoliTable))
	return out, nil
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

// decodeRecord decodes the record at offset in file, which must be the whole content of the
// file. size is the length of the record in bytes.
func decodeRecord(file []byte, offset int) (r record, size int, status recordStatus) {
	b := file[offset:]
	if len(b) <= recordHeaderBytes {
		return record{}, 0, recordTorn // a body is never empty
	}
	if !validHeader(b[:recordHeaderBytes]) {
		return record{}, 0, tornOrDamaged(headerTorn(file, offset) && !containsRecord(b[1:]))
	}
	size = recordBytes(b)
	if len(b) < size {
		return record{}, 0, recordTorn
	}
	body := b[recordHeaderBytes:size]
	if !validBody(b, body) {
		return record{}, 0, tornOrDamaged(len(b) == size && bodyTorn(b, body))
	}
	if consensus.UnmarshalWithEntries(body, &r, func() []consensus.Entry { return r.Entries }) != nil {
		return record{}, 0, recordDamaged
	}
	return r, size, recordIntact
}

// recordBytes returns the size of the record that starts with header.
func recordBytes(header []byte) int {
	return recordHeaderBytes + int(binary.LittleEndian.Uint32(header))
}

func validHeader(header []byte) bool {
	return crc32.Checksum(header[:8], castagnoliTable) == binary.LittleEndian.Uint32(header[8:])
}

func validBody(header, body []byte) bool {
	return crc32.Checksum(body, castagnoliTable) == binary.LittleEndian.Uint32(header[4:])
}

func tornOrDamaged(torn bool) recordStatus {
	if torn {
		return recordTorn
	}
	return recordDamaged
}
