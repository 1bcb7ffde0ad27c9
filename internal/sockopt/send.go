package sockopt

import "syscall"

// WriteAll writes b with send, whenever the connection is writable, and returns the number of bytes
// written. send makes a system call that does not block, as SendNonblocking does. Errors: those of
// send, unchanged, and of the connection's deadline and its end.
func WriteAll(raw syscall.RawConn, b []byte, send func(fd int, b []byte) (int, error)) (int, error) {
	written := 0
	var failed error
	err := raw.Write(func(fd uintptr) bool {
		for {
			var n int
			n, failed = send(int(fd), b[written:])
			written += n
			if failed != nil || written == len(b) {
				return true
			}
			if n == 0 {
				return false
			}
		}
	})
	if failed != nil {
		return written, failed
	}
	return written, err
}

// SendNonblocking makes one write system call and returns the number of bytes written, which is 0
// if the socket buffer is full.
func SendNonblocking(fd int, b []byte) (int, error) {
	for {
		n, err := syscall.Write(fd, b) // unlike that of x/sys/unix, known to the race detector as a synchronisation
		switch err {
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			return 0, nil
		}
		return max(n, 0), err
	}
}
