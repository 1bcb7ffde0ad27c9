// Package httpclient provides the HTTP transport for clients without special needs: the command
// line and the tools of the operator.
package httpclient

import (
	"net"
	"net/http"

	"github.com/apricotstream/apricotstream/internal/sockopt"
)

// Default is http.DefaultTransport whose reads report resets, see sockopt.ReportResets.
var Default = newDefault()

func newDefault() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = sockopt.ReportResets((&net.Dialer{}).DialContext)
	return t
}
