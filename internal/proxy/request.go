package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/apricotstream/apricotstream/internal/routing"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Request is a request to run, checked and routed.
type Request struct {
	ID       string
	Account  string // client account it runs for; empty on open routes
	Route    *routing.Route
	Service  string
	Method   string
	Target   string // path and query, as the caller sent them
	Host     string
	Header   http.Header // passed on; without the caller's key and hop-by-hop fields
	Body     []byte
	Deadline time.Time // when the caller or the route gives up
	Routing  uint64    // version of the routing configuration that it was routed by
	// Background marks work nobody waits for at the other end of a connection.
	Background bool
}

// Answer is an upstream's answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte        // whole body, unless Stream is set
	Stream io.ReadCloser // rest of a body that is passed on as it arrives
	From   upstream.Announcement
}

// Upstreams sends one request to one upstream.
type Upstreams interface {
	// Send returns the answer, or an error whose code says whether the request
	// may have run there: UpstreamUnreached when nothing was sent, UpstreamBusy
	// and UpstreamMoved when the upstream says that it did not run it;
	// UpstreamFailed, AnswerCut, AnswerCrossed or UpstreamTimeout otherwise.
	Send(ctx context.Context, to upstream.Announcement, q *Request) (*Answer, error)
}
