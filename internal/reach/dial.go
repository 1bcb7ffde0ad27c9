package reach

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"github.com/apricotstream/apricotstream/internal/sockopt"
)

// Times of connections to upstreams.
const (
	// dialTimeout is many times the round-trip time in a region. It is short so that an
	// unreachable upstream uses up little of a request's deadline.
	dialTimeout = 400 * time.Millisecond
	// unackedDataTimeout closes a connection when the upstream has not acknowledged sent
	// data for this long.
	unackedDataTimeout = 2 * time.Second
)

// keepAlive detects dead connections on which nothing is being sent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// Direct returns a Dial that connects to upstreams from the local address ip. With an invalid or
// empty ip the system chooses the local address.
func Direct(ip string) sockopt.Dial {
	d := net.Dialer{Timeout: dialTimeout, Control: sockopt.UserTimeout(unackedDataTimeout), KeepAliveConfig: keepAlive}
	if a := net.ParseIP(ip); a != nil {
		d.LocalAddr = &net.TCPAddr{IP: a}
	}
	return counted(sockopt.ReportResets(sockopt.DropOnClose(d.DialContext)))
}

// counted counts the outcomes of dial.
func counted(dial sockopt.Dial) sockopt.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		metrics.GetOrCreateCounter(`apricotstream_upstream_dials_total{outcome="` + dialOutcome(err) + `"}`).Inc()
		return c, err
	}
}

// dialOutcome returns connected, refused, timeout or failed.
func dialOutcome(err error) string {
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		return "connected"
	case errors.Is(err, unix.ECONNREFUSED), errors.Is(err, unix.ECONNRESET):
		return "refused"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	}
	return "failed"
}
