package fenced

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

// sendTimeout bounds one order with its answer.
const sendTimeout = 2 * time.Second

// leasePoll is the time between two looks at the lease.
const leasePoll = 20 * time.Millisecond

// maxAnswer bounds the answer to an order, in bytes.
const maxAnswer = 1 << 16

// Sender sends orders of one leader's term.
type Sender struct {
	client *http.Client
	lease  Lease
	term   uint64
}

// NewSender returns a sender for the leader of term; dial makes its connections.
func NewSender(dial Dial, lease Lease, term uint64) *Sender {
	return &Sender{client: newClient(dial, lease, term, sendTimeout), lease: lease, term: term}
}

// Post sends order as JSON and decodes the answer into reply unless it is nil.
// Fenced means that the receiver knows a newer leader.
func (s *Sender) Post(ctx context.Context, url string, order, reply any) error {
	b, err := json.Marshal(order)
	if err != nil {
		return err
	}
	return s.do(ctx, http.MethodPost, url, b, reply)
}

// Get asks url; NotFound means that the receiver does not know the item.
func (s *Sender) Get(ctx context.Context, url string, reply any) error {
	return s.do(ctx, http.MethodGet, url, nil, reply)
}

func (s *Sender) do(ctx context.Context, method, url string, body []byte, reply any) error {
	if !s.leads() {
		return result.New(result.Fenced, "the leader's lease has ended")
	}
	ctx, cancel := s.underLease(ctx)
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
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
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
	case reply == nil:
		return nil
	}
	return json.Unmarshal(b, reply)
}

func (s *Sender) leads() bool {
	l := s.lease()
	return l.ValidInTerm(s.term)
}

// underLease returns a context that ends with the lease: the connection of an
// order that is not answered by then is reset, which withdraws what the receiver
// has not read.
func (s *Sender) underLease(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		t := time.NewTicker(leasePoll)
		defer t.Stop()
		for s.leads() {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
		cancel()
	}()
	return ctx, cancel
}
