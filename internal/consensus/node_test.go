package consensus

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

func TestThreeReplicasElectAndCommit(t *testing.T) {
	g := NewWithT(t)
	members := Membership{}
	for _, id := range []ID{"a", "b", "c"} {
		members[id] = Member{ID: id, Voter: true}
	}
	nodes := map[ID]*Node{}
	for i, id := range members.IDs() {
		nodes[id] = New(Config{
			ID: id, Hard: HardState{Term: 1, Commit: 1},
			Snapshot: SnapshotMeta{Index: 1, Term: 1, Members: members},
			Rand:     rand.New(rand.NewPCG(1, uint64(i))),
		})
	}
	committed := map[ID][]string{}
	proposed := false
	for now := Time(0); now < 5*DefaultElectionTimeout; now += DefaultHeartbeatInterval / 2 {
		for _, id := range members.IDs() {
			nodes[id].Tick(now)
		}
		for range 10 {
			for _, id := range members.IDs() {
				r := nodes[id].Ready()
				nodes[id].Advance(r)
				for _, e := range r.Committed {
					if e.Kind == EntryCommand {
						committed[id] = append(committed[id], string(e.Data))
					}
				}
				for _, m := range r.Messages {
					nodes[m.To].Step(now, m)
				}
			}
		}
		for _, id := range members.IDs() {
			if _, ok := nodes[id].LeaseUntil(); ok && !proposed {
				_, _, err := nodes[id].Propose(now, []byte("x"))
				g.Expect(err).NotTo(HaveOccurred())
				proposed = true
			}
		}
	}
	for _, id := range members.IDs() {
		g.Expect(committed[id]).To(Equal([]string{"x"}))
	}
}
