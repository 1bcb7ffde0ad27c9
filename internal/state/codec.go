package state

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// maxElements bounds a list or map of a snapshot; far beyond what memory holds.
const maxElements = 1 << 27

// The log and the snapshots are CBOR: bodies and texts of samples, most of their
// volume, are copied as they are. The encoding is deterministic, as the cluster's
// identity is derived from the first snapshot.
var (
	encOptions = cbor.EncOptions{Sort: cbor.SortBytewiseLexical, Time: cbor.TimeRFC3339Nano}
	encMode    = must(encOptions.EncMode())
	encBuffer  = must(encOptions.UserBufferEncMode())
	// Texts of upstreams need not be valid UTF-8, and a command that is committed
	// must be readable.
	decMode = must(cbor.DecOptions{
		UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // constant options
	}
	return v
}

// unmarshal reads CBOR, or the JSON that earlier versions wrote.
func unmarshal(b []byte, v any) error {
	if len(b) > 0 && b[0] == '{' {
		return json.Unmarshal(b, v)
	}
	return decMode.Unmarshal(b, v)
}
