package consensus

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/testkit"
)

// The main property runs ten thousand random schedules, on several cores.
const (
	shards            = 4
	schedulesPerShard = "2500"
)

// failover is the longest time from the end of all faults to a leader with a
// lease: five seconds with the timing of production.
const failover = 5 * int(simElection/unit)

// checks sets the number of runs for one test.
func checks(t *testing.T, n string) {
	testkit.FixSeed()
	f := flag.Lookup("rapid.checks")
	old := f.Value.String()
	_ = f.Value.Set(n)
	t.Cleanup(func() { _ = f.Value.Set(old) })
}

// faults that a schedule draws from; each befalls one replica.
var faults = []struct {
	name string
	do   func(s *schedule, r *replica, arg int)
}{
	{"crash", func(_ *schedule, r *replica, arg int) { r.crashAt = 1 + arg%3 }},
	{"crash at once", func(s *schedule, r *replica, _ int) { s.crash(r) }},
	{"freeze", func(_ *schedule, r *replica, _ int) { r.frozen = r.node != nil }},
	{"deaf", func(_ *schedule, r *replica, _ int) { r.deaf = true }},
	{"mute", func(_ *schedule, r *replica, _ int) { r.mute = true }},
	{"cut", func(_ *schedule, r *replica, _ int) { r.deaf, r.mute = true, true }},
	{"cut link", func(s *schedule, r *replica, arg int) {
		o := s.order[arg%len(s.order)]
		s.cut[[2]ID{r.id, o}], s.cut[[2]ID{o, r.id}] = true, arg%3 > 0
	}},
	{"compact", func(s *schedule, r *replica, _ int) { s.compact(r) }},
	{"lose disk", func(s *schedule, r *replica, arg int) { s.lose(r, arg%3 == 0) }},
	{"retire", func(s *schedule, r *replica, _ int) { s.retire(r) }},
	{"change members", func(s *schedule, r *replica, arg int) { s.flip(r, arg%4 == 0) }},
	{"rough", func(s *schedule, _ *replica, arg int) { s.loss, s.delay = float64(arg%5)/10, 2+arg%maxDelay }},
	{"calm", func(s *schedule, _ *replica, _ int) { s.loss, s.delay = 0, 2 }},
}

// Whatever fails, safety holds at every step, and once the faults end the group
// leads and commits again in bounded time.
func TestAnySchedule(t *testing.T) {
	checks(t, schedulesPerShard)
	for shard := range uint64(shards) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) { anySchedule(rt, shard) })
		})
	}
}

func anySchedule(rt *rapid.T, shard uint64) {
	g := NewWithT(rt)
	seed := rapid.Uint64().Draw(rt, "seed")*shards + shard
	s := newSchedule(seed, 3, 2)
	s.formLate(seed)
	// Rapid prefers small numbers; mixing spreads the faults evenly.
	for _, x := range rapid.SliceOfN(rapid.Uint64(), 15, 30).Draw(rt, "faults") {
		if x == 0 {
			continue // lets rapid leave out faults when it shrinks
		}
		f := rand.New(rand.NewPCG(seed, x))
		s.run(f.IntN(15))
		r, fault, arg := s.replicas[s.order[f.IntN(len(s.order))]], faults[f.IntN(len(faults))], f.IntN(1000)
		rt.Logf("%.0f: %s %s %d", s.real, fault.name, r.id, arg)
		fault.do(s, r, arg)
		g.Expect(s.failure).To(BeEmpty())
	}
	s.heal()
	before := len(s.committed)
	for i := 0; i < failover && (s.leader() == nil || len(s.committed) == before); i++ {
		s.step()
		s.propose()
	}
	g.Expect(s.leader()).NotTo(BeNil(), "no leader after healing %v", s)
	g.Expect(len(s.committed)).To(BeNumerically(">", before), "nothing commits after healing %v", s)
	s.checkLogs()
	g.Expect(s.failure).To(BeEmpty())
}

// withLeader runs a quiet group until a replica leads.
func withLeader(rt *rapid.T) (*schedule, *replica) {
	s := newSchedule(rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(rt, "voters"), 0)
	for i := 0; i < failover && s.leader() == nil; i++ {
		s.step()
	}
	NewWithT(rt).Expect(s.leader()).NotTo(BeNil())
	return s, s.leader()
}

// A replica that was cut off silently, for however long, comes back without
// moving the term or the lease.
func TestHealedReplicaDisturbsNobody(t *testing.T) {
	checks(t, "500")
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		s, l := withLeader(rt)
		term := l.node.term
		var cut *replica
		for _, r := range s.replicas {
			if r != l && (cut == nil || r.id < cut.id) {
				cut = r
			}
		}
		rapid.SampledFrom(faults[2:6]).Draw(rt, "fault").do(s, cut, 0)
		for range rapid.IntRange(1, 10*int(simElection/unit)).Draw(rt, "time") {
			s.step()
			g.Expect(s.leader()).To(BeIdenticalTo(l))
		}
		s.heal()
		for range 3 * simElection / unit {
			s.step()
			g.Expect(s.leader()).To(BeIdenticalTo(l))
		}
		g.Expect(l.node.term).To(Equal(term))
		g.Expect(s.failure).To(BeEmpty())
	})
}

// A leader that hears nobody, but is heard, gives way to one that can commit.
func TestDeafLeaderIsReplaced(t *testing.T) {
	checks(t, "500")
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		s, l := withLeader(rt)
		l.deaf = true
		for i := 0; i < failover && (s.leader() == nil || s.leader() == l); i++ {
			s.step()
		}
		g.Expect(s.leader()).NotTo(Or(BeNil(), BeIdenticalTo(l)))
		g.Expect(s.failure).To(BeEmpty())
	})
}
