package consensus

import (
	"errors"
	"math/rand/v2"
	"slices"
)

// Role is the role that a replica currently has.
type Role uint8

const (
	// Follower accepts log entries from a leader.
	Follower Role = iota
	// PreCandidate asks the voters whether they would grant it a vote.
	PreCandidate
	// Candidate asks the voters for their votes.
	Candidate
	// Leader replicates its log to the other replicas.
	Leader
)

// Errors returned by Propose and ProposeMembers.
var (
	// ErrNotLeader means that this replica isn't the leader.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrChangePending means that the newest membership change, or the first entry
	// of the leader's term, is not committed yet.
	ErrChangePending = errors.New("consensus: a membership change is pending")
	// ErrChangeTooLarge means that the change adds or removes more than one voter,
	// and doesn't replace one voter by another at the same address.
	ErrChangeTooLarge = errors.New("consensus: more than one voter would change")
	// ErrNoQuorum means that the voters of the new membership that have answered a
	// heartbeat sent within the last election timeout don't form a quorum of it.
	ErrNoQuorum = errors.New("consensus: no quorum of the new voters answers")
	// ErrNotCaughtUp means that a new voter lacks committed entries or doesn't
	// answer heartbeats.
	ErrNotCaughtUp = errors.New("consensus: the learner has not caught up")
)

// progress is what the leader knows about one replica.
type progress struct {
	match       uint64 // highest index known to be durable on the replica
	next        uint64 // index of the next entry to send
	ackedSentAt Time   // when the leader sent the newest heartbeat that the replica answered
	clock       Time   // the replica's clock in its newest reply
	incarnation uint32 // the replica's incarnation in its newest reply

	// probing is set from a rejection until an append matches or a snapshot is sent.
	// Meanwhile the next append is only sent after a reply or a heartbeat interval, so
	// that rejections don't multiply.
	probing     bool
	probeSentAt Time // when the newest probe was sent; 0: none since the last rejection
	// snapshot is the index of the snapshot in flight; 0: none.
	snapshot       uint64
	snapshotSentAt Time // when that snapshot was sent, or its transfer ended
	transferring   bool // that snapshot is being transferred
}

// Node is the state machine of one replica. It isn't safe for concurrent use.
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

	now               Time
	lastLeaderContact Time // no vote is granted before lastLeaderContact + ElectionTimeout
	electionAt        Time // when to start an election
	yieldUntil        Time // no earlier than that
	yieldedTo         ID   // replica whose pre-vote this one has granted and yielded to last
	yieldedAt         Time // when
	preVoteAgainAt    Time // when to repeat the requests of the pre-vote in progress
	leaderSince       Time // when this replica became the leader
	nextHeartbeatAt   Time
	// recentCommit is what commit was one to two heartbeat intervals ago. Under load no
	// learner holds the newest committed entry at the very moment at which it is asked.
	recentCommit     uint64
	sampledCommit    uint64 // the next value of recentCommit
	nextCommitSample Time
	electedAfter     uint64 // index of the last log entry of earlier terms; set on a leader
	lastTick         Time   // time of the newest tick
	// lastLateTick is the time of the newest tick that came more than half a heartbeat
	// interval after the tick before it.
	lastLateTick Time
	votes        map[ID]bool // granted in the election in progress
	rejections   map[ID]bool // refused in the election in progress
	election     ElectionResult
	progress     map[ID]*progress
	restart      restart

	leaderClock      clockSample
	olderLogRefusals OlderLogRefusals
	staleHeartbeats  StaleHeartbeats
	heard            map[ID]Time // when the newest message of each member arrived

	incarnation uint32 // random; identifies this run of the process
	readPoint   ReadPoint

	outbox           []Message // returned by the next Ready
	receivedSnapshot *Snapshot // returned by the next Ready
	lastHardState    HardState // as Ready last returned it
	broadcastPending bool      // the next Ready sends appends to all replicas
}

// New creates a Node from its durable state. The applied index starts at that of the
// snapshot, so Ready returns the committed entries after the snapshot again.
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
		// The previous run may have acknowledged a heartbeat just before it ended.
		lastLeaderContact: cfg.Now,
	}
	n.incarnation, n.heard = n.rnd.Uint32(), map[ID]Time{}
	n.restart = restart{own: cfg.Restarted, startedAt: cfg.Now, askAt: cfg.Now, answers: map[ID]restartedAnswer{}}
	n.log.snapshot = cfg.Snapshot
	n.log.append(cfg.Entries...)
	n.log.stable = n.log.lastIndex()
	n.commit = min(n.commit, n.log.lastIndex())
	n.lastHardState = n.hardState()
	n.reloadMembers()
	n.resetElection()
	return n
}

// Tick advances the clock to now, which must not decrease. It sends heartbeats, starts
// an election or steps down when that is due.
func (n *Node) Tick(now Time) {
	n.now = max(n.now, now)
	if n.now > n.lastTick+n.cfg.HeartbeatInterval/2 {
		n.lastLateTick = n.now
	}
	n.lastTick = n.now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionAt && n.canCampaign() {
		n.campaign()
		return
	}
	n.repeatPreVote()
	n.tickRestart()
}

// canCampaign reports whether this replica may start an election: it is a voter, or its
// removal is not committed yet. In the second case it may be the only replica that has
// the entry that removes it.
func (n *Node) canCampaign() bool {
	return n.members.IsVoter(n.id) || n.log.membersAt(n.commit).IsVoter(n.id)
}

func (n *Node) tickLeader() {
	if n.mustStepDown() {
		n.becomeFollower(n.term, "")
		return
	}
	if n.now >= n.nextCommitSample {
		n.recentCommit, n.sampledCommit = n.sampledCommit, n.commit
		n.nextCommitSample = n.now + n.cfg.HeartbeatInterval
	}
	if n.now >= n.nextHeartbeatAt {
		n.broadcastAppend()
	}
}

// mustStepDown reports whether the leader must step down because no quorum has answered
// it for an election timeout. If the leader itself ticked late, replies may be waiting
// unread. It then waits for at most one more election timeout, without a lease.
func (n *Node) mustStepDown() bool {
	lastQuorumContact := max(n.leaseStartedAt(), n.leaderSince)
	if n.now < lastQuorumContact+n.cfg.ElectionTimeout {
		return false
	}
	return n.now >= lastQuorumContact+2*n.cfg.ElectionTimeout || n.now >= n.lastLateTick+n.cfg.ElectionTimeout
}

// Propose appends a command to the log. The command is committed once Ready returns an
// entry with this index and term in Committed. It returns ErrNotLeader on a replica that
// isn't the leader.
func (n *Node) Propose(now Time, data []byte) (index, term uint64, err error) {
	n.now = max(n.now, now)
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	e := n.appendAsLeader(EntryCommand, data)
	return e.Index, e.Term, nil
}

// ProposeMembers appends a membership change. next may differ from the current
// membership by at most one voter, or replace one voter as ReplacesOneVoter describes. A
// new voter must have been a learner. One that replaces a lost voter must hold the log up to
// Status.TakeoverIndex, any other up to Status.RecentCommit.
func (n *Node) ProposeMembers(now Time, next Membership) (index, term uint64, err error) {
	n.now = max(n.now, now)
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.changePending() || !n.committedInCurrentTerm() {
		return 0, 0, ErrChangePending
	}
	if !n.members.ChangesAtMostOneVoter(next) && !n.members.ReplacesOneVoter(next) {
		return 0, 0, ErrChangeTooLarge
	}
	active := 0
	mustHold := n.recentCommit
	if !n.members.ChangesAtMostOneVoter(next) {
		mustHold = n.takeoverIndex(n.members.votersNotIn(next)[0].ID)
	}
	for id, m := range next {
		if m.Voter && !n.members.IsVoter(id) && !n.caughtUp(id, mustHold) {
			return 0, 0, ErrNotCaughtUp
		}
		if m.Voter && n.recentlyActive(id) {
			active++
		}
	}
	if active < next.Quorum() {
		return 0, 0, ErrNoQuorum
	}
	e := n.appendAsLeader(EntryMembership, next.Encode())
	n.reloadMembers()
	return e.Index, e.Term, nil
}

// recentlyActive reports whether id has answered a heartbeat that was sent within the
// last election timeout.
func (n *Node) recentlyActive(id ID) bool {
	p := n.progress[id]
	return id == n.id || p != nil && n.now < p.ackedSentAt+n.cfg.ElectionTimeout
}

// caughtUp reports whether id has stored the entries up to index i durably and is recently
// active.
func (n *Node) caughtUp(id ID, i uint64) bool {
	p := n.progress[id]
	return p != nil && p.match >= i && n.recentlyActive(id)
}

func (n *Node) appendAsLeader(kind EntryKind, data []byte) Entry {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append(e)
	n.broadcastPending = true
	return e
}

func (n *Node) changePending() bool {
	return n.log.lastChangeIndex() > n.commit
}

func (n *Node) committedInCurrentTerm() bool {
	t, ok := n.log.term(n.commit)
	return ok && t == n.term
}

// ReadIndex returns the read index: a state machine that has applied it contains every
// command committed before the call. It returns false if this replica doesn't hold the
// leader lease.
func (n *Node) ReadIndex(now Time) (uint64, bool) {
	n.now = max(n.now, now)
	if _, ok := n.LeaseUntil(); !ok {
		return 0, false
	}
	return n.commit, true
}

// LeaseUntil returns the end of the leader lease on the clock given to Tick. It returns
// false if this replica may not act as the leader.
func (n *Node) LeaseUntil() (Time, bool) {
	if n.role != Leader || !n.committedInCurrentTerm() {
		return 0, false
	}
	until := n.leaseStartedAt() + n.cfg.LeaseDuration
	return until, n.now < until
}

// Compact discards the log entries that a durable snapshot replaces.
func (n *Node) Compact(meta SnapshotMeta) {
	n.log.compact(meta)
}

// FirstIndex returns the index of the first log entry that is not compacted.
func (n *Node) FirstIndex() uint64 { return n.log.firstIndex() }

// DataBytes returns the total data size of the log entries from index i up to, but not
// including, end.
func (n *Node) DataBytes(i, end uint64) int { return n.log.dataBytes(i, end) }

// Status is a copy of a replica's state.
type Status struct {
	ID        ID
	Role      Role
	Term      uint64
	Leader    ID
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	Members   Membership
	Match     map[ID]uint64 // leader only: highest index known to be durable, by replica
	// RecentCommit is what Commit was one to two heartbeat intervals ago; leader only.
	RecentCommit uint64
	// TakeoverIndex is, by voter, the index up to which another replica must hold the log to
	// replace the voter if that has lost its disk; leader only. It does not grow with the commit
	// index once the voter is gone.
	TakeoverIndex map[ID]uint64
	// Active are the replicas that have answered a heartbeat of the last election timeout;
	// leader only.
	Active []ID
	// Silence is, by replica, the time since the sending of the newest heartbeat that it has
	// answered; leader only. It is longer than the term for one that has answered none.
	Silence  map[ID]Time
	Election ElectionResult
	// OlderLogRefusals and StaleHeartbeats are what may delay an election.
	OlderLogRefusals OlderLogRefusals
	StaleHeartbeats  StaleHeartbeats
	Contact          Contact
	// ElectedEarly is set on a leader that was elected without waiting for the election
	// timeout, because all voters had restarted or lost their disks. AbsentVoters are those
	// that have lost their disks.
	ElectedEarly bool
	AbsentVoters []ID
}

// Status describes the replica now.
func (n *Node) Status() Status {
	s := Status{
		ID: n.id, Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.commit, Applied: n.applied, LastIndex: n.log.lastIndex(),
		Members: n.members.Clone(), Election: n.election,
		OlderLogRefusals: n.olderLogRefusals, StaleHeartbeats: n.staleHeartbeats, Contact: n.contact(),
	}
	if n.role == Leader {
		s.RecentCommit = n.recentCommit
		if s.ElectedEarly = n.restart.elected; s.ElectedEarly {
			s.AbsentVoters = slices.Clone(n.restart.absent)
		}
		s.Match, s.TakeoverIndex, s.Silence = make(map[ID]uint64, len(n.progress)), map[ID]uint64{}, map[ID]Time{}
		for id, p := range n.progress {
			if n.members.IsVoter(id) {
				s.TakeoverIndex[id] = n.takeoverIndex(id)
			}
			s.Match[id], s.Silence[id] = p.match, n.now-p.ackedSentAt
			if n.recentlyActive(id) {
				s.Active = append(s.Active, id)
			}
		}
	}
	return s
}

// reloadMembers makes the newest membership in the log the current one, committed or not.
func (n *Node) reloadMembers() {
	n.members = n.log.membersAt(n.log.lastIndex())
	if n.role != Leader {
		return
	}
	for id := range n.members {
		if n.progress[id] == nil {
			n.progress[id] = &progress{next: n.log.lastIndex() + 1, ackedSentAt: n.now - n.cfg.ElectionTimeout}
		}
	}
	for id := range n.progress {
		if _, ok := n.members[id]; !ok && id != n.id {
			delete(n.progress, id)
		}
	}
}

func (n *Node) send(m Message) {
	m.From = n.id
	switch m.Kind {
	case MsgPreVote, MsgPreVoteReply, MsgRestarted, MsgRestartedReply:
	default:
		m.Term = n.term
	}
	n.outbox = append(n.outbox, m)
}
