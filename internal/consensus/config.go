package consensus

import (
	"math/rand/v2"
	"time"
)

// Timing of the agreement core.
const (
	// DefaultHeartbeat is the interval between a leader's heartbeats.
	DefaultHeartbeat = 200 * time.Millisecond
	// DefaultElection is the time without a leader after which a voter may
	// vote again; a candidate waits up to twice as long.
	DefaultElection = 1000 * time.Millisecond
	// DefaultLease is how long a leader acts on the heartbeats of a quorum.
	// The difference to DefaultElection is the allowed clock drift.
	DefaultLease = 800 * time.Millisecond
	// DefaultMaxAppend is the largest number of entries in one message.
	DefaultMaxAppend = 256
	// DefaultMaxAppendBytes is how much data one message carries, beside its last
	// entry: a slow link must pass it within a heartbeat interval.
	DefaultMaxAppendBytes = 256 << 10
	// DefaultWindowBytes is how much data may be in flight to one replica.
	DefaultWindowBytes = 1 << 20
	// DefaultSnapshotRetry is when a snapshot that was not acknowledged is sent
	// again: a large one takes a good second to be read and stored.
	DefaultSnapshotRetry = 2 * time.Second
)

// Config starts a Node from its durable state.
type Config struct {
	ID       ID
	Hard     HardState
	Snapshot SnapshotMeta
	Entries  []Entry // entries after the snapshot
	Now      Time
	Rand     *rand.Rand

	Heartbeat time.Duration
	Election  time.Duration
	Lease     time.Duration
	MaxAppend int

	MaxAppendBytes int
	WindowBytes    int
	SnapshotRetry  time.Duration
}

func (c *Config) setDefaults() {
	if c.Heartbeat == 0 {
		c.Heartbeat = DefaultHeartbeat
	}
	if c.Election == 0 {
		c.Election = DefaultElection
	}
	if c.Lease == 0 {
		c.Lease = DefaultLease
	}
	if c.MaxAppend == 0 {
		c.MaxAppend = DefaultMaxAppend
	}
	if c.MaxAppendBytes == 0 {
		c.MaxAppendBytes = DefaultMaxAppendBytes
	}
	if c.WindowBytes == 0 {
		c.WindowBytes = DefaultWindowBytes
	}
	if c.SnapshotRetry == 0 {
		c.SnapshotRetry = DefaultSnapshotRetry
	}
}
