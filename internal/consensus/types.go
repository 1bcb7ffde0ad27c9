package consensus

import "time"

// ID names a replica identity. An identity is never used again after its data
// folder is lost.
type ID string

// Time is a monotonic reading since an arbitrary origin of one process.
type Time = time.Duration

// EntryKind is the kind of payload of an entry.
type EntryKind uint8

const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop opens a leader's term.
	EntryNoop
	// EntryMembership carries an encoded Membership.
	EntryMembership
)

// Entry is one position of the log.
type Entry struct {
	Index uint64    `json:"i"`
	Term  uint64    `json:"t"`
	Kind  EntryKind `json:"k,omitempty"`
	Data  []byte    `json:"d,omitempty"`
}

// HardState must be durable before any message that depends on it is sent.
type HardState struct {
	Term   uint64 `json:"term"`
	Vote   ID     `json:"vote,omitempty"`
	Commit uint64 `json:"commit"`
}

// SnapshotMeta says which prefix of the log a snapshot replaces.
type SnapshotMeta struct {
	Index   uint64     `json:"index"`
	Term    uint64     `json:"term"`
	Members Membership `json:"members"`
}

// Snapshot is a state machine image with its place in the log.
type Snapshot struct {
	Meta SnapshotMeta `json:"meta"`
	Data []byte       `json:"data"`
}
