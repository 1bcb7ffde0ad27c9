// Package fenced sends the leader's requests to external receivers: the platform, the
// usage receiver and the model engines. Nothing is sent without a valid leader lease.
package fenced

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/httpclient"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/sockopt"
)

// Lease returns the current leadership of this process: its term and the end of the leader
// lease.
type Lease func() control.Leadership

// Dial opens a connection to an external receiver.
type Dial func(ctx context.Context, address string) (net.Conn, error)

const (
	// tcpUserTimeout is how long the kernel retransmits bytes that the receiver
	// has not acknowledged.
	tcpUserTimeout = 100 * time.Millisecond
	// maxTransmitTime bounds the time between a write and the last packet that the
	// kernel sends for it: one retransmission timeout plus tcpUserTimeout.
	maxTransmitTime = 400 * time.Millisecond
	// minLeaseRemaining is how much of the lease must remain for a write to start.
	minLeaseRemaining = maxTransmitTime + 100*time.Millisecond
	// writeBufferBytes is large enough for a whole request, so that it is sent in
	// one write.
	writeBufferBytes = 64 << 10
	// maxHeaderBytes bounds the header of a response. net/http would allow 10 MB.
	maxHeaderBytes = 64 << 10
)

// fencedConn writes only while the leader lease of its term is valid. It checks the lease
// right before each write. A watchdog timer in the kernel covers the time between the
// check and the write: it kills a process that is stopped for so long that the write
// would come too late.
type fencedConn struct {
	net.Conn
	raw   syscall.RawConn
	lease Lease
	term  uint64
	send  func(fd int, b []byte) (int, error)
	// resets tells the reader of a reset that the kernel reported to a write.
	resets *sockopt.ResetRecord
}

// newFencedConn configures c so that the kernel drops its unacknowledged bytes when the
// connection is closed, when the process ends, and after tcpUserTimeout. c must be a TCP
// connection.
func newFencedConn(c net.Conn, lease Lease, term uint64) (net.Conn, error) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return nil, result.New(result.Internal, "a fenced connection must be a TCP connection")
	}
	if err := t.SetLinger(0); err != nil {
		return nil, err
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return nil, err
	}
	if err := sockopt.SetUserTimeout(raw, tcpUserTimeout); err != nil {
		return nil, err
	}
	return fencedConn{Conn: c, raw: raw, lease: lease, term: term, send: sockopt.SendNonblocking, resets: &sockopt.ResetRecord{}}, nil
}

// Read implements net.Conn.
func (c fencedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	return n, c.resets.ReadError(c.Conn, err)
}

// Write implements net.Conn. It returns Fenced if the lease has ended or too little of it
// remains.
func (c fencedConn) Write(b []byte) (int, error) {
	return sockopt.WriteAll(c.raw, b, c.writeOnce)
}

// writeOnce makes one write system call under a watchdog. It returns the number of bytes
// that the socket accepted, which is 0 if its buffer is full.
func (c fencedConn) writeOnce(fd int, b []byte) (int, error) {
	l := c.lease()
	if l.Term != c.term || time.Until(l.Until) < minLeaseRemaining {
		return 0, result.New(result.Fenced, "the leader's lease has ended")
	}
	limit := l.Until.Add(-maxTransmitTime)
	if err := c.SetWriteDeadline(limit); err != nil {
		return 0, err
	}
	w, err := armWatchdog(limit)
	if err != nil {
		return 0, err
	}
	defer w.disarm()
	return c.resets.Send(func() (int, error) { return c.send(fd, b) })
}

// newClient returns an HTTP client whose connections all belong to one term. It sends a request
// once: it keeps no connections, and does not go where a response points.
func newClient(dial Dial, lease Lease, term uint64, timeout time.Duration) *http.Client {
	t := &httpclient.Transport{Transport: &http.Transport{
		DisableKeepAlives:      true,
		WriteBufferSize:        writeBufferBytes,
		MaxResponseHeaderBytes: maxHeaderBytes,
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
	}}
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: t, Timeout: timeout, CheckRedirect: stay}
}
