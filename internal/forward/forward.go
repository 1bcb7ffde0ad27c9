// Package forward sends one request to one upstream and reports
// whether it may have run. Outgoing headers are built from an allow list; no
// header of the caller is copied, so no key can leak.
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

	"github.com/apricotstream/apricotstream/internal/result"
)

// Headers that upstreams see besides the content's own.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
)

// Timing of connections to upstreams.
const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	maxIdle     = 64 // kept connections for each upstream
)

// Outgoing is a request as the upstream sees it.
type Outgoing struct {
	RequestID   string // also the correlation id that the upstream must echo
	Method      string
	Path        string
	Query       string
	ContentType string
	Accept      string
	Priority    int // engine priority; lower is served first
	Body        []byte
	// Once opens a connection of its own, so that no kept connection that the
	// upstream is closing leaves the outcome unknown.
	FreshConnection bool
	// Check is asked right before the first byte leaves; its error must be of
	// the class "not run". May be nil.
	Check func() error
}

// Forwarder holds the connections to upstreams.
type Forwarder struct {
	kept http.RoundTripper
	// once opens a connection for every request.
	once http.RoundTripper
}

// New returns a Forwarder.
func New() *Forwarder {
	kept := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	once := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return &Forwarder{kept: kept, once: once}
}

// Send sends o to address. On success the caller must close the body, whose
// correlation id has been checked. Errors: UpstreamUnreached when nothing was
// sent; UpstreamFailed, UpstreamTimeout or AnswerCrossed when it may have run.
func (f *Forwarder) Send(ctx context.Context, address string, o Outgoing) (*http.Response, error) {
	out := &sending{check: func() error { return o.ready(ctx) }}
	watch := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { i.Conn.(*conn).sending.Store(out) }}
	req, err := o.build(httptrace.WithClientTrace(ctx, watch), address)
	if err != nil {
		return nil, result.New(result.BodyMalformed, "%v", err)
	}
	rt := f.kept
	if o.FreshConnection {
		rt = f.once
	}
	resp, err := rt.RoundTrip(req)
	if err != nil {
		sent, failed := out.seal()
		return nil, sendError(ctx, err, sent, failed)
	}
	if got := resp.Header.Get(HeaderRequestID); got != o.RequestID {
		resp.Body.Close()
		return nil, result.New(result.AnswerCrossed, "the upstream answered request %q", got)
	}
	return resp, nil
}

// ready is the last check before the first byte leaves: the process may have
// stood still since the request was admitted.
func (o Outgoing) ready(ctx context.Context) error {
	if d, ok := ctx.Deadline(); ok && !time.Now().Before(d) {
		return result.New(result.DeadlineUnmet, "the deadline passed before the request was sent")
	}
	if o.Check == nil {
		return nil
	}
	return o.Check()
}

func sendError(ctx context.Context, err error, sent bool, failed error) error {
	switch {
	case failed != nil:
		return failed
	case !sent:
		return result.New(result.UpstreamUnreached, "%v", err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.New(result.UpstreamTimeout, "%v", err)
	}
	return result.New(result.UpstreamFailed, "%v", err)
}

func (o Outgoing) build(ctx context.Context, address string) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: address, Path: o.Path, RawQuery: o.Query}
	req, err := http.NewRequestWithContext(ctx, o.Method, u.String(), bytes.NewReader(o.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // the library must not resend by itself
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
