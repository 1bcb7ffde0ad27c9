package usage

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/state"
)

// maxUnreported bounds the closed windows that wait for the receiver. At the
// bound the open window is extended instead; nothing is lost.
const maxUnreported = 256

// NextClose returns the command that closes the next window once its time has
// come; false before. windows are the closed windows known, by id. A window
// begins where the last one ended and never has a negative length; after an
// outage, or behind a clock that was ahead, one long window covers the gap.
func NextClose(now time.Time, windows []state.Window, length time.Duration) (state.WindowClose, bool) {
	c := state.WindowClose{ID: 1, Start: now.Truncate(length).Add(-length), End: now.Truncate(length)}
	if n := len(windows); n > 0 {
		c.ID = windows[n-1].ID + 1
		c.Start = windows[n-1].End
	}
	return c, c.End.After(c.Start) && len(Unreported(windows)) < maxUnreported
}

// Unreported returns the windows that the receiver has not confirmed, in order.
func Unreported(windows []state.Window) []state.Window {
	var out []state.Window
	for _, w := range windows {
		if !w.Reported {
			out = append(out, w)
		}
	}
	return out
}

// Report is a window as the receiver gets it.
type Report struct {
	Fence  uint64        `json:"fence"`
	Window uint64        `json:"window"`
	Start  time.Time     `json:"start"`
	End    time.Time     `json:"end"`
	Items  []state.Usage `json:"items"`
}
