package daemon

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

const (
	// usageCommitTimeout bounds the commit of one usage delta.
	usageCommitTimeout = 3 * time.Second
	// usageFlushTimeout bounds the commits of a daemon that shuts down.
	usageFlushTimeout = 30 * time.Second
)

// sendUsage commits the next usage delta. A delta whose commit fails is sent again
// unchanged. It returns true if nothing was left to send.
func (d *Daemon) sendUsage(ctx context.Context) bool {
	delta := d.usage.Delta(time.Now().UTC())
	if delta == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, usageCommitTimeout)
	defer cancel()
	out, err := d.proposer.Propose(ctx, state.Command{UsageDelta: delta})
	if err != nil {
		d.log.Debug("Failed to commit a usage delta.", "err", err.Error())
		return false
	}
	if out.Code != result.OK {
		d.log.Error("Usage delta was rejected. Its figures may be lost.", "seq", delta.Seq, "err", out.Err().Error())
	}
	d.usage.Committed()
	return false
}

// flushUsage commits the remaining usage before the daemon ends.
func (d *Daemon) flushUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, usageFlushTimeout)
	defer cancel()
	for !d.sendUsage(ctx) {
		if ctx.Err() != nil {
			d.log.Error("Remaining usage was not committed in time and is lost.")
			return
		}
	}
}
