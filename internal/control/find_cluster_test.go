package control

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/storage"
)

// goneAddresses are those of machines that drop all packets; see dialGone.
var goneAddresses = []string{"gone1", "gone2", "gone3", "gone4", "gone5", "gone6"}

// dialGone connects to all addresses but goneAddresses, whose dials time out.
func dialGone(ctx context.Context, address string) (net.Conn, error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return peer.DialFrom("")(ctx, address)
}

// serveReplica serves a stand-in of a replica and returns its address.
func serveReplica(t *testing.T, register func(*peer.Server)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := peer.NewServer()
	register(s)
	go s.Serve(context.Background(), l)
	t.Cleanup(func() {
		l.Close()
		s.Close()
	})
	return l.Addr().String()
}

// Guards against a successor that asks machines that are gone one after the other: it joined
// after the next loss, and not at all the replica that the gossip found meanwhile.
func TestJoinDoesNotWaitForMachinesThatAreGone(t *testing.T) {
	const (
		leaderlessFor = 500 * time.Millisecond
		joinedWithin  = 1500 * time.Millisecond // 4.3 s until the next loss, with a snapshot and a vote
	)
	for name, known := range map[string]struct {
		first, later func(replica string) []string
	}{
		"asked last": {
			func(replica string) []string { return append(goneAddresses[:6:6], replica) },
			func(replica string) []string { return append(goneAddresses[:6:6], replica) },
		},
		"asked first, while there is no leader": {
			func(replica string) []string { return append([]string{replica}, goneAddresses...) },
			func(replica string) []string { return append([]string{replica}, goneAddresses...) },
		},
		"found by the gossip": {
			func(string) []string { return goneAddresses },
			func(replica string) []string { return append([]string{replica}, goneAddresses...) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			folder, err := storage.Acquire(t.TempDir())
			g.Expect(err).NotTo(HaveOccurred())
			defer folder.Release()
			client := peer.NewClient(dialGone)
			defer client.Close()
			began := time.Now()
			replica := serveReplica(t, func(s *peer.Server) {
				peer.Handle(s, MethodMembers, func(context.Context, MembersRequest) (MembersReply, error) {
					if time.Since(began) < leaderlessFor {
						return MembersReply{}, result.New(result.NotLeader, "no leader")
					}
					return MembersReply{Cluster: "c"}, nil
				})
			})
			var calls atomic.Int64
			addresses := func() []string {
				if calls.Add(1) == 1 {
					return known.first(replica)
				}
				return known.later(replica)
			}
			id, err := JoinCluster(t.Context(), folder, "d", client, addresses, log.New(io.Discard))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(id.Cluster).To(Equal("c"))
			g.Expect(time.Since(began)).To(BeNumerically("<", joinedWithin))
		})
	}
}
