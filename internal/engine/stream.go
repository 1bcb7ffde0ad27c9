package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"

	"github.com/apricotstream/apricotstream/internal/overlong"
	"github.com/apricotstream/apricotstream/internal/result"
)

// maxEventBytes is the maximum size of one event of a stream, which is one line.
const maxEventBytes = 1 << 20

var (
	dataPrefix = []byte("data:")
	endMarker  = []byte("[DONE]")
)

// ReadStream calls handle for every chunk of the stream that answers the request with the
// given id. It fails with AnswerCut if an event can't be decoded, the end marker is missing
// or an event or the lines that are skipped before it exceed maxEventBytes, with
// UpstreamTimeout if the deadline passed before the end, and with AnswerCrossed if a chunk
// belongs to another request. It returns the first error of handle.
func ReadStream(r io.Reader, id string, handle func(Chunk) error) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), maxEventBytes)
	skipped := 0 // bytes since the last event
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), dataPrefix)
		if !ok {
			if skipped += len(sc.Bytes()) + 1; skipped > maxEventBytes {
				return overlong.Cut(overlong.Event, "the stream has %d bytes without an event", skipped)
			}
			continue
		}
		skipped = 0
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, endMarker) {
			return nil
		}
		var c Chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return result.New(result.AnswerCut, "cannot decode an event of the stream: %v", err)
		}
		if c.ID != id {
			return result.New(result.AnswerCrossed, "an event belongs to request %q", c.ID)
		}
		if err := handle(c); err != nil {
			return err
		}
	}
	if errors.Is(sc.Err(), bufio.ErrTooLong) {
		return overlong.Cut(overlong.Event, "an event of the stream has more than %d bytes", maxEventBytes)
	}
	if errors.Is(sc.Err(), context.DeadlineExceeded) {
		return result.New(result.UpstreamTimeout, "the stream did not end before the deadline")
	}
	return result.New(result.AnswerCut, "the stream ended before its end marker: %v", sc.Err())
}
