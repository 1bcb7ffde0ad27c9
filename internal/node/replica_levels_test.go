package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/member"
)

// Guards against a log entry that a replica of an older build stops at: one that this daemon has not
// heard of yet after its start, or that is down for a moment while all others have been upgraded.
func TestLevelCountsReplicasThatAreDownOrNotKnownYet(t *testing.T) {
	replica := func(address string, level int) member.Daemon {
		return member.Daemon{ID: address, Replica: "r-" + address, PeerAddress: address, Level: level}
	}
	entry := member.Daemon{ID: "e", PeerAddress: "e", Level: member.Level}
	members := consensus.Membership{"a": {Address: "a"}, "b": {Address: "b"}}
	both := []member.Daemon{entry, replica("a", member.Level), replica("b", member.Level)}
	mixed := []member.Daemon{entry, replica("a", member.Level), replica("b", member.Level-1)}
	onlyA := both[:2]
	for _, c := range []struct {
		name    string
		before  []member.Daemon
		live    []member.Daemon
		members consensus.Membership
		up      time.Duration
		want    int
	}{
		{"all are new", nil, both, members, time.Second, member.Level},
		{"one is older", nil, mixed, members, time.Hour, member.Level - 1},
		{"the older one is down", mixed, onlyA, members, time.Hour, member.Level - 1},
		{"it is down and has left the group", mixed, onlyA, consensus.Membership{"a": {Address: "a"}}, time.Hour, member.Level},
		{"it has been upgraded", mixed, both, members, time.Hour, member.Level},
		{"a new one is down", both, onlyA, members, time.Second, member.Level},
		{"one is not known yet", nil, onlyA, members, time.Second, 0},
		{"one has been down since the start", nil, onlyA, members, time.Hour, member.Level},
		{"the members are not known yet", nil, onlyA, nil, time.Second, 0},
		{"an older entry is up", nil, append([]member.Daemon{{ID: "f", Level: 1}}, both...), members, time.Hour, 1},
	} {
		r := replicaLevels{}
		r.note(c.before)
		NewWithT(t).Expect(r.common(c.live, c.members, c.up)).To(Equal(c.want), c.name)
	}
}
