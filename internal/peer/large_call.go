package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/apricotstream/apricotstream/internal/result"
)

const (
	callParams = `,"params":`
	// maxCallHeadBytes bounds what precedes the parameters of a large call: its id and method.
	maxCallHeadBytes = 512
	// refusedHeadBytes is the size of the beginning of a call that RefuseHandler gets, with its id and
	// method. It is not more than the buffer of a connection.
	refusedHeadBytes = 4 << 10
)

// largeCall is a call in a frame of more than smallFrameBytes. The library decodes the parameters into
// values of any type and encodes them again, which takes many times their size, before a handler can
// refuse them.
type largeCall struct {
	id      jsonrpc2.ID
	method  string
	params  json.RawMessage
	refused bool   // the memory for the frame was not free, and params are only the beginning of the parameters
	bytes   int64  // length of a frame that was refused
	release func() // must be called when params are not used any more
}

// parseCallHead returns the call that b begins with if it has the form in which the library writes calls,
// with the parameters at the end. The parameters are the rest of b. It returns false for any other object.
func parseCallHead(b []byte) (largeCall, bool) {
	at := bytes.Index(b[:min(len(b), maxCallHeadBytes)], []byte(callParams))
	if at < 0 {
		return largeCall{}, false
	}
	var c struct {
		ID     *jsonrpc2.ID `json:"id"`
		Method string       `json:"method"`
	}
	if json.Unmarshal(append(slices.Clone(b[:at]), '}'), &c) != nil || c.ID == nil || c.Method == "" {
		return largeCall{}, false
	}
	return largeCall{id: *c.ID, method: c.Method, params: b[at+len(callParams):]}, true
}

// parseLargeCall is parseCallHead for the whole contents of a frame.
func parseLargeCall(b []byte) (largeCall, bool) {
	if b[len(b)-1] != '}' {
		return largeCall{}, false
	}
	c, ok := parseCallHead(b[:len(b)-1])
	return c, ok
}

// readLargeCall passes the large call in the contents of a frame on and returns true, or returns false
// if there is none. The buffer of the frame and its memory then belong to the call.
func (s *stream) readLargeCall(b []byte) bool {
	if s.onCall == nil || len(b) <= smallFrameBytes {
		return false
	}
	c, ok := parseLargeCall(b)
	if !ok {
		return false
	}
	s.frame, s.reserved = frameBuffer{}, false
	s.guard.complete(s.conn)
	c.release = s.guard.detach(s.conn)
	s.onCall(c)
	return true
}

// RefuseHandler answers a call whose parameters were not kept, because the memory for them is in use. head is
// their beginning, and bytes the size of the frame. A nil error means that the call needs no parameters.
type RefuseHandler[R any] func(ctx context.Context, head []byte, bytes int64) (R, error)

// ShareFrames makes the large calls of a method share a part of the memory for frames, until their
// handlers return. A call that does not fit within shareWait is answered by refuse. It must be called
// before Serve.
func ShareFrames[R any](s *Server, method string, refuse RefuseHandler[R]) {
	s.refusals[method] = func(ctx context.Context, c largeCall) (any, error) { return refuse(ctx, c.params, c.bytes) }
}

// errDiscarded says that a frame was discarded and that its call is being refused.
var errDiscarded = errors.New("the frame was discarded")

// reserve reserves memory for the frame of the given length that follows if it is a large call of a method
// of ShareFrames, which it knows by the first bytes. If there is no memory, it discards the frame, has the
// call refused, and returns errDiscarded. An unread frame would make its sender take the connection for lost.
func (s *stream) reserve(length int64) error {
	if s.guard == nil || length <= smallFrameBytes || len(s.sharing) == 0 {
		return nil
	}
	b, err := s.in.Peek(refusedHeadBytes)
	if err != nil {
		return unexpectedEOF(err)
	}
	c, ok := parseCallHead(b)
	if !ok || s.sharing[c.method] == nil {
		return nil
	}
	if s.reserved = s.guard.reserve(s.conn, largestHold(length)); s.reserved {
		return nil
	}
	c.params, c.refused, c.bytes, c.release = slices.Clone(c.params), true, length, func() {}
	if _, err := io.CopyN(io.Discard, s.in, length); err != nil {
		return unexpectedEOF(err)
	}
	s.guard.complete(s.conn)
	s.onCall(c)
	return errDiscarded
}

// handleLargeCall runs the handler of a large call and replies on st.
func (s *Server) handleLargeCall(ctx context.Context, st *stream, c largeCall) {
	var r any
	err := result.New(result.NotReplica, "this daemon does not serve %s", c.method)
	if f := s.calls[c.method]; c.refused {
		r, err = s.refusals[c.method](ctx, c)
	} else if f != nil {
		r, err = f(ctx, c.params)
	}
	c.params = nil
	c.release()
	var b []byte
	if err == nil {
		if b, err = encodeResult(r); err != nil {
			err = result.New(result.Internal, "cannot encode the result: %v", err)
		}
	}
	if err == nil {
		err = st.writeResult(c.id, b)
	} else {
		err = st.WriteObject(&jsonrpc2.Response{ID: c.id, Error: encodeError(err)})
	}
	if err != nil {
		_ = st.Close()
	}
}
