package batch

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Parameters of the commits of results.
const (
	collectDelay        = 15 * time.Millisecond // lets results that end shortly after each other share a commit
	maxRecordsPerCommit = 64
	commitTimeout       = 2 * time.Second
	commitRetryPause    = 50 * time.Millisecond
)

// pendingRecord is a result or the progress of a running item that is to be committed.
// Exactly one field is set.
type pendingRecord struct {
	result   *state.BatchResult
	progress *state.BatchProgress
}

// committer commits records in the order in which they were added.
type committer struct {
	replica Replica
	log     *log.Logger
	queue   chan pendingRecord
}

func newCommitter(r Replica, logger *log.Logger) *committer {
	return &committer{replica: r, log: logger, queue: make(chan pendingRecord, 4096)}
}

// add queues a record. It blocks while the queue is full.
func (c *committer) add(e pendingRecord) { c.queue <- e }

// run commits the queued records until ctx ends.
func (c *committer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.queue:
			periodic.Pause(ctx, collectDelay)
			c.commit(ctx, c.collect(e))
		}
	}
}

// collect returns first and the queued records, at most maxRecordsPerCommit in total.
func (c *committer) collect(first pendingRecord) *state.BatchRecord {
	out := &state.BatchRecord{}
	appendRecord := func(e pendingRecord) {
		if e.result != nil {
			out.Results = append(out.Results, *e.result)
		} else {
			out.Progress = append(out.Progress, *e.progress)
		}
	}
	appendRecord(first)
	for len(out.Results)+len(out.Progress) < maxRecordsPerCommit {
		select {
		case e := <-c.queue:
			appendRecord(e)
		default:
			return out
		}
	}
	return out
}

// commit proposes the record until it is committed or ctx ends. Committing it twice has no
// further effect.
func (c *committer) commit(ctx context.Context, record *state.BatchRecord) {
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err := c.replica.Propose(attemptCtx, control.ProposeRequest{Relayed: true, Command: state.Command{BatchRecord: record}})
		cancel()
		if err == nil {
			return
		}
		c.log.Warn("Could not commit the results of batch items.", "results", len(record.Results), "code", int(result.CodeOf(err)), "err", result.From(err).Message)
		periodic.Pause(ctx, commitRetryPause)
	}
}
