// Package clock reads a monotonic clock that goes on while the machine is
// suspended. Leases are measured on it: the runtime's own monotonic clock stops
// still during a suspension, which would stretch a lease.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the fallback origin where the kernel has no such clock.
var processStart = time.Now()

// Now returns the time since the machine booted, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
