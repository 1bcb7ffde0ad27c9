package consensus

import (
	"fmt"
	"math/rand/v2"
)

// Timing of the schedules: one unit of real time is a thousand ticks of a clock
// without drift.
const (
	unit         = Time(1000)
	simHeartbeat = 3 * unit
	simElection  = 20 * unit
	simLease     = 16 * unit
	// maxDelay of a message is longer than an election timeout.
	maxDelay = 30
)

// schedule drives replicas through one random run and checks the invariants
// after every step.
type schedule struct {
	rnd      *rand.Rand
	real     float64
	order    []ID
	replicas map[ID]*replica
	cut      map[[2]ID]bool // links that lose everything, by direction
	net      []flight
	loss     float64
	delay    int

	leaders   map[uint64]ID
	committed []Entry   // by index, from 2 on
	chains    []uint64  // hash after each of them
	known     []uint64  // term in which each came out first
	when      []float64 // real time at which each was first applied
	joined    int
	failure   string
}

func newSchedule(seed uint64, voters, learners int) *schedule {
	s := &schedule{
		rnd: rand.New(rand.NewPCG(seed, 1)), replicas: map[ID]*replica{}, cut: map[[2]ID]bool{},
		leaders: map[uint64]ID{}, delay: 2,
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

func (s *schedule) add(id ID, address string, d disk) {
	r := &replica{id: id, address: address, disk: d, rate: 0.9 + 0.2*s.rnd.Float64(), offset: Time(s.rnd.Int64N(1e9))}
	s.replicas[id] = r
	s.order = append(s.order, id)
	s.restart(r)
}

func (s *schedule) restart(r *replica) {
	if r.node != nil || r.lost {
		return
	}
	meta := r.disk.snapshot.Meta
	r.node = New(Config{
		ID: r.id, Hard: r.disk.hard, Snapshot: meta, Entries: r.disk.entries, Now: r.clock(s.real), Rand: s.rnd,
		Heartbeat: simHeartbeat, Election: simElection, Lease: simLease, MaxAppend: 2,
	})
	r.frozen, r.crashAt = false, 0
	r.applied = meta.Index
	r.chain = s.chainAt(meta.Index)
}

func (s *schedule) chainAt(i uint64) uint64 {
	if i < 2 {
		return 0
	}
	return s.chains[i-2]
}

func (s *schedule) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("at %.1f: ", s.real) + fmt.Sprintf(format, args...)
	}
}

// step moves real time on by one unit.
func (s *schedule) step() {
	s.real++
	due := s.net[:0:0]
	rest := s.net[:0]
	for _, f := range s.net {
		if f.at <= s.real {
			due = append(due, f)
		} else {
			rest = append(rest, f)
		}
	}
	s.net = rest
	for _, f := range due {
		s.deliver(f)
	}
	for _, id := range s.order {
		if r := s.replicas[id]; r.node != nil && !r.frozen {
			r.node.Tick(r.clock(s.real))
			s.work(r)
		}
	}
}

// work does what the node asks for, or crashes in the middle of it.
func (s *schedule) work(r *replica) {
	for {
		s.check(r)
		rd := r.node.Ready()
		if rd.Empty() {
			return
		}
		if r.crashAt == 1 {
			s.crash(r)
			return
		}
		r.disk.persist(rd)
		if r.crashAt == 2 {
			s.crash(r)
			return
		}
		s.send(r, rd.Messages)
		if r.crashAt == 3 {
			s.crash(r)
			return
		}
		s.apply(r, rd)
		r.node.Advance(rd)
	}
}

// leader returns the replica that leads with a lease, if any.
func (s *schedule) leader() *replica {
	for _, id := range s.order {
		r := s.replicas[id]
		if r.node == nil || r.frozen || r.node.now < r.clock(s.real) {
			continue
		}
		if _, ok := r.node.LeaseUntil(); ok {
			return r
		}
	}
	return nil
}

// propose appends a command at every replica that believes it leads.
func (s *schedule) propose() {
	for _, id := range s.order {
		if r := s.replicas[id]; r.node != nil && !r.frozen && r.node.role == Leader {
			_, _, _ = r.node.Propose(r.clock(s.real), fmt.Append(nil, id, s.real))
			s.work(r)
		}
	}
}

// compact replaces the applied prefix of a replica's log by a snapshot.
func (s *schedule) compact(r *replica) {
	if r.node == nil || r.frozen || r.applied <= r.disk.snapshot.Meta.Index {
		return
	}
	t, _ := r.node.TermAt(r.applied)
	meta := SnapshotMeta{Index: r.applied, Term: t, Members: r.node.MembersAt(r.applied)}
	r.disk.entries = r.node.EntriesAfter(r.applied)
	r.disk.snapshot = Snapshot{Meta: meta, Data: fmt.Append(nil, r.chain)}
	r.node.Compact(meta)
}

// run moves on by some units in which callers propose, operators repair, and
// faults end by themselves.
func (s *schedule) run(units int) {
	for range units {
		s.step()
		if s.rnd.IntN(6) == 0 {
			s.propose()
		}
		if s.rnd.IntN(15) == 0 {
			s.operate()
		}
		for _, id := range s.order {
			s.recover(s.replicas[id])
		}
	}
}

// String shows every replica, for a failed run.
func (s *schedule) String() string {
	out := fmt.Sprintf("at %.0f:", s.real)
	for _, id := range s.order {
		r := s.replicas[id]
		if n := r.node; n != nil {
			out += fmt.Sprintf(" %s{role %d term %d commit %d last %d.%d members %v}", id, n.role, n.term, n.commit, n.log.lastTerm(), n.log.last(), n.members)
		}
	}
	return out
}
