package consensus

import "time"

// ID identifies a replica. An ID is not reused after the replica's data folder is
// lost.
type ID string

// Time is a reading of a monotonic clock, counted from an arbitrary origin that is
// specific to one process.
type Time = time.Duration

// EntryKind is the kind of payload that a log entry carries.
type EntryKind uint8

const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop carries no data. A new leader appends it first in its term.
	EntryNoop
	// EntryMembership carries an encoded Membership.
	EntryMembership
)

// Entry is one log entry.
type Entry struct {
	Index uint64    `json:"i"`
	Term  uint64    `json:"t"`
	Kind  EntryKind `json:"k,omitempty"`
	Data  []byte    `json:"d,omitempty"`
}

// HardState is the state besides the log that a replica must keep across restarts. It
// must be durable before any message that depends on it is sent.
type HardState struct {
	Term   uint64 `json:"term"`
	Vote   ID     `json:"vote,omitempty"`
	Commit uint64 `json:"commit"`
}

// SnapshotMeta describes the log prefix that a snapshot replaces: the index and term of
// its last entry, and the membership as of that entry.
type SnapshotMeta struct {
	Index   uint64     `json:"index"`
	Term    uint64     `json:"term"`
	Members Membership `json:"members"`
}

// Snapshot is a serialized state machine together with its position in the log.
type Snapshot struct {
	Meta SnapshotMeta `json:"meta"`
	Data []byte       `json:"data"`
}
