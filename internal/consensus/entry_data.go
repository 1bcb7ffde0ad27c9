package consensus

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
)

// entryDataStart precedes the data of a log entry in JSON. Quotes inside of strings are
// escaped, so it is found nowhere else unless another field has this name.
var entryDataStart = []byte(`"d":"`)

// errEntryData is returned for text that no replica writes.
var errEntryData = errors.New("consensus: malformed log entries")

// UnmarshalWithEntries decodes JSON text with log entries into v, which has no other field
// named "d". entries returns the entries in v. It decodes the data of the entries, nearly all
// of a long text, directly from base64, because the generic decoder reads each string three
// times.
func UnmarshalWithEntries(text []byte, v any, entries func() []Entry) error {
	frame, data, err := cutEntryData(text)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(frame, v); err != nil {
		return err
	}
	es := entries()
	for i := range es {
		if es[i].Data == nil {
			continue
		}
		if len(data) == 0 {
			return errEntryData
		}
		es[i].Data, data = data[0], data[1:]
	}
	if len(data) > 0 {
		return errEntryData
	}
	return nil
}

// cutEntryData returns text with empty strings in place of the data of log entries, and the
// data in order.
func cutEntryData(text []byte) (frame []byte, data [][]byte, err error) {
	for {
		head, rest, found := bytes.Cut(text, entryDataStart)
		frame = append(frame, head...)
		if !found {
			return frame, data, nil
		}
		encoded, rest, closed := bytes.Cut(rest, []byte{'"'})
		if !closed || bytes.IndexByte(encoded, '\r') >= 0 || bytes.IndexByte(encoded, '\n') >= 0 { // line breaks are skipped by base64, but not valid in JSON
			return nil, nil, errEntryData
		}
		b := make([]byte, base64.StdEncoding.DecodedLen(len(encoded)))
		k, err := base64.StdEncoding.Decode(b, encoded)
		if err != nil {
			return nil, nil, err
		}
		frame = append(append(frame, entryDataStart...), '"')
		data = append(data, b[:k])
		text = rest
	}
}

// maxEntryFrameBytes is above the size of the JSON form of an entry without its data: names, two
// numbers of 20 digits, the kind, quotes and braces.
const maxEntryFrameBytes = 96

// MaxEntryBytes returns a close upper bound of what AppendEntry appends for e.
func MaxEntryBytes(e Entry) int {
	return maxEntryFrameBytes + base64.StdEncoding.EncodedLen(len(e.Data))
}

// AppendEntry appends the JSON form of e to b, as the generic encoder writes it. It encodes the data
// directly into b.
func AppendEntry(b []byte, e Entry) ([]byte, error) {
	data := e.Data
	e.Data = nil
	text, err := json.Marshal(e)
	if err != nil {
		return b, err
	}
	if len(data) == 0 {
		return append(b, text...), nil
	}
	b = append(b, text[:len(text)-1]...)
	b = append(append(b, ','), entryDataStart...)
	b = base64.StdEncoding.AppendEncode(b, data)
	return append(b, `"}`...), nil
}
