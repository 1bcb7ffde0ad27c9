package consensus

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Default timing and size limits.
const (
	// DefaultHeartbeatInterval is the interval between a leader's heartbeats.
	DefaultHeartbeatInterval = 200 * time.Millisecond
	// DefaultElectionTimeout is the time without contact from a leader after which a
	// voter may grant a vote. A replica waits up to twice as long before it starts
	// an election.
	DefaultElectionTimeout = 1000 * time.Millisecond
	// DefaultLeaseDuration is how long the leader lease lasts after the sending of
	// heartbeats that a quorum has answered. The difference from
	// DefaultElectionTimeout is the allowed clock drift.
	DefaultLeaseDuration = 800 * time.Millisecond
	// DefaultMaxAppendEntries is the largest number of entries in one message.
	DefaultMaxAppendEntries = 256
	// DefaultMaxAppendBytes limits the data of one message, not counting its last
	// entry. A slow link must be able to transfer a message within a heartbeat
	// interval.
	DefaultMaxAppendBytes = 256 << 10
	// DefaultMaxInFlightBytes limits the entry data in flight to one replica. No
	// further entries are sent to it once the limit is reached.
	DefaultMaxInFlightBytes = 1 << 20
	// DefaultSnapshotRetryInterval is the time after which a snapshot that was not
	// acknowledged is sent again. Reading and storing a large snapshot takes more
	// than a second.
	DefaultSnapshotRetryInterval = 2 * time.Second
)

// Config holds the durable state and the settings from which New creates a Node. Zero
// timings and limits are replaced by the defaults.
type Config struct {
	ID       ID
	Hard     HardState
	Snapshot SnapshotMeta
	Entries  []Entry // log entries after the snapshot
	Now      Time
	Rand     *rand.Rand
	// Restarted is set if no replica with this ID has run in this process before. Otherwise
	// what an earlier Node did under its lease may still be in progress.
	Restarted bool

	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	LeaseDuration     time.Duration
	MaxAppendEntries  int

	MaxAppendBytes        int
	MaxInFlightBytes      int
	SnapshotRetryInterval time.Duration
}

func (c *Config) setDefaults() {
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.ElectionTimeout = cmp.Or(c.ElectionTimeout, DefaultElectionTimeout)
	c.LeaseDuration = cmp.Or(c.LeaseDuration, DefaultLeaseDuration)
	c.MaxAppendEntries = cmp.Or(c.MaxAppendEntries, DefaultMaxAppendEntries)
	c.MaxAppendBytes = cmp.Or(c.MaxAppendBytes, DefaultMaxAppendBytes)
	c.MaxInFlightBytes = cmp.Or(c.MaxInFlightBytes, DefaultMaxInFlightBytes)
	c.SnapshotRetryInterval = cmp.Or(c.SnapshotRetryInterval, DefaultSnapshotRetryInterval)
}
