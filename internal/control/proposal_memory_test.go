package control

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/membudget"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Guards against an idle leader of 304 MB that rejects the largest job that an entry of the same size
// accepts, against a bound that several jobs exceed, and against memory that is not given back.
func TestLargestJobOfAnEntryFitsIntoAnIdleLeader(t *testing.T) {
	g := NewWithT(t)
	budget := membudget.ForMemory(304 << 20)
	m := newProposalMemory()
	m.budget = budget
	m.holdKept(budget.Limit())
	const factorOfEntries = 8
	bodies := budget.Limit() * 3 / 4 / factorOfEntries * 3 / 4 // base64 makes them larger
	job := state.Batch{ID: "j", Account: "a"}
	for range bodies / 1024 {
		job.Items = append(job.Items, state.BatchItem{ID: "item-1", Path: "/v1/completions", Body: make([]byte, 1024), Tokens: 4096})
	}
	raw, err := json.Marshal(ProposeRequest{Command: state.Command{BatchAccept: &state.BatchAccept{Batch: job}}})
	g.Expect(err).NotTo(HaveOccurred())
	key, _, ok := jobOf(raw)
	g.Expect(ok).To(BeTrue())
	g.Expect(key).To(Equal(jobKey{ID: "j", Account: "a"}))
	g.Expect(m.neverFits(len(raw))).To(BeFalse())
	g.Expect(budget.Take(int64(len(raw)))).To(BeTrue(), "its frame")
	hold, _ := m.hold(key, len(raw))
	g.Expect(hold).NotTo(BeNil())
	second, waiting := m.hold(jobKey{ID: "k"}, len(raw))
	g.Expect(second).To(BeNil(), "two of the largest jobs")
	g.Expect(waiting).To(BeFalse())
	_, waiting = m.hold(key, len(raw))
	g.Expect(waiting).To(BeTrue(), "the same job is being committed")
	hold.release()
	budget.Return(int64(len(raw)))
	m.holdKept(0)
	g.Expect(budget.Used()).To(BeZero())
}

// Guards against "not run" for a job of which an earlier attempt may still be committed.
func TestNoMemoryAfterUnknownOutcomeIsNotNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		first error
		want  result.Code
	}{
		"only attempt":          {nil, result.MemoryFull},
		"after a lost leader":   {result.New(result.CommitUnknown, "lost"), result.CommitUnknown},
		"after a failed commit": {result.New(result.NotLeader, "none"), result.MemoryFull},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			s, client := peer.NewServer(), peer.NewClient(peer.DialFrom(""))
			t.Cleanup(func() { client.Close(); l.Close(); s.Close() })
			var calls atomic.Int32
			peer.Handle(s, MethodPropose, func(context.Context, ProposeRequest) (state.Outcome, error) {
				if calls.Add(1) == 1 && c.first != nil {
					return state.Outcome{}, c.first
				}
				return state.Outcome{}, result.NewRetryAfter(result.Overloaded, proposalRetryAfter, "full")
			})
			go s.Serve(t.Context(), l)
			p := NewProposer(nil, client, func() []string { return []string{l.Addr().String()} }, NewHealth(), log.New(io.Discard))
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			_, err = p.Propose(ctx, state.Command{BatchAccept: &state.BatchAccept{Batch: state.Batch{ID: "j"}}})
			g.Expect(result.CodeOf(err)).To(Equal(c.want))
			g.Expect(result.From(err).RetryAfter).To(BeNumerically(">", 0))
		})
	}
}

// Guards against a refused job that is taken for another one or for none, whose refusal would then say
// "not run" although an earlier submission waits for its commit.
func TestBeginningOfParametersHasTheJob(t *testing.T) {
	text := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"", `"id":"`, "command", "account"}))
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		q := ProposeRequest{Cluster: text.Draw(rt, "cluster"), Command: state.Command{Op: text.Draw(rt, "op"), At: time.Unix(1e9, 0)}}
		if rapid.Bool().Draw(rt, "job") {
			q.Command.BatchAccept = &state.BatchAccept{Batch: state.Batch{ID: "j" + text.Draw(rt, "id"), Account: text.Draw(rt, "account"), Items: make([]state.BatchItem, 100)}}
		} else {
			q.Command.BatchRecord = &state.BatchRecord{Results: []state.BatchResult{{Batch: "b", Item: text.Draw(rt, "item")}}}
		}
		raw, err := json.Marshal(q)
		g.Expect(err).NotTo(HaveOccurred())
		want, cluster, ok := jobOf(raw)
		got, gotCluster, found := jobInHead(raw[:min(len(raw), 4<<10)])
		g.Expect([]any{got, found}).To(Equal([]any{want, ok}))
		if ok {
			g.Expect(gotCluster).To(Equal(cluster))
		}
		_, _, found = jobInHead(raw[:rapid.IntRange(0, len(raw)).Draw(rt, "cut")])
		g.Expect(found && !ok).To(BeFalse())
	})
}
