package batch

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/control"
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

// committer commits results in the order in which they became final.
type committer struct {
	replica Replica
	log     *log.Logger
	queue   chan state.BatchResult
}

func newCommitter(r Replica, logger *log.Logger) *committer {
	return &committer{replica: r, log: logger, queue: make(chan state.BatchResult, 4096)}
}

// add queues a result.
func (c *committer) add(r state.BatchResult) { c.queue <- r }

func (c *committer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-c.queue:
			pause(ctx, gatherTime)
			c.commit(ctx, c.gather(r))
		}
	}
}

func (c *committer) gather(first state.BatchResult) []state.BatchResult {
	out := []state.BatchResult{first}
	for len(out) < maxResults {
		select {
		case r := <-c.queue:
			out = append(out, r)
		default:
			return out
		}
	}
	return out
}

// commit tries until the results are recorded or the term ends: recording one
// twice changes nothing.
func (c *committer) commit(ctx context.Context, results []state.BatchResult) {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err := c.replica.Propose(try, control.ProposeRequest{Relayed: true, Command: state.Command{BatchRecord: &state.BatchRecord{Results: results}}})
		cancel()
		if err == nil {
			return
		}
		c.log.Warn("Results not committed.", "results", len(results), "code", int(result.CodeOf(err)), "err", result.From(err).Message)
		pause(ctx, commitPause)
	}
}
