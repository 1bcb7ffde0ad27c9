package inbound

import "bytes"

// What the decoded head of a request takes in memory, as net/http decodes it, garbage included.
const (
	// bytesPerByte is for the line that is being read, which grows by copying.
	bytesPerByte = 3
	// bytesPerField is for the entry in the map of fields, which grows by copying too, its key and its
	// values.
	bytesPerField = 256
)

// charge returns the memory that a part of a head takes.
func charge(part []byte) int64 {
	return bytesPerByte*int64(len(part)) + bytesPerField*int64(bytes.Count(part, newline))
}

var newline = []byte{'\n'}
