// Package forward sends a request to an upstream and reports whether it may have run. The
// headers of the request are built from the fields of Outgoing and the trace context. No
// other header of the caller is sent, so no key can leak through one.
package forward

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"github.com/apricotstream/apricotstream/internal/httpclient"
	"github.com/apricotstream/apricotstream/internal/reach"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/sockopt"
)

// Headers sent to upstreams, in addition to those that describe the content.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
)

// HeaderLeaving is "1" in each answer of an upstream that leaves, for example an engine that
// will close its connections. It may be sent before the upstream announces that it leaves.
const HeaderLeaving = "X-Upstream-Leaving"

// SaysLeaving reports whether the upstream that sent a response says in it that it leaves.
func SaysLeaving(resp *http.Response) bool { return resp.Header.Get(HeaderLeaving) == "1" }

// HeaderRate is the rate in requests a second, a decimal number above 0, that an upstream takes
// from all daemons together, in each answer as long as it holds.
const HeaderRate = "X-Upstream-Rate"

// NamedRate returns the values of HeaderRate in a response; none if it names no rate.
func NamedRate(resp *http.Response) []string { return resp.Header.Values(HeaderRate) }

// Limits of the connections to upstreams.
const (
	idleTimeout             = 30 * time.Second
	maxIdleConnsPerUpstream = 64 // idle connections pooled for each upstream
	// maxHeaderBytes bounds the header of a response. net/http would allow 10 MB for each
	// request.
	maxHeaderBytes = 64 << 10
)

// Outgoing is a request as it is sent to an upstream.
type Outgoing struct {
	RequestID   string // also the correlation id, which the upstream must echo
	Method      string
	Path        string
	Query       string
	ContentType string
	Accept      string
	Priority    int // engine priority; lower is served first
	Body        []byte
	// FreshConnection makes Send open a new connection for the request. The upstream may
	// close a pooled connection while the request is sent on it, which would leave the
	// outcome unknown.
	FreshConnection bool
	// Check is called right before the first byte is sent; its error must be of the
	// class "not run". May be nil.
	Check func() error
}

// Forwarder sends requests to upstreams and pools the connections.
type Forwarder struct {
	pooled http.RoundTripper
	// unpooled opens a new connection for every request.
	unpooled http.RoundTripper
}

// New returns a Forwarder that connects to upstreams directly.
func New() *Forwarder { return NewOver(reach.Direct("")) }

// NewOver returns a Forwarder that connects to upstreams with dial.
func NewOver(dial sockopt.Dial) *Forwarder {
	dial = guarded(dial)
	pooled := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerUpstream,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	unpooled := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}
	return &Forwarder{pooled: &httpclient.Transport{Transport: pooled}, unpooled: &httpclient.Transport{Transport: unpooled}}
}

// Send sends o to address and returns the response after its correlation id was checked.
// The caller must close the response body. Errors: BodyMalformed if no HTTP request could
// be built, UpstreamUnreached if nothing was sent, the error of o.Check or DeadlineUnmet
// if the check before the first byte failed, and UpstreamFailed, UpstreamTimeout or
// AnswerCrossed if the request may have run.
func (f *Forwarder) Send(ctx context.Context, address string, o Outgoing) (*http.Response, error) {
	guard := &sendGuard{check: func() error { return o.checkBeforeSend(ctx) }}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { i.Conn.(*conn).sendGuard.Store(guard) }}
	req, err := o.newRequest(httptrace.WithClientTrace(ctx, trace), address)
	if err != nil {
		return nil, result.New(result.BodyMalformed, "%v", err)
	}
	rt := f.pooled
	if o.FreshConnection {
		rt = f.unpooled
	}
	resp, err := rt.RoundTrip(req)
	if err != nil {
		sent, checkErr := guard.seal()
		return nil, sendError(ctx, err, sent, checkErr)
	}
	if got := resp.Header.Get(HeaderRequestID); got != o.RequestID {
		resp.Body.Close()
		return nil, result.New(result.AnswerCrossed, "the upstream answered request %q", got)
	}
	return resp, nil
}

// checkBeforeSend checks the deadline and calls o.Check right before the first byte is
// sent, because the process may have been paused since the request was admitted.
func (o Outgoing) checkBeforeSend(ctx context.Context) error {
	if d, ok := ctx.Deadline(); ok && !time.Now().Before(d) {
		return result.New(result.DeadlineUnmet, "the deadline passed before the request was sent")
	}
	if o.Check == nil {
		return nil
	}
	return o.Check()
}

// sendError returns the error of a failed round trip: checkErr if the check before the
// first byte failed, else a coded error that depends on whether any byte was sent.
func sendError(ctx context.Context, err error, sent bool, checkErr error) error {
	switch {
	case checkErr != nil:
		return checkErr
	case !sent:
		return result.New(result.UpstreamUnreached, "%v", err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.New(result.UpstreamTimeout, "%v", err)
	}
	return result.New(result.UpstreamFailed, "%v", err)
}

func (o Outgoing) newRequest(ctx context.Context, address string) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: address, Path: o.Path, RawQuery: o.Query}
	req, err := http.NewRequestWithContext(ctx, o.Method, u.String(), bytes.NewReader(o.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // keeps the HTTP client from resending the request
	if len(o.Body) == 0 {
		req.Body = http.NoBody
	}
	h := req.Header
	h.Set(HeaderRequestID, o.RequestID)
	h.Set(HeaderPriority, strconv.Itoa(o.Priority))
	h.Set("User-Agent", "apricotstream")
	if o.ContentType != "" {
		h.Set("Content-Type", o.ContentType)
	}
	if o.Accept != "" {
		h.Set("Accept", o.Accept)
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(h))
	return req, nil
}
