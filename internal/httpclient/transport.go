// Package httpclient provides the transport with which responses are read. net/http accepts heads
// that HTTP does not allow, as a client without callers of its own may; what is passed on as an
// answer must be one.
package httpclient

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"

	"golang.org/x/net/http/httpguts"

	"github.com/apricotstream/apricotstream/internal/sockopt"
)

// ErrInvalidHead is the error of a response whose head HTTP does not allow. The request may have
// run.
var ErrInvalidHead = errors.New("the head of the response is invalid")

// Transport is an http.Transport that returns no response with an invalid head.
type Transport struct{ *http.Transport }

// DefaultTransport is http.DefaultTransport as a Transport whose reads report resets, see
// sockopt.ReportResets.
var DefaultTransport = newDefaultTransport()

func newDefaultTransport() *Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = sockopt.ReportResets((&net.Dialer{}).DialContext)
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper. Errors: ErrInvalidHead, and those of http.Transport.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { conn = i.Conn }}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		resp.Body.Close()
		conn.Close() // the end of the response is not known, so a later one could not be told from it
		return nil, err
	}
	return resp, nil
}

// checkHead returns ErrInvalidHead for a head that HTTP does not allow.
func checkHead(resp *http.Response) error {
	// RFC 9110, section 15. A status below 200 is no final one, unless an upgrade was asked for.
	if resp.StatusCode < 200 || resp.StatusCode > 599 {
		return fmt.Errorf("%w: its status is %03d", ErrInvalidHead, resp.StatusCode)
	}
	// net/http keeps a name that contains a blank as it is, also that of a length or a coding.
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: a field has the name %.64q", ErrInvalidHead, name)
		}
	}
	return nil
}
