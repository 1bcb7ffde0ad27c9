package control

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// StepNotice carries a message of the consensus core. A replica of another cluster
// discards it. Address is the sender's peer address, for a receiver that does not know
// the membership yet.
type StepNotice struct {
	Cluster string            `json:"c"`
	Address string            `json:"a"`
	Message consensus.Message `json:"m"`
}

// entryDataStart precedes the data of a log entry in the JSON form of a notice. No other
// field has this name, and quotes inside of strings are escaped.
var entryDataStart = []byte(`"d":"`)

// decodeStepNotice decodes the JSON form of a notice. It decodes the data of the log
// entries, nearly all of a long notice, directly from base64, because the generic decoder
// reads each string three times.
func decodeStepNotice(raw []byte) (StepNotice, error) {
	var n StepNotice
	frame, data, err := cutEntryData(raw)
	if err != nil {
		return n, err
	}
	if err := json.Unmarshal(frame, &n); err != nil {
		return n, err
	}
	for i := range n.Message.Entries {
		e := &n.Message.Entries[i]
		if e.Data == nil {
			continue
		}
		if len(data) == 0 {
			return n, errStepForm
		}
		e.Data, data = data[0], data[1:]
	}
	if len(data) > 0 {
		return n, errStepForm
	}
	return n, nil
}

// errStepForm is returned for a notice that no replica sends.
var errStepForm = errors.New("control: malformed log entries in a message")

// cutEntryData returns raw with empty strings in place of the data of log entries, and the
// data in order.
func cutEntryData(raw []byte) (frame []byte, data [][]byte, err error) {
	for {
		head, rest, found := bytes.Cut(raw, entryDataStart)
		frame = append(frame, head...)
		if !found {
			return frame, data, nil
		}
		encoded, rest, closed := bytes.Cut(rest, []byte{'"'})
		if !closed || bytes.ContainsAny(encoded, "\r\n") { // line breaks are skipped by base64, but not valid in JSON
			return nil, nil, errStepForm
		}
		b := make([]byte, base64.StdEncoding.DecodedLen(len(encoded)))
		k, err := base64.StdEncoding.Decode(b, encoded)
		if err != nil {
			return nil, nil, err
		}
		frame = append(append(frame, entryDataStart...), '"')
		data = append(data, b[:k])
		raw = rest
	}
}
