package peer

import (
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/apricotstream/apricotstream/internal/result"
)

// ErrUnreached means that nothing was sent: the other side has not run the call.
var ErrUnreachable = errors.New("peer: not reached")

// ErrLost means that the connection failed after the call may have been sent.
var ErrConnectionLost = errors.New("peer: answer lost")

func encodeError(err error) *jsonrpc2.Error {
	e := result.From(err)
	out := &jsonrpc2.Error{Code: int64(e.Code), Message: e.Message}
	out.SetError(e)
	return out
}

// decodeError turns an error answer back into the coded error it came from.
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
