package peer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// A frame of the peer protocol is a Content-Length header, an empty line, and a JSON-RPC
// object.
const (
	lengthHeader = "Content-Length"
	// maxFrameBytes bounds the contents of a frame. The largest message proposes a step of
	// 64 MB, which has up to 228 MB when it is quoted in JSON and base64 within base64.
	maxFrameBytes = 256 << 20
	// maxFrameHeaderBytes bounds the header lines of a frame, of which one is needed.
	maxFrameHeaderBytes = 4 << 10
)

// Notices are most of the traffic. They are written in this form, and only notices in this
// form are read without the generic decoder.
const (
	noticeStart  = `{"jsonrpc":"2.0","method":"`
	noticeParams = `","params":`
	noticeEnd    = `}`
)

// Results are written in this form and read by the generic decoder.
const (
	resultStart = `{"jsonrpc":"2.0","id":`
	resultValue = `,"result":`
	resultEnd   = `}`
)

// stream is the jsonrpc2.ObjectStream of a connection. Notices and the encoding of results
// bypass the JSON-RPC library, which encodes each object three times and decodes it four times.
type stream struct {
	conn     net.Conn
	onNotice func(method string, params json.RawMessage) // if nil, the library handles notices
	onCall   func(largeCall)                             // if nil, the library handles large calls

	in     *bufio.Reader
	frames *frameReader // what in reads from
	frame  frameBuffer
	guard  *Guard // nil: no bounds
	// sharing holds the methods of ShareFrames. reserved is set while the frame has a reservation for
	// one of them.
	sharing  map[string]refuser
	reserved bool

	mu  sync.Mutex
	out *bufio.Writer
}

func newStream(c net.Conn, onNotice func(string, json.RawMessage)) *stream {
	frames := &frameReader{conn: c}
	return &stream{conn: c, onNotice: onNotice, in: bufio.NewReader(frames), frames: frames, out: bufio.NewWriter(c)}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	var b []byte
	var err error
	if m, ok := obj.(json.Marshaler); ok {
		b, err = m.MarshalJSON()
	} else {
		b, err = json.Marshal(obj)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeHeader(len(b))
	_, _ = s.out.Write(b) // Flush returns the error
	return s.out.Flush()
}

// writeNotice writes a notice to the output buffer. flush sends it.
func (s *stream) writeNotice(method string, params []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeHeader(len(noticeStart) + len(method) + len(noticeParams) + len(params) + len(noticeEnd))
	for _, part := range []string{noticeStart, method, noticeParams} {
		_, _ = s.out.WriteString(part) // flush returns the error
	}
	_, _ = s.out.Write(params)
	_, _ = s.out.WriteString(noticeEnd)
}

// writeResult writes the response to a call and sends it. The library would encode the result
// three times.
func (s *stream) writeResult(id jsonrpc2.ID, result []byte) error {
	encodedID, err := id.MarshalJSON()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeHeader(len(resultStart) + len(encodedID) + len(resultValue) + len(result) + len(resultEnd))
	for _, part := range [][]byte{[]byte(resultStart), encodedID, []byte(resultValue), result, []byte(resultEnd)} {
		_, _ = s.out.Write(part) // Flush returns the error
	}
	return s.out.Flush()
}

func (s *stream) flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Flush()
}

func (s *stream) writeHeader(n int) {
	_, _ = fmt.Fprintf(s.out, "%s: %d\r\n\r\n", lengthHeader, n)
}

// ReadObject implements jsonrpc2.ObjectStream. It passes notices in the form of writeNotice
// to onNotice until it reads another object.
func (s *stream) ReadObject(v any) error {
	for {
		b, err := s.readFrame()
		if errors.Is(err, errDiscarded) {
			continue
		}
		if err != nil {
			return err
		}
		if method, params, ok := parseNotice(b); ok && s.onNotice != nil {
			s.guard.complete(s.conn)
			s.onNotice(method, params)
			continue
		}
		if s.readLargeCall(b) {
			continue
		}
		if u, ok := v.(json.Unmarshaler); ok {
			err = u.UnmarshalJSON(b)
		} else {
			err = json.Unmarshal(b, v)
		}
		if err == nil {
			s.guard.complete(s.conn)
		}
		return err
	}
}

// readFrame returns the contents of the next frame, which are valid until the next call. Error:
// errDiscarded for a frame that was discarded because there is no memory for it.
func (s *stream) readFrame() ([]byte, error) {
	if s.guard != nil && s.in.Buffered() == 0 {
		s.frame.drop(0, s.resize) // a connection that waits holds no memory
	} else {
		s.frame.drop(maxReusedBytes, s.resize)
	}
	if s.reserved { // the frame before was no call after all
		s.guard.unreserve(s.conn)
		s.reserved = false
	}
	if _, err := s.in.Peek(1); err != nil {
		return nil, err
	}
	s.frames.inFrame = true
	defer func() { s.frames.inFrame = false }()
	length, header := int64(-1), 0
	for {
		line, err := s.in.ReadSlice('\n')
		if err != nil {
			return nil, err
		}
		if header += len(line); header > maxFrameHeaderBytes {
			return nil, fmt.Errorf("frame has more than %d bytes of header", maxFrameHeaderBytes)
		}
		text := strings.TrimSpace(string(line))
		if text == "" {
			break
		}
		name, value, _ := strings.Cut(text, ":")
		if !strings.EqualFold(name, lengthHeader) {
			continue
		}
		if length, err = strconv.ParseInt(strings.TrimSpace(value), 10, 32); err != nil {
			return nil, err
		}
	}
	if length < 0 {
		return nil, fmt.Errorf("frame has no %s header", lengthHeader)
	}
	if length > maxFrameBytes {
		return nil, fmt.Errorf("frame has %d bytes, more than %d", length, maxFrameBytes)
	}
	if !s.guard.fits(s.conn, largestHold(length)) {
		return nil, fmt.Errorf("frame has %d bytes, more than this daemon may buffer", length)
	}
	if err := s.reserve(length); err != nil {
		return nil, err
	}
	return s.frame.read(s.in, length, s.resize)
}

// resize makes the memory that is held for the frame n bytes. It returns false if that is not free.
func (s *stream) resize(n int64) bool { return s.guard.resize(s.conn, n) }

// parseNotice returns the method and parameters of a notice in the form of writeNotice. It
// returns false for any other object.
func parseNotice(b []byte) (string, json.RawMessage, bool) {
	rest, ok := bytes.CutPrefix(b, []byte(noticeStart))
	if !ok {
		return "", nil, false
	}
	method, params, ok := bytes.Cut(rest, []byte(noticeParams))
	if !ok || bytes.ContainsAny(method, `"\`) {
		return "", nil, false
	}
	params, ok = bytes.CutSuffix(params, []byte(noticeEnd))
	return string(method), params, ok
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
