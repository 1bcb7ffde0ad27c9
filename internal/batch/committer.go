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

// Bounds of one commit of results.
const (
	gatherTime    = 15 * time.Millisecond // lets results of one moment share a commit
	maxResults    = 64
	commitTimeout = 2 * time.Second
	commitPause   = 50 * time.Millisecond
)

// entry is one thing to commit: a result, or text of an item that runs.
type entry struct {
	result   *state.BatchResult
	progress *state.BatchProgress
}

// committer commits results in the order in which they became final.
type committer struct {
	replica Replica
	log     *log.Logger
	queue   chan entry
}

func newCommitter(r Replica, logger *log.Logger) *committer {
	return &committer{replica: r, log: logger, queue: make(chan entry, 4096)}
}

// add queues an entry.
func (c *committer) add(e entry) { c.queue <- e }

func (c *committer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.queue:
			periodic.Pause(ctx, gatherTime)
			c.commit(ctx, c.gather(e))
		}
	}
}

func (c *committer) gather(first entry) *state.BatchRecord {
	out := &state.BatchRecord{}
	take := func(e entry) {
		if e.result != nil {
			out.Results = append(out.Results, *e.result)
		} else {
			out.Progress = append(out.Progress, *e.progress)
		}
	}
	take(first)
	for len(out.Results)+len(out.Progress) < maxResults {
		select {
		case e := <-c.queue:
			take(e)
		default:
			return out
		}
	}
	return out
}

// commit tries until the results are recorded or the term ends: recording one
// twice changes nothing.
func (c *committer) commit(ctx context.Context, record *state.BatchRecord) {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err := c.replica.Propose(try, control.ProposeRequest{Relayed: true, Command: state.Command{BatchRecord: record}})
		cancel()
		if err == nil {
			return
		}
		c.log.Warn("Results not committed.", "results", len(record.Results), "code", int(result.CodeOf(err)), "err", result.From(err).Message)
		periodic.Pause(ctx, commitPause)
	}
}
