package fenced

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds how long the kernel tries to deliver written bytes.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// writeNonblocking is one write system call; 0 bytes when the socket is full.
func writeNonblocking(fd int, b []byte) (int, error) {
	n, err := unix.SendmsgN(fd, b, nil, nil, unix.MSG_NOSIGNAL)
	if err == unix.EAGAIN || err == unix.EINTR {
		return 0, nil
	}
	return max(n, 0), err
}
