package control

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// An operator's call without an outcome must say which replicas were asked, or a leader that
// does not answer cannot be told from a replica that does not find it.
func TestCallWithoutOutcomeNamesAttempts(t *testing.T) {
	g := NewWithT(t)
	client := peer.NewClient(peer.DialFrom(""))
	defer client.Close()
	var out bytes.Buffer
	p := NewProposer(nil, client, func() []string { return []string{"127.0.0.1:1"} }, NewHealth(), log.New(&out))
	ctx, cancel := context.WithTimeout(t.Context(), 2*replicaRetryInterval)
	defer cancel()
	_, err := p.Propose(ctx, state.Command{VersionPut: &state.VersionPut{Model: "m", Version: 2}})
	g.Expect(result.CodeOf(err)).To(Equal(result.NoQuorum))
	g.Expect(out.String()).To(MatchRegexp(`asked="127\.0\.0\.1:1 \(\d+ ms\): .*unreachable`))
	g.Expect(result.Detail(err)).To(MatchRegexp(`^127\.0\.0\.1:1: unreachable$`), "the line on the rejected request has them")
	g.Expect(result.From(err).Message).NotTo(ContainSubstring("127.0.0.1"), "callers are told nothing of the replicas")
}

func TestFailedAttemptsAreBounded(t *testing.T) {
	g := NewWithT(t)
	f := newFailedAttempts()
	for range maxListedAttempts + 3 {
		f.add("a", result.New(result.NotLeader, "no leader"))
	}
	g.Expect(f.String()).To(HaveSuffix("; and 3 more"))
	g.Expect(newFailedAttempts().String()).To(Equal("none"))
	f.add("entry", result.New(result.NotReplica, "this daemon does not serve control.propose"))
	for i := range maxAnswers {
		f.add(fmt.Sprint("b", i), result.New(result.NotLeader, "%s: learner", noLeaderKnown))
	}
	f.add("a", result.New(result.NotLeader, "%s: voter", noLeaderKnown))
	g.Expect(f.newestAnswers()).To(Equal("a: voter; b0: learner; b1: learner; b2: learner; b3: learner; b4: learner; b5: learner; b6: learner"))
}
