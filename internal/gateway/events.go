package gateway

import (
	"io"
	"net/http"

	"github.com/apricotstream/apricotstream/internal/dispatch"
	"github.com/apricotstream/apricotstream/internal/result"
)

// eventBufferBytes is the size of the buffer for forwarding the stream of a plain service.
const eventBufferBytes = 32 << 10

// forwardPlainStream forwards the event stream of a plain service as it arrives. The
// events have the service's own format, so only the transfer encoding marks the end of
// the stream.
func (p *proxiedRequest) forwardPlainStream(resp *http.Response) error {
	if err := checkDelimited(resp); err != nil {
		return err
	}
	return p.forwardUnbuffered(resp, nil)
}

// forwardUnbuffered forwards a response as it arrives, after the beginning of its body that was read
// before.
func (p *proxiedRequest) forwardUnbuffered(resp *http.Response, beginning []byte) error {
	w := p.c.Response()
	for k, v := range forwardedHeaders(resp.Header) {
		w.Header().Set(k, v)
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := w.Write(beginning); err != nil {
		return dispatch.Delivered(result.New(result.AnswerCut, "the caller disconnected: %v", err))
	}
	w.Flush()
	buf := make([]byte, eventBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return dispatch.Delivered(result.New(result.AnswerCut, "the caller disconnected: %v", err))
			}
			w.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			p.abort = true
			err = sessionCause(resp.Request.Context(), readError(err))
			return dispatch.Delivered(err)
		}
	}
}

// abortIfCut aborts the caller's connection if its response was cut off, so that the
// caller can't take the response for complete.
func (p *proxiedRequest) abortIfCut() {
	if p.abort {
		panic(http.ErrAbortHandler)
	}
}
