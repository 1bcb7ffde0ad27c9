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

// Intervals and timeouts of the runner.
const (
	leadershipPollInterval = 25 * time.Millisecond
	// scheduleInterval is the interval of scheduling while items wait. With more than
	// maxAttemptsWithoutPause attempts in flight it is also the minimum interval, since
	// each scheduling considers all engines and all waiting items, and hundreds of
	// attempts end per second. It is short compared with the duration of an attempt.
	scheduleInterval = 20 * time.Millisecond
	// maintenanceInterval is the interval of measuring speeds, committing progress and
	// moving attempts.
	maintenanceInterval = 250 * time.Millisecond
	listJobsTimeout     = time.Second // for reading the open jobs once
)

// Replica is the part of the control group's replica that the runner uses.
type Replica interface {
	Leadership() control.Leadership
	OpenBatches(ctx context.Context) ([]control.OpenBatch, error)
	BatchesChanged() <-chan struct{}
	Propose(ctx context.Context, q control.ProposeRequest) (state.Outcome, error)
}

// Pool lists the upstreams and their weight versions.
type Pool interface {
	// Known returns all upstreams that are not draining. Those of evacuated zones are marked.
	Known() []upstream.Announcement
	// Loading reports whether the upstream is loading weights by order of the leader.
	Loading(id string) bool
	// Versions returns the weight versions of an upstream, by model.
	Versions(a upstream.Announcement) map[string]uint64
	// Uneven reports whether the upstreams of a service differ in speed, so that items should be
	// relocated to faster ones.
	Uneven(service string) bool
	// Slots returns the number of requests that an upstream runs concurrently.
	Slots(a upstream.Announcement) int
	// Turns returns how many items may begin at an upstream now. It returns false if the
	// upstream names no rate and is not cold, which would bound them.
	Turns(a upstream.Announcement) (n int, bounded bool)
	// TakeTurn records that an item begins at an upstream.
	TakeTurn(a upstream.Announcement)
	// RecordDemand records the number of tokens that a batch job needs from a model, and
	// the oldest weight version that may produce them.
	RecordDemand(model string, tokens int, minVersion uint64)
	// Seen records the weight version that a response of an upstream has shown.
	Seen(id, model string, version uint64)
}

// startLimiter is implemented by a Pool whose turns run out: that of a cold upstream must be used
// soon.
type startLimiter interface {
	// TakeTurnBy is TakeTurn, and returns until when the item must have been sent; zero: at any
	// time. If there is no turn left, that time has passed.
	TakeTurnBy(a upstream.Announcement) time.Time
}

// takeTurn records that an item begins at an upstream. It returns the time of startLimiter.
func takeTurn(p Pool, a upstream.Announcement) time.Time {
	if l, ok := p.(startLimiter); ok {
		return l.TakeTurnBy(a)
	}
	p.TakeTurn(a)
	return time.Time{}
}

// Runner runs batch jobs while its replica is the leader.
type Runner struct {
	replica Replica
	pool    Pool
	engines Engines
	scorer  Scorer
	log     *log.Logger
}

// NewRunner returns a Runner. Call Run to start it.
func NewRunner(r Replica, p Pool, e Engines, s Scorer, logger *log.Logger) *Runner {
	return &Runner{replica: r, pool: p, engines: e, scorer: s, log: logger}
}

// Run runs a session for each term in which the replica is the leader, until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l := r.replica.Leadership()
		if l.Valid() {
			newSession(r, l.Term).run(ctx)
		}
		periodic.Pause(ctx, leadershipPollInterval)
	}
}
