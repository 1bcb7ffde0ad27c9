package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// simDisk is the durable state of a simulated replica.
type simDisk struct {
	id       consensus.ID
	hard     consensus.HardState
	snapshot consensus.Snapshot
	entries  []consensus.Entry
}

// persist stores what r requires to be durable.
func (d *simDisk) persist(r consensus.Ready) {
	if r.Snapshot != nil {
		d.snapshot, d.entries = *r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		unchanged := r.Entries[0].Index - d.snapshot.Meta.Index - 1
		d.entries = append(slices.Clone(d.entries[:unchanged]), r.Entries...)
	}
	if r.HardState != nil {
		d.hard = *r.HardState
	}
}

// simMachine is a simulated machine that runs a replica.
type simMachine struct {
	s        *simDeployment
	address  string
	zone     string
	disk     *simDisk // nil: the data folder is empty
	process  *simProcess
	joining  bool // the process waits for the control group
	bootAt   time.Duration
	boots    int  // invalidates the joining of an earlier process
	gone     bool // for good
	retiring bool
	loss     *simLoss      // the newest one
	slowSync time.Duration // added to each sync of its disk
}

// boot starts the process, unless it runs.
func (m *simMachine) boot() {
	if m.gone || m.process != nil || m.joining {
		return
	}
	if m.loss != nil && (m.loss.back == 0 || !m.s.repaired(m.loss)) {
		m.loss.back = m.s.now
	}
	m.bootAt = m.s.now
	if m.disk == nil {
		m.joining = true
		m.join(m.boots)
		return
	}
	newSimProcess(m)
}

// join asks the replicas that it knows for the control group, as JoinCluster does, and then
// starts a replica with a new identity.
func (m *simMachine) join(boot int) {
	if boot != m.boots || m.gone {
		return
	}
	for _, p := range m.s.running() {
		if m.knows(p) && m.s.connected(m, p.machine) && p.knowsLeader() {
			m.s.added++
			m.disk = &simDisk{id: consensus.ID(fmt.Sprintf("%s.%03d", m.address, m.s.added))}
			m.disk.snapshot.Meta.Members = consensus.Membership{}
			m.joining = false
			newSimProcess(m)
			return
		}
	}
	m.s.after(joinRetryInterval, func() { m.join(boot) })
}

// answerAbsent answers m of p in the place of the replica that has lost its disk here, as
// Absence does.
func (m *simMachine) answerAbsent(p *simProcess, message consensus.Message) {
	reply, ok := consensus.AbsentReply(uint32(1+m.boots), message)
	if !ok || !m.joining || !m.s.connected(m, p.machine) {
		return
	}
	m.s.after(m.s.between(200*time.Microsecond, 3*time.Millisecond), func() {
		if m.s.connected(m, p.machine) {
			p.enqueueIfRuns(func() { p.node.Step(p.s.now, reply) })
		}
	})
}

// knows reports whether a process without data on m knows p: p runs on a machine that its
// settings name, or has made itself known through the gossip to m or to a founder. It does so
// at the addresses of the founders and of its membership.
func (m *simMachine) knows(p *simProcess) bool {
	founders := m.s.machines[:simFounders]
	if slices.Contains(m.s.named(), p.machine) {
		return true
	}
	member := false
	for _, x := range p.node.Status().Members {
		member = member || x.Address == m.address
	}
	return member && p.madeKnownTo(m) || slices.ContainsFunc(founders, p.madeKnownTo)
}

// crash ends the process at once. Writes that were not synced are lost.
func (m *simMachine) crash() {
	m.boots++
	m.process, m.joining = nil, false
	m.s.unlist(m, m.s.now+m.s.between(simListedDead/3, simListedDead))
}

// losePower crashes the machine and boots it again.
func (m *simMachine) losePower() {
	if m.gone {
		return
	}
	m.crash()
	boots := m.boots
	m.s.after(simRestart+m.s.between(0, simReadFolder), func() {
		if boots == m.boots { // no other loss of power since
			m.boot()
		}
	})
}

// wipe crashes the machine, deletes its disk and boots it again after d.
func (m *simMachine) wipe(d time.Duration) {
	m.crash()
	m.disk = nil
	m.loss = &simLoss{}
	m.s.losses = append(m.s.losses, m.loss)
	m.s.after(d, m.boot)
}

// leave removes the machine with its disk for good.
func (m *simMachine) leave() {
	m.crash()
	m.gone, m.disk = true, nil
}
