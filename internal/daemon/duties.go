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
	// dutyTimeout bounds one round of a duty.
	dutyTimeout = 5 * time.Second
	// takeoverDelay is how long a new leader sends no orders. The election has already
	// waited for the old leader lease to expire; this covers orders still in flight.
	takeoverDelay = time.Second
)

// dutyRunner runs a duty of the leader: loading weights, ordering upstreams or reporting
// usage. It runs on every replica and does nothing without a valid leader lease.
type dutyRunner struct {
	d            *Daemon
	name         string
	log          *log.Logger
	term         uint64
	since        time.Time // when this replica began to lead in term
	sender       *fenced.Sender
	wavePlanners *wavePlanners
}

// newRootDutyRunner returns the runner whose run method starts all duties.
func newRootDutyRunner(d *Daemon) *dutyRunner { return newDutyRunner(d, "all") }

func newDutyRunner(d *Daemon, name string) *dutyRunner {
	return &dutyRunner{d: d, name: name, log: d.log.WithPrefix("duties"), wavePlanners: newWavePlanners()}
}

// run starts each duty in its own goroutine: a receiver that doesn't answer must not
// delay the other duties.
func (x *dutyRunner) run(ctx context.Context) {
	x.spawn(ctx, "weights", func(runner *dutyRunner) func(context.Context) {
		return func(context.Context) { runner.loadWeights() }
	})
	if x.d.cfg.OrdersURL != "" {
		x.spawn(ctx, "orders", func(runner *dutyRunner) func(context.Context) { return newOrderDuty(runner).round })
	}
	if x.d.cfg.UsageURL != "" {
		x.spawn(ctx, "usage", func(runner *dutyRunner) func(context.Context) { return newUsageDuty(runner).round })
	}
}

// spawn starts a goroutine that runs one duty every dutyInterval until ctx ends. build
// returns the function that runs one round.
func (x *dutyRunner) spawn(ctx context.Context, name string, build func(*dutyRunner) func(context.Context)) {
	runner := newDutyRunner(x.d, name)
	run := build(runner)
	x.d.spawn(func() {
		periodic.Every(ctx, dutyInterval, func() { runner.round(ctx, run) })
	})
}

// round calls run if this replica holds the leader lease and takeoverDelay has passed.
func (x *dutyRunner) round(ctx context.Context, run func(context.Context)) {
	l := x.d.replica.Leadership()
	if !l.Valid() {
		return
	}
	if l.Term != x.term {
		x.startTerm(l.Term)
	}
	if time.Since(x.since) < takeoverDelay {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	run(ctx)
}

// startTerm resets the state for a new term in which this replica leads.
func (x *dutyRunner) startTerm(term uint64) {
	x.term = term
	x.since = time.Now()
	dial := fenced.Dial(peer.DialFrom(x.d.cfg.PeerAddress))
	x.sender = fenced.NewSender(dial, x.d.replica.Leadership, term)
	x.wavePlanners = newWavePlanners()
	x.log.Info("Replica became the leader.", "fence", term, "duty", x.name)
}

// query reads the state of the control log with a linearizable read.
func (x *dutyRunner) query(ctx context.Context, q control.QueryRequest) (control.QueryReply, error) {
	return x.d.replica.Query(ctx, q)
}
