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

func newUsageDuty(x *dutyRunner) *usageDuty { return &usageDuty{dutyRunner: x} }

// round closes the next window if it is due. Then it reports the closed windows that the
// receiver has not confirmed, in order and with their committed figures.
func (x *usageDuty) round(ctx context.Context) {
	r, err := x.query(ctx, control.QueryRequest{Windows: true})
	if err != nil {
		return
	}
	unreported := usage.Unreported(r.Windows)
	if c, ok := usage.NextClose(time.Now().UTC(), r.Windows, x.d.cfg.Window); ok {
		if w, err := x.closeWindow(ctx, c); err == nil {
			unreported = append(unreported, *w)
		}
	}
	usage.OpenWindows.Set(float64(len(unreported)))
	if !x.backoff.ready() {
		return
	}
	for _, w := range unreported {
		if !x.reportWindow(ctx, w) {
			return
		}
	}
}

// closeWindow commits the end of a window and returns the window with its figures.
func (x *usageDuty) closeWindow(ctx context.Context, c state.WindowClose) (*state.Window, error) {
	out, err := x.d.replica.Propose(ctx, control.ProposeRequest{Command: state.Command{WindowClose: &c}})
	if err == nil {
		err = out.Err()
	}
	if err == nil && out.Window == nil {
		err = result.New(result.Internal, "no window came back")
	}
	if err != nil {
		x.log.Warn("Failed to close a usage window.", "window", c.ID, "err", err.Error())
		return nil, err
	}
	return out.Window, nil
}

// reportWindow sends one window and commits that the receiver has it. It returns false if
// the windows after it must wait.
func (x *usageDuty) reportWindow(ctx context.Context, w state.Window) bool {
	m := usage.Report{Fence: x.term, Window: w.ID, Start: w.Start, End: w.End, Items: w.Items}
	if err := x.sender.Post(ctx, x.d.cfg.UsageURL, m, nil); err != nil {
		x.log.Warn("Failed to report a usage window.", "window", w.ID, "err", err.Error())
		x.backoff.increase()
		return false
	}
	x.backoff.reset()
	usage.ReportDelay.Update(time.Since(w.Start.Add(x.d.cfg.Window)).Seconds())
	c := state.Command{WindowReported: &state.WindowReported{ID: w.ID}}
	if _, err := x.d.replica.Propose(ctx, control.ProposeRequest{Command: c}); err != nil {
		x.log.Warn("Failed to record a usage report.", "window", w.ID, "err", err.Error())
		return false
	}
	return true
}
