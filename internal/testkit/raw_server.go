package testkit

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// rawReceiveBuffer is the size in bytes of the receive buffers of a RawServer. It is far below
// that of a large request, so that its sender is kept writing.
const rawReceiveBuffer = 16 << 10

// RawServer answers requests with bytes of the test's choice.
type RawServer struct {
	Address  string
	Requests atomic.Int64
}

// ServeRaw starts a RawServer on a loopback address until the test ends. It calls answer for each
// request, whose body has not been read, with its connection, which answer may close.
func ServeRaw(t testing.TB, answer func(*net.TCPConn, *http.Request)) *RawServer {
	t.Helper()
	limit := func(_, _ string, raw syscall.RawConn) (err error) {
		_ = raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, rawReceiveBuffer)
		})
		return err
	}
	l, err := (&net.ListenConfig{Control: limit}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &RawServer{Address: l.Addr().String()}
	serve := func(c *net.TCPConn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			s.Requests.Add(1)
			answer(c, r)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return s
}
