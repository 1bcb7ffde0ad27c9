package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/membudget"
	"github.com/apricotstream/apricotstream/internal/routing"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Request is a caller's request that has been validated and routed.
type Request struct {
	ID       string
	Account  string // client account; empty on routes without authentication
	Route    *routing.Route
	Service  string
	Method   string
	Target   string // path and query as the caller sent them
	Host     string
	Header   http.Header // sent to the upstream; without the caller's key and hop-by-hop fields
	Body     []byte
	Deadline time.Time // from the caller's or the route's timeout
	// StartBy is when the last attempt must have begun; zero for the deadline.
	StartBy time.Time
	// SendBy is when this attempt must have been sent, because its token runs out; zero: at any
	// time. After it the attempt is UpstreamBusy.
	SendBy  time.Time
	Routing uint64 // version of the routing configuration that was used
	// Homes restricts the regions of the upstreams that the request is sent to; nil: any.
	Homes *homes.Homes
	// TakeUp is set if the request goes on with a stream that broke off.
	TakeUp *TakeUp
	// ConfirmStart is set if the request must only reach the start of its upstream that was
	// announced: another one may be of another software version. The upstream itself is asked,
	// and another start is UpstreamMoved.
	ConfirmStart bool
	// Background is set if no caller's connection waits for the response: the request belongs
	// to work that was handed in for later. It is then not counted as usage, and it is not
	// held to be the cause when upstreams crash under it.
	Background bool
	// Unanswered is an earlier attempt that has got no answer, if there is one.
	Unanswered *Unanswered
}

// Unanswered is an attempt of a request that has got no answer, so that the path to its upstream
// may have failed.
type Unanswered struct {
	Address string // of the upstream
	Since   time.Time
}

// Answer is an upstream's HTTP response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte        // whole body; empty if Stream is set
	Stream io.ReadCloser // rest of a body that is forwarded as it arrives
	From   upstream.Announcement
	Held   *membudget.Hold // memory of the body; may be nil
}

// Discard closes the stream of the answer and gives the memory of its body back. It must be called
// once the answer has been passed on, or is not needed. It may be called more than once.
func (a *Answer) Discard() {
	if a == nil {
		return
	}
	if a.Stream != nil {
		a.Stream.Close()
	}
	a.Held.Release()
}

// Upstreams sends requests to upstreams.
type Upstreams interface {
	// Send makes one attempt. It returns the response, or an error whose code says
	// whether the request may have run: UpstreamUnreached when nothing was sent, UpstreamBusy
	// or UpstreamMoved when the upstream says that it did not run the request, and
	// UpstreamFailed, AnswerCut, AnswerCrossed or UpstreamTimeout otherwise.
	Send(ctx context.Context, to upstream.Announcement, q *Request) (*Answer, error)
}
