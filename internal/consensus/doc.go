// Package consensus implements leader election and log replication as a pure state
// machine. The caller passes in time, messages and randomness; Ready returns what
// the caller must store, send and apply. The package does no I/O and starts no
// goroutine.
//
// Contract with the caller:
//   - Persist Ready.HardState, Ready.Entries and Ready.Snapshot durably before
//     sending Ready.Messages or applying Ready.Committed.
//   - Call Advance after that, then call Ready again.
//   - Pass a monotonic time that keeps advancing while the process is stopped.
//
// The leader lease is counted from the time at which the leader sent the newest
// heartbeats that a quorum has answered. A voter grants no vote within
// ElectionTimeout of its last contact with a leader or of its own start.
// LeaseDuration is shorter than ElectionTimeout by the allowed clock drift, so a
// lease has ended before a new leader can be elected.
package consensus
