package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// Guards against a live voter that becomes a learner in favour of one that no longer runs:
// a new leader has not seen the silence of the old voter yet. The next two losses then
// leave no quorum.
func TestLiveVoterIsNotDemotedBeforeOneThatNoLongerRuns(t *testing.T) {
	g := NewWithT(t)
	v := MembershipView{
		Self: "r4", Members: consensus.Membership{}, Match: map[consensus.ID]uint64{}, Commit: 9, RecentCommit: 9,
		SilentFor: map[consensus.ID]time.Duration{}, Retiring: map[consensus.ID]bool{}, Voters: 5,
	}
	for _, id := range []consensus.ID{"r0", "r1", "r2", "r3", "r4", "r5"} {
		m := consensus.Member{ID: id, Address: "m" + string(id), Voter: true}
		v.Members[id] = m
		v.Match[id] = 9
		if id != "r0" { // its machine is gone for good
			v.Live = append(v.Live, m)
		}
	}
	next, reason, ok := v.NextChange()
	if !ok {
		return // to wait is right as well
	}
	for _, id := range []consensus.ID{"r1", "r2", "r3", "r4", "r5"} {
		g.Expect(next.IsVoter(id)).To(BeTrue(), reason)
	}
}
