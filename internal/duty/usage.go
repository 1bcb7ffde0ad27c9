package duty

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Times of usage reports.
const (
	// settleTime is how long after its end an interval's figures are fixed:
	// requests of its last moment have ended, and entries have told.
	settleTime = 4 * time.Second
	// hearTime is how long a new leader listens to the entries first.
	hearTime = 1500 * time.Millisecond
	// reportFor is how long after its end an interval is reported at all.
	reportFor = 60 * time.Second
	// repeatFor is how long after its end a new leader reports again what its
	// predecessor may have reported: an exact repeat does no harm.
	repeatFor   = 15 * time.Second
	reportPause = 500 * time.Millisecond
	// roundTimeout bounds one look with its commits and reports, so that the next
	// one notices a new term.
	roundTimeout = 3 * time.Second
)

var usageReports = metrics.NewCounter("apricotstream_usage_reports_total")

// Replica is what the usage duty needs of the control group.
type Replica interface {
	Propose(ctx context.Context, q control.ProposeRequest) (state.Outcome, error)
	Query(ctx context.Context, q control.QueryRequest) (control.QueryReply, error)
}

// Usage fixes the figures of intervals and reports them.
type Usage struct {
	term     *Term
	length   time.Duration
	replica  Replica
	provider Provider
	log      *log.Logger

	mu      sync.Mutex
	tallies map[uint64]map[string]map[string]int64 // by interval, entry and account

	heard    time.Time // since when this process has led and listened
	fixed    map[uint64]map[string]int64
	reported map[uint64]bool
	retryAt  time.Time
}

// NewUsage returns the duty; Run must follow.
func NewUsage(t *Term, length time.Duration, r Replica, p Provider, logger *log.Logger) *Usage {
	return &Usage{term: t, length: length, replica: r, provider: p, log: logger, tallies: map[uint64]map[string]map[string]int64{}}
}

// Take records what an entry has counted so far.
func (u *Usage) Take(t Tally) {
	u.mu.Lock()
	defer u.mu.Unlock()
	oldest := intervalOf(time.Now().Add(-reportFor), u.length)
	for n, counts := range t.Intervals {
		if n < oldest {
			continue
		}
		if u.tallies[n] == nil {
			u.tallies[n] = map[string]map[string]int64{}
		}
		u.tallies[n][t.Source] = counts
	}
	for n := range u.tallies {
		if n < oldest {
			delete(u.tallies, n)
		}
	}
}

// Run works until ctx ends.
func (u *Usage) Run(ctx context.Context) { each(ctx, func() { u.round(ctx) }) }

func (u *Usage) round(ctx context.Context) {
	now := time.Now()
	f, changed, ok := u.term.fence(now)
	if changed {
		u.heard, u.fixed, u.reported = now, nil, map[uint64]bool{}
	}
	if !ok || now.Sub(u.heard) < hearTime {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	if u.fixed == nil && !u.load(ctx, now) {
		return
	}
	u.fix(ctx, now)
	u.report(ctx, f, now)
}

// load reads what earlier leaders have fixed.
func (u *Usage) load(ctx context.Context, now time.Time) bool {
	r, err := u.replica.Query(ctx, control.QueryRequest{Intervals: true})
	if err != nil {
		return false
	}
	u.fixed = map[uint64]map[string]int64{}
	for _, i := range r.Intervals {
		u.fixed[i.Number] = i.Requests
		if now.Sub(u.end(i.Number)) > repeatFor {
			u.reported[i.Number] = true
		}
	}
	return true
}

func (u *Usage) end(n uint64) time.Time { return time.Unix(0, int64(n+1)*int64(u.length)) }

// fix commits the figures of the intervals whose time has come.
func (u *Usage) fix(ctx context.Context, now time.Time) {
	for n, counts := range u.settled(now) {
		if _, ok := u.fixed[n]; ok {
			continue
		}
		c := state.Command{IntervalFix: &state.IntervalFix{Interval: n, Requests: counts}}
		out, err := u.replica.Propose(ctx, control.ProposeRequest{Relayed: true, Command: c})
		if err != nil || out.Interval == nil {
			u.log.Warn("Usage interval not fixed.", "interval", n, "err", err)
			return
		}
		u.fixed[n] = out.Interval.Requests
	}
}

// settled returns the sums of the intervals that are over for long enough.
func (u *Usage) settled(now time.Time) map[uint64]map[string]int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := map[uint64]map[string]int64{}
	for n, entries := range u.tallies {
		if now.Sub(u.end(n)) < settleTime {
			continue
		}
		sum := map[string]int64{}
		for _, counts := range entries {
			for account, k := range counts {
				sum[account] += k
			}
		}
		out[n] = sum
	}
	return out
}

// report sends, oldest first, the fixed intervals that were not confirmed.
func (u *Usage) report(ctx context.Context, f Fence, now time.Time) {
	if now.Before(u.retryAt) {
		return
	}
	var due []uint64
	for n := range u.fixed {
		if !u.reported[n] && now.Sub(u.end(n)) < reportFor {
			due = append(due, n)
		}
	}
	slices.Sort(due)
	for _, n := range due {
		if !u.term.valid(f) {
			return
		}
		err := u.provider.ReportUsage(ctx, f, n, u.fixed[n])
		if err != nil {
			u.retryAt = now.Add(reportPause)
			u.log.Warn("Usage not reported.", "interval", n, "fence", f.Token, "code", int(result.CodeOf(err)), "err", result.From(err).Message)
			return
		}
		u.reported[n] = true
		usageReports.Inc()
		u.log.Info("Usage reported.", "interval", n, "fence", f.Token, "accounts", len(u.fixed[n]), "late_ms", now.Sub(u.end(n)).Milliseconds())
	}
}
