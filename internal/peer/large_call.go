package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/apricotstream/apricotstream/internal/result"
)

const (
	callParams = `,"params":`
	// maxCallHeadBytes bounds what precedes the parameters of a large call: its id and method.
	maxCallHeadBytes = 512
)

// largeCall is a call in a frame of more than smallFrameBytes. The library decodes the parameters into
// values of any type and encodes them again, which takes many times their size, before a handler can
// refuse them.
type largeCall struct {
	id      jsonrpc2.ID
	method  string
	params  json.RawMessage
	release func() // must be called when params are not used any more
}

// parseLargeCall returns the call in the contents of a frame if it has the form in which the library
// writes calls, with the parameters at the end. They are a part of b. It returns false for any other
// object.
func parseLargeCall(b []byte) (largeCall, bool) {
	at := bytes.Index(b[:min(len(b), maxCallHeadBytes)], []byte(callParams))
	if at < 0 || b[len(b)-1] != '}' {
		return largeCall{}, false
	}
	var c struct {
		ID     *jsonrpc2.ID `json:"id"`
		Method string       `json:"method"`
	}
	if json.Unmarshal(append(slices.Clone(b[:at]), '}'), &c) != nil || c.ID == nil || c.Method == "" {
		return largeCall{}, false
	}
	return largeCall{id: *c.ID, method: c.Method, params: b[at+len(callParams) : len(b)-1]}, true
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
	s.frame = frameBuffer{}
	s.guard.complete(s.conn)
	c.release = s.guard.detach(s.conn)
	s.onCall(c)
	return true
}

// handleLargeCall runs the handler of a large call and replies on st.
func (s *Server) handleLargeCall(ctx context.Context, st *stream, c largeCall) {
	var r any
	err := result.New(result.NotReplica, "this daemon does not serve %s", c.method)
	if f := s.calls[c.method]; f != nil {
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
