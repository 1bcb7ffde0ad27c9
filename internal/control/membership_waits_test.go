package control

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// Guards against a successor that stays outside of the group, a lost voter that nobody replaces, or
// an additional voter that stays, without a line at the leader.
func TestLeaderLogsWhichRepairsWait(t *testing.T) {
	g := NewWithT(t)
	x := newSimGroup(3)
	for i, id := range []consensus.ID{"old1", "old2", "old3"} { // learners of machines that are gone
		x.view.Members[id] = x.member(id, 10+i)
		x.view.SilentFor[id] = 4 * time.Second
	}
	x.start("new", 20)
	x.stop("r1", 3*time.Second)
	var out bytes.Buffer
	logger := log.New(&out)
	var d membershipDelays
	at := simEpoch
	logFor := func(length time.Duration) string {
		out.Reset()
		for end := at.Add(length); at.Before(end); at = at.Add(reconcileInterval) {
			d.logWaits(at, true, x.view, logger)
		}
		return out.String()
	}
	lines := logFor(4 * time.Second)
	g.Expect(strings.Count(lines, "\n")).To(Equal(6), "two repairs after 0.5, 1 and 2 s:\n"+lines)
	g.Expect(lines).To(ContainSubstring(`WARN Repair of the membership waits. repair="running replicas are not members" ms=500 replicas=[new] members=6 max_members=6 running=2 repair_members=4 silent="[old1 for 4.0 s old2 for 4.0 s old3 for 4.0 s r1 for 3.0 s]"`))
	g.Expect(lines).To(ContainSubstring(`repair="a voter is to be replaced and no learner has caught up" ms=2000 voter=r1 silent_ms=3000 retiring=false healthy_voters=2 wanted=3 must_hold=10 learners="[old1 holds 0, answers false, runs false, retires false`))

	x.view.Members = x.view.without("old1")
	x.view.Members["new"] = x.member("new", 20)
	x.view.Match["new"] = 10
	g.Expect(strings.Count(logFor(time.Second), "no longer waits.")).To(Equal(2))
	x.view.Members["new"] = consensus.Member{ID: "new", Address: "m20", Voter: true}
	g.Expect(logFor(time.Second)).To(ContainSubstring(`repair="an additional voter is not demoted" ms=500 voters=4 wanted=3 not_running=[r1]`))

	healthy := newSimGroup(3)
	healthy.start("spare", 20)
	healthy.view.MaxMembers, d = 3, membershipDelays{}
	x = healthy
	g.Expect(logFor(time.Second)).To(HavePrefix("INFO Repair of the membership waits."))
	d.logWaits(at, false, x.view, logger)
	g.Expect(d.waits).To(BeEmpty(), "this replica no longer leads")
}
