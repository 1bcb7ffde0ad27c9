package usage

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/state"
)

// maxUnreportedIntervals is the largest number of closed usage intervals that may lack the
// confirmation of the receiver. When it is reached, the open interval is extended instead
// of closed, so nothing is lost.
const maxUnreportedIntervals = 256

// NextClose returns the command that closes the next usage interval, and whether that
// interval has ended and may be closed. windows are the closed intervals in the control
// log, sorted by id. An interval begins where the previous one ended and never has a
// negative length. After an outage, or after a leader whose clock was ahead, one long
// interval covers the gap.
func NextClose(now time.Time, windows []state.Window, length time.Duration) (state.WindowClose, bool) {
	c := state.WindowClose{ID: 1, Start: now.Truncate(length).Add(-length), End: now.Truncate(length)}
	if n := len(windows); n > 0 {
		c.ID = windows[n-1].ID + 1
		c.Start = windows[n-1].End
	}
	return c, c.End.After(c.Start) && len(Unreported(windows)) < maxUnreportedIntervals
}

// Unreported returns the usage intervals that the receiver has not confirmed, in order.
func Unreported(windows []state.Window) []state.Window {
	var out []state.Window
	for _, w := range windows {
		if !w.Reported {
			out = append(out, w)
		}
	}
	return out
}

// Report is the usage report that is sent to the receiver for one usage interval.
type Report struct {
	Fence  uint64        `json:"fence"`  // fencing token of the leader
	Window uint64        `json:"window"` // id of the usage interval
	Start  time.Time     `json:"start"`
	End    time.Time     `json:"end"`
	Items  []state.Usage `json:"items"`
}
