package peer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
)

// Framing of the peer protocol: a Content-Length header, an empty line, and a
// JSON-RPC object.
const (
	lengthHeader = "Content-Length"
	// firstGrowth bounds what is allocated for a frame before its bytes arrive.
	firstGrowth = 64 << 10
	// keptBuffer is the largest frame whose buffer is used again, in bytes.
	keptBuffer = 1 << 20
)

// Notices, most of the traffic, are written in this form, and only in this form
// read without the generic decoder.
const (
	noticeStart  = `{"jsonrpc":"2.0","method":"`
	noticeParams = `","params":`
	noticeEnd    = `}`
)

// stream is the jsonrpc2.ObjectStream of a connection. Notices bypass the library,
// which encodes each object three times and decodes it four times.
type stream struct {
	conn   net.Conn
	notice func(method string, params json.RawMessage) // nil: the library handles them

	in    *bufio.Reader
	frame bytes.Buffer

	mu  sync.Mutex
	out *bufio.Writer
}

func newStream(c net.Conn, notice func(string, json.RawMessage)) *stream {
	return &stream{conn: c, notice: notice, in: bufio.NewReader(c), out: bufio.NewWriter(c)}
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
	s.header(len(b))
	_, _ = s.out.Write(b) // Flush returns the error
	return s.out.Flush()
}

// writeNotice buffers a notice; flush sends it.
func (s *stream) writeNotice(method string, params []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.header(len(noticeStart) + len(method) + len(noticeParams) + len(params) + len(noticeEnd))
	for _, part := range []string{noticeStart, method, noticeParams} {
		_, _ = s.out.WriteString(part) // flush returns the error
	}
	_, _ = s.out.Write(params)
	_, _ = s.out.WriteString(noticeEnd)
}

func (s *stream) flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Flush()
}

func (s *stream) header(n int) {
	_, _ = fmt.Fprintf(s.out, "%s: %d\r\n\r\n", lengthHeader, n)
}

// ReadObject implements jsonrpc2.ObjectStream. It hands over the notices before the
// next other object.
func (s *stream) ReadObject(v any) error {
	for {
		b, err := s.readFrame()
		if err != nil {
			return err
		}
		if method, params, ok := cutNotice(b); ok && s.notice != nil {
			s.notice(method, params)
			continue
		}
		if u, ok := v.(json.Unmarshaler); ok {
			return u.UnmarshalJSON(b)
		}
		return json.Unmarshal(b, v)
	}
}

// readFrame returns the next frame, which is valid until the next call.
func (s *stream) readFrame() ([]byte, error) {
	length := int64(-1)
	for {
		line, err := s.in.ReadSlice('\n')
		if err != nil {
			return nil, err
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
		return nil, fmt.Errorf("a frame without %s", lengthHeader)
	}
	if s.frame.Cap() > keptBuffer {
		s.frame = bytes.Buffer{}
	}
	s.frame.Reset()
	s.frame.Grow(int(min(length, firstGrowth)))
	if _, err := io.CopyN(&s.frame, s.in, length); err != nil {
		return nil, err
	}
	return s.frame.Bytes(), nil
}

// cutNotice returns method and parameters of a frame in the form of writeNotice.
func cutNotice(b []byte) (string, json.RawMessage, bool) {
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
