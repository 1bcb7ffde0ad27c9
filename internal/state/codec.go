package state

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// maxElements bounds the number of elements of a list or map in a snapshot. It is far
// above what fits into memory.
const maxElements = 1 << 27

// The log and the snapshots are encoded as CBOR, which copies the bodies and texts of
// samples unchanged. These are most of the data. The encoding is deterministic, because
// the cluster ID is derived from the first snapshot.
var (
	encOptions = cbor.EncOptions{Sort: cbor.SortBytewiseLexical, Time: cbor.TimeRFC3339Nano}
	encMode    = must(encOptions.EncMode())
	// Text from upstreams may be invalid UTF-8, and a committed command must be decodable.
	decMode = must(cbor.DecOptions{
		UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are constant
	}
	return v
}

// unmarshal decodes CBOR, or the JSON that earlier versions wrote.
func unmarshal(b []byte, v any) error {
	if len(b) > 0 && b[0] == '{' {
		return json.Unmarshal(b, v)
	}
	return decMode.Unmarshal(b, v)
}
