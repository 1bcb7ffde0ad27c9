package duty

import (
	"context"
	"maps"
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
	// commitDelay is the time from the end of an interval until its counts are
	// committed. By then the requests that began last have ended and the entries have
	// sent their counts.
	commitDelay = 4 * time.Second
	// collectTime is how long a new leader waits for the counts of all entries before it
	// commits any.
	collectTime = 1500 * time.Millisecond
	// maxReportAge is the time from the end of an interval until it is no longer reported.
	maxReportAge = 60 * time.Second
	// maxRepeatAge is the time from the end of an interval during which a new leader
	// repeats a report that its predecessor may have sent. Repeating the same figures
	// does no harm.
	maxRepeatAge = 15 * time.Second
	// reportRetryDelay is the delay after a failed report.
	reportRetryDelay = 500 * time.Millisecond
	// roundTimeout bounds one round with its commits and reports, so that the next round
	// notices a new term.
	roundTimeout = 3 * time.Second
)

var usageReports = metrics.NewCounter("apricotstream_usage_reports_total")

// Replica is the part of the control log that the usage duty uses.
type Replica interface {
	Propose(ctx context.Context, q control.ProposeRequest) (state.Outcome, error)
	Query(ctx context.Context, q control.QueryRequest) (control.QueryReply, error)
}

// Usage commits the request counts of usage intervals to the control log and reports them
// to the provider.
type Usage struct {
	term           *Term
	intervalLength time.Duration
	replica        Replica
	provider       Provider
	log            *log.Logger

	mu          sync.Mutex
	entryCounts map[uint64]map[string]map[string]int64 // by interval, entry and account

	leadingSince time.Time                   // when this process was first seen to lead in its term
	committed    map[uint64]map[string]int64 // by interval and account; nil until read
	reported     map[uint64]bool             // by interval
	retryAt      time.Time
}

// NewUsage returns the duty for intervals of the given length. The caller must call Run.
func NewUsage(t *Term, intervalLength time.Duration, r Replica, p Provider, logger *log.Logger) *Usage {
	return &Usage{term: t, intervalLength: intervalLength, replica: r, provider: p, log: logger, entryCounts: map[uint64]map[string]map[string]int64{}}
}

// Record stores the counts of an entry, which replace its earlier ones. It discards
// intervals that are too old to report.
func (u *Usage) Record(r RequestCounts) {
	u.mu.Lock()
	defer u.mu.Unlock()
	oldest := intervalOf(time.Now().Add(-maxReportAge), u.intervalLength)
	for n, counts := range r.Intervals {
		if n < oldest {
			continue
		}
		if u.entryCounts[n] == nil {
			u.entryCounts[n] = map[string]map[string]int64{}
		}
		u.entryCounts[n][r.Source] = counts
	}
	u.forgetCounts(oldest)
}

// forgetCounts discards the counts of entries for intervals before oldest. The caller holds mu.
func (u *Usage) forgetCounts(oldest uint64) {
	maps.DeleteFunc(u.entryCounts, func(n uint64, _ map[string]map[string]int64) bool { return n < oldest })
}

// forget discards what is known of intervals that are too old to report.
func (u *Usage) forget(now time.Time) {
	oldest := intervalOf(now.Add(-maxReportAge), u.intervalLength)
	u.mu.Lock()
	u.forgetCounts(oldest) // else they would be committed again
	u.mu.Unlock()
	maps.DeleteFunc(u.committed, func(n uint64, _ map[string]int64) bool { return n < oldest })
	maps.DeleteFunc(u.reported, func(n uint64, _ bool) bool { return n < oldest })
}

// Run commits and reports intervals until ctx ends.
func (u *Usage) Run(ctx context.Context) { runPeriodically(ctx, func() { u.round(ctx) }) }

// round commits and reports what is due. It does nothing unless this process leads and its
// takeover delay and collectTime have passed.
func (u *Usage) round(ctx context.Context) {
	now := time.Now()
	f, changed, ok := u.term.fence(now)
	if changed {
		u.leadingSince, u.committed, u.reported = now, nil, map[uint64]bool{}
	}
	if !ok || now.Sub(u.leadingSince) < collectTime {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	if u.committed == nil && !u.loadCommitted(ctx, now) {
		return
	}
	u.forget(now)
	u.commitComplete(ctx, now)
	u.reportCommitted(ctx, f, now)
}

// loadCommitted reads the committed intervals. Those that ended longer than maxRepeatAge
// ago count as reported. It reports whether the read succeeded.
func (u *Usage) loadCommitted(ctx context.Context, now time.Time) bool {
	r, err := u.replica.Query(ctx, control.QueryRequest{Intervals: true})
	if err != nil {
		return false
	}
	u.committed = map[uint64]map[string]int64{}
	for _, i := range r.Intervals {
		u.committed[i.Number] = i.Requests
		if now.Sub(u.intervalEnd(i.Number)) > maxRepeatAge {
			u.reported[i.Number] = true
		}
	}
	return true
}

// intervalEnd returns the end of interval n.
func (u *Usage) intervalEnd(n uint64) time.Time {
	return time.Unix(0, int64(n+1)*int64(u.intervalLength))
}

// commitComplete commits the counts of the complete intervals. It stores the counts that
// the control log returns: an earlier leader may have committed others.
func (u *Usage) commitComplete(ctx context.Context, now time.Time) {
	for n, counts := range u.completeIntervals(now) {
		if _, ok := u.committed[n]; ok {
			continue
		}
		c := state.Command{IntervalFix: &state.IntervalFix{Interval: n, Requests: counts}}
		out, err := u.replica.Propose(ctx, control.ProposeRequest{Relayed: true, Command: c})
		if err != nil || out.Interval == nil {
			u.log.Warn("Failed to commit a usage interval.", "interval", n, "err", err)
			return
		}
		u.committed[n] = out.Interval.Requests
	}
}

// completeIntervals returns the sum over all entries for each interval that ended at least
// commitDelay ago.
func (u *Usage) completeIntervals(now time.Time) map[uint64]map[string]int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := map[uint64]map[string]int64{}
	for n, entries := range u.entryCounts {
		if now.Sub(u.intervalEnd(n)) < commitDelay {
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

// reportCommitted reports the committed intervals that the provider has not confirmed,
// oldest first. It stops at the first failure and retries after reportRetryDelay.
func (u *Usage) reportCommitted(ctx context.Context, f Fence, now time.Time) {
	if now.Before(u.retryAt) {
		return
	}
	var due []uint64
	for n := range u.committed {
		if !u.reported[n] && now.Sub(u.intervalEnd(n)) < maxReportAge {
			due = append(due, n)
		}
	}
	slices.Sort(due)
	for _, n := range due {
		callCtx, end, ok := u.term.call(ctx, f)
		if !ok {
			return
		}
		err := u.provider.ReportUsage(callCtx, f, n, u.committed[n])
		end()
		if err != nil {
			u.retryAt = now.Add(reportRetryDelay)
			u.log.Warn("Failed to report usage.", "interval", n, "fence", f.Token, "code", int(result.CodeOf(err)), "err", result.From(err).Message)
			return
		}
		u.reported[n] = true
		usageReports.Inc()
		u.log.Info("Usage reported.", "interval", n, "fence", f.Token, "accounts", len(u.committed[n]), "late_ms", now.Sub(u.intervalEnd(n)).Milliseconds())
	}
}
