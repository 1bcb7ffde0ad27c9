package fenced

import "golang.org/x/sys/unix"

// writeNonblocking is one write system call; 0 bytes when the socket is full.
func writeNonblocking(fd int, b []byte) (int, error) {
	n, err := unix.SendmsgN(fd, b, nil, nil, unix.MSG_NOSIGNAL)
	if err == unix.EAGAIN || err == unix.EINTR {
		return 0, nil
	}
	return max(n, 0), err
}
