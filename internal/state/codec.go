package state

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/apricotstream/apricotstream/internal/result"
)

// maxElements bounds the number of elements of a list or map in a snapshot. It is far
// above what fits into memory.
const maxElements = 1 << 27

// The log and the snapshots are encoded as CBOR, which copies the bodies and texts of
// samples unchanged. These are most of the data. The encoding is deterministic, because
// the cluster ID is derived from the first snapshot.
var (
	encOptions = cbor.EncOptions{Sort: cbor.SortBytewiseLexical, Time: cbor.TimeRFC3339Nano}
	encMode    = must(encOptions.UserBufferEncMode())
	// Text from upstreams may be invalid UTF-8, and a committed command must be decodable.
	decMode = must(cbor.DecOptions{
		UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are constant
	}
	return v
}

// unmarshal decodes CBOR, or the JSON that earlier versions wrote. A field that this build does not
// know is an error: a replica that dropped it would differ from the others from then on, and would
// pass that on with its snapshots. Errors: DataNewer, DataCorrupt.
func unmarshal(b []byte, v any) error {
	var err error
	if len(b) > 0 && b[0] == '{' {
		err = UnmarshalStrict(b, v)
	} else {
		err = decMode.Unmarshal(b, v)
	}
	var unknown *cbor.UnknownFieldError
	switch {
	case err == nil || result.CodeOf(err) == result.DataNewer:
		return err
	case errors.As(err, &unknown):
		return result.New(result.DataNewer, "%v", err)
	}
	return result.New(result.DataCorrupt, "%v", err)
}

// UnmarshalStrict decodes JSON in which each field is known. Error: DataNewer for another field, or
// that of the decoder.
func UnmarshalStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err != nil && strings.HasPrefix(err.Error(), "json: unknown field ") {
		return result.New(result.DataNewer, "%v", err)
	}
	return err
}
