package reach

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// The opening of a relayed connection is a line with the address of the upstream; the helper
// answers with a line. What the upstream sends then comes in frames of a length of two bytes and
// that many bytes; the length 0 says that the upstream has ended its side. Without it the end of
// the connection is that of the helper, and an answer that ends with its connection must not look
// complete. What is sent to the upstream goes as it is.
const (
	opening = "Relay: " // no frame of the calls between daemons begins with it
	// maxLineBytes bounds the lines at the beginning of a connection.
	maxLineBytes  = 256
	frameHeader   = 2
	maxFrameBytes = 8 << 10

	answerConnected   = "connected"
	answerUnreachable = "unreachable" // followed by the reason
	answerRefused     = "refused"     // followed by the reason
)

// errUnreachable says that a helper could not connect to the upstream either.
var errUnreachable = errors.New("the other daemon does not reach the upstream")

// relayedConn is the end of a relayed connection at the daemon that has the request.
type relayedConn struct {
	net.Conn
	in    *bufio.Reader
	left  int // bytes of the current frame
	ended bool
}

// openRelayed asks the helper at the other end of c for a connection to an upstream. It waits for
// the answer until deadline.
func openRelayed(c net.Conn, address string, deadline time.Time) (*relayedConn, error) {
	if err := c.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := io.WriteString(c, opening+address+"\r\n"); err != nil {
		return nil, err
	}
	in := bufio.NewReaderSize(c, frameHeader+maxFrameBytes)
	line, err := readLine(in)
	if err != nil {
		return nil, err
	}
	switch answer, reason, _ := strings.Cut(line, " "); answer {
	case answerConnected:
	case answerUnreachable:
		return nil, fmt.Errorf("%w: %s", errUnreachable, reason)
	default:
		return nil, fmt.Errorf("the other daemon passes no connection on: %s", line)
	}
	return &relayedConn{Conn: c, in: in}, c.SetDeadline(time.Time{})
}

// readLine reads a line of at most maxLineBytes without its end.
func readLine(in *bufio.Reader) (string, error) {
	var line []byte
	for len(line) < maxLineBytes {
		b, err := in.ReadByte()
		if err != nil {
			return "", err
		}
		if b == '\n' {
			return strings.TrimSuffix(string(line), "\r"), nil
		}
		line = append(line, b)
	}
	return "", fmt.Errorf("a line has more than %d bytes", maxLineBytes)
}

// Read implements net.Conn.
func (c *relayedConn) Read(b []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		var header [frameHeader]byte
		if _, err := io.ReadFull(c.in, header[:]); err != nil {
			return 0, unexpectedEnd(err)
		}
		if c.left = int(binary.BigEndian.Uint16(header[:])); c.left == 0 {
			c.ended = true
			return 0, io.EOF
		}
	}
	n, err := c.in.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, unexpectedEnd(err)
}

// unexpectedEnd returns err, or io.ErrUnexpectedEOF if the helper ended the connection.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
