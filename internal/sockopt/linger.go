package sockopt

import (
	"context"
	"net"
)

// Dial opens a connection; net.Dialer.DialContext is one.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// DropOnClose returns dial with connections whose unacknowledged bytes are dropped
// when they are closed. Otherwise the kernel goes on sending them: a request that
// was given up behind a partition would arrive when that ends, in seconds or
// minutes. TCP only.
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
