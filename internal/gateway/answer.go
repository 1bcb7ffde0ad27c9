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
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// maxAnswer bounds a buffered answer, in bytes.
const maxAnswer = 16 << 20

const eventStream = "text/event-stream"

// headerUpstream names the upstream that served the request.
const headerUpstream = "X-Upstream"

// pass hands an upstream's answer on to the caller.
func (x *call) pass(resp *http.Response, from upstream.Announcement) error {
	x.c.Response().Header().Set(headerUpstream, from.ID)
	if streams(resp) && x.service.Parsed.Kind == document.KindModel {
		return x.passStream(resp)
	}
	if streams(resp) {
		return x.passEvents(resp)
	}
	a, err := readAnswer(resp)
	if err != nil {
		return err
	}
	x.tokens = answerTokens(a)
	return dispatch.Delivered(x.write(a))
}

// kept is a whole answer that does not go to the caller yet. It is filled while
// the caller may already have left, so it holds nothing of its connection.
type kept struct {
	answer   *state.Answer
	upstream string
	tokens   int64
}

// keep returns a consumer that stores the answer in k.
func keep(k *kept, kind string) dispatch.Consumer {
	return func(resp *http.Response, from upstream.Announcement) error {
		got, err := readAnswer(resp)
		if err != nil {
			return err
		}
		tokens := answerTokens(got)
		if streams(resp) && kind == document.KindModel {
			if tokens, err = streamTokens(resp, got); err != nil {
				return err
			}
		}
		*k = kept{answer: got, upstream: from.ID, tokens: tokens}
		return nil
	}
}

func streams(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream)
}

// streamTokens checks a buffered stream of an engine as if it were forwarded,
// and counts its tokens.
func streamTokens(resp *http.Response, a *state.Answer) (int64, error) {
	id := resp.Header.Get(forward.HeaderRequestID)
	var tokens int64
	err := engine.ReadStream(bytes.NewReader(a.Body), id, func(c engine.Chunk) error {
		tokens += int64(c.Tokens())
		return nil
	})
	return tokens, err
}

// write hands a whole answer to the caller.
func (x *call) write(a *state.Answer) error {
	w := x.c.Response()
	for k, v := range a.Header {
		w.Header().Set(k, v)
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	return err
}

// marked rejects a response whose end cannot be distinguished from a cut.
func marked(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return result.New(result.AnswerCut, "the answer has neither length nor end marker")
	}
	return nil
}

// readError is the coded form of a failure to read an answer.
func readError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return result.New(result.UpstreamTimeout, "the answer was not whole in time")
	}
	return result.New(result.AnswerCut, "%v", err)
}

// readAnswer reads the whole answer; a cut one is AnswerCut.
func readAnswer(resp *http.Response) (*state.Answer, error) {
	if err := marked(resp); err != nil {
		return nil, err
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return nil, readError(err)
	}
	if len(b) > maxAnswer {
		return nil, result.New(result.UpstreamFailed, "the answer exceeds %d bytes", maxAnswer)
	}
	return &state.Answer{Status: resp.StatusCode, Header: pickHeaders(resp.Header), Body: b}, nil
}

// answerTokens returns the completion tokens that an engine's answer reports.
func answerTokens(a *state.Answer) int64 {
	var c engine.Chunk
	if json.Unmarshal(a.Body, &c) != nil || c.Usage == nil {
		return 0
	}
	return int64(c.Usage.CompletionTokens)
}

// passStream forwards the events of a completion, each checked for its
// request. A stream that fails after its first event ends with an error event
// and without the end marker, so it cannot pass for complete.
func (x *call) passStream(resp *http.Response) error {
	w := x.c.Response()
	id := resp.Header.Get(forward.HeaderRequestID)
	started := false
	err := engine.ReadStream(resp.Body, id, func(c engine.Chunk) error {
		if !started {
			started = true
			w.Header().Set("Content-Type", eventStream)
			w.WriteHeader(resp.StatusCode)
		}
		x.tokens += int64(c.Tokens())
		b, err := json.Marshal(c)
		if err != nil {
			return err
		}
		return x.event("", b)
	})
	if err == nil && !started {
		w.Header().Set("Content-Type", eventStream)
		w.WriteHeader(resp.StatusCode)
	}
	if err == nil {
		return dispatch.Delivered(x.event("", []byte("[DONE]")))
	}
	if !started {
		return err
	}
	err = cause(resp.Request.Context(), err)
	b, _ := json.Marshal(errorBody{Error: describe(err, id)})
	_ = x.event("error", b)
	return dispatch.Delivered(err)
}

func (x *call) event(name string, data []byte) error {
	w := x.c.Response()
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
