package sockopt

import (
	"context"
	"net"
)

// Dial opens a connection. net.Dialer.DialContext has this type.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// DropOnClose returns a Dial that opens connections with dial and configures them so that
// the kernel drops their unacknowledged bytes when they are closed. Otherwise the kernel
// keeps sending these bytes after the close: a request that was abandoned during a network
// partition would arrive seconds or minutes later, when the partition ends. It has an
// effect on TCP connections only.
func DropOnClose(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if t, ok := c.(*net.TCPConn); ok {
			if err := t.SetLinger(0); err != nil {
				c.Close()
				return nil, err
			}
		}
		return c, nil
	}
}
