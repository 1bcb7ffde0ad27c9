package reach

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/apricotstream/apricotstream/internal/sockopt"
)

// unackedOrderTimeout closes a connection for orders when the upstream has not acknowledged sent data
// for this long after the first retransmission. With unackedDataTimeout, the kernel of a process that
// is frozen delivered an order up to 2 s later, after the first one of the next leader.
const unackedOrderTimeout = 200 * time.Millisecond

// DialOrders opens a direct connection for requests that must not arrive after the sender has given
// them up or was frozen. They never go through another daemon.
func (l *Links) DialOrders(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := l.dialOnce(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d, ok := c.(*directConn)
	if !ok {
		return c, nil
	}
	t, ok := d.Conn.(syscall.Conn)
	if !ok {
		return c, nil
	}
	raw, err := t.SyscallConn()
	if err == nil {
		err = sockopt.SetUserTimeout(raw, unackedOrderTimeout)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}
