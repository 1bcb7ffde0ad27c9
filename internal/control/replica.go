package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/storage"
)

// Timing and bounds of a replica.
const (
	tickInterval      = 20 * time.Millisecond
	maxPendingPerSync = 512  // proposals and messages processed before one sync of the log
	maxChanges        = 1024 // configuration changes retained for followers
	// maxChangeBytes bounds the total size of these changes, because one change may
	// replace all routes.
	maxChangeBytes = 1 << 20
	// A new snapshot is written once snapshotEntries log entries follow the last one,
	// unless the size of these entries has reached largeSnapshotBytes.
	snapshotEntries = 1000
	// Whatever their number, a new snapshot is also written once the log entries after
	// the last one reach the larger of snapshotBytes and twice the size of the last
	// snapshot. A restart replays snapshotBytes in well under a second.
	snapshotBytes = 16 << 20
	// largeSnapshotBytes is the size of the log entries after the last snapshot at which
	// their number no longer matters.
	largeSnapshotBytes = 1 << 20
)

// Replica is one member of the control group. Its loop owns node, disk and state. All
// other goroutines send requests through channels or read published values.
type Replica struct {
	log       *log.Logger
	client    *peer.Client
	cluster   string
	address   string // own peer address
	disk      *storage.Disk
	node      *consensus.Node
	state     *state.State
	startedAt time.Duration // on the boot clock; origin of the times of node
	openedAt  time.Duration // on the boot clock; before the data folder was read
	phases    phaseTimer
	// wallClock is time.Now; tests set it.
	wallClock  func() time.Time
	groupClock groupClock

	inbox            chan StepNotice
	proposals        chan *proposal
	tasks            chan func()
	preparedSnapshot chan preparedSnapshot

	writingSnapshot bool                   // a snapshot is being written in the background
	compactTo       consensus.SnapshotMeta // newest snapshot that replaces log entries; see compactLog
	snapshotWriter  sync.WaitGroup         // the goroutine that writes it

	pendingProposals   map[uint64]*proposal    // by log index
	senderAddresses    map[consensus.ID]string // newest address from which each replica sent a message
	indexWaits         []appliedWait
	changes            []Change
	bytesSinceSnapshot int // size of the log entries applied since the last snapshot
	// changeBytes holds the sizes of the elements of changes, oldest first.
	changeBytes []int

	batchChanged       map[string]chan struct{} // by batch job ID; closed when the batch job changes
	openBatchesChanged chan struct{}            // closed when the set of open batch jobs changes
	batchChangedMu     sync.Mutex

	mu            sync.Mutex
	configChanged chan struct{}         // closed when the configuration changes
	retiring      map[consensus.ID]bool // replicas that are being retired; replaced, never changed

	snapshotTransferMu sync.Mutex
	sendingSnapshotTo  map[consensus.ID]bool
	snapshotTransfers  map[uint64]chan SnapshotAck       // being sent, by ID
	receivedSnapshots  map[consensus.ID]receivedSnapshot // not complete yet, by sender

	leadership atomic.Pointer[Leadership]
	status     atomic.Pointer[consensus.Status]
	config     atomic.Pointer[state.Config]
	done       chan struct{}
}

// proposal is a command or membership change that waits for its commit.
type proposal struct {
	command state.Command
	change  memberChange // set instead of command for a membership change
	term    uint64
	reply   chan proposalResult
}

// memberChange returns the next membership, given the newest one. It runs in the loop,
// because otherwise it could undo a change made between reading and proposing.
type memberChange func(consensus.Membership) consensus.Membership

type proposalResult struct {
	outcome state.Outcome
	err     error
}

// appliedWait waits until the log entry at index is applied; then ready is closed.
type appliedWait struct {
	index uint64
	ready chan struct{}
}

// Open loads a replica from its data folder. The caller must then call Run. address is
// the replica's own peer address.
func Open(dir, address string, client *peer.Client, logger *log.Logger) (*Replica, storage.Identity, error) {
	openedAt := clock.Now()
	disk, l, err := storage.Open(dir)
	if err != nil {
		return nil, l.Identity, err
	}
	st, err := state.Decode(l.Snapshot.Data)
	if err != nil {
		return nil, l.Identity, err
	}
	r := &Replica{
		log: logger, client: client, cluster: l.Identity.Cluster, address: address,
		disk: disk, state: st, startedAt: clock.Now(), openedAt: openedAt, wallClock: time.Now,
		inbox:            make(chan StepNotice, 4096),
		proposals:        make(chan *proposal, 4096),
		tasks:            make(chan func(), 256),
		preparedSnapshot: make(chan preparedSnapshot, 1),
		pendingProposals: map[uint64]*proposal{},
		senderAddresses:  map[consensus.ID]string{},
		configChanged:    make(chan struct{}),
		batchChanged:     map[string]chan struct{}{}, openBatchesChanged: make(chan struct{}),
		sendingSnapshotTo: map[consensus.ID]bool{}, snapshotTransfers: map[uint64]chan SnapshotAck{}, receivedSnapshots: map[consensus.ID]receivedSnapshot{},
		done: make(chan struct{}),
	}
	r.node = consensus.New(consensus.Config{
		ID: l.Identity.ID, Hard: l.Hard, Snapshot: l.Snapshot.Meta, Entries: l.Entries,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	r.groupClock = groupClock{}.advanceTo(st.Ledger.Time, r.startedAt).advanceTo(lastCommandTime(l.Entries), r.startedAt)
	r.leadership.Store(&Leadership{})
	logger.Info("Data folder read.", "id", l.Identity.ID, "cluster", l.Identity.Cluster, "term", l.Hard.Term, "vote", l.Hard.Vote, "commit", l.Hard.Commit,
		"snapshot", l.Snapshot.Meta.Index, "snapshot_bytes", len(l.Snapshot.Data), "entries", len(l.Entries), "ms", r.upMs())
	r.publishRetiring()
	r.publish()
	return r, l.Identity, nil
}

// now returns the time since Open on the boot clock. It includes the time during which
// the machine was suspended, as leases require.
func (r *Replica) now() consensus.Time { return clock.Now() - r.startedAt }

// Run is the replica's loop. It returns nil when ctx ends, or an error when the data
// folder fails.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.done)
	defer r.disk.Close()
	defer r.snapshotWriter.Wait()
	defer r.leadership.Store(&Leadership{})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	r.phases.last = clock.Now()
	for {
		var err error
		var task func()
		select {
		case <-ctx.Done():
			r.failPendingProposals()
			return nil
		case p := <-r.preparedSnapshot:
			task = func() { err = r.activateSnapshot(p) }
		case <-ticker.C:
			task = r.compactLog
		case n := <-r.inbox:
			task = func() { r.stepCore(n) }
		case p := <-r.proposals:
			task = func() { r.startProposal(p) }
		case task = <-r.tasks:
		}
		r.phases.end(phaseWait)
		task()
		r.processPending()
		r.node.Tick(r.now())
		r.phases.end(phaseReceive)
		if err == nil {
			err = r.processReady()
		}
		if err != nil {
			r.log.Error("Data folder failed and the replica stops.", "err", err.Error())
			r.failPendingProposals()
			return err
		}
		r.publish()
		r.phases.end(phaseReceive)
		r.phases.report(r.log)
	}
}

// processPending processes the messages and proposals that are already queued, at most
// maxPendingPerSync, so that one sync of the log covers them all.
func (r *Replica) processPending() {
	for range maxPendingPerSync {
		select {
		case n := <-r.inbox:
			r.stepCore(n)
		case p := <-r.proposals:
			r.startProposal(p)
		default:
			return
		}
	}
}

func (r *Replica) stepCore(n StepNotice) {
	r.senderAddresses[n.Message.From] = n.Address
	r.node.Step(r.now(), n.Message)
}

// startProposal proposes p to the consensus core and registers it under its log index.
func (r *Replica) startProposal(p *proposal) {
	var index, term uint64
	var err error
	if p.change != nil {
		index, term, err = r.node.ProposeMembers(r.now(), p.change(r.node.Status().Members))
	} else {
		wall := r.wallClock().UTC()
		p.command.At, p.command.GroupTime = wall, r.groupClock.now(clock.Now(), wall)
		var b []byte
		if b, err = p.command.Encode(); err == nil {
			index, term, err = r.node.Propose(r.now(), b)
		}
	}
	if err != nil {
		p.reply <- proposalResult{err: proposeError(err)}
		return
	}
	p.term = term
	if old := r.pendingProposals[index]; old != nil {
		old.reply <- proposalResult{err: errEntryReplaced()}
	}
	r.pendingProposals[index] = p
}

func proposeError(err error) error {
	if err == consensus.ErrNotLeader {
		return result.NewRetryAfter(result.NotLeader, time.Second, "this replica is not the leader")
	}
	return result.New(result.MemberConflict, "%v", err)
}

// processReady stores, sends and applies what the consensus core returns, in the order
// that the core requires.
func (r *Replica) processReady() error {
	for {
		rd := r.node.Ready()
		if rd.Empty() {
			return nil
		}
		if rd.Snapshot != nil {
			if err := r.installSnapshot(*rd.Snapshot); err != nil {
				return err
			}
		}
		if err := r.disk.Append(rd.HardState, rd.Entries); err != nil {
			return err
		}
		r.phases.end(phaseStore)
		r.send(rd.Messages)
		r.phases.end(phaseSend)
		for _, e := range rd.Committed {
			if err := r.apply(e); err != nil {
				return err
			}
		}
		r.node.Advance(rd)
		r.phases.end(phaseApply)
		if err := r.startSnapshot(); err != nil {
			return err
		}
		r.phases.end(phaseCompact)
	}
}

// installSnapshot stores a snapshot from the leader and replaces the state with it.
func (r *Replica) installSnapshot(s consensus.Snapshot) error {
	st, err := state.Decode(s.Data)
	if err != nil {
		return err
	}
	if err := r.disk.SaveSnapshot(s, nil); err != nil {
		return err
	}
	r.state = st
	r.groupClock = r.groupClock.advanceTo(st.Ledger.Time, clock.Now())
	r.changes, r.changeBytes = nil, nil
	r.bytesSinceSnapshot = 0
	r.notifyAllBatches()
	r.publishRetiring()
	return nil
}

func (r *Replica) send(ms []consensus.Message) {
	members := r.node.Status().Members
	for _, m := range ms {
		address := members[m.To].Address
		if address == "" {
			address = r.senderAddresses[m.To]
		}
		switch {
		case address == "":
		case m.Kind == consensus.MsgSnapshot:
			r.sendSnapshot(address, m)
		default:
			r.client.Notify(address, MethodStep, StepNotice{Cluster: r.cluster, Address: r.address, Message: m})
		}
	}
}

// apply applies a committed log entry and replies to its proposal, if there is one here.
func (r *Replica) apply(e consensus.Entry) error {
	var o state.Outcome
	if e.Kind == consensus.EntryCommand {
		c, err := state.DecodeCommand(e.Data)
		if err != nil {
			return result.New(result.DataCorrupt, "log entry %d: %v", e.Index, err)
		}
		before := r.state.Config.Version
		o = r.state.Apply(c)
		r.groupClock = r.groupClock.advanceTo(c.Time(), clock.Now())
		r.notifyBatchReaders(c)
		if c.RetireMark != nil {
			r.publishRetiring()
		}
		if v := r.state.Config.Version; v != before {
			r.changes = append(r.changes, Change{Version: v, Command: c.WithoutRoutingSource()})
			r.changes = r.changes[max(0, len(r.changes)-maxChanges):]
			r.changeBytes = append(r.changeBytes, len(e.Data))
			r.trimChanges()
		}
	}
	r.bytesSinceSnapshot += len(e.Data)
	p := r.pendingProposals[e.Index]
	if p == nil {
		return nil
	}
	delete(r.pendingProposals, e.Index)
	if p.term != e.Term {
		p.reply <- proposalResult{err: errEntryReplaced()}
		return nil
	}
	p.reply <- proposalResult{outcome: o}
	return nil
}

// publish makes status, leadership and configuration readable outside the loop, and
// notifies the goroutines that wait for a new configuration or an applied index.
func (r *Replica) publish() {
	st := r.node.Status()
	r.logRoleChange(r.status.Swap(&st), &st)
	l := Leadership{}
	if until, ok := r.node.LeaseUntil(); ok {
		l = Leadership{Term: st.Term, Until: time.Now().Add(until - r.now()), BootUntil: r.startedAt + until}
	}
	r.logFirstLease(*r.leadership.Swap(&l), l, &st)
	if r.config.Swap(r.state.Config) != r.state.Config {
		r.mu.Lock()
		close(r.configChanged)
		r.configChanged = make(chan struct{})
		r.mu.Unlock()
	}
	waiting := r.indexWaits[:0]
	for _, w := range r.indexWaits {
		if w.index <= st.Applied {
			close(w.ready)
			continue
		}
		waiting = append(waiting, w)
	}
	r.indexWaits = waiting
	if st.Role != consensus.Leader && len(r.pendingProposals) > 0 {
		r.failPendingProposals()
	}
}

// errEntryReplaced returns the error of a proposal whose log entry another leader replaced.
func errEntryReplaced() error {
	return result.NewRetryAfter(result.NotLeader, time.Second, "another leader replaced the log entry of the proposal")
}

// failPendingProposals fails the pending proposals with CommitUnknown, because the next
// leader may have them in its log. This replica will not learn their outcome.
func (r *Replica) failPendingProposals() {
	for i, p := range r.pendingProposals {
		delete(r.pendingProposals, i)
		p.reply <- proposalResult{err: result.NewRetryAfter(result.CommitUnknown, time.Second, "the leader changed or the replica stopped before the commit was confirmed")}
	}
}

// Leadership returns the current leader lease of this replica.
func (r *Replica) Leadership() Leadership { return *r.leadership.Load() }

// Status returns the replica's view of the control group.
func (r *Replica) Status() consensus.Status { return *r.status.Load() }

// Done returns a channel that is closed when the replica has stopped.
func (r *Replica) Done() <-chan struct{} { return r.done }
