package consensus

// MessageKind is the type of a message.
type MessageKind uint8

const (
	// MsgPreVote asks whether a vote would be granted; no state changes.
	MsgPreVote MessageKind = iota
	// MsgPreVoteReply answers MsgPreVote.
	MsgPreVoteReply
	// MsgVote asks for a vote.
	MsgVote
	// MsgVoteReply answers MsgVote.
	MsgVoteReply
	// MsgAppend carries entries, the commit index and the heartbeat.
	MsgAppend
	// MsgAppendReply answers MsgAppend.
	MsgAppendReply
	// MsgSnapshot carries a whole snapshot.
	MsgSnapshot
)

// Message is exchanged between replicas many times a second; its wire names are
// short for that reason.
type Message struct {
	Kind MessageKind `json:"k"`
	From ID          `json:"f"`
	To   ID          `json:"o"`
	Term uint64      `json:"t"`

	// Vote requests: the candidate's last entry. Appends: the entry before.
	Index   uint64 `json:"i,omitempty"`
	LogTerm uint64 `json:"l,omitempty"`

	Entries []Entry `json:"e,omitempty"`
	Commit  uint64  `json:"c,omitempty"`

	// Sent is the leader's clock at sending, echoed in the reply: the lease
	// counts from it.
	Sent Time `json:"s,omitempty"`

	// Clock is the follower's clock at replying and Life names the run of its
	// process that the clock belongs to. The leader's next append echoes them;
	// Leased says that the leader held its lease at that sending.
	Clock    Time   `json:"n,omitempty"`
	Life     uint32 `json:"r,omitempty"`
	Echo     Time   `json:"en,omitempty"`
	EchoLife uint32 `json:"er,omitempty"`
	Leased   bool   `json:"y,omitempty"`

	// Reject refuses a vote or an append; Hint is then the follower's last
	// index that may match.
	Reject bool   `json:"x,omitempty"`
	Hint   uint64 `json:"h,omitempty"`

	Snapshot *Snapshot `json:"p,omitempty"`
}
