package reach

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/apricotstream/apricotstream/internal/peer"
)

// Guards against a connection that goes silent being kept: each kind has a user timeout and short
// keep-alive. With both, Linux ends an idle connection at the first probe that is due once the user
// timeout has passed, whatever the number of probes.
func TestConnectionsNoticeSilence(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	dialled := func(c net.Conn, err error) net.Conn {
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { c.Close() })
		return c
	}
	upstream := dialled(Direct("")(t.Context(), "tcp", l.Addr().String()))
	helper := dialled(l.Accept())
	order := dialled(NewLinks(Direct(""), log.New(io.Discard)).DialOrders(t.Context(), "tcp", l.Addr().String())).(*directConn)
	noticeSilence(helper)
	daemon := dialled(peer.DialFrom("")(t.Context(), l.Addr().String()))
	type options struct{ idleS, intervalS, userTimeoutMS int }
	for name, x := range map[string]struct {
		c    net.Conn
		want options
	}{
		"to an upstream":                       {upstream, options{2, 1, 2000}},
		"to an upstream, for orders":           {order.Conn, options{2, 1, 200}},
		"of a daemon, for which it passes on":  {helper, options{2, 1, 1500}},
		"to another daemon (rounded interval)": {daemon, options{2, 1, 1500}},
	} {
		raw, err := x.c.(syscall.Conn).SyscallConn()
		g.Expect(err).NotTo(HaveOccurred())
		var got options
		g.Expect(raw.Control(func(fd uintptr) {
			got.idleS, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
			got.intervalS, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
			got.userTimeoutMS, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		})).To(Succeed())
		g.Expect(got).To(Equal(x.want), name)
	}
}
