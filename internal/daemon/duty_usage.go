package daemon

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/usage"
)

// usageDuty closes windows and reports them.
type usageDuty struct {
	*duties
	pause pause // after a failed report
}

func newUsageDuty(x *duties) *usageDuty { return &usageDuty{duties: x} }

// round closes the window whose time has come and reports, in order, the closed
// windows that the receiver has not confirmed, with their committed figures.
func (x *usageDuty) round(ctx context.Context) {
	r, err := x.query(ctx, control.QueryRequest{Windows: true})
	if err != nil {
		return
	}
	waiting := usage.Unreported(r.Windows)
	if c, ok := usage.NextClose(time.Now().UTC(), r.Windows, x.d.set.Window); ok {
		if w, err := x.closeWindow(ctx, c); err == nil {
			waiting = append(waiting, *w)
		}
	}
	usage.UnreportedIntervals.Set(float64(len(waiting)))
	if !x.pause.over() {
		return
	}
	for _, w := range waiting {
		if !x.report(ctx, w) {
			return
		}
	}
}

func (x *usageDuty) closeWindow(ctx context.Context, c state.WindowClose) (*state.Window, error) {
	out, err := x.d.replica.Propose(ctx, control.ProposeRequest{Command: state.Command{WindowClose: &c}})
	if err == nil {
		err = out.Err()
	}
	if err == nil && out.Window == nil {
		err = result.New(result.Internal, "no window came back")
	}
	if err != nil {
		x.log.Warn("Window not closed.", "window", c.ID, "err", err.Error())
		return nil, err
	}
	return out.Window, nil
}

// report sends one window and records that the receiver has it; false when the
// ones after it should wait.
func (x *usageDuty) report(ctx context.Context, w state.Window) bool {
	m := usage.Report{Fence: x.term, Window: w.ID, Start: w.Start, End: w.End, Items: w.Items}
	if err := x.sender.Post(ctx, x.d.set.UsageURL, m, nil); err != nil {
		x.log.Warn("Window not reported.", "window", w.ID, "err", err.Error())
		x.pause.failed()
		return false
	}
	x.pause.done()
	usage.ReportDelay.Update(time.Since(w.Start.Add(x.d.set.Window)).Seconds())
	c := state.Command{WindowReported: &state.WindowReported{ID: w.ID}}
	if _, err := x.d.replica.Propose(ctx, control.ProposeRequest{Command: c}); err != nil {
		x.log.Warn("Report not recorded.", "window", w.ID, "err", err.Error())
		return false
	}
	return true
}
