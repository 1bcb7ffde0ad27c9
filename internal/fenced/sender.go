package fenced

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
)

// requestTimeout bounds one request, including its response.
const requestTimeout = 2 * time.Second

// maxResponseBytes limits how many bytes of a response body are read.
const maxResponseBytes = 1 << 16

// Sender sends requests on behalf of the leader of one term.
type Sender struct {
	client *http.Client
	lease  Lease
	term   uint64
}

// NewSender returns a Sender for the leader of term. It opens connections with dial.
func NewSender(dial Dial, lease Lease, term uint64) *Sender {
	return &Sender{client: newClient(dial, lease, term, requestTimeout), lease: lease, term: term}
}

// Post sends order as JSON and decodes the response into out unless out is nil. It
// returns Fenced if the lease has ended or the receiver responds with status 409, because
// it knows a newer leader; NotFound for status 404; and UpstreamFailed for other failures
// of the request.
func (s *Sender) Post(ctx context.Context, url string, order, out any) error {
	b, err := json.Marshal(order)
	if err != nil {
		return err
	}
	return s.do(ctx, http.MethodPost, url, b, out, nil)
}

// PostToUpstream is Post without a decoded response. It calls inspect with the response to
// the order, whatever its status.
func (s *Sender) PostToUpstream(ctx context.Context, url string, order any, inspect func(*http.Response)) error {
	b, err := json.Marshal(order)
	if err != nil {
		return err
	}
	return s.do(ctx, http.MethodPost, url, b, nil, inspect)
}

// Get requests url and decodes the response into out. Its errors are those of Post.
// NotFound means that the receiver doesn't know the item.
func (s *Sender) Get(ctx context.Context, url string, out any) error {
	return s.do(ctx, http.MethodGet, url, nil, out, nil)
}

// do sends a request. inspect is called with the response, without reading its body; it may
// be nil.
func (s *Sender) do(ctx context.Context, method, url string, body []byte, out any, inspect func(*http.Response)) error {
	if !s.holdsLease() {
		return result.New(result.Fenced, "the leader's lease has ended")
	}
	ctx, cancel := control.WithLease(ctx, s.lease, s.term)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if result.CodeOf(err) == result.Fenced {
		return result.New(result.Fenced, "%v", err)
	}
	if err != nil {
		return result.New(result.UpstreamFailed, "%v", err)
	}
	defer resp.Body.Close()
	if inspect != nil {
		inspect(resp)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return result.New(result.UpstreamFailed, "%v", err)
	}
	switch {
	case resp.StatusCode == http.StatusConflict:
		return result.New(result.Fenced, "%s", b)
	case resp.StatusCode == http.StatusNotFound:
		return result.New(result.NotFound, "%s", b)
	case resp.StatusCode >= 300:
		return result.New(result.UpstreamFailed, "status %d: %s", resp.StatusCode, b)
	case out == nil:
		return nil
	}
	return json.Unmarshal(b, out)
}

func (s *Sender) holdsLease() bool {
	l := s.lease()
	return l.ValidInTerm(s.term)
}
