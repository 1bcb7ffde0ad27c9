package control

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
)

// Guards against an entry that rejects callers although there is a leader again: the dials to machines
// that are gone kept it from asking whether its configuration is the newest. A running replica without
// a connection must still be found.
func TestFollowerFindsNewLeaderBesideMachinesThatAreGone(t *testing.T) {
	const (
		leaderlessFor = 500 * time.Millisecond
		freshWithin   = 1500 * time.Millisecond
	)
	serve := func(t *testing.T, refuses bool, proven func() bool) string {
		return serveReplica(t, func(s *peer.Server) {
			peer.Handle(s, MethodSync, func(context.Context, SyncRequest) (SyncReply, error) {
				if refuses && !proven() {
					return SyncReply{}, result.New(result.NotLeader, "no leader")
				}
				return SyncReply{Cluster: "c", Unproven: !proven()}, nil
			})
		})
	}
	for name, c := range map[string]struct {
		refuses bool // as to a follower with a proven configuration
		leads   []bool
	}{
		"the one that has replied":        {false, []bool{true}},
		"the one that has refused":        {true, []bool{true}},
		"one without a connection":        {false, []bool{false, true}},
		"one beside another that refuses": {true, []bool{false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			client := peer.NewClient(dialGone)
			defer client.Close()
			began := time.Now()
			var addresses []string
			for _, l := range c.leads {
				addresses = append(addresses, serve(t, c.refuses, func() bool { return l && time.Since(began) >= leaderlessFor }))
			}
			addresses = append(addresses, goneAddresses...)
			f := NewFollower(func() []Source { return AllSources(nil, client, addresses, NewHealth()) }, time.Minute, log.New(io.Discard))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go f.Run(ctx)
			g.Eventually(f.Fresh, freshWithin, "5ms").Should(BeTrue())
			g.Expect(time.Since(began)).To(BeNumerically(">=", leaderlessFor))
		})
	}
}
