package control

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

const (
	// maxDiscardedJobs bounds the discarded batch jobs that a replica remembers, for error messages only.
	maxDiscardedJobs = 1024
	// discardLogInterval and discardLogBurst bound the log lines about discarded batch jobs.
	discardLogInterval = 200 * time.Millisecond
	discardLogBurst    = 50
)

// discardedJobs remembers the batch jobs that were discarded last.
type discardedJobs struct {
	logLimit *rate.Limiter
	byID     map[string]state.DiscardedBatch
	order    []string // IDs, oldest first
}

func newDiscardedJobs() *discardedJobs {
	return &discardedJobs{logLimit: rate.NewLimiter(rate.Every(discardLogInterval), discardLogBurst), byID: map[string]state.DiscardedBatch{}}
}

func (d *discardedJobs) add(x state.DiscardedBatch) {
	if _, ok := d.byID[x.ID]; !ok {
		d.order = append(d.order, x.ID)
	}
	d.byID[x.ID] = x
	if len(d.order) > maxDiscardedJobs {
		delete(d.byID, d.order[0])
		d.order = d.order[1:]
	}
}

// noteDiscarded remembers batch jobs that a command discarded. The leader counts and logs them.
func (r *Replica) noteDiscarded(jobs []state.DiscardedBatch) {
	for _, x := range jobs {
		r.discardedJobs.add(x)
		r.discardedBatchChanged(x.ID)
		if r.node.Status().Role != consensus.Leader {
			continue
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`apricotstream_batch_jobs_discarded_total{reason=%q,ended="%t",complete="%t"}`, x.Reason, x.Ended, x.Complete())).Inc()
		if r.discardedJobs.logLimit.Allow() {
			r.log.Info("Batch job discarded.", "batch", x.ID, "account", x.Account, "reason", x.Reason, "age_ms", x.Discarded.Sub(x.Accepted).Milliseconds(), "ended", x.Ended,
				"items", x.Items, "results", x.Results, "retained", len(r.state.Ledger.Batches))
		}
	}
}

// batchNotFound returns the error of a read of a batch job that the state does not have. It says whether
// this replica has discarded the job. It runs in the loop.
func (r *Replica) batchNotFound(q BatchReadRequest) error {
	x, ok := r.discardedJobs.byID[q.ID]
	if !ok || x.Account != q.Account && !q.AnyOwner {
		return result.New(result.NotFound, "no batch job %s is known", q.ID)
	}
	ago := r.groupClock.now(clock.Now(), r.wallClock()).Sub(x.Discarded)
	return result.New(result.NotFound, "batch job %s was discarded %v ago, %v after its acceptance: %s, ended %t, results %d of %d",
		q.ID, ago.Round(time.Second), x.Discarded.Sub(x.Accepted).Round(time.Second), x.Reason, x.Ended, x.Results, x.Items)
}
