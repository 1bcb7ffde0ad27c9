package duty

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/weights"
)

// Timing of one weight load.
const (
	// orderTimeout bounds the request for an engine's report. An order, together with the
	// report that may precede it, has twice that time.
	orderTimeout = time.Second
	// firstPollDelay is the delay from an accepted order to the first check of its
	// completion: the earliest time at which a load may be complete.
	firstPollDelay   = 930 * time.Millisecond
	loadPollInterval = 50 * time.Millisecond
	// loadTimeout is the time from an accepted order after which a load counts as failed.
	loadTimeout = 6 * time.Second
)

var (
	loadsOrdered = metrics.NewCounter("apricotstream_loads_ordered_total")
	loadSeconds  = metrics.NewHistogram("apricotstream_load_seconds")
)

// loadEngine orders one engine to load a weight version and waits until the load is
// complete or has failed.
func (w *Weights) loadEngine(ctx context.Context, f Fence, key plannerKey, s weights.Swap, continueRequests bool) {
	began := time.Now()
	u := s.Upstream
	err := w.sendOrder(ctx, f, key, s, continueRequests)
	if err == nil {
		err = w.awaitLoad(ctx, key, s)
	}
	w.versionTable.SetLoading(u, false)
	if err == nil {
		loadSeconds.Update(time.Since(began).Seconds())
		w.log.Info("Weights loaded.", "upstream", u.ID, "model", key.model, "version", s.Version, "fence", f.Token, "ms", time.Since(began).Milliseconds())
		return
	}
	w.log.Warn("Failed to load weights.", "upstream", u.ID, "model", key.model, "version", s.Version, "fence", f.Token, "code", int(result.CodeOf(err)), "err", result.From(err).Message)
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.planners[key]; p != nil {
		p.RecordFailure(time.Now(), u.ID)
	}
}

// sendOrder sends the order unless the engine holds the version already. It returns
// Fenced when this process no longer leads in the term of f, and OrderConflict when the
// engine is carrying out another order.
func (w *Weights) sendOrder(ctx context.Context, f Fence, key plannerKey, s weights.Swap, continueRequests bool) error {
	ctx, cancel := context.WithTimeout(ctx, 2*orderTimeout)
	defer cancel()
	u := s.Upstream
	expected, known := w.versionTable.Orders(u)
	if !known {
		r, err := w.fetchReport(ctx, u)
		if err != nil {
			return err
		}
		if r.Busy {
			return result.New(result.OrderConflict, "the engine is carrying out another order")
		}
		expected = r.Orders
	}
	if w.versionTable.Versions(u)[key.model] >= s.Version {
		return nil
	}
	ctx, end, ok := w.term.call(ctx, f)
	if !ok {
		return result.New(result.Fenced, "the leadership has ended")
	}
	defer end()
	o := Order{Model: key.model, Version: s.Version, RequestPolicy: FinishRequests, Expected: expected}
	if continueRequests {
		o.RequestPolicy = ContinueRequests
	}
	loadsOrdered.Inc()
	w.versionTable.SetLoading(u, true)
	accepted, err := w.engines.Order(ctx, f, u, o)
	if err != nil {
		w.versionTable.ForgetOrders(u)
		return err
	}
	if accepted {
		w.versionTable.RecordReport(u, nil, expected+1)
	} else {
		w.versionTable.Seen(u.ID, key.model, s.Version)
	}
	return nil
}

// awaitLoad polls the engine until it holds the version. It returns UpstreamTimeout
// after loadTimeout or when ctx has ended, and stops at once on UpstreamUnreached or
// UpstreamMoved.
func (w *Weights) awaitLoad(ctx context.Context, key plannerKey, s weights.Swap) error {
	u := s.Upstream
	deadline := time.Now().Add(loadTimeout)
	wait := firstPollDelay
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if w.versionTable.Versions(u)[key.model] >= s.Version {
			return nil
		}
		time.Sleep(wait)
		wait = loadPollInterval
		reportCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := w.fetchReport(reportCtx, u)
		cancel()
		if code := result.CodeOf(err); code == result.UpstreamUnreached || code == result.UpstreamMoved {
			return err
		}
	}
	w.versionTable.ForgetOrders(u)
	return result.New(result.UpstreamTimeout, "the engine did not complete the load in time")
}

// fetchReport reads the engine's state and records it in the version table.
func (w *Weights) fetchReport(ctx context.Context, u upstream.Announcement) (Report, error) {
	r, err := w.engines.Report(ctx, u)
	if err == nil {
		w.versionTable.RecordReport(u, r.Versions, r.Orders)
	}
	return r, err
}
