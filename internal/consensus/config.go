package consensus

import (
	"cmp"
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
	c.Heartbeat = cmp.Or(c.Heartbeat, DefaultHeartbeat)
	c.Election = cmp.Or(c.Election, DefaultElection)
	c.Lease = cmp.Or(c.Lease, DefaultLease)
	c.MaxAppend = cmp.Or(c.MaxAppend, DefaultMaxAppend)
	c.MaxAppendBytes = cmp.Or(c.MaxAppendBytes, DefaultMaxAppendBytes)
	c.WindowBytes = cmp.Or(c.WindowBytes, DefaultWindowBytes)
	c.SnapshotRetry = cmp.Or(c.SnapshotRetry, DefaultSnapshotRetry)
}
