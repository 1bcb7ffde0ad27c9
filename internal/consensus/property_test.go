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

// TestSafetyAndRecoveryUnderRandomFaults runs ten thousand random schedules, divided into
// shards that run in parallel.
const (
	shards            = 4
	schedulesPerShard = "2500"
)

// failoverUnits is the longest time that the cluster may take to elect a leader that holds
// a lease, and to commit an entry if commands are proposed. It is in units of real time and
// corresponds to five seconds with the default timing.
const failoverUnits = 5 * int(simElection/clockTicksPerUnit)

// setRapidChecks sets the number of runs for one test.
func setRapidChecks(t *testing.T, n string) {
	testkit.FixSeed()
	f := flag.Lookup("rapid.checks")
	old := f.Value.String()
	_ = f.Value.Set(n)
	t.Cleanup(func() { _ = f.Value.Set(old) })
}

// faults are the events from which a schedule is drawn: faults, compactions and actions of
// an operator. Each one is called for one replica, except rough and calm, which set loss and
// delay for all messages.
var faults = []struct {
	name string
	do   func(s *simCluster, r *simReplica, arg int)
}{
	{"crash", func(_ *simCluster, r *simReplica, arg int) { r.crashStage = 1 + arg%3 }},
	{"crash at once", func(s *simCluster, r *simReplica, _ int) { s.crash(r) }},
	{"freeze", func(_ *simCluster, r *simReplica, _ int) { r.frozen = r.node != nil }},
	{"deaf", func(_ *simCluster, r *simReplica, _ int) { r.dropsIncoming = true }},
	{"mute", func(_ *simCluster, r *simReplica, _ int) { r.dropsOutgoing = true }},
	{"cut", func(_ *simCluster, r *simReplica, _ int) { r.dropsIncoming, r.dropsOutgoing = true, true }},
	{"cut link", func(s *simCluster, r *simReplica, arg int) {
		o := s.order[arg%len(s.order)]
		s.cutLinks[[2]ID{r.id, o}], s.cutLinks[[2]ID{o, r.id}] = true, arg%3 > 0
	}},
	{"compact", func(s *simCluster, r *simReplica, _ int) { s.compact(r) }},
	{"lose disk", func(s *simCluster, r *simReplica, arg int) { s.loseDisk(r, arg%3 == 0) }},
	{"retire", func(s *simCluster, r *simReplica, _ int) { s.requestRemoval(r) }},
	{"change members", func(s *simCluster, r *simReplica, arg int) { s.proposeVoterChange(r, arg%4 == 0) }},
	{"rough", func(s *simCluster, _ *simReplica, arg int) {
		s.messageLoss, s.maxMessageDelay = float64(arg%5)/10, 2+arg%maxDelayUnits
	}},
	{"calm", func(s *simCluster, _ *simReplica, _ int) { s.messageLoss, s.maxMessageDelay = 0, 2 }},
}

// Under any combination of faults the safety invariants hold at every step. Once the
// faults end, the cluster elects a leader and commits again within failoverUnits.
func TestSafetyAndRecoveryUnderRandomFaults(t *testing.T) {
	setRapidChecks(t, schedulesPerShard)
	for shard := range uint64(shards) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) { checkRandomSchedule(rt, shard) })
		})
	}
}

func checkRandomSchedule(rt *rapid.T, shard uint64) {
	g := NewWithT(rt)
	seed := rapid.Uint64().Draw(rt, "seed")*shards + shard
	s := newSimCluster(seed, 3, 2)
	s.delayStarts(seed)
	// Rapid prefers small numbers. Mixing each with the seed spreads the faults evenly.
	for _, x := range rapid.SliceOfN(rapid.Uint64(), 15, 30).Draw(rt, "faults") {
		if x == 0 {
			continue // lets rapid drop faults when it shrinks the input
		}
		f := rand.New(rand.NewPCG(seed, x))
		s.run(f.IntN(15))
		r, fault, arg := s.replicas[s.order[f.IntN(len(s.order))]], faults[f.IntN(len(faults))], f.IntN(1000)
		rt.Logf("%.0f: %s %s %d", s.realTime, fault.name, r.id, arg)
		fault.do(s, r, arg)
		g.Expect(s.failure).To(BeEmpty())
	}
	s.endAllFaults()
	before := len(s.committed)
	for i := 0; i < failoverUnits && (s.leader() == nil || len(s.committed) == before); i++ {
		s.step()
		s.propose()
	}
	g.Expect(s.leader()).NotTo(BeNil(), "no leader after the faults ended: %v", s)
	g.Expect(len(s.committed)).To(BeNumerically(">", before), "no entry committed after the faults ended: %v", s)
	s.checkLogMatching()
	g.Expect(s.failure).To(BeEmpty())
}

// newSimClusterWithLeader runs a cluster without faults until a replica is the leader.
func newSimClusterWithLeader(rt *rapid.T) (*simCluster, *simReplica) {
	s := newSimCluster(rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(rt, "voters"), 0)
	for i := 0; i < failoverUnits && s.leader() == nil; i++ {
		s.step()
	}
	NewWithT(rt).Expect(s.leader()).NotTo(BeNil())
	return s, s.leader()
}

// A replica that was frozen or disconnected for any length of time reconnects without
// changing the term or the leader.
func TestReconnectedReplicaKeepsTermAndLeader(t *testing.T) {
	setRapidChecks(t, "500")
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		s, l := newSimClusterWithLeader(rt)
		term := l.node.term
		var disconnected *simReplica
		for _, r := range s.replicas {
			if r != l && (disconnected == nil || r.id < disconnected.id) {
				disconnected = r
			}
		}
		rapid.SampledFrom(faults[2:6]).Draw(rt, "fault").do(s, disconnected, 0)
		for range rapid.IntRange(1, 10*int(simElection/clockTicksPerUnit)).Draw(rt, "time") {
			s.step()
			g.Expect(s.leader()).To(BeIdenticalTo(l))
		}
		s.endAllFaults()
		for range 3 * simElection / clockTicksPerUnit {
			s.step()
			g.Expect(s.leader()).To(BeIdenticalTo(l))
		}
		g.Expect(l.node.term).To(Equal(term))
		g.Expect(s.failure).To(BeEmpty())
	})
}

// A leader whose messages arrive but that receives none itself can't commit. It must
// step down, and another leader must be elected.
func TestLeaderWithoutIncomingMessagesIsReplaced(t *testing.T) {
	setRapidChecks(t, "500")
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		s, l := newSimClusterWithLeader(rt)
		l.dropsIncoming = true
		for i := 0; i < failoverUnits && (s.leader() == nil || s.leader() == l); i++ {
			s.step()
		}
		g.Expect(s.leader()).NotTo(Or(BeNil(), BeIdenticalTo(l)))
		g.Expect(s.failure).To(BeEmpty())
	})
}
