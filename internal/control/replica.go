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
	tickInterval  = 20 * time.Millisecond
	maxBatch      = 512  // proposals and messages taken in before one sync
	changeHistory = 1024 // configuration changes kept for followers
	// changeHistoryBytes bounds them too: a change may replace all routes.
	changeHistoryBytes = 1 << 20
	// snapshotEntries after the last snapshot the log is compacted, unless the
	// snapshot would be large beside them.
	snapshotEntries = 1000
	// snapshotBytes of entries after the last snapshot it is compacted, whatever
	// their number: a restart replays as much in well under a second.
	snapshotBytes = 16 << 20
	// largeSnapshot is the size of entries from which their number does not count.
	largeSnapshot = 1 << 20
)

// Replica is one member of the control group. Its loop owns node, disk and
// state; everything else asks through channels or reads published values.
type Replica struct {
	log     *log.Logger
	client  *peer.Client
	cluster string
	address string // own peer address
	disk    *storage.Disk
	node    *consensus.Node
	state   *state.State
	start   time.Duration // on the boot clock
	watch   stopwatch

	inbox     chan StepNotice
	proposals chan *proposal
	tasks     chan func()
	prepared  chan prepared

	preparing  bool           // a snapshot is being written
	background sync.WaitGroup // that writes it

	waiting map[uint64]*proposal
	heard   map[consensus.ID]string // addresses that messages came with
	waits   []indexWait
	changes []Change
	logged  int // bytes of entries applied since the last snapshot
	// changeBytes holds the sizes of changes, oldest first.
	changeBytes []int

	batchWaits   map[string]chan struct{} // closed when the batch job changes
	openBatches  chan struct{}            // closed when the set of open batch jobs changes
	batchWaitsMu sync.Mutex

	mu      sync.Mutex
	changed chan struct{}         // closed when the configuration changes
	retired map[consensus.ID]bool // replicas to be emptied; replaced, never changed

	snapshotsMu sync.Mutex
	sending     map[string]bool         // peer addresses that a snapshot is being sent to
	parts       map[consensus.ID][]byte // snapshots being received, by sender

	leadership atomic.Pointer[Leadership]
	status     atomic.Pointer[consensus.Status]
	config     atomic.Pointer[state.Config]
	done       chan struct{}
}

type proposal struct {
	command state.Command
	change  memberChange // instead of a command
	term    uint64
	reply   chan proposalResult
}

// memberChange gives the next membership. It runs in the loop, on the newest
// one: a change between reading and proposing would be undone else.
type memberChange func(consensus.Membership) consensus.Membership

type proposalResult struct {
	outcome state.Outcome
	err     error
}

type indexWait struct {
	index uint64
	ready chan struct{}
}

// Open starts a replica from its data folder; Run must follow. address is its
// own peer address.
func Open(dir, address string, client *peer.Client, logger *log.Logger) (*Replica, storage.Identity, error) {
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
		disk: disk, state: st, start: clock.Now(),
		inbox:      make(chan StepNotice, 4096),
		proposals:  make(chan *proposal, 4096),
		tasks:      make(chan func(), 256),
		prepared:   make(chan prepared, 1),
		waiting:    map[uint64]*proposal{},
		heard:      map[consensus.ID]string{},
		changed:    make(chan struct{}),
		batchWaits: map[string]chan struct{}{}, openBatches: make(chan struct{}),
		sending: map[string]bool{}, parts: map[consensus.ID][]byte{},
		done: make(chan struct{}),
	}
	r.node = consensus.New(consensus.Config{
		ID: l.Identity.ID, Hard: l.Hard, Snapshot: l.Snapshot.Meta, Entries: l.Entries,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	r.leadership.Store(&Leadership{})
	r.markRetired()
	r.publish()
	return r, l.Identity, nil
}

// now counts suspensions of the machine, as leases must.
func (r *Replica) now() consensus.Time { return clock.Now() - r.start }

// Run is the replica's loop. It returns when ctx ends or the disk fails.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.done)
	defer r.disk.Close()
	defer r.background.Wait()
	defer r.leadership.Store(&Leadership{})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	r.watch.last = clock.Now()
	for {
		var err error
		task := func() {}
		select {
		case <-ctx.Done():
			r.failWaiting()
			return nil
		case p := <-r.prepared:
			task = func() { err = r.adopt(p) }
		case <-ticker.C:
		case n := <-r.inbox:
			task = func() { r.step(n) }
		case p := <-r.proposals:
			task = func() { r.propose(p) }
		case task = <-r.tasks:
		}
		r.watch.end(phaseWait)
		task()
		r.drain()
		r.node.Tick(r.now())
		r.watch.end(phaseTake)
		if err == nil {
			err = r.work()
		}
		if err != nil {
			r.log.Error("Data folder failed. Replica stops.", "err", err.Error())
			r.failWaiting()
			return err
		}
		r.publish()
		r.watch.end(phaseTake)
		r.watch.report(r.log)
	}
}

// drain takes in what else is waiting, so that one sync serves it all.
func (r *Replica) drain() {
	for range maxBatch {
		select {
		case n := <-r.inbox:
			r.step(n)
		case p := <-r.proposals:
			r.propose(p)
		default:
			return
		}
	}
}

func (r *Replica) step(n StepNotice) {
	r.heard[n.Message.From] = n.Address
	r.node.Step(r.now(), n.Message)
}

func (r *Replica) propose(p *proposal) {
	var index, term uint64
	var err error
	if p.change != nil {
		index, term, err = r.node.ProposeMembers(r.now(), p.change(r.node.Status().Members))
	} else {
		p.command.At = time.Now().UTC()
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
	if old := r.waiting[index]; old != nil {
		old.reply <- proposalResult{err: errOverwritten()}
	}
	r.waiting[index] = p
}

func proposeError(err error) error {
	if err == consensus.ErrNotLeader {
		return result.NewRetryAfter(result.NotLeader, time.Second, "this replica does not lead")
	}
	return result.New(result.MemberConflict, "%v", err)
}

// work does what the agreement core asks for, in the order it demands.
func (r *Replica) work() error {
	for {
		rd := r.node.Ready()
		if rd.Empty() {
			return nil
		}
		if rd.Snapshot != nil {
			if err := r.install(*rd.Snapshot); err != nil {
				return err
			}
		}
		if err := r.disk.Append(rd.HardState, rd.Entries); err != nil {
			return err
		}
		r.watch.end(phaseStore)
		r.send(rd.Messages)
		r.watch.end(phaseSend)
		for _, e := range rd.Committed {
			if err := r.apply(e); err != nil {
				return err
			}
		}
		r.node.Advance(rd)
		r.watch.end(phaseApply)
		if err := r.compact(); err != nil {
			return err
		}
		r.watch.end(phaseCompact)
	}
}

func (r *Replica) install(s consensus.Snapshot) error {
	st, err := state.Decode(s.Data)
	if err != nil {
		return err
	}
	if err := r.disk.SaveSnapshot(s, nil); err != nil {
		return err
	}
	r.state = st
	r.changes, r.changeBytes = nil, nil
	r.logged = 0
	r.wakeAllBatches()
	r.markRetired()
	return nil
}

func (r *Replica) send(ms []consensus.Message) {
	members := r.node.Status().Members
	for _, m := range ms {
		address := members[m.To].Address
		if address == "" {
			address = r.heard[m.To]
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

func (r *Replica) apply(e consensus.Entry) error {
	var o state.Outcome
	if e.Kind == consensus.EntryCommand {
		c, err := state.DecodeCommand(e.Data)
		if err != nil {
			return result.New(result.DataCorrupt, "entry %d: %v", e.Index, err)
		}
		before := r.state.Config.Version
		o = r.state.Apply(c)
		r.batchApplied(c)
		if c.RetireMark != nil {
			r.markRetired()
		}
		if v := r.state.Config.Version; v != before {
			r.changes = append(r.changes, Change{Version: v, Command: c.WithoutRoutingSource()})
			r.changes = r.changes[max(0, len(r.changes)-changeHistory):]
			r.changeBytes = append(r.changeBytes, len(e.Data))
			r.trimChanges()
		}
	}
	r.logged += len(e.Data)
	p := r.waiting[e.Index]
	if p == nil {
		return nil
	}
	delete(r.waiting, e.Index)
	if p.term != e.Term {
		p.reply <- proposalResult{err: errOverwritten()}
		return nil
	}
	p.reply <- proposalResult{outcome: o}
	return nil
}

// publish makes the loop's view readable and wakes those who wait for it.
func (r *Replica) publish() {
	st := r.node.Status()
	r.reportRole(r.status.Swap(&st), &st)
	l := Leadership{}
	if until, ok := r.node.LeaseUntil(); ok {
		l = Leadership{Term: st.Term, Until: time.Now().Add(until - r.now()), BootUntil: r.start + until}
	}
	r.leadership.Store(&l)
	if r.config.Swap(r.state.Config) != r.state.Config {
		r.mu.Lock()
		close(r.changed)
		r.changed = make(chan struct{})
		r.mu.Unlock()
	}
	rest := r.waits[:0]
	for _, w := range r.waits {
		if w.index <= st.Applied {
			close(w.ready)
			continue
		}
		rest = append(rest, w)
	}
	r.waits = rest
	if st.Role != consensus.Leader && len(r.waiting) > 0 {
		r.failWaiting()
	}
}

// errOverwritten answers a proposal that another leader's entry replaced.
func errOverwritten() error {
	return result.NewRetryAfter(result.NotLeader, time.Second, "another leader's entry took its place")
}

// failWaiting answers the proposals whose fate this replica will not learn: the
// next leader may have them in its log.
func (r *Replica) failWaiting() {
	for i, p := range r.waiting {
		delete(r.waiting, i)
		p.reply <- proposalResult{err: result.NewRetryAfter(result.CommitUnknown, time.Second, "the leader changed")}
	}
}

// Leadership returns the current right to act as the leader.
func (r *Replica) Leadership() Leadership { return *r.leadership.Load() }

// Status returns the replica's view of the group.
func (r *Replica) Status() consensus.Status { return *r.status.Load() }

// Done is closed when the replica has stopped.
func (r *Replica) Done() <-chan struct{} { return r.done }
