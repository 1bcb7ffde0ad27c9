package consensus

import (
	"errors"
	"math"
	"math/rand/v2"
	"time"
)

// Role is what a replica currently does.
type Role uint8

const (
	// Follower accepts entries of a leader.
	Follower Role = iota
	// PreCandidate asks whether it could win.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader replicates its log.
	Leader
)

// Errors of proposals.
var (
	// ErrNotLeader means that another replica, or none, leads.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrChangePending means that a membership change is not yet committed.
	ErrChangePending = errors.New("consensus: a membership change is pending")
	// ErrChangeTooLarge means that the change moves more than one voter.
	ErrChangeTooLarge = errors.New("consensus: more than one voter would change")
	// ErrNoQuorum means that no quorum of the voters after the change answers.
	ErrNoQuorum = errors.New("consensus: no quorum of the new voters answers")
	// ErrNotCaughtUp means that a learner is too far behind to vote.
	ErrNotCaughtUp = errors.New("consensus: the learner has not caught up")
)

// progress is the leader's view of one replica.
type progress struct {
	match uint64 // highest index known durable there
	next  uint64 // next index to send
	acked Time   // sending time of the newest heartbeat it answered
	clock Time   // its own clock at its newest answer
	life  uint32 // of its process then

	// probing is set after a rejection until an append matches: one append at a
	// time is in flight then, so that rejections do not multiply.
	probing bool
	probed  Time // sending time of the newest probe
	// snapshot is the index of a snapshot in flight; 0: none.
	snapshot   uint64
	snapshotAt Time // its sending time
}

// Node is one replica of the group.
type Node struct {
	id  ID
	cfg Config
	rnd *rand.Rand
	log log

	role    Role
	term    uint64
	vote    ID
	leader  ID
	commit  uint64
	applied uint64
	members Membership

	now         Time
	heardLeader Time // no vote is granted before heardLeader + Election
	electAt     Time
	ledSince    Time // start of the own leadership
	beatAt      Time
	tickedAt    Time // newest tick
	lateAt      Time // newest tick that came later than half a heartbeat after the one before
	votes       map[ID]bool
	progress    map[ID]*progress

	life      uint32 // names this run of the process
	readPoint ReadPoint

	outbox     []Message
	installed  *Snapshot
	handedHard HardState
	dirty      bool
}

// New restarts a replica from its durable state. Its applied index is that of
// the snapshot: committed entries after it come out of Ready again.
func New(cfg Config) *Node {
	cfg.setDefaults()
	n := &Node{
		id:      cfg.ID,
		cfg:     cfg,
		rnd:     cfg.Rand,
		term:    cfg.Hard.Term,
		vote:    cfg.Hard.Vote,
		commit:  max(cfg.Hard.Commit, cfg.Snapshot.Index),
		applied: cfg.Snapshot.Index,
		now:     cfg.Now,
		// An earlier run may have acknowledged a heartbeat just before the restart.
		heardLeader: cfg.Now,
	}
	n.life = n.rnd.Uint32()
	n.log.snapshot = cfg.Snapshot
	n.log.append(cfg.Entries...)
	n.log.stable = n.log.last()
	n.commit = min(n.commit, n.log.last())
	n.handedHard = n.hardState()
	n.reloadMembers()
	n.resetElection()
	return n
}

// Tick advances the clock to now, which must not decrease.
func (n *Node) Tick(now Time) {
	n.now = max(n.now, now)
	if n.now > n.tickedAt+n.cfg.Heartbeat/2 {
		n.lateAt = n.now
	}
	n.tickedAt = n.now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electAt && n.mayCampaign() {
		n.campaign()
	}
}

// mayCampaign reports whether this replica is a voter, or will be until its
// removal is committed: it may be the only one that holds that entry.
func (n *Node) mayCampaign() bool {
	return n.members.IsVoter(n.id) || n.log.membersAt(n.commit).IsVoter(n.id)
}

func (n *Node) tickLeader() {
	if n.mustGiveWay() {
		n.becomeFollower(n.term, "")
		return
	}
	if n.now >= n.beatAt {
		n.broadcastAppend()
	}
}

// mustGiveWay reports whether a leader has heard no quorum for an election timeout.
// One that was late itself may have the answers unread: it waits for at most one
// more, without a lease.
func (n *Node) mustGiveWay() bool {
	heard := max(n.leaseStart(), n.ledSince)
	if n.now < heard+n.cfg.Election {
		return false
	}
	return n.now >= heard+2*n.cfg.Election || n.now >= n.lateAt+n.cfg.Election
}

// Propose appends a command. It is decided once it comes out as committed at
// this index with this term.
func (n *Node) Propose(now Time, data []byte) (index, term uint64, err error) {
	n.now = max(n.now, now)
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	e := n.appendOwn(EntryCommand, data)
	return e.Index, e.Term, nil
}

// ProposeMembers appends a membership that differs by at most one voter.
// A new voter must have been a learner whose log is close to the leader's.
func (n *Node) ProposeMembers(now Time, next Membership) (index, term uint64, err error) {
	n.now = max(n.now, now)
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.changePending() || !n.committedInTerm() {
		return 0, 0, ErrChangePending
	}
	if !n.members.ChangesAtMostOneVoter(next) && !n.members.ReplacesOneVoter(next) {
		return 0, 0, ErrChangeTooLarge
	}
	answering := 0
	for id, m := range next {
		if m.Voter && !n.members.IsVoter(id) && !n.caughtUp(id) {
			return 0, 0, ErrNotCaughtUp
		}
		if m.Voter && n.answers(id) {
			answering++
		}
	}
	if answering < next.Quorum() {
		return 0, 0, ErrNoQuorum
	}
	e := n.appendOwn(EntryMembership, next.Encode())
	n.reloadMembers()
	return e.Index, e.Term, nil
}

// answers reports whether id has answered a heartbeat lately.
func (n *Node) answers(id ID) bool {
	p := n.progress[id]
	return id == n.id || p != nil && n.now < p.acked+n.cfg.Election
}

// caughtUp reports whether id has every committed entry durable and still
// answers.
func (n *Node) caughtUp(id ID) bool {
	p := n.progress[id]
	return p != nil && p.match >= n.commit && n.answers(id)
}

func (n *Node) appendOwn(kind EntryKind, data []byte) Entry {
	e := Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append(e)
	n.dirty = true
	return e
}

func (n *Node) changePending() bool {
	return n.log.lastChange() > n.commit
}

func (n *Node) committedInTerm() bool {
	t, ok := n.log.term(n.commit)
	return ok && t == n.term
}

// ReadIndex returns an index such that a state machine that has applied it
// holds every command committed before the call. It is false when this replica
// holds no lease.
func (n *Node) ReadIndex(now Time) (uint64, bool) {
	n.now = max(n.now, now)
	if _, ok := n.LeaseUntil(); !ok {
		return 0, false
	}
	return n.commit, true
}

// LeaseUntil returns the end of the leader's lease on the clock given to Tick;
// false when this replica may not act as leader.
func (n *Node) LeaseUntil() (Time, bool) {
	if n.role != Leader || !n.committedInTerm() {
		return 0, false
	}
	until := n.leaseStart() + n.cfg.Lease
	return until, n.now < until
}

// Compact forgets the entries that a durable snapshot replaces.
func (n *Node) Compact(meta SnapshotMeta) {
	n.log.compact(meta)
}

// Status is a read-only view of a replica.
type Status struct {
	ID        ID
	Role      Role
	Term      uint64
	Leader    ID
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	Members   Membership
	Match     map[ID]uint64 // leader only: highest durable index by replica
}

// Status describes the replica now.
func (n *Node) Status() Status {
	s := Status{
		ID: n.id, Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.commit, Applied: n.applied, LastIndex: n.log.last(),
		Members: n.members.Clone(),
	}
	if n.role == Leader {
		s.Match = make(map[ID]uint64, len(n.progress))
		for id, p := range n.progress {
			s.Match[id] = p.match
		}
	}
	return s
}

// MembersAt returns the membership as of index i, which must not be compacted.
func (n *Node) MembersAt(i uint64) Membership {
	return n.log.membersAt(i).Clone()
}

// TermAt returns the term of the entry at index i.
func (n *Node) TermAt(i uint64) (uint64, bool) {
	return n.log.term(i)
}

// reloadMembers takes the newest membership in the log, committed or not.
func (n *Node) reloadMembers() {
	n.members = n.log.membersAt(n.log.last())
	if n.role != Leader {
		return
	}
	for id := range n.members {
		if n.progress[id] == nil {
			n.progress[id] = &progress{next: n.log.last() + 1, acked: n.now - n.cfg.Election}
		}
	}
	for id := range n.progress {
		if _, ok := n.members[id]; !ok && id != n.id {
			delete(n.progress, id)
		}
	}
}

func (n *Node) resetElection() {
	jitter := time.Duration(n.rnd.Int64N(int64(n.cfg.Election)))
	n.electAt = n.now + n.cfg.Election + jitter
}

func (n *Node) send(m Message) {
	m.From = n.id
	if m.Kind != MsgPreVote && m.Kind != MsgPreVoteReply {
		m.Term = n.term
	}
	n.outbox = append(n.outbox, m)
}

// EntriesAfter returns the entries behind index i.
func (n *Node) EntriesAfter(i uint64) []Entry {
	return n.log.slice(i+1, int(n.log.last()-i), math.MaxInt)
}
