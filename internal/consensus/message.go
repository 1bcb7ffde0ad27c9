package consensus

// MessageKind is the type of a message.
type MessageKind uint8

const (
	// MsgPreVote asks whether a vote would be granted. It doesn't change the
	// receiver's term or vote.
	MsgPreVote MessageKind = iota
	// MsgPreVoteReply answers MsgPreVote.
	MsgPreVoteReply
	// MsgVote asks for a vote.
	MsgVote
	// MsgVoteReply answers MsgVote.
	MsgVoteReply
	// MsgAppend carries log entries and the commit index. It is also the heartbeat.
	MsgAppend
	// MsgAppendReply answers MsgAppend and MsgSnapshot.
	MsgAppendReply
	// MsgSnapshot carries a complete snapshot.
	MsgSnapshot
	// MsgRestarted asks a voter whether it has restarted and heard no leader since. Older
	// builds ignore it and its reply; its term is 0 so that they don't adopt it.
	MsgRestarted
	// MsgRestartedReply answers MsgRestarted.
	MsgRestartedReply
)

// Message is a message between two replicas. Its JSON names are short because
// messages are exchanged many times a second.
type Message struct {
	Kind MessageKind `json:"k"`
	From ID          `json:"f"`
	To   ID          `json:"o"`
	Term uint64      `json:"t"`

	// Index and LogTerm identify the candidate's last log entry in vote requests,
	// and the log entry before Entries in appends. In replies to an append, Index is
	// the last index that matches, or the index of the rejected append.
	Index   uint64 `json:"i,omitempty"`
	LogTerm uint64 `json:"l,omitempty"`

	Entries []Entry `json:"e,omitempty"`
	Commit  uint64  `json:"c,omitempty"`

	// SentAt is the leader's clock when it sent the message. The reply returns it;
	// the leader lease is counted from it. It is 0 in the reply to a stale append, which
	// is no contact with the leader.
	SentAt Time `json:"s,omitempty"`

	// Clock is the follower's clock when it replied, and Incarnation identifies the
	// run of its process to which the clock belongs. The leader returns them as
	// EchoClock and EchoIncarnation in its next append. LeaseHeld reports whether
	// the leader held its lease when it sent that append.
	Clock           Time   `json:"n,omitempty"`
	Incarnation     uint32 `json:"r,omitempty"`
	EchoClock       Time   `json:"en,omitempty"`
	EchoIncarnation uint32 `json:"er,omitempty"`
	LeaseHeld       bool   `json:"y,omitempty"`

	// Restarted is set in replies to MsgRestarted and MsgVote if the sender has heard no
	// leader and has not led since its process started. In a MsgVote it says that all voters
	// have answered so; Incarnation then identifies the run of the candidate's process, and
	// EchoIncarnation that of the receiver's. The replies have these two the other way round.
	Restarted bool `json:"z,omitempty"`

	// Absent is set in replies to MsgRestarted and MsgVote by a process that waits to join at
	// the address of the receiver of the request, and holds no replica: the receiver has lost
	// its disk. Incarnation then identifies the run of that process. Older builds read such a
	// reply as that of a voter that has not restarted.
	Absent bool `json:"b,omitempty"`

	// Reject is set when a vote or an append is rejected. For an append, Hint is then
	// the last index at which the follower's log may match.
	Reject bool   `json:"x,omitempty"`
	Hint   uint64 `json:"h,omitempty"`

	Snapshot *Snapshot `json:"p,omitempty"`
}
