package reach

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// bytesConn is a connection on which the bytes of in arrive.
type bytesConn struct {
	net.Conn
	in io.Reader
}

func (c bytesConn) Read(b []byte) (int, error)     { return c.in.Read(b) }
func (bytesConn) Write(b []byte) (int, error)      { return len(b), nil }
func (bytesConn) Close() error                     { return nil }
func (bytesConn) SetDeadline(time.Time) error      { return nil }
func (bytesConn) SetReadDeadline(time.Time) error  { return nil }
func (bytesConn) SetWriteDeadline(time.Time) error { return nil }

// payload returns the contents of the frames at the beginning of b, and whether the last one says that
// the upstream has ended.
func payload(b []byte) (out []byte, ended bool) {
	for len(b) >= frameHeader {
		n := int(binary.BigEndian.Uint16(b))
		if b = b[frameHeader:]; n == 0 {
			return out, true
		}
		n = min(n, len(b))
		out, b = append(out, b[:n]...), b[n:]
	}
	return out, false
}

// FuzzRelayedAnswer guards against an answer of a helper that reads differently in pieces, or looks
// complete although the upstream has not ended.
func FuzzRelayedAnswer(f *testing.F) {
	f.Add([]byte("connected\r\n\x00\x02ab\x00\x01c\x00\x00"))
	f.Add([]byte("connected\n\xff\xffab"))
	f.Add([]byte("unreachable timeout\n"))
	f.Add([]byte("connected"))
	f.Add([]byte(strings.Repeat("x", 2*maxLineBytes)))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := openRelayed(bytesConn{in: iotest.HalfReader(bytes.NewReader(b))}, "192.0.2.1:1", time.Time{})
		line, rest, complete := bytes.Cut(b, []byte("\n"))
		if err != nil {
			if complete && len(line) < maxLineBytes && string(line) == answerConnected {
				t.Fatalf("refused: %v", err)
			}
			return
		}
		got, err := io.ReadAll(c)
		want, ended := payload(rest)
		if !bytes.Equal(got, want) {
			t.Fatalf("%q instead of %q", got, want)
		}
		if ended != (err == nil) || !ended && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("ended %t: %v", ended, err)
		}
	})
}

// FuzzRelayOpening guards against an opening for which a helper connects to something else than a
// known upstream.
func FuzzRelayOpening(f *testing.F) {
	const known = "192.0.2.1:1"
	f.Add([]byte(opening + known + "\r\nGET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte(opening + "192.0.2.2:1\n"))
	f.Add([]byte(opening + strings.Repeat("1", 2*maxLineBytes)))
	f.Add([]byte(opening + "[::1%\x00]:1\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if !bytes.HasPrefix(b, []byte(opening)) {
			return
		}
		r := &relay{
			dial: func(_ context.Context, _, address string) (net.Conn, error) {
				if address != known {
					t.Fatalf("connects to %q", address)
				}
				return nil, errCut
			},
			listed: func(address string) bool { return address == known },
			skips:  func(string) bool { return false }, severed: func() bool { return false }, passed: map[*passedConn]bool{},
		}
		c := bytesConn{in: iotest.HalfReader(bytes.NewReader(b))}
		r.serve(c, bufio.NewReader(c), func() bool { return true })
		if r.admitted != 0 {
			t.Fatalf("%d openings stay admitted", r.admitted)
		}
	})
}
