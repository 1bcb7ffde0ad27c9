// Package sockopt sets options of sockets that the standard library does not.
package sockopt

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout bounds how long sent bytes may stay unacknowledged before the
// kernel ends the connection. TCP only.
func SetUserTimeout(c syscall.RawConn, d time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// UserTimeout is SetUserTimeout as the Control function of a net.Dialer.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return SetUserTimeout(c, d) }
}
