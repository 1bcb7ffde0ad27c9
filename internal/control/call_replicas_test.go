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
	"github.com/apricotstream/apricotstream/internal/state"
)

// Guards against calls of operators and callers that are rejected although there is a leader again: the
// dials to machines that are gone took all of their time.
func TestCallFindsNewLeaderBesideMachinesThatAreGone(t *testing.T) {
	const (
		leaderlessFor  = 500 * time.Millisecond
		answeredWithin = 1500 * time.Millisecond
		timeout        = 3 * time.Second // of an operator's call
	)
	for name, c := range map[string]struct {
		leaderSays error
		want       result.Code
	}{
		"committed": {nil, result.OK},
		"no memory": {result.New(result.Overloaded, "no memory"), result.MemoryFull},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			client := peer.NewClient(dialGone)
			defer client.Close()
			began := time.Now()
			replica := serveReplica(t, func(s *peer.Server) {
				peer.Handle(s, MethodPropose, func(context.Context, ProposeRequest) (state.Outcome, error) {
					if time.Since(began) < leaderlessFor {
						return state.Outcome{}, result.New(result.NotLeader, "no leader")
					}
					return state.Outcome{}, c.leaderSays
				})
			})
			addresses := func() []string { return append([]string{replica}, goneAddresses...) }
			p := NewProposer(nil, client, addresses, NewHealth(), log.New(io.Discard))
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			_, err := p.Propose(ctx, state.Command{VersionPut: &state.VersionPut{Model: "m", Version: 1}})
			g.Expect(result.CodeOf(err)).To(Equal(c.want), "%v", err)
			g.Expect(time.Since(began)).To(BeNumerically("<", answeredWithin))
		})
	}
}
