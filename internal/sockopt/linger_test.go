package sockopt

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Bytes that are unacknowledged when a connection is closed must not arrive later, because
// the sender has abandoned the request.
func TestCloseDropsUnacknowledgedBytes(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	c, err := DropOnClose((&net.Dialer{}).DialContext)(context.Background(), "tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	peer, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer peer.Close()
	_, err = c.Write([]byte("a request that is abandoned"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Close()).To(Succeed())
	g.Expect(peer.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	_, err = io.ReadAll(peer)
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}
