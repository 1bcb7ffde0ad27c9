package forward

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/apricotstream/apricotstream/internal/sockopt"
)

// conn is a connection to an upstream that carries one request at a time. The sendGuard
// of the request decides which writes are allowed.
type conn struct {
	net.Conn
	sendGuard atomic.Pointer[sendGuard]
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	s := c.sendGuard.Load()
	if s == nil {
		return 0, errSealed
	}
	if err := s.allow(c); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// guarded returns a Dial whose connections are those of dial, guarded.
func guarded(dial sockopt.Dial) sockopt.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}
