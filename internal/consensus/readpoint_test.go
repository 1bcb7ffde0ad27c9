package consensus

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// simTrio simulates three replicas without message delays. Isolated replicas neither send
// nor receive. Messages to the frozen replica wait.
type simTrio struct {
	now      Time
	nodes    map[ID]*Node
	isolated map[ID]bool
	frozen   ID // none: empty
	waiting  []Message
}

func newSimTrio() *simTrio { return newSimTrioOf(7) }

// newSimTrioOf returns a trio whose random numbers depend on seed.
func newSimTrioOf(seed uint64) *simTrio {
	members := Membership{}
	for _, id := range []ID{"a", "b", "c"} {
		members[id] = Member{ID: id, Voter: true}
	}
	x := &simTrio{nodes: map[ID]*Node{}, isolated: map[ID]bool{}}
	for i, id := range members.IDs() {
		x.nodes[id] = New(Config{
			ID: id, Hard: HardState{Term: 1, Commit: 1}, Snapshot: SnapshotMeta{Index: 1, Term: 1, Members: members},
			Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		})
	}
	return x
}

// run advances the clock by d in steps of a quarter of a heartbeat interval.
func (x *simTrio) run(d Time) {
	for end := x.now + d; x.now < end; x.now += DefaultHeartbeatInterval / 4 {
		for _, id := range []ID{"a", "b", "c"} {
			if id != x.frozen {
				x.nodes[id].Tick(x.now)
			}
		}
		for range 6 {
			x.exchange()
		}
	}
}

// exchange processes the outstanding work of every replica once and delivers the messages.
func (x *simTrio) exchange() {
	for _, id := range []ID{"a", "b", "c"} {
		if id == x.frozen {
			continue
		}
		r := x.nodes[id].Ready()
		x.nodes[id].Advance(r)
		for _, m := range r.Messages {
			switch {
			case x.isolated[m.From] || x.isolated[m.To]:
			case m.To == x.frozen:
				x.waiting = append(x.waiting, m)
			default:
				x.nodes[m.To].Step(x.now, m)
			}
		}
	}
}

// thaw ends the freeze. The messages that waited are processed now.
func (x *simTrio) thaw() {
	x.frozen = ""
	for _, m := range x.waiting {
		x.nodes[m.To].Step(x.now, m)
	}
	x.waiting = nil
}

func (x *simTrio) leader() *Node {
	for _, n := range x.nodes {
		if _, ok := n.LeaseUntil(); ok {
			return n
		}
	}
	return nil
}

func (x *simTrio) follower() *Node {
	for _, id := range []ID{"a", "b", "c"} {
		if x.nodes[id] != x.leader() {
			return x.nodes[id]
		}
	}
	return nil
}

func TestReadPointCoversEarlierCommits(t *testing.T) {
	g := NewWithT(t)
	x := newSimTrio()
	x.run(3 * DefaultElectionTimeout)
	f := x.follower()
	for range 20 {
		index, _, err := x.leader().Propose(x.now, []byte("x"))
		g.Expect(err).NotTo(HaveOccurred())
		x.exchange()
		x.exchange()
		x.exchange()
		committed := x.now
		x.run(2*DefaultHeartbeatInterval + DefaultHeartbeatInterval/4) // a read point is at most two heartbeats old
		p, ok := f.ReadPoint()
		g.Expect(ok).To(BeTrue())
		g.Expect(p.AsOf).To(BeNumerically(">", committed))
		g.Expect(p.Index).To(BeNumerically(">=", index))
	}
}

func TestReadPointDoesNotAdvanceWithoutLeader(t *testing.T) {
	g := NewWithT(t)
	x := newSimTrio()
	x.run(3 * DefaultElectionTimeout)
	f := x.follower()
	x.isolated[f.id] = true
	before, _ := f.ReadPoint()
	x.run(3 * DefaultElectionTimeout)
	after, _ := f.ReadPoint()
	g.Expect(after).To(Equal(before))
}

func TestReadPointIgnoresEarlierIncarnationAndLeaderWithoutLease(t *testing.T) {
	g := NewWithT(t)
	x := newSimTrio()
	x.run(3 * DefaultElectionTimeout)
	f := x.follower()
	before, _ := f.ReadPoint()
	m := Message{EchoClock: x.now, EchoIncarnation: f.incarnation + 1, LeaseHeld: true, Commit: 99}
	f.updateReadPoint(m)
	g.Expect(f.readPoint).To(Equal(before))
	m.EchoIncarnation = f.incarnation
	m.LeaseHeld = false
	f.updateReadPoint(m)
	g.Expect(f.readPoint).To(Equal(before))
}
