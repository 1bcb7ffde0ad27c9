// Package httpclient provides the transport through which the product reads responses. net/http
// accepts some heads that HTTP does not allow. They are refused here, because responses are passed on
// to callers.
package httpclient

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/net/http/httpguts"

	"github.com/apricotstream/apricotstream/internal/sockopt"
)

// ErrInvalidHead is the error of a response with an invalid status or an invalid name of a field. The
// request may have run.
var ErrInvalidHead = errors.New("the head of the response is invalid")

var invalidHeads = metrics.NewCounter("apricotstream_invalid_heads_total")

// Transport is an http.Transport that returns ErrInvalidHead for a response with an invalid head.
// A connection that its DialContext opens should report resets, see sockopt.ReportResets.
type Transport struct{ *http.Transport }

// DefaultTransport is http.DefaultTransport as a Transport. Its connections report resets.
var DefaultTransport = newDefaultTransport()

func newDefaultTransport() *Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = sockopt.ReportResets((&net.Dialer{}).DialContext)
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper. Errors: ErrInvalidHead, whose connection is closed, and those
// of http.Transport.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { conn = i.Conn }}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		invalidHeads.Inc()
		resp.Body.Close()
		conn.Close() // where the response ends is not certain, so the next one might begin with a part of it
		return nil, err
	}
	return resp, nil
}

// checkHead returns ErrInvalidHead for a head that HTTP does not allow.
func checkHead(resp *http.Response) error {
	// The range of RFC 9110, section 15. 101 is a final status only after a request for an upgrade,
	// which the product does not send.
	if resp.StatusCode < 200 || resp.StatusCode > 599 {
		return fmt.Errorf("%w: its status is %03d", ErrInvalidHead, resp.StatusCode)
	}
	// net/http accepts a blank in a name, and then does not find a length or a coding under it.
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: a field has the name %.64q", ErrInvalidHead, name)
		}
	}
	return nil
}
