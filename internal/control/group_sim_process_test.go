package control

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// simProcess simulates the process of a replica: its loop, which waits for each sync of
// the disk, and its membership reconciler.
type simProcess struct {
	s          *simDeployment
	machine    *simMachine
	id         consensus.ID
	disk       *simDisk
	node       *consensus.Node
	replica    *Replica // holds only what the reconciler reads
	reconciler *MembershipReconciler
	busy       bool
	inbox      []func()
	senders    map[consensus.ID]string
	sendingTo  map[consensus.ID]bool
	pending    map[uint64]simProposal
	changing   bool
	writing    bool // a snapshot
	applied    uint64
	retired    []string
	leaseEnd   time.Duration
	gossipFrom time.Duration // when its gossip has heard from the others
	frozen     bool
	synced     func() // the sync that ended during the freeze
}

type simProposal struct {
	term uint64
	done func(index uint64) // called with 0 when the outcome is unknown
}

func newSimProcess(m *simMachine) {
	p := &simProcess{s: m.s, machine: m, id: m.disk.id, disk: m.disk, senders: map[consensus.ID]string{}, sendingTo: map[consensus.ID]bool{}, pending: map[uint64]simProposal{}}
	m.process = p
	p.node = consensus.New(consensus.Config{
		ID: p.id, Hard: p.disk.hard, Snapshot: p.disk.snapshot.Meta, Entries: p.disk.entries,
		Now: p.s.now, Rand: rand.New(rand.NewPCG(p.s.rnd.Uint64(), 3)), Restarted: true,
	})
	p.load(p.disk.snapshot)
	p.replica = &Replica{}
	p.reconciler = NewMembershipReconciler(p.replica, func() []consensus.Member { return p.s.live(p) }, func() int { return p.s.voters }, nil)
	p.s.list(p)
	p.every(tickInterval, func() { p.enqueue(func() {}) })
	p.every(reconcileInterval, p.reconcile)
	p.s.logf("%s starts at term %d, commit %d, last %d", p.id, p.disk.hard.Term, p.disk.hard.Commit, p.node.Status().LastIndex)
}

// every calls f at an interval while the process runs.
func (p *simProcess) every(d time.Duration, f func()) {
	var loop func()
	loop = func() {
		if p.runs() {
			if !p.frozen {
				f()
			}
			p.s.after(d, loop)
		}
	}
	p.s.after(p.s.between(0, d), loop)
}

func (p *simProcess) runs() bool { return p.machine.process == p }

func (p *simProcess) enqueueIfRuns(f func()) {
	if p.runs() {
		p.enqueue(f)
	}
}

// enqueue passes f to the loop.
func (p *simProcess) enqueue(f func()) {
	p.inbox = append(p.inbox, f)
	if !p.busy && !p.frozen {
		p.work()
	}
}

// work does what the replica's loop does until nothing is left or a sync has begun.
func (p *simProcess) work() {
	for _, f := range p.inbox {
		f()
	}
	p.inbox = nil
	p.node.Tick(p.s.now)
	p.replica.node = p.node
	p.replica.compactLog()
	for {
		rd := p.node.Ready()
		if rd.Empty() {
			break
		}
		if rd.HardState != nil || len(rd.Entries) > 0 || rd.Snapshot != nil {
			p.busy = true
			p.synced = nil
			p.s.after(p.machine.slowSync+p.s.between(time.Millisecond, p.s.maxSync), func() {
				end := func() {
					p.finish(rd)
					p.busy = false
					st := p.node.Status()
					p.replica.status.Store(&st)
					p.work()
				}
				switch {
				case p.frozen:
					p.synced = end
				case p.runs():
					end()
				}
			})
			return
		}
		p.finish(rd)
	}
	p.publish()
}

// finish stores, sends and applies rd.
func (p *simProcess) finish(rd consensus.Ready) {
	p.disk.persist(rd)
	if len(rd.Entries) > 0 {
		p.s.ackedBy = append(p.s.ackedBy, p.machine.address)
	}
	members := p.node.Status().Members
	for _, m := range rd.Messages {
		p.send(members, m)
	}
	if rd.Snapshot != nil {
		p.load(*rd.Snapshot)
	}
	for _, e := range rd.Committed {
		p.apply(e)
	}
	p.node.Advance(rd)
	p.compact()
}

func (p *simProcess) load(s consensus.Snapshot) {
	p.applied, p.retired = s.Meta.Index, nil
	if len(s.Data) > 0 {
		p.retired = strings.Split(string(s.Data), " ")
	}
	if t, ok := p.s.committed[p.applied]; ok && t != s.Meta.Term {
		p.s.fail("%s loads a snapshot at index %d with term %d instead of %d", p.id, p.applied, s.Meta.Term, t)
	}
}

func (p *simProcess) apply(e consensus.Entry) {
	if t, ok := p.s.committed[e.Index]; ok && t != e.Term || e.Index != p.applied+1 {
		p.s.fail("%s applies index %d of term %d after %d, others applied it with term %d", p.id, e.Index, e.Term, p.applied, t)
	}
	p.s.committed[e.Index] = e.Term
	p.applied = e.Index
	if id, ok := strings.CutPrefix(string(e.Data), "retire "); ok && e.Kind == consensus.EntryCommand {
		p.retired = append(p.retired, id)
	}
	if w, ok := p.pending[e.Index]; ok {
		delete(p.pending, e.Index)
		if w.term == e.Term {
			w.done(e.Index)
		} else {
			w.done(0)
		}
	}
}

// compact writes a snapshot once the log is long enough. Later the snapshot replaces the
// log entries that it covers.
func (p *simProcess) compact() {
	if p.writing || p.applied < p.disk.snapshot.Meta.Index+p.s.compactAt {
		return
	}
	t, _ := p.node.TermAt(p.applied)
	meta := consensus.SnapshotMeta{Index: p.applied, Term: t, Members: p.node.MembersAt(p.applied)}
	next := consensus.Snapshot{Meta: meta, Data: []byte(strings.Join(p.retired, " "))}
	p.writing = true
	p.s.after(p.s.between(simWriteSnapshot/10, simWriteSnapshot), func() {
		p.enqueueIfRuns(func() {
			p.writing = false
			if meta.Index > p.disk.snapshot.Meta.Index {
				p.disk.snapshot, p.disk.entries = next, p.node.EntriesAfter(meta.Index)
				p.replica.node, p.replica.compactTo = p.node, meta
			}
		})
	})
}

func (p *simProcess) send(members consensus.Membership, m consensus.Message) {
	address := members[m.To].Address
	if address == "" {
		address = p.senders[m.To]
	}
	delay := p.s.between(200*time.Microsecond, 3*time.Millisecond)
	if m.Kind == consensus.MsgSnapshot {
		if p.sendingTo[m.To] {
			return
		}
		p.sendingTo[m.To] = true
		p.node.SnapshotStarted(m.To)
		snapshot := p.disk.snapshot
		m.Snapshot = &snapshot
		delay = p.s.between(p.s.transfer/2, p.s.transfer)
	}
	receiver := p.s.machine(address)
	if receiver == nil || !p.s.connected(p.machine, receiver) {
		receiver = nil
	}
	var process *simProcess
	if receiver != nil {
		process = receiver.process
	}
	if receiver != nil && process == nil && receiver.joining {
		p.s.after(delay, func() { receiver.answerAbsent(p, m) })
	}
	p.s.after(delay, func() {
		received := process != nil && process.runs() && p.s.connected(p.machine, receiver)
		if p.s.losesUnsent && !p.runs() && p.s.rnd.IntN(2) == 0 || received && process.frozen && m.Kind == consensus.MsgSnapshot {
			received = false
		}
		if m.Kind == consensus.MsgSnapshot {
			delete(p.sendingTo, m.To)
			if !p.runs() {
				return
			}
			p.enqueue(func() {
				p.node.SnapshotSent(p.s.now, m.To, received && m.Term == p.node.Status().Term)
			})
		}
		if received {
			process.enqueue(func() {
				process.senders[m.From] = p.machine.address
				process.node.Step(process.s.now, m)
			})
		}
	})
}

// propose proposes a command. done is called with its index once it is committed.
func (p *simProcess) propose(command string, done func(index uint64)) {
	p.enqueue(func() {
		index, term, err := p.node.Propose(p.s.now, []byte(command))
		p.register(index, term, err, done)
	})
}

func (p *simProcess) register(index, term uint64, err error, done func(index uint64)) {
	if err != nil {
		done(0)
		return
	}
	p.pending[index] = simProposal{term, done}
}

// publish checks the lease and ends the proposals of a replica that is no longer the leader.
func (p *simProcess) publish() {
	st := p.node.Status()
	if old := p.replica.status.Swap(&st); old == nil || old.Role != st.Role {
		p.s.logf("%s has role %d in term %d, voters %s", p.id, st.Role, st.Term, describeVoters(st.Members))
	}
	if st.Role != consensus.Leader {
		for i, w := range p.pending {
			delete(p.pending, i)
			w.done(0)
		}
		return
	}
	until, ok := p.node.LeaseUntil()
	if !ok {
		return
	}
	p.leaseEnd = max(p.leaseEnd, until)
	if st.Commit < p.s.acked {
		p.s.fail("%s serves reads up to index %d, but %d is acknowledged", p.id, st.Commit, p.s.acked)
	}
	for _, o := range p.s.running() {
		if o != p && o.leaseEnd > p.s.now {
			p.s.fail("%s and %s both hold a lease", p.id, o.id)
		}
	}
}

// madeKnownTo reports whether the gossip of p has reached the running machine m, at one of
// the addresses of which p knows.
func (p *simProcess) madeKnownTo(m *simMachine) bool {
	up := !m.gone && (m.process != nil || m.joining)
	return up && p.s.connected(p.machine, m) && p.s.now >= max(m.bootAt, p.machine.bootAt)+simSeedRetry
}

// knowsLeader reports whether the replica can relay a call to the leader.
func (p *simProcess) knowsLeader() bool {
	st := p.node.Status()
	m := p.s.machine(st.Members[st.Leader].Address)
	return !p.frozen && m != nil && m.process != nil && !m.process.frozen && p.s.connected(p.machine, m) && m.process.node.Status().Role == consensus.Leader
}

// reconcile does what MembershipReconciler.reconcile does, in virtual time.
func (p *simProcess) reconcile() {
	r := p.reconciler
	st := p.replica.status.Load()
	if st == nil {
		return
	}
	p.replica.retiring = map[consensus.ID]bool{}
	for _, id := range p.retired {
		p.replica.retiring[consensus.ID(id)] = true
	}
	now := simEpoch.Add(p.s.now)
	_, leased := p.node.ReadIndex(p.s.now)
	leads := leased && st.Role == consensus.Leader
	if p.changing {
		return // reconcile waits for the commit of a change
	}
	r.observeLease(now, leads, st.Term)
	view := r.view(now)
	if !leads {
		return
	}
	next, reason, ok := view.NextChange()
	if !ok {
		return
	}
	p.changing = true
	p.s.after(callTimeout, func() { p.changing = false })
	p.enqueue(func() {
		if string(p.node.Status().Members.Encode()) != string(view.Members.Encode()) {
			p.changing = false
			return
		}
		index, term, err := p.node.ProposeMembers(p.s.now, next)
		if err != nil {
			p.s.logf("%s: %s: %v", p.id, reason, err)
		}
		p.register(index, term, err, func(index uint64) {
			p.changing = false
			if index > 0 {
				p.s.logf("%s: %s, voters %s", p.id, reason, describeVoters(next))
			}
		})
	})
}

func describeVoters(m consensus.Membership) string {
	var out []string
	for _, id := range m.IDs() {
		if m.IsVoter(id) {
			out = append(out, string(id))
		}
	}
	return strings.Join(out, " ")
}
