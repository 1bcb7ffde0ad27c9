package peer

import (
	"encoding/json"
	"errors"
	"syscall"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/apricotstream/apricotstream/internal/result"
)

// ErrUnreachable means that nothing was sent, so the other daemon has not run the call.
var ErrUnreachable = errors.New("peer: daemon is unreachable")

// Refused reports whether err means that the machine of the other daemon refused the connection: it
// is reachable, and no process listens there.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ErrConnectionLost means that the connection failed and the call may have been sent, so
// the other daemon may have run it.
var ErrConnectionLost = errors.New("peer: connection was lost before the reply")

// encodeError returns the JSON-RPC form of err, with the coded error as its data.
func encodeError(err error) *jsonrpc2.Error {
	e := result.From(err)
	out := &jsonrpc2.Error{Code: int64(e.Code), Message: e.Message}
	out.SetError(e)
	return out
}

// decodeError returns the coded error that encodeError encoded. An error without one
// becomes Internal.
func decodeError(err error) error {
	var e *jsonrpc2.Error
	if !errors.As(err, &e) {
		return err
	}
	if e.Data != nil {
		var coded result.Error
		if json.Unmarshal(*e.Data, &coded) == nil && coded.Code != result.OK {
			return &coded
		}
	}
	return result.New(result.Internal, "%s", e.Message)
}
