package daemon

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/fenced"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/periodic"
)

const (
	// dutyTimeout bounds one round of a duty, and one order to load weights.
	dutyTimeout = 5 * time.Second
	// takeoverDelay is how long a new leader sends no orders. The election has already
	// waited for the old leader lease to expire or for the end of the old leader's process;
	// this covers orders still in flight.
	takeoverDelay = time.Second
)

// dutyRunner runs a duty of the leader: loading weights, ordering upstreams or reporting
// usage. It runs on every replica and does nothing without a valid leader lease.
type dutyRunner struct {
	daemon       *Daemon
	name         string
	log          *log.Logger
	term         uint64
	since        time.Time // when this replica was first seen to lead in term
	sender       *fenced.Sender
	loadPlanners *loadPlanners
}

// newRootDutyRunner returns the runner whose run method starts all duties.
func newRootDutyRunner(d *Daemon) *dutyRunner { return newDutyRunner(d, "all") }

func newDutyRunner(daemon *Daemon, name string) *dutyRunner {
	return &dutyRunner{daemon: daemon, name: name, log: daemon.log.WithPrefix("duties"), loadPlanners: newLoadPlanners()}
}

// run starts each duty in its own goroutine: a receiver of orders or usage reports that
// doesn't answer must not delay the other duties.
func (r *dutyRunner) run(ctx context.Context) {
	r.spawn(ctx, "weights", func(runner *dutyRunner) func(context.Context) {
		return func(context.Context) { runner.loadWeights() }
	})
	if r.daemon.cfg.OrdersURL != "" {
		r.spawn(ctx, "orders", func(runner *dutyRunner) func(context.Context) { return newOrderDuty(runner).round })
	}
	if r.daemon.cfg.UsageURL != "" {
		r.spawn(ctx, "usage", func(runner *dutyRunner) func(context.Context) { return newUsageDuty(runner).round })
	}
}

// spawn starts a goroutine that runs one duty every dutyInterval until ctx ends. build
// returns the function that runs one round.
func (r *dutyRunner) spawn(ctx context.Context, name string, build func(*dutyRunner) func(context.Context)) {
	runner := newDutyRunner(r.daemon, name)
	run := build(runner)
	r.daemon.spawn(func() {
		periodic.Every(ctx, dutyInterval, func() { runner.round(ctx, run) })
	})
}

// round calls run if this replica holds the leader lease and takeoverDelay has passed.
func (r *dutyRunner) round(ctx context.Context, run func(context.Context)) {
	l := r.daemon.replica.Leadership()
	if !l.Valid() {
		return
	}
	if l.Term != r.term {
		r.startTerm(l.Term)
	}
	if time.Since(r.since) < takeoverDelay {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	run(ctx)
}

// startTerm resets the state for a new term in which this replica leads.
func (r *dutyRunner) startTerm(term uint64) {
	r.term = term
	r.since = time.Now()
	dial := fenced.Dial(peer.DialFrom(r.daemon.cfg.PeerAddress))
	r.sender = fenced.NewSender(dial, r.daemon.replica.Leadership, term)
	r.loadPlanners = newLoadPlanners()
	r.log.Info("Replica became the leader.", "fence", term, "duty", r.name)
}

// query reads the state of the control log with a linearizable read.
func (r *dutyRunner) query(ctx context.Context, q control.QueryRequest) (control.QueryReply, error) {
	return r.daemon.replica.Query(ctx, q)
}
