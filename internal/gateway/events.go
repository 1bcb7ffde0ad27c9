package gateway

import (
	"io"
	"net/http"

	"github.com/apricotstream/apricotstream/internal/dispatch"
	"github.com/apricotstream/apricotstream/internal/result"
)

// eventBuffer is the largest piece of a plain service's stream forwarded at
// once, in bytes.
const eventBuffer = 32 << 10

// passEvents forwards the stream of a plain service as it arrives. Its events
// are the service's own, so its end marker is that of the transfer.
func (x *call) passEvents(resp *http.Response) error {
	if err := marked(resp); err != nil {
		return err
	}
	w := x.c.Response()
	for k, v := range pickHeaders(resp.Header) {
		w.Header().Set(k, v)
	}
	w.WriteHeader(resp.StatusCode)
	w.Flush()
	buf := make([]byte, eventBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return dispatch.Delivered(result.New(result.AnswerCut, "the caller left: %v", err))
			}
			w.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			x.abort = true
			err = cause(resp.Request.Context(), readError(err))
			return dispatch.Delivered(err)
		}
	}
}

// finish ends the connection of an answer that was cut off.
func (x *call) finish() {
	if x.abort {
		panic(http.ErrAbortHandler)
	}
}
