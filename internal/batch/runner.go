package batch

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Times of the runner.
const (
	leadershipPoll = 25 * time.Millisecond // between looks at the leadership
	// planInterval is the time between looks at the engines while items wait, and the
	// least time between two while more than gatherFrom run: each look considers all
	// engines and all waiting items, and runs end hundreds of times a second. It is
	// small beside the time of a run.
	planInterval = 20 * time.Millisecond
	paceInterval = 250 * time.Millisecond
	listTimeout  = time.Second // of one look at the open jobs
)

// Replica is what the runner needs of the control group's replica.
type Replica interface {
	Leadership() control.Leadership
	OpenBatches(ctx context.Context) ([]control.OpenBatch, error)
	BatchesChanged() <-chan struct{}
	Propose(ctx context.Context, q control.ProposeRequest) (state.Outcome, error)
}

// Pool lists the upstreams and the weights that they hold.
type Pool interface {
	// Known returns all upstreams that are not leaving.
	Known() []upstream.Announcement
	// Loading reports whether the upstream loads weights, as the leader ordered.
	Loading(id string) bool
	// Versions returns the weights that an upstream holds, by model.
	Versions(a upstream.Announcement) map[string]uint64
	// Slots is how many requests an upstream runs at once.
	Slots(a upstream.Announcement) int
	// Asked records the work that a batch job asks of a model, in tokens, and the
	// oldest weight version that may do it.
	RecordDemand(model string, tokens int, minVersion uint64)
	// Seen corrects the pool when an answer shows another version.
	Seen(id, model string, version uint64)
}

// Runner runs batch jobs while its replica leads.
type Runner struct {
	replica Replica
	pool    Pool
	engines Engines
	scorer  Scorer
	log     *log.Logger
}

// NewRunner returns a runner; Run must follow.
func NewRunner(r Replica, p Pool, e Engines, s Scorer, logger *log.Logger) *Runner {
	return &Runner{replica: r, pool: p, engines: e, scorer: s, log: logger}
}

// Run works through terms of leadership until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l := r.replica.Leadership()
		if l.Valid() {
			newSession(r, l.Term).run(ctx)
		}
		periodic.Pause(ctx, leadershipPoll)
	}
}
