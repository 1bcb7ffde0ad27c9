package fenced

import "golang.org/x/sys/unix"

// writeNonblocking makes one write system call and returns the number of bytes written,
// which is 0 if the socket buffer is full or the call was interrupted.
func writeNonblocking(fd int, b []byte) (int, error) {
	n, err := unix.SendmsgN(fd, b, nil, nil, unix.MSG_NOSIGNAL)
	if err == unix.EAGAIN || err == unix.EINTR {
		return 0, nil
	}
	return max(n, 0), err
}
