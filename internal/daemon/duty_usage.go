package daemon

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/usage"
)

// usageDuty closes usage windows and reports them.
type usageDuty struct {
	*dutyRunner
	backoff backoff // after a failed report
}

func newUsageDuty(r *dutyRunner) *usageDuty { return &usageDuty{dutyRunner: r} }

// round closes the next window if it is due. Then it reports the closed windows that the
// receiver has not confirmed, in order and with their committed figures.
func (duty *usageDuty) round(ctx context.Context) {
	r, err := duty.query(ctx, control.QueryRequest{Windows: true})
	if err != nil {
		return
	}
	unreported := usage.Unreported(r.Windows)
	if c, ok := usage.NextClose(time.Now().UTC(), r.Windows, duty.daemon.cfg.Window); ok {
		if w, err := duty.closeWindow(ctx, c); err == nil {
			unreported = append(unreported, *w)
		}
	}
	usage.UnreportedIntervals.Set(float64(len(unreported)))
	if !duty.backoff.ready() {
		return
	}
	for _, w := range unreported {
		if !duty.reportWindow(ctx, w) {
			return
		}
	}
}

// closeWindow commits the end of a window and returns the window with its figures.
func (duty *usageDuty) closeWindow(ctx context.Context, c state.WindowClose) (*state.Window, error) {
	out, err := duty.daemon.replica.Propose(ctx, control.ProposeRequest{Command: state.Command{WindowClose: &c}})
	if err == nil {
		err = out.Err()
	}
	if err == nil && out.Window == nil {
		err = result.New(result.Internal, "the commit returned no window")
	}
	if err != nil {
		duty.log.Warn("Failed to close a usage window.", "window", c.ID, "err", err.Error())
		return nil, err
	}
	return out.Window, nil
}

// reportWindow sends one window and commits that the receiver has it. It returns false if
// the windows after it must wait.
func (duty *usageDuty) reportWindow(ctx context.Context, w state.Window) bool {
	m := usage.Report{Fence: duty.term, Window: w.ID, Start: w.Start, End: w.End, Items: w.Items}
	if err := duty.sender.Post(ctx, duty.daemon.cfg.UsageURL, m, nil); err != nil {
		duty.log.Warn("Failed to report a usage window.", "window", w.ID, "err", err.Error())
		duty.backoff.increase()
		return false
	}
	duty.backoff.reset()
	usage.ReportDelay.Update(time.Since(w.Start.Add(duty.daemon.cfg.Window)).Seconds())
	c := state.Command{WindowReported: &state.WindowReported{ID: w.ID}}
	if _, err := duty.daemon.replica.Propose(ctx, control.ProposeRequest{Command: c}); err != nil {
		duty.log.Warn("Failed to record a usage report.", "window", w.ID, "err", err.Error())
		return false
	}
	return true
}
