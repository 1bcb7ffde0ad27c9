package control

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
)

// Guards against a lost group whose replicas all say the same: one outside of the group, a learner,
// a voter that hears nobody and one that hears a quorum without an election.
func TestStandingOfReplicaWithoutLeader(t *testing.T) {
	const lasts = 57 * time.Second
	group := consensus.Membership{"b": {ID: "b", Voter: true}, "c": {ID: "c", Voter: true}, "d": {ID: "d", Voter: true}}
	joined := func(voter bool) consensus.Membership {
		m := group.Clone()
		delete(m, "d")
		m["a"] = consensus.Member{ID: "a", Voter: voter}
		return m
	}
	for name, c := range map[string]struct {
		members consensus.Membership
		hears   bool // b asks for pre-votes
		text    string
		line    string
		warns   int // lines with level warn
	}{
		"knows no membership": {consensus.Membership{}, false, "not a member of the group, no leader for 57.0 s (term 1, 0 members)", `Replica waits outside of the control group. id=a standing=outside`, 2},
		"standby":             {group, false, "not a member of the group, no leader for 57.0 s (term 1, 3 members)", `Replica waits outside of the control group. id=a standing=outside`, 2},
		"learner":             {joined(false), false, "learner, no leader for 57.0 s (term 1, 3 members)", `Replica knows no leader. id=a standing=learner`, 5},
		"hears nobody":        {joined(true), false, "voter, hears 1 of 3 voters, no leader for 57.0 s (term 1, 3 members)", `standing=voter-without-quorum role=pre-candidate ms=32000 heard=[a] silent="[b for 32.0 s c for 32.0 s]" quorum=2`, 5},
		"hears a quorum":      {joined(true), true, "voter, hears 2 of 3 voters, no leader for 57.0 s (term 1, 3 members)", `standing=voter-with-quorum role=pre-candidate ms=32000 heard="[a b]" silent="[c for 32.0 s]" quorum=2`, 5},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			node := consensus.New(consensus.Config{ID: "a", Hard: consensus.HardState{Term: 1}, Snapshot: consensus.SnapshotMeta{Index: 7, Term: 1, Members: c.members}, Rand: rand.New(rand.NewPCG(1, 2))})
			var out bytes.Buffer
			var absence leaderAbsence
			for now := consensus.Time(0); now <= lasts; now += tickInterval {
				node.Tick(now)
				if c.hears && now%time.Second == 0 {
					node.Step(now, consensus.Message{Kind: consensus.MsgPreVote, From: "b", To: "a", Term: 2})
				}
				node.Ready()
				st := node.Status()
				absence.log(log.New(&out), &st, now)
			}
			lines := out.String()
			g.Expect(strings.Count(lines, "\n")).To(Equal(5), "after 2, 4, 8, 16 and 32 s:\n"+lines)
			g.Expect(strings.Count(lines, "WARN")).To(Equal(c.warns), lines)
			g.Expect(lines).To(ContainSubstring(c.line))
			g.Expect(lines).To(ContainSubstring("term=1 last=7 last_term=1 membership_index=7"))

			st := node.Status()
			r := &Replica{startedAt: clock.Now() - lasts}
			r.status.Store(&st)
			_, err := relay[ReadIndexReply](t.Context(), r, false, MethodReadIndex, ReadIndexRequest{})
			g.Expect(result.CodeOf(err)).To(Equal(result.NotLeader))
			g.Expect(result.From(err).Message).To(Equal("this replica knows no leader: " + c.text))

			out.Reset()
			node.Step(lasts, consensus.Message{Kind: consensus.MsgAppend, From: "b", To: "a", Term: 2, Index: 7, LogTerm: 1})
			st = node.Status()
			absence.log(log.New(&out), &st, lasts)
			g.Expect(out.String()).To(ContainSubstring(`A leader is known again. id=a leader=b term=2 ms=57000`))
			g.Expect(standingOf(&st, lasts+time.Second).String()).To(HaveSuffix(", heard b 1.0 s ago (term 2, " + c.text[len(c.text)-len("3 members)"):]))
		})
	}
}
