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
	// dutyTimeout bounds one round.
	dutyTimeout = 5 * time.Second
	// takeoverGuard is how long a new leader gives no orders. The election
	// already waited the old lease out; this covers what is still in flight.
	takeoverGuard = time.Second
)

// duties are what the leader does for the system. They run on every replica and
// do nothing without a valid lease.
type duties struct {
	d      *Daemon
	name   string
	log    *log.Logger
	term   uint64
	since  time.Time // when this replica was first seen to lead in term
	sender *fenced.Sender
	waves  *waves
}

func newDuties(d *Daemon) *duties { return newDuty(d, "all") }

func newDuty(d *Daemon, name string) *duties {
	return &duties{d: d, name: name, log: d.log.WithPrefix("duties"), waves: newWaves()}
}

// run does each duty in its own loop: a receiver that does not answer must not
// hold up the others.
func (x *duties) run(ctx context.Context) {
	x.spawn(ctx, "weights", func(y *duties) func(context.Context) {
		return func(context.Context) { y.swapWeights() }
	})
	if x.d.set.OrdersURL != "" {
		x.spawn(ctx, "orders", func(y *duties) func(context.Context) { return newOrderDuty(y).round })
	}
	if x.d.set.UsageURL != "" {
		x.spawn(ctx, "usage", func(y *duties) func(context.Context) { return newUsageDuty(y).round })
	}
}

func (x *duties) spawn(ctx context.Context, name string, build func(*duties) func(context.Context)) {
	y := newDuty(x.d, name)
	do := build(y)
	x.d.spawn(func() {
		periodic.Every(ctx, dutyInterval, func() { y.round(ctx, do) })
	})
}

func (x *duties) round(ctx context.Context, do func(context.Context)) {
	l := x.d.replica.Leadership()
	if !l.Valid() {
		return
	}
	if l.Term != x.term {
		x.begin(l.Term)
	}
	if time.Since(x.since) < takeoverGuard {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	do(ctx)
}

func (x *duties) begin(term uint64) {
	x.term = term
	x.since = time.Now()
	dial := fenced.Dial(peer.DialFrom(x.d.set.PeerAddress))
	x.sender = fenced.NewSender(dial, x.d.replica.Leadership, term)
	x.waves = newWaves()
	x.log.Info("This replica leads.", "fence", term, "duty", x.name)
}

// query reads the ledger as of now.
func (x *duties) query(ctx context.Context, q control.QueryRequest) (control.QueryReply, error) {
	return x.d.replica.Query(ctx, q)
}
