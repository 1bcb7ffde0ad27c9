package duty

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/weights"
)

// Times of one load.
const (
	// orderTimeout bounds an order or a report with its answer.
	orderTimeout = time.Second
	// usualLoad is when a load may be complete for the first time.
	usualLoad = 930 * time.Millisecond
	loadPoll  = 50 * time.Millisecond
	// maxLoad is when a load is taken for failed.
	maxLoad = 6 * time.Second
)

var (
	loadsOrdered = metrics.NewCounter("apricotstream_loads_ordered_total")
	loadSeconds  = metrics.NewHistogram("apricotstream_load_seconds")
)

// load orders one engine and follows the load to its end.
func (w *Weights) load(ctx context.Context, f Fence, at loadPlace, s weights.Swap, goOn bool) {
	began := time.Now()
	u := s.Upstream
	err := w.order(ctx, f, at, s, goOn)
	if err == nil {
		err = w.await(ctx, at, s)
	}
	w.holdings.SetLoading(u, false)
	if err == nil {
		loadSeconds.Update(time.Since(began).Seconds())
		w.log.Info("Weights loaded.", "upstream", u.ID, "model", at.model, "version", s.Version, "fence", f.Token, "ms", time.Since(began).Milliseconds())
		return
	}
	w.log.Warn("Weights not loaded.", "upstream", u.ID, "model", at.model, "version", s.Version, "fence", f.Token, "code", int(result.CodeOf(err)), "err", result.From(err).Message)
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.planners[at]; p != nil {
		p.RecordFailure(time.Now(), u.ID)
	}
}

func (w *Weights) order(ctx context.Context, f Fence, at loadPlace, s weights.Swap, goOn bool) error {
	ctx, cancel := context.WithTimeout(ctx, 2*orderTimeout)
	defer cancel()
	u := s.Upstream
	expected, known := w.holdings.Orders(u)
	if !known {
		r, err := w.report(ctx, u)
		if err != nil {
			return err
		}
		if r.Busy {
			return result.New(result.OrderConflict, "the engine carries out another order")
		}
		expected = r.Orders
	}
	if w.holdings.Versions(u)[at.model] >= s.Version {
		return nil
	}
	if !w.term.valid(f) {
		return result.New(result.Fenced, "the leadership has ended")
	}
	o := Order{Model: at.model, Version: s.Version, RequestPolicy: FinishRequests, Expected: expected}
	if goOn {
		o.RequestPolicy = ContinueRequests
	}
	loadsOrdered.Inc()
	w.holdings.SetLoading(u, true)
	accepted, err := w.engines.Order(ctx, f, u, o)
	if err != nil {
		w.holdings.ForgetOrders(u)
		return err
	}
	if accepted {
		w.holdings.RecordReport(u, nil, expected+1)
	} else {
		w.holdings.Seen(u.ID, at.model, s.Version)
	}
	return nil
}

// await asks the engine until it holds the version.
func (w *Weights) await(ctx context.Context, at loadPlace, s weights.Swap) error {
	u := s.Upstream
	until := time.Now().Add(maxLoad)
	wait := usualLoad
	for time.Now().Before(until) && ctx.Err() == nil {
		if w.holdings.Versions(u)[at.model] >= s.Version {
			return nil
		}
		time.Sleep(wait)
		wait = loadPoll
		ask, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := w.report(ask, u)
		cancel()
		if code := result.CodeOf(err); code == result.UpstreamUnreached || code == result.UpstreamMoved {
			return err
		}
	}
	w.holdings.ForgetOrders(u)
	return result.New(result.UpstreamTimeout, "the engine did not load in time")
}

func (w *Weights) report(ctx context.Context, u upstream.Announcement) (Report, error) {
	r, err := w.engines.Report(ctx, u)
	if err == nil {
		w.holdings.RecordReport(u, r.Versions, r.Orders)
	}
	return r, err
}
