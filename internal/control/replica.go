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
	// the last one reach the larger of Replica.snapshotBytes and half the size of the last snapshot: the
	// log in memory is then smaller than the state. A restart replays maxLogBytes in well
	// under a second.
	maxLogBytes = 16 << 20
	// snapshotShare is the part of the budget for buffers, as a divisor, that the log entries after the
	// last snapshot may reach. With 16 MB of them, batch jobs took a replica of 64 MB to 72 MB, and
	// with a quarter of the budget to 58 to 65 MB.
	snapshotShare = 6
	// keptShare is the part of the budget, as a divisor, that the log and the state may use.
	keptShare = 4
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
	dir       string
	folders   folderAccess
	disk      dataFolder
	node      *consensus.Node
	state     *state.State
	startedAt time.Duration // on the boot clock; origin of the times of node
	openedAt  time.Duration // on the boot clock; before the data folder was read
	phases    phaseTimer
	obstacles obstacleLogs
	absence   leaderAbsence
	// wallClock is time.Now; tests set it.
	wallClock  func() time.Time
	groupClock groupClock
	// startClock is used by proposals until groupClock has started. It follows the wall clock at the
	// first of them, so that a step of the wall clock before the first commit does not count as time.
	startClock groupClock

	inbox            chan StepNotice
	proposals        chan *proposal
	tasks            chan func()
	preparedSnapshot chan preparedSnapshot

	writingSnapshot bool                   // a snapshot is being written in the background
	nextSnapshotAt  consensus.Time         // not before; 0 unless the last one could not be written
	compactTo       consensus.SnapshotMeta // newest snapshot that replaces log entries; see compactLog
	snapshotWriter  sync.WaitGroup         // the goroutine that writes it

	pendingProposals   map[uint64]*proposal // by log index
	proposalMemory     *proposalMemory
	senderAddresses    map[consensus.ID]string // newest address from which each replica sent a message
	indexWaits         []appliedWait
	changes            []Change
	bytesSinceSnapshot int // size of the log entries applied since the last snapshot
	// changeBytes holds the sizes of the elements of changes, oldest first.
	changeBytes    []int
	configEncoding configEncoding // of the newest configuration that a follower got as a whole

	batchChanged       map[string]chan struct{} // by batch job ID; closed when the batch job changes
	openBatchesChanged chan struct{}            // closed when the set of open batch jobs changes
	discardedJobs      *discardedJobs           // used by the loop only
	batchChangedMu     sync.Mutex

	mu            sync.Mutex
	configChanged chan struct{}         // closed when the configuration changes
	retiring      map[consensus.ID]bool // replicas that are being retired; replaced, never changed

	snapshotTransferMu sync.Mutex
	sendingSnapshotTo  map[consensus.ID]bool
	snapshotTransfers  map[uint64]chan SnapshotAck       // being sent, by ID
	receivedSnapshots  map[consensus.ID]receivedSnapshot // not complete yet, by sender

	stored       consensus.HardState // newest one that was synced
	storedLast   consensus.Entry     // index and term of the newest log entry that was synced
	reopenPolicy reopenPolicy
	termTimes    termTimes
	leaseTerm    uint64       // newest term in which this replica has held the leader lease
	leasedSince  time.Time    // when it acquired the first lease of that term
	suspended    atomic.Bool  // the data folder failed and is not open; see folder_recovery.go
	writingSince atomic.Int64 // nanoseconds on the boot clock; 0: the loop does not write

	silence    atomic.Pointer[memberSilence] // nil until this replica has led
	leadership atomic.Pointer[Leadership]
	status     atomic.Pointer[consensus.Status]
	config     atomic.Pointer[state.Config]
	done       chan struct{}
}

// appliedWait waits until the log entry at index is applied; then ready is closed.
type appliedWait struct {
	index uint64
	ready chan struct{}
}

// Open loads a replica from its data folder, which must not be released before Run has returned.
// The caller must then call Run. address is the replica's own peer address. If the disk refuses
// the folder for now, Run tries again.
func Open(folder *storage.Folder, address string, client *peer.Client, logger *log.Logger) (*Replica, storage.Identity, error) {
	return openReplica(accessTo(folder), folder.Dir(), address, client, logger)
}

func openReplica(folders folderAccess, dir, address string, client *peer.Client, logger *log.Logger) (*Replica, storage.Identity, error) {
	openedAt := clock.Now()
	disk, l, err := folders.open(dir)
	logOpening(logger, dir, l.Findings, err)
	if err != nil && (!mayHeal(err) || l.Identity.ID == "") {
		return nil, l.Identity, err
	}
	r := &Replica{
		log: logger, client: client, cluster: l.Identity.Cluster, address: address,
		dir: dir, folders: folders, startedAt: clock.Now(), openedAt: openedAt, wallClock: time.Now,
		inbox:            make(chan StepNotice, 4096),
		proposals:        make(chan *proposal, 4096),
		tasks:            make(chan func(), 256),
		preparedSnapshot: make(chan preparedSnapshot, 1),
		pendingProposals: map[uint64]*proposal{}, proposalMemory: newProposalMemory(),
		senderAddresses: map[consensus.ID]string{},
		configChanged:   make(chan struct{}),
		batchChanged:    map[string]chan struct{}{}, openBatchesChanged: make(chan struct{}), discardedJobs: newDiscardedJobs(),
		sendingSnapshotTo: map[consensus.ID]bool{}, snapshotTransfers: map[uint64]chan SnapshotAck{}, receivedSnapshots: map[consensus.ID]receivedSnapshot{},
		done: make(chan struct{}),
	}
	r.leadership.Store(&Leadership{})
	if err != nil {
		r.state = state.New()
		r.suspend(l.Identity.ID, consensus.SnapshotMeta{Members: consensus.Membership{}}, err)
	} else if err := r.load(disk, l, true); err != nil {
		disk.Close()
		return nil, l.Identity, err
	}
	r.publishRetiring()
	r.publish()
	return r, l.Identity, nil
}

// load starts the consensus core and the state from what disk holds. restarted is set if no
// other consensus core has run in this process.
func (r *Replica) load(disk dataFolder, l storage.LoadedState, restarted bool) error {
	st, err := state.Decode(l.Snapshot.Data)
	if err != nil {
		return err
	}
	r.disk, r.state, r.stored, r.storedLast = disk, st, l.Hard, lastStored(l)
	r.termTimes = termTimes{}.atSnapshot(l.Snapshot.Meta, st.Ledger.Time)
	r.groupClock = r.groupClock.advanceTo(st.Ledger.Time, clock.Now()).advanceTo(lastCommandTime(l.Entries), clock.Now())
	r.node = consensus.New(consensus.Config{
		ID: l.Identity.ID, Hard: l.Hard, Snapshot: l.Snapshot.Meta, Entries: l.Entries, Now: r.now(),
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Restarted: restarted,
	})
	r.log.Info("Data folder read.", "id", l.Identity.ID, "cluster", l.Identity.Cluster, "term", l.Hard.Term, "vote", l.Hard.Vote, "commit", l.Hard.Commit,
		"snapshot", l.Snapshot.Meta.Index, "snapshot_bytes", len(l.Snapshot.Data), "entries", len(l.Entries), "ms", r.upMs())
	return nil
}

// now returns the time since Open on the boot clock. It includes the time during which
// the machine was suspended, as leases require.
func (r *Replica) now() consensus.Time { return clock.Now() - r.startedAt }

// Run is the replica's loop. It returns nil when ctx ends, or an error when the data folder
// is damaged. While the disk refuses writes, the replica takes no part in the control group.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.done)
	defer func() {
		if !r.suspended.Load() {
			r.disk.Close()
		}
	}()
	defer r.snapshotWriter.Wait()
	defer r.leadership.Store(&Leadership{})
	for {
		var err error
		if r.suspended.Load() {
			err = r.recoverFolder(ctx)
		} else {
			err = r.runLoop(ctx)
		}
		switch {
		case ctx.Err() != nil:
			r.failPendingProposals()
			return nil
		case err == nil:
		case !r.suspended.Load() && r.disk.Failed() != nil && mayHeal(err):
			st := r.node.Status()
			r.disk.Close()
			r.suspend(st.ID, consensus.SnapshotMeta{Index: st.Applied, Term: r.stored.Term, Members: st.Members}, err)
		default:
			r.log.Error("Data folder failed and the replica stops.", "err", err.Error())
			r.failPendingProposals()
			return err
		}
		r.publish()
	}
}

// runLoop runs the loop until ctx ends, or until the data folder fails.
func (r *Replica) runLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	r.phases.last = clock.Now()
	for {
		var err error
		var task func()
		select {
		case <-ctx.Done():
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

// stepCore passes a message to the consensus core. An answer that a voter is absent counts only
// from the address at which the newest membership has that voter.
func (r *Replica) stepCore(n StepNotice) {
	if n.Message.Absent && r.node.Status().Members[n.Message.From].Address != n.Address {
		return
	}
	r.senderAddresses[n.Message.From] = n.Address
	r.node.Step(r.now(), n.Message)
}

// processReady stores, sends and applies what the consensus core returns, in the order
// that the core requires.
func (r *Replica) processReady() error {
	for {
		rd := r.node.Ready()
		if rd.Empty() {
			return nil
		}
		if err := r.store(rd); err != nil {
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

// store makes the snapshot, the hard state and the entries of rd durable.
func (r *Replica) store(rd consensus.Ready) error {
	r.writingSince.Store(int64(clock.Now()))
	defer r.writingSince.Store(0)
	if rd.Snapshot != nil {
		r.storedLast = consensus.Entry{} // the snapshot replaces the whole log, also if storing it fails halfway
		if err := r.installSnapshot(*rd.Snapshot); err != nil {
			return err
		}
		r.storedLast = consensus.Entry{Index: rd.Snapshot.Meta.Index, Term: rd.Snapshot.Meta.Term}
	}
	if err := r.disk.Append(rd.HardState, rd.Entries); err != nil {
		return err
	}
	if rd.HardState != nil {
		r.stored = *rd.HardState
	}
	if n := len(rd.Entries); n > 0 {
		r.storedLast = consensus.Entry{Index: rd.Entries[n-1].Index, Term: rd.Entries[n-1].Term}
	}
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

// publish makes status, leadership and configuration readable outside the loop, and
// notifies the goroutines that wait for a new configuration or an applied index.
func (r *Replica) publish() {
	st := r.node.Status()
	r.logRoleChange(r.status.Swap(&st), &st)
	r.proposalMemory.holdKept(r.keptBytes(&st))
	l := Leadership{}
	if until, ok := r.node.LeaseUntil(); ok {
		l = Leadership{Term: st.Term, Until: time.Now().Add(until - r.now()), BootUntil: r.startedAt + until, VotersRestarted: st.ElectedEarly}
		if r.leaseTerm != st.Term {
			r.leaseTerm, r.leasedSince = st.Term, time.Now()
		}
		l.Since = r.leasedSince
		if r.termTimes.term == st.Term { // the first entry of this term has been applied
			l.PredecessorLed = r.termTimes.predecessorLed
		}
	}
	r.logLease(*r.leadership.Swap(&l), l, &st)
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

// Status returns the replica's view of the control group.
func (r *Replica) Status() consensus.Status { return *r.status.Load() }

// Done returns a channel that is closed when the replica has stopped.
func (r *Replica) Done() <-chan struct{} { return r.done }
