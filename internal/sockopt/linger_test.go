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

// What is still on its way when a connection is closed must not arrive later: its
// sender has given it up.
func TestClosingDropsWhatIsOnItsWay(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	c, err := DropOnClose((&net.Dialer{}).DialContext)(context.Background(), "tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	peer, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer peer.Close()
	_, err = c.Write([]byte("a request that is given up"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Close()).To(Succeed())
	g.Expect(peer.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	_, err = io.ReadAll(peer)
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}
