package clock

import "time"

// minStep is the smallest difference between the clocks that counts as a step. Clocks that
// are slewed stay far below it between two observations.
const minStep = 200 * time.Millisecond

// Steps detects steps of the wall clock against the boot clock. The zero value is ready.
type Steps struct {
	wall time.Time
	boot time.Duration
}

// Observe takes the current readings of both clocks and returns by how much the wall clock
// has stepped since the last call: negative if it was set back, and 0 if it did not step.
func (s *Steps) Observe(wall time.Time, boot time.Duration) time.Duration {
	wall = wall.Round(0) // without the monotonic reading, which Sub would use instead
	old := *s
	s.wall, s.boot = wall, boot
	if old.wall.IsZero() {
		return 0
	}
	if step := wall.Sub(old.wall) - (boot - old.boot); step.Abs() >= minStep {
		return step
	}
	return 0
}
