package reach

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/sockopt"
)

// passedConn is a connection that is passed on.
type passedConn struct {
	daemon, upstream net.Conn
	mu               sync.Mutex
	activeAt         time.Time
}

func (c *passedConn) close() {
	c.daemon.Close()
	c.upstream.Close()
}

func (c *passedConn) touch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeAt = time.Now()
}

func (c *passedConn) idleFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.activeAt)
}

// noticeSilence makes the kernel end a connection whose other end is gone.
func noticeSilence(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return // closed meanwhile
	}
	_ = sockopt.SetUserTimeout(raw, relaySilence) // fails only on a closed connection
	_ = t.SetKeepAliveConfig(keepAlive)
}

// pass copies in both directions until the daemon ends its side, or the upstream fails. An upstream
// that has ended its side in order may still read the request.
func (c *passedConn) pass(in *bufio.Reader) {
	requestEnded := make(chan struct{})
	go func() {
		defer close(requestEnded)
		buf := make([]byte, maxFrameBytes)
		for {
			n, err := in.Read(buf)
			if n > 0 {
				c.touch()
				if _, werr := c.upstream.Write(buf[:n]); werr != nil {
					err = werr
				}
			}
			if err != nil {
				c.upstream.Close()
				return
			}
		}
	}()
	buf := make([]byte, frameHeader+maxFrameBytes)
	for {
		n, err := c.upstream.Read(buf[frameHeader:])
		if n > 0 {
			c.touch()
			binary.BigEndian.PutUint16(buf, uint16(n))
			if _, werr := c.daemon.Write(buf[:frameHeader+n]); werr != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_, _ = c.daemon.Write([]byte{0, 0}) // fails only if the daemon is gone
			<-requestEnded
			return
		}
		if err != nil {
			return
		}
	}
}
