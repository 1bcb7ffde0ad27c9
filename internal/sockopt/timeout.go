// Package sockopt sets TCP socket options for which net.Dialer has no field.
package sockopt

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout sets TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged before
// the kernel closes the connection. It works for TCP sockets only.
func SetUserTimeout(c syscall.RawConn, d time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// UserTimeout returns a Control function for a net.Dialer that calls SetUserTimeout with d.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return SetUserTimeout(c, d) }
}
