package control

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// A replica that is gone for good stays a member for a while. Counted as one that would
// remain, it let the last spare replica be retired: the next lost disk took the quorum.
func TestRetirementCountsOnlyRunningReplicas(t *testing.T) {
	members := consensus.Membership{}
	for _, id := range []consensus.ID{"a", "b", "c", "d"} {
		members[id] = consensus.Member{ID: id, Address: string(id) + ":1", Voter: id != "d"}
	}
	ids := func(ids ...consensus.ID) map[consensus.ID]bool {
		out := map[consensus.ID]bool{}
		for _, id := range ids {
			out[id] = true
		}
		return out
	}
	for name, c := range map[string]struct {
		silent, retiring map[consensus.ID]bool
		want             int
	}{
		"all run":                         {want: 3},
		"a learner is gone":               {silent: ids("d"), want: 2},
		"a voter is gone":                 {silent: ids("b"), want: 2},
		"another one is being retired":    {retiring: ids("c"), want: 2},
		"gone and being retired":          {silent: ids("d"), retiring: ids("d", "c"), want: 1},
		"the one to retire is silent too": {silent: ids("a"), want: 3},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(remainingReplicas(members, "a:1", c.silent, c.retiring)).To(Equal(c.want))
		})
	}
}
