package control

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// Shape and timing of the simulated deployment.
const (
	simMachines      = 10
	simFounders      = 3
	simVoters        = 5
	simRestart       = time.Second             // from a loss of power until the machine is back
	simReadFolder    = 900 * time.Millisecond  // longest time to open a data folder
	simWriteSnapshot = 800 * time.Millisecond  // longest time to write a snapshot
	simProbe         = 600 * time.Millisecond  // longest time until the gossip lists a daemon
	simSeedRetry     = 5500 * time.Millisecond // longest time between attempts of the gossip to reach a seed
	simListedDead    = 3 * time.Second         // longest time that the gossip lists a dead daemon
	simRepairTime    = 6 * time.Second         // a replica is replaced this long after its machine is back
	simReadable      = 15 * time.Second        // everything acknowledged can be read this long after a fault
	simMaxDisksLost  = 2
	simSplit         = 4 * time.Second
	simLongestRun    = 5 * time.Minute
	simWarmUp        = 40 * time.Second
	simRetirePolling = 200 * time.Millisecond
)

// simEpoch is the wall-clock time at virtual time 0.
var simEpoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// simDeployment simulates the control group of a deployment in virtual time: the
// consensus core of each replica, the decisions about the membership, the disks, the
// network and the list of live daemons.
type simDeployment struct {
	rnd       *rand.Rand
	now       time.Duration
	events    simEvents
	eventsSet int
	machines  []*simMachine
	listings  []*simListing
	side      map[*simMachine]int // of the split network; nil: no split
	losses    []*simLoss
	voters    int           // desired number
	maxLost   int           // disks that may be lost at the same time
	repair    time.Duration // a replica is replaced this long after its machine is back
	maxSync   time.Duration // longest sync of a disk
	recovery  time.Duration // everything acknowledged can be read this long after a fault
	transfer  time.Duration // of a snapshot
	compactAt uint64        // log entries from one snapshot to the next
	perUpdate time.Duration // from one proposal to the next
	onPropose func()        // called at the next proposal
	onAck     func()        // called at the next acknowledgement
	// losesUnsent is set if a message that is in flight when its sender ends may be lost.
	losesUnsent bool
	// namesAll is set if the settings of a new process name all machines of that moment, not
	// only the founders.
	namesAll bool

	committed map[uint64]uint64 // term by index of every entry that a replica has applied
	acked     uint64            // highest index of an acknowledged proposal
	ackedBy   []string          // addresses that stored entries, the last one last
	added     int               // identities added since the start
	failure   string
	trace     []string
}

// simLoss is the loss of a disk or of a machine.
type simLoss struct {
	back time.Duration // when the machine was back, also after a loss of power since; 0: not yet
}

// simListing is the description of a daemon in the gossip.
type simListing struct {
	machine     *simMachine
	member      consensus.Member
	from, until time.Duration
}

func newSimDeployment(seed uint64) *simDeployment {
	s := &simDeployment{rnd: rand.New(rand.NewPCG(seed, 2)), committed: map[uint64]uint64{}, voters: simVoters, maxLost: simMaxDisksLost, repair: simRepairTime, recovery: simReadable}
	s.maxSync = []time.Duration{2, 10, 60}[s.rnd.IntN(3)] * time.Millisecond
	s.transfer = s.between(100*time.Millisecond, 5*time.Second)
	s.perUpdate = s.between(20*time.Millisecond, time.Second)
	s.compactAt = 5 + uint64(s.between(s.transfer, 4*s.transfer)/s.perUpdate)
	s.form(simMachines)
	return s
}

// form creates the machines, of which the first are founders, and boots them.
func (s *simDeployment) form(machines int) {
	founders := consensus.Membership{}
	for i := range machines {
		m := s.addMachine()
		if i < simFounders {
			id := founderID(m.address)
			founders[id] = consensus.Member{ID: id, Address: m.address, Zone: m.zone, Voter: true}
		}
	}
	for _, m := range s.machines[:simFounders] {
		m.disk = &simDisk{id: founderID(m.address), hard: consensus.HardState{Term: 1, Commit: 1}}
		m.disk.snapshot.Meta = consensus.SnapshotMeta{Index: InitialIndex, Term: 1, Members: founders}
	}
	for _, m := range s.machines {
		s.after(s.between(0, simReadFolder), m.boot)
	}
	s.after(0, s.update)
}

func (s *simDeployment) addMachine() *simMachine {
	i := len(s.machines)
	m := &simMachine{s: s, address: fmt.Sprintf("m%02d", i), zone: fmt.Sprint("z", i%3)}
	s.machines = append(s.machines, m)
	return m
}

func (s *simDeployment) between(a, b time.Duration) time.Duration {
	return a + time.Duration(s.rnd.Int64N(int64(b-a)+1))
}

// after schedules f.
func (s *simDeployment) after(d time.Duration, f func()) {
	s.eventsSet++
	heap.Push(&s.events, simEvent{s.now + d, s.eventsSet, f})
}

// run runs until virtual time end, or until a check has failed.
func (s *simDeployment) run(end time.Duration) { s.runUntil(end, func() bool { return false }) }

// runUntil runs until done returns true. It returns false if that has not happened by
// virtual time end, or if a check has failed.
func (s *simDeployment) runUntil(end time.Duration, done func() bool) bool {
	for s.failure == "" && !done() {
		if len(s.events) == 0 || s.events[0].at > end {
			s.now = end
			return false
		}
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	return s.failure == ""
}

func (s *simDeployment) logf(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%7.3f ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

func (s *simDeployment) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
		s.logf("FAILED: %s", s.failure)
	}
}

// running returns the running replicas in a fixed order.
func (s *simDeployment) running() []*simProcess {
	var out []*simProcess
	for _, m := range s.machines {
		if m.process != nil {
			out = append(out, m.process)
		}
	}
	return out
}

func (s *simDeployment) machine(address string) *simMachine {
	for _, m := range s.machines {
		if m.address == address && !m.gone {
			return m
		}
	}
	return nil
}

func (s *simDeployment) connected(a, b *simMachine) bool {
	return a != nil && b != nil && (s.side == nil || s.side[a] == s.side[b])
}

// leader returns the replica that holds a lease, or nil.
func (s *simDeployment) leader() *simProcess {
	for _, p := range s.running() {
		if p.frozen {
			continue
		}
		if _, ok := p.node.ReadIndex(s.now); ok {
			return p
		}
	}
	return nil
}

// readable reports whether a replica serves a read that contains everything acknowledged.
func (s *simDeployment) readable() bool {
	l := s.leader()
	return l != nil && l.applied >= s.acked
}

// named returns the machines that the settings of a new process name.
func (s *simDeployment) named() []*simMachine {
	if s.namesAll {
		return s.machines
	}
	return s.machines[:simFounders]
}

// discoverable reports whether an entry that has only the addresses in its settings finds a
// replica.
func (s *simDeployment) discoverable() bool {
	return slices.ContainsFunc(s.named(), func(m *simMachine) bool {
		return !m.gone && (m.process != nil || slices.ContainsFunc(s.running(), func(p *simProcess) bool { return p.madeKnownTo(m) }))
	})
}

// update proposes a change of the configuration at the replicas that act as the leader.
func (s *simDeployment) update() {
	for _, p := range s.running() {
		if p.node.Status().Role == consensus.Leader {
			p.propose("update", func(index uint64) {
				s.acked = max(s.acked, index)
				if f := s.onAck; f != nil {
					s.onAck = nil
					f()
				}
			})
		}
	}
	if f := s.onPropose; f != nil && s.leader() != nil {
		s.onPropose = nil
		f()
	}
	s.after(s.between(s.perUpdate/2, 3*s.perUpdate/2), s.update)
}

// live returns the replicas that the gossip of p lists.
func (s *simDeployment) live(p *simProcess) []consensus.Member {
	var out []consensus.Member
	for _, l := range s.listings {
		if l.machine == p.machine && l.member.ID == p.id || l.from <= s.now && s.now < l.until && s.now >= p.gossipFrom {
			out = append(out, l.member)
		}
	}
	slices.SortFunc(out, func(a, b consensus.Member) int { return strings.Compare(a.Address, b.Address) })
	return out
}

// list adds the daemon of p to the gossip; its older description disappears.
func (s *simDeployment) list(p *simProcess) {
	p.gossipFrom = s.now + s.between(simProbe/6, simProbe)
	s.unlist(p.machine, p.gossipFrom)
	m := consensus.Member{ID: p.id, Address: p.machine.address, Zone: p.machine.zone}
	s.listings = append(s.listings, &simListing{machine: p.machine, member: m, from: p.gossipFrom, until: simLongestRun})
}

func (s *simDeployment) unlist(m *simMachine, at time.Duration) {
	s.listings = slices.DeleteFunc(s.listings, func(l *simListing) bool { return l.until < s.now })
	for _, l := range s.listings {
		if l.machine == m {
			l.until = min(l.until, at)
		}
	}
}

// repaired reports whether the group must have replaced what l is the loss of.
func (s *simDeployment) repaired(l *simLoss) bool {
	return l.back > 0 && s.now >= l.back+s.repair
}

// mayLose reports whether count more disks may be lost now.
func (s *simDeployment) mayLose(count int) bool {
	for _, l := range s.losses {
		if !s.repaired(l) {
			count++
		}
	}
	return count <= s.maxLost
}
