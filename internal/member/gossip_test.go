package member

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/peer"
)

// testDaemon is a Gossip that serves the peer protocol on loopback.
type testDaemon struct {
	*Gossip
	self   atomic.Pointer[Daemon]
	server *peer.Server
	close  func() // ends the daemon
}

func newTestDaemon(id string, incarnation int64, replica string) *testDaemon {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	d := &testDaemon{}
	d.self.Store(&Daemon{ID: id, Incarnation: incarnation, Region: "r", PeerAddress: l.Addr().String(), Replica: replica})
	client, server := peer.NewClient(peer.DialFrom("")), peer.NewServer()
	d.Gossip = NewGossip(client, nil, func() Daemon { return *d.self.Load() })
	d.Register(server)
	d.server = server
	go server.Serve(context.Background(), l)
	d.close = func() {
		l.Close()
		server.Close()
		client.Close()
	}
	DeferCleanup(d.close)
	d.AnnounceChanges()
	return d
}

var _ = Describe("Gossip", func() {
	ctx := context.Background()

	// Guards against a daemon that stays hidden for tombstoneTTL after a cut.
	It("lists a daemon again that was ejected while it was cut off", func() {
		a, b := newTestDaemon("a", 1, ""), newTestDaemon("b", 1, "")
		a.merge(b.localPing().From)
		a.table.Suspect(time.Now(), b.localPing().From)
		a.table.Expire(time.Now().Add(SuspicionTimeout))
		Expect(ids(a.Live())).To(Equal([]string{"a"}))
		b.ping(ctx, "a", a.self.Load().PeerAddress)
		b.AnnounceChanges()
		Eventually(func() []string { return ids(a.Live()) }).Should(Equal([]string{"a", "b"}))
	})

	// Guards against two groups of daemons that do not know each other for five seconds after a
	// restart of all: the daemons that were up first had found each other, and tried the seed, which
	// came last, no more.
	It("finds a seed that comes up after another daemon is known", func() {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		a, b := newTestDaemon("a", 1, ""), newTestDaemon("b", 1, "")
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		late := l.Addr().String()
		l.Close()
		a.seeds = func() []string { return []string{late, b.self.Load().PeerAddress} }
		go a.Run(ctx)
		Eventually(func() []string { return ids(a.Live()) }).Should(Equal([]string{"a", "b"}))
		l, err = net.Listen("tcp", late)
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		server := peer.NewServer()
		defer server.Close()
		seed := NewGossip(peer.NewClient(peer.DialFrom("")), nil, func() Daemon {
			return Daemon{ID: "seed", Incarnation: 1, Region: "r", PeerAddress: late}
		})
		seed.Register(server)
		go server.Serve(ctx, l)
		Eventually(func() []string { return ids(a.Live()) }, 2*time.Second).Should(Equal([]string{"a", "b", "seed"}))
	})

	// Guards against a lost replica that counts as live because its successor is ignored.
	It("lists the new replica of a daemon whose clock was set back before it started", func() {
		a := newTestDaemon("a", 1, "")
		b := newTestDaemon("b", 40, "b.new")
		a.merge(Daemon{ID: "b", Incarnation: 50, Seq: 7, Region: "r", PeerAddress: b.self.Load().PeerAddress, Replica: "b.old"})
		b.ping(ctx, "a", a.self.Load().PeerAddress)
		b.AnnounceChanges()
		Eventually(a.Live).Should(ContainElement(HaveField("Replica", "b.new")))
	})
})
