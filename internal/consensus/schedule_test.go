package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

// disk is what a replica finds after a crash.
type disk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

func (d *disk) persist(r Ready) {
	if r.Snapshot != nil {
		d.snapshot = *r.Snapshot
		d.entries = nil
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - d.snapshot.Meta.Index - 1
		d.entries = append(slices.Clone(d.entries[:keep]), r.Entries...)
	}
	if r.HardState != nil {
		d.hard = *r.HardState
	}
}

// replica is one identity with its disk and its drifting clock.
type replica struct {
	id       ID
	address  string
	node     *Node // nil while down
	disk     disk
	rate     float64
	offset   Time
	lost     bool
	retiring bool // to be emptied
	frozen   bool
	deaf     bool // receives nothing
	mute     bool // sends nothing
	crashAt  int  // stage of the next work at which it crashes; 0 for none
	applied  uint64
	chain    uint64 // hash over the applied entries
	leaseEnd float64
}

func (r *replica) clock(real float64) Time { return r.offset + Time(real*r.rate*float64(unit)) }

// realAt is the real time at which the replica's clock shows t.
func (r *replica) realAt(t Time) float64 { return float64(t-r.offset) / r.rate / float64(unit) }

// flight is a message on its way.
type flight struct {
	at float64
	m  Message
}

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

func (s *schedule) deliver(f flight) {
	r := s.replicas[f.m.To]
	switch {
	case r == nil || r.node == nil || r.deaf:
	case r.frozen:
		s.net = append(s.net, flight{at: s.real + 1, m: f.m})
	default:
		r.node.Step(r.clock(s.real), f.m)
		s.work(r)
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

func (s *schedule) crash(r *replica) { r.node, r.crashAt = nil, 0 }

func (s *schedule) send(r *replica, ms []Message) {
	for _, m := range ms {
		if m.Kind == MsgSnapshot {
			snap := r.disk.snapshot
			m.Snapshot = &snap
		}
		if r.mute || s.cut[[2]ID{m.From, m.To}] || s.rnd.Float64() < s.loss {
			continue
		}
		copies := 1
		if s.rnd.Float64() < s.loss/2 {
			copies = 2
		}
		for range copies {
			s.net = append(s.net, flight{at: s.real + float64(s.rnd.IntN(s.delay)), m: m})
		}
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

// lose takes a voter's disk for good, once no other loss waits for repair. A
// new identity takes its place, at the same address or at another one.
func (s *schedule) lose(r *replica, moved bool) {
	l := s.leader()
	if l == nil || r.lost {
		return
	}
	for _, m := range []Membership{l.node.members, l.node.MembersAt(l.node.commit)} {
		for id, x := range m {
			if x.Voter && s.replicas[id].lost {
				return
			}
		}
	}
	s.wipe(r)
	address := r.address
	if moved {
		address = fmt.Sprint("m", s.joined)
	}
	s.join(address)
}

// wipe ends a replica for good.
func (s *schedule) wipe(r *replica) {
	s.crash(r)
	r.lost = true
	r.disk = disk{}
}

// join starts an empty replica under a new identity.
func (s *schedule) join(address string) {
	id := ID(fmt.Sprint("n", s.joined))
	s.joined++
	s.add(id, address, disk{snapshot: Snapshot{Meta: SnapshotMeta{Members: Membership{}}}})
}

// retire asks for one replica to be emptied, while no other one is; an empty one
// joins at another address.
func (s *schedule) retire(r *replica) {
	for _, other := range s.replicas {
		if other.retiring && !other.lost {
			return
		}
	}
	if r.lost || s.leader() == nil {
		return
	}
	r.retiring = true
	s.join(fmt.Sprint("e", s.joined))
}

// operate repairs the membership by one step, as an operator does.
func (s *schedule) operate() {
	l := s.leader()
	if l == nil {
		return
	}
	s.empty(l)
	next := l.node.members.Clone()
	for _, id := range s.order {
		r := s.replicas[id]
		m, in := next[id]
		heir := s.heir(next, r)
		switch {
		case r.lost && m.Voter && heir != nil && s.rnd.IntN(2) == 0:
			delete(next, id)
			next[heir.id] = Member{ID: heir.id, Address: heir.address, Voter: true}
		case (r.lost || r.retiring) && in && (!m.Voter || next.Voters() > 3):
			delete(next, id)
		case !r.lost && !r.retiring && !in:
			next[id] = Member{ID: id, Address: r.address}
		case !r.lost && !r.retiring && in && !m.Voter:
			next[id] = Member{ID: id, Address: r.address, Voter: true}
		default:
			continue
		}
		break
	}
	_, _, _ = l.node.ProposeMembers(l.clock(s.real), next)
	s.work(l)
}

// heir returns the learner at the address of a lost replica, if there is one.
func (s *schedule) heir(m Membership, lost *replica) *replica {
	for _, id := range s.order {
		x, in := m[id]
		if r := s.replicas[id]; in && !x.Voter && !r.lost && lost.lost && r.address == lost.address {
			return r
		}
	}
	return nil
}

// empty wipes the replica that has left the committed membership on request.
func (s *schedule) empty(l *replica) {
	committed := l.node.MembersAt(l.node.commit)
	for _, id := range s.order {
		r := s.replicas[id]
		_, in := committed[id]
		_, proposed := l.node.members[id]
		if r.retiring && !r.lost && !in && !proposed {
			s.wipe(r)
		}
	}
}

// flip asks for a change of one or two replicas between voter and learner; two
// must be refused: nobody lost a disk. At least three voters stay.
func (s *schedule) flip(r *replica, two bool) {
	for _, id := range s.order {
		l := s.replicas[id]
		if l.node == nil || l.frozen || l.node.role != Leader {
			continue
		}
		next := l.node.members.Clone()
		s.toggle(next, r)
		if two {
			s.toggle(next, s.replicas[s.order[s.rnd.IntN(len(s.order))]])
		}
		if next.Voters() < 3 {
			continue
		}
		apart := l.node.members.OneApart(next)
		if _, _, err := l.node.ProposeMembers(l.clock(s.real), next); err == nil && !apart {
			s.fail("%s changed two votes at once", l.id)
		}
		s.work(l)
	}
}

// toggle leaves a lost identity alone: no operator makes it a voter.
func (s *schedule) toggle(m Membership, r *replica) {
	if x, ok := m[r.id]; ok && !r.lost {
		x.Voter = !x.Voter
		m[r.id] = x
	}
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

func (s *schedule) recover(r *replica) {
	chance := func(k int) bool { return s.rnd.IntN(k) == 0 }
	if r.node == nil && chance(6) {
		s.restart(r)
	}
	r.frozen = r.frozen && !chance(20)
	r.deaf = r.deaf && !chance(30)
	r.mute = r.mute && !chance(30)
	if chance(60) {
		for _, id := range s.order {
			delete(s.cut, [2]ID{r.id, id})
		}
	}
}

// heal ends all faults.
func (s *schedule) heal() {
	s.loss, s.delay = 0, 2
	clear(s.cut)
	for _, id := range s.order {
		r := s.replicas[id]
		r.frozen, r.deaf, r.mute, r.crashAt = false, false, false, 0
		s.restart(r)
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

// formLate lets some founders start later than the others, as when a group forms
// from machines that do not boot at the same time.
func (s *schedule) formLate(seed uint64) {
	for i, id := range s.order {
		if seed>>i&1 == 1 {
			s.crash(s.replicas[id])
		}
	}
}
