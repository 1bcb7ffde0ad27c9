package sockopt

import (
	"io"
	"net"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a reset that looks like an orderly end to the reader, because the kernel has
// reported it to a write, and against an orderly end that looks like a reset.
func TestReaderIsToldOfAResetThatAWriteMet(t *testing.T) {
	for name, x := range map[string]struct {
		endsInOrder bool  // before the reset
		write, read error // nil: the end of the connection
	}{
		"reset":                      {write: syscall.ECONNRESET, read: syscall.ECONNRESET},
		"reset after an orderly end": {endsInOrder: true, write: syscall.EPIPE},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			c, err := ReportResets((&net.Dialer{}).DialContext)(t.Context(), "tcp", l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			accepted, err := l.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			peer := accepted.(*net.TCPConn)
			_, err = io.WriteString(peer, "received")
			g.Expect(err).NotTo(HaveOccurred())
			if x.endsInOrder {
				g.Expect(peer.CloseWrite()).To(Succeed())
			}
			g.Expect(peer.SetLinger(0)).To(Succeed())
			g.Expect(peer.Close()).To(Succeed())
			_, err = c.Write(make([]byte, 64<<20))
			g.Expect(err).To(MatchError(x.write))
			got, err := io.ReadAll(c)
			g.Expect(string(got)).To(Equal("received"))
			if x.read == nil {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(MatchError(x.read))
			}
		})
	}
}
