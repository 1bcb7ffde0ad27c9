package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/apricotstream/apricotstream/internal/dispatch"
	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/engine"
	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/membudget"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// maxResponseBytes bounds the body of a buffered response.
const maxResponseBytes = 16 << 20

const contentTypeEventStream = "text/event-stream"

// headerUpstream is the response header with the ID of the upstream that served the
// request.
const headerUpstream = "X-Upstream"

// forwardResponse forwards an upstream's response to the caller. Event streams are
// forwarded as they arrive; other responses are buffered first.
func (p *proxiedRequest) forwardResponse(resp *http.Response, from upstream.Announcement) error {
	p.c.Response().Header().Set(headerUpstream, from.ID)
	if isEventStream(resp) && p.service.Parsed.Kind == document.KindModel {
		return p.forwardCompletionStream(resp)
	}
	if isEventStream(resp) {
		return p.forwardPlainStream(resp)
	}
	held := p.g.buffers.budget.Hold()
	defer held.Release()
	a, err := readResponse(resp, func() ([]byte, error) {
		return membudget.ReadAll(resp.Body, resp.ContentLength, maxResponseBytes, held)
	})
	if errors.Is(err, membudget.ErrFull) {
		p.g.didNotFit(requestID(p.c), "answer_unbuffered", resp.ContentLength)
		return p.forwardUnbuffered(resp, a.Body)
	}
	if err != nil {
		return err
	}
	p.tokens = responseTokens(a)
	return dispatch.Delivered(p.writeResponse(a))
}

// bufferedResponse is a whole response that has not been sent to the caller yet. The caller
// may have disconnected before it is filled, so it holds nothing of the caller's
// connection.
type bufferedResponse struct {
	response *state.Answer
	upstream string
	tokens   int64
}

// bufferResponse returns a consumer that stores the response of an upstream in buffered.
// kind is the kind of the service, and read reads the body.
func bufferResponse(buffered *bufferedResponse, kind string, read func(*http.Response) ([]byte, error)) dispatch.Consumer {
	return func(resp *http.Response, from upstream.Announcement) error {
		got, err := readResponse(resp, func() ([]byte, error) { return read(resp) })
		if err != nil {
			return err
		}
		tokens := responseTokens(got)
		if isEventStream(resp) && kind == document.KindModel {
			if tokens, err = streamTokens(resp, got); err != nil {
				return err
			}
		}
		*buffered = bufferedResponse{response: got, upstream: from.ID, tokens: tokens}
		return nil
	}
}

// isEventStream reports whether the response has the content type of an event stream.
func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), contentTypeEventStream)
}

// streamTokens validates an engine's buffered stream like a forwarded one and returns the
// number of its tokens.
func streamTokens(resp *http.Response, a *state.Answer) (int64, error) {
	id := resp.Header.Get(forward.HeaderRequestID)
	var tokens int64
	err := engine.ReadStream(bytes.NewReader(a.Body), id, func(c engine.Chunk) error {
		tokens += int64(c.Tokens())
		return nil
	})
	return tokens, err
}

// writeResponse sends a whole response to the caller.
func (p *proxiedRequest) writeResponse(a *state.Answer) error {
	w := p.c.Response()
	for k, v := range a.Header {
		w.Header().Set(k, v)
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	return err
}

// checkDelimited returns AnswerCut for a response with neither a content length nor a
// transfer encoding: its end can't be distinguished from a lost connection.
func checkDelimited(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return result.New(result.AnswerCut, "the response has neither length nor end marker")
	}
	return nil
}

// readError converts a failure to read a response to UpstreamTimeout if the deadline has
// passed, and to AnswerCut otherwise.
func readError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return result.New(result.UpstreamTimeout, "the response was not complete within the deadline")
	}
	return result.New(result.AnswerCut, "%v", err)
}

// readResponse reads a whole response, whose body it gets from read. It returns ErrFull and what was
// read if read does, AnswerCut if the response is incomplete,
// UpstreamTimeout if the deadline passes, and UpstreamFailed if the body exceeds
// maxResponseBytes.
func readResponse(resp *http.Response, read func() ([]byte, error)) (*state.Answer, error) {
	if err := checkDelimited(resp); err != nil {
		return nil, err
	}
	b, err := read()
	var coded *result.Error
	switch {
	case errors.Is(err, membudget.ErrFull):
		return &state.Answer{Body: b}, err
	case errors.Is(err, membudget.ErrTooLarge):
		return nil, result.New(result.UpstreamFailed, "the response exceeds %d bytes", maxResponseBytes)
	case errors.As(err, &coded):
		return nil, err
	case err != nil:
		return nil, readError(err)
	}
	return &state.Answer{Status: resp.StatusCode, Header: forwardedHeaders(resp.Header), Body: b}, nil
}

// responseTokens returns the number of completion tokens that an engine's response
// reports, or 0.
func responseTokens(a *state.Answer) int64 {
	var c engine.Chunk
	if json.Unmarshal(a.Body, &c) != nil || c.Usage == nil {
		return 0
	}
	return int64(c.Usage.CompletionTokens)
}

// forwardCompletionStream forwards the events of an engine's completion. It checks that
// each event belongs to this request. A stream that fails after its first event ends with
// an error event and without the end marker, so that the caller can't take it for
// complete.
func (p *proxiedRequest) forwardCompletionStream(resp *http.Response) error {
	w := p.c.Response()
	id := resp.Header.Get(forward.HeaderRequestID)
	started := false
	err := engine.ReadStream(resp.Body, id, func(c engine.Chunk) error {
		if !started {
			started = true
			w.Header().Set("Content-Type", contentTypeEventStream)
			w.WriteHeader(resp.StatusCode)
		}
		p.tokens += int64(c.Tokens())
		b, err := json.Marshal(c)
		if err != nil {
			return err
		}
		return p.writeEvent("", b)
	})
	if err == nil && !started {
		w.Header().Set("Content-Type", contentTypeEventStream)
		w.WriteHeader(resp.StatusCode)
	}
	if err == nil {
		return dispatch.Delivered(p.writeEvent("", []byte("[DONE]")))
	}
	if !started {
		return err
	}
	err = sessionCause(resp.Request.Context(), err)
	b, _ := json.Marshal(errorBody{Error: newErrorInfo(err, id)})
	_ = p.writeEvent("error", b)
	return dispatch.Delivered(err)
}

// writeEvent sends one server-sent event to the caller. An empty name leaves out the
// event field.
func (p *proxiedRequest) writeEvent(name string, data []byte) error {
	w := p.c.Response()
	if name != "" {
		if _, err := io.WriteString(w, "event: "+name+"\n"); err != nil {
			return err
		}
	}
	if _, err := w.Write(append(append([]byte("data: "), data...), '\n', '\n')); err != nil {
		return err
	}
	w.Flush()
	return nil
}
