package consensus

import (
	"fmt"
	"math/rand/v2"
)

// Timing of the simulation. Real time is counted in units; during one unit a clock
// without drift advances by clockTicksPerUnit.
const (
	clockTicksPerUnit = Time(1000)
	simHeartbeat      = 3 * clockTicksPerUnit
	simElection       = 20 * clockTicksPerUnit
	simLease          = 16 * clockTicksPerUnit
	// maxDelayUnits bounds the delay of a message. It is longer than an election
	// timeout.
	maxDelayUnits = 30
)

// simCluster simulates a cluster and its network for one random schedule of
// faults. It checks the invariants after every step.
type simCluster struct {
	rnd             *rand.Rand
	realTime        float64 // units since the start
	order           []ID
	replicas        map[ID]*simReplica
	cutLinks        map[[2]ID]bool // links that lose all messages, as {from, to}
	inFlight        []simMessage
	messageLoss     float64 // probability
	maxMessageDelay int     // units

	leaderByTerm      map[uint64]ID
	committed         []Entry   // every entry that a replica has applied; the first has index 2
	appliedHashes     []uint64  // hash after each of these entries
	firstAppliedTerms []uint64  // term of the replica that applied each entry first
	firstAppliedAt    []float64 // real time at which each entry was first applied
	identitiesAdded   int       // replicas added since the start
	failure           string    // the first violated invariant; empty: none
	// newProcesses is set if each start is that of a new process: it says that it has
	// restarted, and what the process before it did under its lease has ended.
	newProcesses bool
}

func newSimCluster(seed uint64, voters, learners int) *simCluster {
	s := &simCluster{
		rnd: rand.New(rand.NewPCG(seed, 1)), replicas: map[ID]*simReplica{}, cutLinks: map[[2]ID]bool{},
		leaderByTerm: map[uint64]ID{}, maxMessageDelay: 2,
	}
	members := Membership{}
	for i := range voters + learners {
		id := ID(fmt.Sprint("v", i))
		members[id] = Member{ID: id, Address: string(id), Voter: i < voters}
	}
	for _, id := range members.IDs() {
		s.add(id, string(id), disk{hard: HardState{Term: 1, Commit: 1}, snapshot: Snapshot{Meta: SnapshotMeta{Index: 1, Term: 1, Members: members}}})
	}
	return s
}

// add adds a replica with the disk d and starts it.
func (s *simCluster) add(id ID, address string, d disk) {
	r := &simReplica{id: id, address: address, disk: d, clockRate: 0.9 + 0.2*s.rnd.Float64(), clockOffset: Time(s.rnd.Int64N(1e9))}
	s.replicas[id] = r
	s.order = append(s.order, id)
	s.restart(r)
}

// restart starts r from its disk, unless it runs or its disk is lost.
func (s *simCluster) restart(r *simReplica) {
	if r.node != nil || r.wiped {
		return
	}
	meta := r.disk.snapshot.Meta
	r.node = New(Config{
		ID: r.id, Hard: r.disk.hard, Snapshot: meta, Entries: r.disk.entries, Now: r.clock(s.realTime), Rand: s.rnd,
		HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection, LeaseDuration: simLease, MaxAppendEntries: 2, SnapshotRetryInterval: 2 * simElection,
		Restarted: s.newProcesses,
	})
	if s.newProcesses {
		r.leaseEnd = 0
	}
	r.frozen, r.crashStage = false, 0
	r.applied = meta.Index
	r.appliedHash = s.appliedHashAt(meta.Index)
}

// appliedHashAt returns the hash over the applied entries up to index i.
func (s *simCluster) appliedHashAt(i uint64) uint64 {
	if i < 2 {
		return 0
	}
	return s.appliedHashes[i-2]
}

// fail records a violated invariant; only the first one is kept.
func (s *simCluster) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("at %.1f: ", s.realTime) + fmt.Sprintf(format, args...)
	}
}

// step advances real time by one unit, delivers the messages that are due and ticks every
// running replica.
func (s *simCluster) step() {
	s.realTime++
	due := s.inFlight[:0:0]
	rest := s.inFlight[:0]
	for _, f := range s.inFlight {
		if f.deliverAt <= s.realTime {
			due = append(due, f)
		} else {
			rest = append(rest, f)
		}
	}
	s.inFlight = rest
	for _, f := range due {
		s.deliver(f)
	}
	for _, id := range s.order {
		if r := s.replicas[id]; r.node != nil && !r.frozen {
			r.node.Tick(r.clock(s.realTime))
			s.processReady(r)
		}
	}
}

// processReady does the outstanding work of r's node. If a crash is due, r crashes at the
// stage that crashStage gives: 1 before storing, 2 before sending, 3 before applying.
func (s *simCluster) processReady(r *simReplica) {
	for {
		s.check(r)
		rd := r.node.Ready()
		if rd.Empty() {
			return
		}
		if r.crashStage == 1 {
			s.crash(r)
			return
		}
		r.disk.persist(rd)
		if r.crashStage == 2 {
			s.crash(r)
			return
		}
		s.send(r, rd.Messages)
		if r.crashStage == 3 {
			s.crash(r)
			return
		}
		s.apply(r, rd)
		r.node.Advance(rd)
	}
}

// leader returns the replica that holds the leader lease, or nil.
func (s *simCluster) leader() *simReplica {
	for _, id := range s.order {
		r := s.replicas[id]
		if r.node == nil || r.frozen || r.node.now < r.clock(s.realTime) {
			continue
		}
		if _, ok := r.node.LeaseUntil(); ok {
			return r
		}
	}
	return nil
}

// propose proposes a command at every replica that has the role Leader.
func (s *simCluster) propose() {
	for _, id := range s.order {
		if r := s.replicas[id]; r.node != nil && !r.frozen && r.node.role == Leader {
			_, _, _ = r.node.Propose(r.clock(s.realTime), fmt.Append(nil, id, s.realTime))
			s.processReady(r)
		}
	}
}

// compact replaces the applied prefix of the log of r by a snapshot.
func (s *simCluster) compact(r *simReplica) {
	if r.node == nil || r.frozen || r.applied <= r.disk.snapshot.Meta.Index {
		return
	}
	t, _ := r.node.TermAt(r.applied)
	meta := SnapshotMeta{Index: r.applied, Term: t, Members: r.node.MembersAt(r.applied)}
	r.disk.entries = r.node.EntriesAfter(r.applied)
	r.disk.snapshot = Snapshot{Meta: meta, Data: fmt.Append(nil, r.appliedHash)}
	r.node.Compact(meta)
}

// run advances real time by some units. Meanwhile, at random, commands are proposed, the
// membership is repaired and faults end.
func (s *simCluster) run(units int) {
	for range units {
		s.step()
		if s.rnd.IntN(6) == 0 {
			s.propose()
		}
		if s.rnd.IntN(15) == 0 {
			s.repairMembership()
			s.endWaiting()
		}
		for _, id := range s.order {
			s.endFaultsAtRandom(s.replicas[id])
		}
	}
}

// String describes every running replica, for failure messages.
func (s *simCluster) String() string {
	out := fmt.Sprintf("at %.0f:", s.realTime)
	for _, id := range s.order {
		r := s.replicas[id]
		if n := r.node; n != nil {
			out += fmt.Sprintf(" %s{role %d term %d commit %d last %d.%d members %v}", id, n.role, n.term, n.commit, n.log.lastTerm(), n.log.lastIndex(), n.members)
		}
	}
	return out
}
