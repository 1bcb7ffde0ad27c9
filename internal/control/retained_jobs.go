package control

import (
	"context"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Bounds of the batch jobs in the state, of which the process holds about 2.5 times as much: garbage, a
// snapshot that is being written, and the log.
const (
	// abandonedShare is the part of the budget, as a divisor, above which the oldest jobs whose callers have
	// not ended them are discarded. A replica that lost its disk gets a snapshot of this size within a few
	// seconds.
	abandonedShare = 2
	// abandonedBytes takes the place of that part without a budget.
	abandonedBytes = 256 << 20
	// fixedPercent is the part of the budget that jobs may take that must be retained. With 0.4 of the memory
	// in them, the process holds nearly all of it.
	fixedPercent = 115
)

// retainedLimit returns the bytes above which jobs are discarded that have not been ended.
func (m *proposalMemory) retainedLimit() int {
	if m.budget == nil {
		return abandonedBytes
	}
	return int(m.budget.Limit() / abandonedShare)
}

// withRetainedLimit returns c with the bound of this replica, which leads, if c accepts a job that needs it. It
// travels in the command because all replicas must discard the same jobs.
func (m *proposalMemory) withRetainedLimit(c state.Command) state.Command {
	if c.BatchAccept == nil || c.BatchAccept.Batch.EndedRetention == 0 {
		return c
	}
	a := *c.BatchAccept // the caller may still read its own
	a.RetainedLimit = m.retainedLimit()
	c.BatchAccept = &a
	return c
}

// waitingBytes returns the size of the jobs that wait for their commit.
func (m *proposalMemory) waitingBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held / proposalMemoryFactor
}

// retainedFull reports whether a job of size bytes does not fit beside the jobs that must be retained or wait for
// their commit. Only the leader knows.
func (r *Replica) retainedFull(ctx context.Context, size int) (bool, error) {
	if r.proposalMemory.budget == nil || r.Status().Role != consensus.Leader {
		return false, nil
	}
	waiting := r.proposalMemory.waitingBytes()
	return callInLoop(ctx, r, func() bool {
		at := r.groupClock.now(clock.Now(), r.wallClock())
		return int64(r.state.Ledger.FixedBytes(at)+size)+waiting > r.proposalMemory.budget.Limit()*fixedPercent/100
	})
}
