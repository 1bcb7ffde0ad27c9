// Package fenced sends the leader's orders to the outside: to the platform,
// to the usage receiver and to engines. Nothing leaves without a valid lease.
package fenced

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/sockopt"
)

// Lease returns the current right to act as the leader.
type Lease func() control.Leadership

// Dial opens a connection to an outside receiver.
type Dial func(ctx context.Context, address string) (net.Conn, error)

const (
	// userTimeout is how long the kernel retransmits bytes that the receiver
	// has not acknowledged.
	userTimeout = 100 * time.Millisecond
	// inFlight bounds the time between a write and the last packet that the
	// kernel sends for it: one retransmission timeout and userTimeout.
	inFlight = 400 * time.Millisecond
	// leaseMargin is the least time that must be left of the lease to write.
	leaseMargin = inFlight + 100*time.Millisecond
	// writeBuffer holds a whole order, so that it leaves in one write.
	writeBuffer = 64 << 10
)

// fencedConn writes only under the lease of its term. The lease is checked
// right before each write, under a watchdog that the kernel keeps: a process
// that was frozen after the check does not come back to write.
type fencedConn struct {
	net.Conn
	raw   syscall.RawConn
	lease Lease
	term  uint64
	send  func(fd int, b []byte) (int, error)
}

// newFencedConn prepares c so that its unacknowledged bytes are dropped when it
// is closed, when the process dies, and after userTimeout.
func newFencedConn(c net.Conn, lease Lease, term uint64) (net.Conn, error) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return nil, result.New(result.Internal, "orders need a TCP connection")
	}
	if err := t.SetLinger(0); err != nil {
		return nil, err
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return nil, err
	}
	if err := sockopt.SetUserTimeout(raw, userTimeout); err != nil {
		return nil, err
	}
	return fencedConn{Conn: c, raw: raw, lease: lease, term: term, send: writeNonblocking}, nil
}

// Write implements net.Conn.
func (c fencedConn) Write(b []byte) (int, error) {
	done := 0
	var failed error
	err := c.raw.Write(func(fd uintptr) bool {
		var n int
		n, failed = c.writeOnce(int(fd), b[done:])
		done += n
		return failed != nil || done == len(b)
	})
	if failed == nil {
		failed = err
	}
	return done, failed
}

// writeOnce writes what the socket takes at once; nothing when it is full.
func (c fencedConn) writeOnce(fd int, b []byte) (int, error) {
	l := c.lease()
	if l.Term != c.term || time.Until(l.Until) < leaseMargin {
		return 0, result.New(result.Fenced, "the leader's lease has ended")
	}
	limit := l.Until.Add(-inFlight)
	if err := c.SetWriteDeadline(limit); err != nil {
		return 0, err
	}
	w, err := armWatchdog(limit)
	if err != nil {
		return 0, err
	}
	defer w.disarm()
	return c.send(fd, b)
}

// newClient returns an HTTP client whose every connection belongs to one term.
func newClient(dial Dial, lease Lease, term uint64, timeout time.Duration) *http.Client {
	t := &http.Transport{
		DisableKeepAlives: true,
		WriteBufferSize:   writeBuffer,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			c, err := dial(ctx, address)
			if err != nil {
				return nil, err
			}
			f, err := newFencedConn(c, lease, term)
			if err != nil {
				c.Close()
			}
			return f, err
		},
	}
	return &http.Client{Transport: t, Timeout: timeout}
}
