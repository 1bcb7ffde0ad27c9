package sockopt

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// ReportResets returns a Dial that opens connections with dial and whose reads return an error
// after the connection was reset, or has timed out, also if the kernel reported that to a write. It
// has an effect on TCP connections only; they implement syscall.Conn.
func ReportResets(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		t, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		raw, err := t.SyscallConn()
		if err != nil {
			c.Close()
			return nil, err
		}
		return &reportingConn{Conn: c, raw: raw}, nil
	}
}

// reportingConn is a TCP connection that reports resets to its reader.
type reportingConn struct {
	net.Conn
	raw    syscall.RawConn
	resets ResetRecord
}

// SyscallConn implements syscall.Conn.
func (c *reportingConn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Read implements net.Conn.
func (c *reportingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	return n, c.resets.ReadError(c.Conn, err)
}

// Write implements net.Conn.
func (c *reportingConn) Write(b []byte) (int, error) {
	n, err := WriteAll(c.raw, b, func(fd int, b []byte) (int, error) {
		return c.resets.Send(func() (int, error) { return SendNonblocking(fd, b) })
	})
	if errno, ok := err.(syscall.Errno); ok {
		err = opError("write", c.Conn, os.NewSyscallError("write", errno))
	}
	return n, err
}

// opError returns the error of an operation on c as package net does.
func opError(op string, c net.Conn, err error) error {
	return &net.OpError{Op: op, Net: c.RemoteAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// ResetRecord tells the reader of a connection what the kernel told a writer. The kernel reports a
// reset, or that the connection has timed out, once, to the call that comes first. If that is a write,
// the next read returns io.EOF, as if the peer had ended the connection in order. The zero value is
// ready for use, by one reader and any number of writers.
type ResetRecord struct {
	mu    sync.Mutex
	cause error
}

// Send calls send, which makes a write system call that does not block, and records its error. A read
// that returned io.EOF because of that system call waits in ReadError until the error is recorded.
func (r *ResetRecord) Send(send func() (int, error)) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, err := send()
	// EPIPE is the error of a write after a reset that followed an orderly end, or that the reader
	// was told of. What was received before it is whole, or the reader knows that it is not.
	if err != nil && err != syscall.EPIPE && r.cause == nil {
		r.cause = err
	}
	return n, err
}

// ReadError returns err, the error of a read from c, or the recorded error instead of io.EOF.
func (r *ResetRecord) ReadError(c net.Conn, err error) error {
	if err != io.EOF {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cause != nil {
		return opError("read", c, r.cause)
	}
	return err
}
